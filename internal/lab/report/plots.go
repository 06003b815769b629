package report

import (
	"bytes"
	"errors"
	"html/template"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/figures"
	"hazelwheel/internal/lab/load"
)

const (
	width  = 16 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// errNothing says that a cell has nothing for a plot to show.
var errNothing = errors.New("nothing to show")

// picture is a plot as an element of a page.
type picture struct {
	name string
	svg  template.HTML
}

// draw returns a cell's plots.
func draw(c *figures.Cell) ([]picture, error) {
	var all []picture
	for _, d := range []struct {
		name string
		draw func(*figures.Cell) (*plot.Plot, error)
	}{{"service", overTime}, {"times", percentiles}, {"classes", byClass}, {"boxes", byBox}, {"recovery", recovery}, {"cost", cost}} {
		p, err := d.draw(c)
		if errors.Is(err, errNothing) {
			continue
		}
		if err != nil {
			return nil, err
		}
		svg, err := render(p)
		if err != nil {
			return nil, err
		}
		all = append(all, picture{d.name, svg})
	}
	return all, nil
}

// render returns a plot as an element of a page.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(vgdraw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	raw := b.Bytes()
	raw = raw[max(bytes.Index(raw, []byte("<svg")), 0):] // a page has a head of its own
	return template.HTML(raw), nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// overTime shows which share of what was due in each step was served, on average over the repeats, with the troubles.
func overTime(c *figures.Cell) (*plot.Plot, error) {
	p := newPlot("service over time", "s", "served, % of what was due")
	p.Legend.Top = false
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 105
	if err := shade(p, c); err != nil {
		return nil, err
	}
	lines := 0
	for i := range c.Columns {
		var points plotter.XYs
		for step, n := range steps(c.Columns[i].Runs) {
			if n.Offered > 0 {
				points = append(points, plotter.XY{X: (float64(step) + 0.5) * c.Columns[i].Runs[0].Result.StepS, Y: 100 * n.Share(load.Served)})
			}
		}
		if len(points) < 2 {
			continue
		}
		if err := addLine(p, i, c.Columns[i].Balancer, points); err != nil {
			return nil, err
		}
		lines++
	}
	if lines == 0 {
		return nil, errNothing
	}
	return p, nil
}

// steps adds up the runs' series, without what lies behind their time.
func steps(runs []*experiment.Record) []load.Counts {
	var sum []load.Counts
	for _, r := range runs {
		if r.Result.StepS == 0 {
			continue
		}
		for i := range r.Result.Steps[:min(len(r.Result.Steps), int(r.Result.ForS/r.Result.StepS+0.5))] {
			if i == len(sum) {
				sum = append(sum, load.Counts{})
			}
			sum[i].Add(&r.Result.Steps[i].Counts)
		}
	}
	return sum
}

// shade marks the times of the troubles, as they were in the first run.
func shade(p *plot.Plot, c *figures.Cell) error {
	for _, b := range c.Columns {
		if len(b.Runs) == 0 {
			continue
		}
		for _, e := range b.Runs[0].Events {
			area, err := plotter.NewPolygon(plotter.XYs{{X: e.AtS, Y: 0}, {X: e.EndS, Y: 0}, {X: e.EndS, Y: 105}, {X: e.AtS, Y: 105}})
			if err != nil {
				return err
			}
			area.Color = color.RGBA{255, 224, 178, 255}
			area.LineStyle.Width = 0
			p.Add(area)
			label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: e.AtS, Y: 101}}, Labels: []string{e.Kind}})
			if err != nil {
				return err
			}
			p.Add(label)
		}
		return nil
	}
	return nil
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// percentiles shows the time to an answer of what was served, the median over the repeats, on a log scale.
func percentiles(c *figures.Cell) (*plot.Plot, error) {
	p := newPlot("time to an answer", "percentile", "ms")
	p.NominalX("50", "90", "99", "99.9", "max")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	least, most := math.Inf(1), 0.0
	for i := range c.Columns {
		var points plotter.XYs
		for x, f := range []func(*load.Result) float64{
			func(r *load.Result) float64 { return r.P50 }, func(r *load.Result) float64 { return r.P90 },
			func(r *load.Result) float64 { return r.P99 }, func(r *load.Result) float64 { return r.P999 },
			func(r *load.Result) float64 { return r.Max }} {
			var values []float64
			for _, r := range c.Columns[i].Runs {
				if r.Result.Served > 0 {
					values = append(values, f(r.Result))
				}
			}
			if y := figures.Median(values); y > 0 { // a log scale has no nought
				points = append(points, plotter.XY{X: float64(x), Y: y})
				least, most = min(least, y), max(most, y)
			}
		}
		if len(points) < 2 {
			continue
		}
		if err := addLine(p, i, c.Columns[i].Balancer, points); err != nil {
			return nil, err
		}
	}
	if most == 0 {
		return nil, errNothing
	}
	p.Y.Min, p.Y.Max = math.Pow(10, math.Floor(math.Log10(least))), math.Pow(10, math.Ceil(math.Log10(most*1.01)))
	return p, nil
}

