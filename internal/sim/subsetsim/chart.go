package subsetsim

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteChart writes an SVG: by way, the busiest box over the mean for each size, steady.
func WriteChart(path string, all []Result) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "the busiest box, where one sidecar in 20 has ten times the mean", "sidecars and boxes", "times the mean, steady"
	var labels []string
	places, lines, ways := map[[2]int]int{}, map[string]plotter.XYs{}, []string{}
	for _, f := range all {
		if !f.Unequal {
			continue
		}
		size := [2]int{f.Sidecars, f.Servers}
		if _, known := places[size]; !known {
			places[size] = len(labels)
			labels = append(labels, f.size())
		}
		if lines[f.Strategy] == nil {
			ways = append(ways, f.Strategy)
		}
		lines[f.Strategy] = append(lines[f.Strategy], plotter.XY{X: float64(places[size]), Y: f.PeakLoad})
	}
	for i, way := range ways {
		line, points, err := plotter.NewLinePoints(lines[way])
		if err != nil {
			return err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(way, line, points)
	}
	p.NominalX(labels...)
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0.9, true, true
	p.Y.Max *= 1.6 // room for the legend
	return p.Save(24*vg.Centimeter, 14*vg.Centimeter, path)
}
