package membershipsim

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes an SVG of costs by the size of the fleet: how soon a death is known, and what a member sends.
func Plot(file string, all []Costs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "a death is known after, and a member sends", "members", "s, and kB/s"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	points := func(value func(Costs) float64) (xys plotter.XYs) {
		for _, c := range all {
			xys = append(xys, plotter.XY{X: float64(c.Members), Y: value(c)})
		}
		return xys
	}
	err := plotutil.AddLinePoints(p,
		"killed, 99 %", points(func(c Costs) float64 { return c.DeathKnown99Seconds }),
		"stands still, 99 %", points(func(c Costs) float64 { return c.FrozenKnown99Seconds }),
		"kB/s, nothing happens", points(func(c Costs) float64 { return c.IdleBytesPerSecond / 1000 }),
		"kB/s, a death every 10 s", points(func(c Costs) float64 { return c.ChurnBytesPerSecond / 1000 }))
	if err != nil {
		return err
	}
	p.Y.Max *= 1.4 // room for the legend
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