// byClass shows which share of each class's requests was refused, and above it which failed.
func byClass(c *figures.Cell) (*plot.Plot, error) {
	var classes []string
	for _, b := range c.Columns {
		for _, r := range b.Runs {
			for name := range r.Result.Classes {
				if !slices.Contains(classes, name) {
					classes = append(classes, name)
				}
			}
		}
	}
	if len(classes) == 0 { // Danger: an axis without names panics
		return nil, errNothing
	}
	slices.Sort(classes)
	p := newPlot("refused, and above it failed", "", "% of the class's requests")
	p.NominalX(classes...)
	some := false
	bar := barWidth(len(c.Columns) * max(len(classes), 1))
	for i := range c.Columns {
		refused, failed := make(plotter.Values, len(classes)), make(plotter.Values, len(classes))
		for j, class := range classes {
			var n load.Counts
			for _, r := range c.Columns[i].Runs {
				of := r.Result.Classes[class]
				n.Add(&of)
			}
			refused[j], failed[j] = 100*n.Share(load.Refused), 100*figures.Failed(&n)
			some = some || refused[j] > 0 || failed[j] > 0
		}
		low, err := plotter.NewBarChart(refused, bar)
		if err != nil {
			return nil, err
		}
		high, err := plotter.NewBarChart(failed, bar)
		if err != nil {
			return nil, err
		}
		offset := bar * vg.Length(float64(i)-float64(len(c.Columns)-1)/2)
		low.Color, low.Offset, low.LineStyle.Width = plotutil.Color(i), offset, 0
		high.Color, high.Offset = color.White, offset
		high.LineStyle.Color, high.LineStyle.Width = plotutil.Color(i), vg.Points(1)
		high.StackOn(low)
		p.Add(low, high)
		p.Legend.Add(c.Columns[i].Balancer, low)
	}
	if !some {
		return nil, errNothing
	}
	p.Y.Max *= 1.3 // room for the legend
	return p, nil
}

// barWidth is that of so many bars side by side.
func barWidth(bars int) vg.Length { return min(vg.Points(24), width*0.6/vg.Length(max(bars, 1))) }

// byBox shows what each box was asked, the busiest first, in times of the mean.
func byBox(c *figures.Cell) (*plot.Plot, error) {
	p := newPlot("load by box, the busiest first", "box", "times the mean")
	p.Y.Min = 0
	lines := 0
	for i := range c.Columns {
		var sums []float64
		total := 0.0
		for _, r := range c.Columns[i].Runs {
			var own []float64
			for _, b := range r.Boxes {
				own = append(own, float64(b.Requests))
				total += float64(b.Requests)
			}
			slices.SortFunc(own, func(a, b float64) int { return int(b - a) })
			for j, x := range own {
				if j == len(sums) {
					sums = append(sums, 0)
				}
				sums[j] += x
			}
		}
		if total == 0 || len(sums) < 2 {
			continue
		}
		var points plotter.XYs
		for j, x := range sums {
			points = append(points, plotter.XY{X: float64(j + 1), Y: x * float64(len(sums)) / total})
		}
		if err := addLine(p, i, c.Columns[i].Balancer, points); err != nil {
			return nil, err
		}
		lines++
	}
	if lines == 0 {
		return nil, errNothing
	}
	p.Legend.Left = false
	return p, nil
}

func recovery(c *figures.Cell) (*plot.Plot, error) {
	return bars(c, "until service is back", "s", figures.Recovery)
}

func cost(c *figures.Cell) (*plot.Plot, error) {
	return bars(c, "cost", "CPU µs a request", figures.CPU)
}

// bars shows a figure's median over the repeats, a bar a balancer.
func bars(c *figures.Cell, title, y string, of func(*experiment.Record) (float64, bool)) (*plot.Plot, error) {
	p := newPlot(title, "", y)
	p.Y.Min = 0
	var names []string
	some := false
	for i := range c.Columns {
		values := c.Columns[i].Values(figures.Figure{Of: of})
		some = some || len(values) > 0
		bar, err := plotter.NewBarChart(plotter.Values{figures.Median(values)}, barWidth(len(c.Columns)))
		if err != nil {
			return nil, err
		}
		bar.Color, bar.XMin, bar.LineStyle.Width = plotutil.Color(i), float64(i), 0
		p.Add(bar)
		names = append(names, c.Columns[i].Balancer)
	}
	if !some {
		return nil, errNothing
	}
	p.NominalX(names...)
	return p, nil
}
