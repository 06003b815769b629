package membershipsim

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Picture writes an SVG of figures by the size of the fleet: how soon a death is known, and what a member sends.
func Plot(path string, all []Costs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "a death is known after, and a member sends", "members", "s, and kB/s"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	line := func(of func(Costs) float64) (xys plotter.XYs) {
		for _, f := range all {
			xys = append(xys, plotter.XY{X: float64(f.Members), Y: of(f)})
		}
		return xys
	}
	if err := plotutil.AddLinePoints(p, "killed, 99 %", line(func(f Costs) float64 { return f.DeathKnown99Seconds }),
		"stands still, 99 %", line(func(f Costs) float64 { return f.FrozenKnown99Seconds }),
		"kB/s, nothing happens", line(func(f Costs) float64 { return f.IdleBytesPerSecond / 1000 }),
		"kB/s, a death every 10 s", line(func(f Costs) float64 { return f.ChurnBytesPerSecond / 1000 })); err != nil {
		return err
	}
	p.Y.Max *= 1.4 // room for the legend
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
