package subsetsim

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteChart writes a chart as an SVG file: for each strategy, the steady load of the busiest server over the size of the fleet.
func WriteChart(path string, all []Result) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "the busiest box, where one sidecar in 20 has ten times the mean", "sidecars and boxes", "times the mean, steady"
	var labels []string
	columns, lines, strategies := map[[2]int]int{}, map[string]plotter.XYs{}, []string{}
	for _, f := range all {
		if !f.Unequal {
			continue
		}
		size := [2]int{f.Sidecars, f.Servers}
		if _, known := columns[size]; !known {
			columns[size] = len(labels)
			labels = append(labels, f.sizeLabel())
		}
		if lines[f.Strategy] == nil {
			strategies = append(strategies, f.Strategy)
		}
		lines[f.Strategy] = append(lines[f.Strategy], plotter.XY{X: float64(columns[size]), Y: f.PeakLoad})
	}
	for i, strategy := range strategies {
		line, points, err := plotter.NewLinePoints(lines[strategy])
		if err != nil {
			return err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(strategy, line, points)
	}
	p.NominalX(labels...)
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0.9, true, true
	p.Y.Max *= 1.6 // room for the legend
	return p.Save(24*vg.Centimeter, 14*vg.Centimeter, path)
}
