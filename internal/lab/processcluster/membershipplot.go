package processcluster

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hazelwheel/internal/environment"
)

// Picture writes an SVG: how many sidecars there were, between the least and the most that any of them held for alive, with the
// troubles between them shaded.
func (r *Report) WriteMembershipPlot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "sidecars that are there, and that others hold for alive", "s", "sidecars"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, float64(r.Sidecars)*1.15
	p.Legend.Top = true
	for _, t := range r.Faults {
		between := len(t.From) > 0 || len(t.Sidecars) > 0 || t.Kind == environment.RestartAll
		if !between {
			continue
		}
		area, err := plotter.NewPolygon(plotter.XYs{{X: t.AtSeconds, Y: 0}, {X: t.AtSeconds + t.DurationSeconds, Y: 0}, {X: t.AtSeconds + t.DurationSeconds, Y: p.Y.Max}, {X: t.AtSeconds, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		area.Color, area.LineStyle.Width = color.RGBA{255, 224, 178, 255}, 0
		p.Add(area)
	}
	var there, least, most plotter.XYs
	for _, o := range r.Rounds {
		there = append(there, plotter.XY{X: o.AtSeconds, Y: float64(o.Running)})
		least = append(least, plotter.XY{X: o.AtSeconds, Y: float64(o.MinAlive)})
		most = append(most, plotter.XY{X: o.AtSeconds, Y: float64(o.MaxAlive)})
	}
	if err := plotutil.AddLines(p, "there", there, "least that one holds for alive", least, "most", most); err != nil {
		return err
	}
	return p.Save(20*vg.Centimeter, 9*vg.Centimeter, path)
}
