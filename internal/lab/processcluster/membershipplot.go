package processcluster

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hazelwheel/internal/environment"
)

// WriteMembershipPlot writes an SVG of the number of running sidecars over time, between the least and the greatest number that a member held for
// alive, with the faults between them shaded.
func (r *Report) WriteMembershipPlot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "sidecars that are there, and that others hold for alive", "s", "sidecars"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, float64(r.Sidecars)*1.15
	p.Legend.Top = true
	for _, fault := range r.Faults {
		isBetweenSidecars := len(fault.From) > 0 || len(fault.Sidecars) > 0 || fault.Kind == environment.RestartAll
		if !isBetweenSidecars {
			continue
		}
		area, err := newRectangle(fault.AtSeconds, fault.AtSeconds+fault.DurationSeconds, 0, p.Y.Max, color.RGBA{255, 224, 178, 255})
		if err != nil {
			return err
		}
		p.Add(area)
	}
	var running, minAlive, maxAlive plotter.XYs
	for _, round := range r.Rounds {
		running = append(running, plotter.XY{X: round.AtSeconds, Y: float64(round.Running)})
		minAlive = append(minAlive, plotter.XY{X: round.AtSeconds, Y: float64(round.MinAlive)})
		maxAlive = append(maxAlive, plotter.XY{X: round.AtSeconds, Y: float64(round.MaxAlive)})
	}
	if err := plotutil.AddLines(p, "there", running, "least that one holds for alive", minAlive, "most", maxAlive); err != nil {
		return err
	}
	return p.Save(20*vg.Centimeter, 9*vg.Centimeter, path)
}
