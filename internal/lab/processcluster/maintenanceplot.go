package processcluster

import (
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
)

// looks are what a box does while it is at a stage, and its colour.
var stageStyles = []struct {
	stages []maintenance.Stage
	says   string
	color  color.RGBA
}{
	{[]maintenance.Stage{maintenance.Pending, maintenance.Done, maintenance.Skipped}, "serving", color.RGBA{200, 230, 201, 255}},
	{[]maintenance.Stage{maintenance.Draining}, "emptying", color.RGBA{255, 213, 79, 255}},
	{[]maintenance.Stage{maintenance.Drained}, "empty", color.RGBA{255, 167, 38, 255}},
	{[]maintenance.Stage{maintenance.InMaintenance}, "worked on", color.RGBA{121, 85, 72, 255}},
	{[]maintenance.Stage{maintenance.WarmingUp}, "cold", color.RGBA{144, 202, 249, 255}},
	{[]maintenance.Stage{maintenance.Lost}, "lost", color.RGBA{97, 97, 97, 255}},
}

// WorkPicture writes an SVG: a row for each box, with what it did when, and the troubles behind them.
func (r *Report) WriteMaintenancePlot(path string) error {
	w := r.Maintenance
	var boxes []string
	for _, c := range w.Stages {
		if !slices.Contains(boxes, c.Server) {
			boxes = append(boxes, c.Server)
		}
	}
	slices.Sort(boxes)
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "boxes of a plan", "s"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 0, -0.6, float64(len(boxes))+1.6
	for _, c := range w.Stages {
		p.X.Max = max(p.X.Max, c.AtSeconds+2)
	}
	p.X.Max = max(p.X.Max, w.StartedSeconds+w.TotalSeconds)
	box := func(x0, x1, y0, y1 float64, c color.Color) (*plotter.Polygon, error) {
		area, err := plotter.NewPolygon(plotter.XYs{{X: x0, Y: y0}, {X: x1, Y: y0}, {X: x1, Y: y1}, {X: x0, Y: y1}})
		if err == nil {
			area.Color, area.LineStyle.Width = c, 0
		}
		return area, err
	}
	for _, t := range r.Faults {
		if t.Kind == environment.Reload || t.AtSeconds > p.X.Max {
			continue
		}
		area, err := box(t.AtSeconds, min(t.AtSeconds+max(t.DurationSeconds, 0.3), p.X.Max), p.Y.Min, float64(len(boxes))-0.4, color.RGBA{255, 235, 238, 255})
		if err != nil {
			return err
		}
		p.Add(area)
	}
	p.Legend.Top, p.Legend.Left = true, true
	shown := map[string]bool{}
	for row, name := range boxes {
		var changes []StageChange
		for _, c := range w.Stages {
			if c.Server == name {
				changes = append(changes, c)
			}
		}
		for i, c := range changes {
			until := p.X.Max
			if i+1 < len(changes) {
				until = changes[i+1].AtSeconds
			}
			for _, l := range stageStyles {
				if !slices.Contains(l.stages, c.Stage) {
					continue
				}
				area, err := box(c.AtSeconds, until, float64(row)-0.35, float64(row)+0.35, l.color)
				if err != nil {
					return err
				}
				if p.Add(area); !shown[l.says] {
					shown[l.says] = true
					p.Legend.Add(l.says, area)
				}
			}
		}
	}
	ticks := make([]plot.Tick, len(boxes))
	for i, name := range boxes {
		ticks[i] = plot.Tick{Value: float64(i), Label: name}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	return p.Save(22*vg.Centimeter, vg.Length(5+0.55*float64(len(boxes)))*vg.Centimeter, path)
}
