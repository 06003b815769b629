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

// stageStyles are the labels and colors of stages.
var stageStyles = []struct {
	stages []maintenance.Stage
	label  string
	color  color.RGBA
}{
	{[]maintenance.Stage{maintenance.Pending, maintenance.Done, maintenance.Skipped}, "serving", color.RGBA{200, 230, 201, 255}},
	{[]maintenance.Stage{maintenance.Draining}, "emptying", color.RGBA{255, 213, 79, 255}},
	{[]maintenance.Stage{maintenance.Drained}, "empty", color.RGBA{255, 167, 38, 255}},
	{[]maintenance.Stage{maintenance.InMaintenance}, "worked on", color.RGBA{121, 85, 72, 255}},
	{[]maintenance.Stage{maintenance.WarmingUp}, "cold", color.RGBA{144, 202, 249, 255}},
	{[]maintenance.Stage{maintenance.Lost}, "lost", color.RGBA{97, 97, 97, 255}},
}

// minFaultWidthSeconds is the least width at which a fault is drawn, so that one without a duration is visible.
const minFaultWidthSeconds = 0.3

// WriteMaintenancePlot writes an SVG with a row for each server, which shows its stages over time, and the faults behind them.
func (r *Report) WriteMaintenancePlot(path string) error {
	maintained := r.Maintenance
	var servers []string
	for _, change := range maintained.Stages {
		if !slices.Contains(servers, change.Server) {
			servers = append(servers, change.Server)
		}
	}
	slices.Sort(servers)
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "boxes of a plan", "s"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 0, -0.6, float64(len(servers))+1.6
	for _, change := range maintained.Stages {
		p.X.Max = max(p.X.Max, change.AtSeconds+2)
	}
	p.X.Max = max(p.X.Max, maintained.StartedSeconds+maintained.TotalSeconds)
	if err := r.addFaults(p, float64(len(servers))-0.4); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	inLegend := map[string]bool{}
	for row, name := range servers {
		if err := maintained.addStages(p, name, float64(row), inLegend); err != nil {
			return err
		}
	}
	ticks := make([]plot.Tick, len(servers))
	for i, name := range servers {
		ticks[i] = plot.Tick{Value: float64(i), Label: name}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	return p.Save(22*vg.Centimeter, vg.Length(5+0.55*float64(len(servers)))*vg.Centimeter, path)
}

// addFaults shades the times of faults from the bottom of a plot up to top.
func (r *Report) addFaults(p *plot.Plot, top float64) error {
	for _, fault := range r.Faults {
		if fault.Kind == environment.Reload || fault.AtSeconds > p.X.Max {
			continue
		}
		end := min(fault.AtSeconds+max(fault.DurationSeconds, minFaultWidthSeconds), p.X.Max)
		area, err := newRectangle(fault.AtSeconds, end, p.Y.Min, top, color.RGBA{255, 235, 238, 255})
		if err != nil {
			return err
		}
		p.Add(area)
	}
	return nil
}

// addStages draws the stages of a server in its row, and adds the labels to the legend that are not yet there.
func (r *MaintenanceReport) addStages(p *plot.Plot, server string, row float64, inLegend map[string]bool) error {
	var changes []StageChange
	for _, change := range r.Stages {
		if change.Server == server {
			changes = append(changes, change)
		}
	}
	for i, change := range changes {
		end := p.X.Max
		if i+1 < len(changes) {
			end = changes[i+1].AtSeconds
		}
		for _, style := range stageStyles {
			if !slices.Contains(style.stages, change.Stage) {
				continue
			}
			area, err := newRectangle(change.AtSeconds, end, row-0.35, row+0.35, style.color)
			if err != nil {
				return err
			}
			p.Add(area)
			if !inLegend[style.label] {
				inLegend[style.label] = true
				p.Legend.Add(style.label, area)
			}
		}
	}
	return nil
}

// newRectangle returns a filled rectangle without a border.
func newRectangle(left, right, bottom, top float64, fill color.Color) (*plotter.Polygon, error) {
	area, err := plotter.NewPolygon(plotter.XYs{{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: top}, {X: left, Y: top}})
	if err != nil {
		return nil, err
	}
	area.Color, area.LineStyle.Width = fill, 0
	return area, nil
}
