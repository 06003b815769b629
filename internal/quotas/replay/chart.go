package replay

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"

	svg "github.com/ajstarks/svgo"
)

// Sizes of the chart, in pixels. The chart is drawn without a plotting library, since one would add fonts and four megabytes to the
// memory of every sidecar for a command that is rarely used, and the chart needs only lines and text.
const (
	panelWidth, panelHeight = 1080, 380 // of each of the two panels
	leftMargin, rightMargin = 70, 330   // the right margin holds the legend
	topMargin, bottomMargin = 40, 45
	maxLinesShown           = 7
	legendLinePixel         = 18
)

var colors = []string{"#1b6ca8", "#d1495b", "#3c8d5a", "#e09f3e", "#6a4c93", "#00798c", "#8d6e63", "#444444"}

// line is a line of a panel: a value for each hour.
type line struct {
	name   string
	dashed bool
	value  func(hour int) float64
}

// WriteChart writes an SVG image of two panels. The upper one shows the quota and the use by all groups together and by each group of
// the first level. The lower one shows, for the groups that borrowed and lent most, their use as a fraction of their shares.
func (r *Result) WriteChart(out io.Writer) error {
	var b bytes.Buffer
	canvas := svg.New(&b)
	canvas.Start(panelWidth, 2*panelHeight)
	canvas.Rect(0, 0, panelWidth, 2*panelHeight, "fill:white")
	canvas.Gstyle("font-family:sans-serif;font-size:12px")
	limit := r.Tree.Limits[r.Limit]
	r.panel(canvas, 0, "What all groups had, and those of the first level: "+limit.Measure.String()+" a second, hour by hour", r.levelLines())
	r.panel(canvas, panelHeight, "Of the groups that borrowed or lent most: what they had, as a part of their share", r.shareLines())
	canvas.Gend()
	canvas.End()
	_, err := b.WriteTo(out)
	return err
}

// levelLines returns the lines of the upper panel.
func (r *Result) levelLines() []line {
	limit := r.Tree.Limits[r.Limit]
	all := []line{{"the quota of all", true, func(int) float64 { return limit.Quota / limit.WindowSeconds }}}
	for g := int32(0); int(g) < r.Tree.Len() && len(all) <= maxLinesShown; g++ {
		if r.Tree.Parent(g) <= 0 {
			all = append(all, line{r.Tree.Path(g), false, func(h int) float64 { return r.Hours[g][h].Used / hourSeconds }})
		}
	}
	return all
}

// shareLines returns the lines of the lower panel.
func (r *Result) shareLines() []line {
	var shown []int32
	for g := range int32(r.Tree.Len()) {
		if r.Tree.AcceptsRequests(g) && r.Total[g].Share > 0 {
			shown = append(shown, g)
		}
	}
	moved := func(g int32) float64 { return (r.Total[g].Borrowed + r.Total[g].Lent) / r.Total[g].Share }
	slices.SortStableFunc(shown, func(x, y int32) int { return cmp.Compare(moved(y), moved(x)) })
	all := []line{{"its share", true, func(int) float64 { return 1 }}}
	for _, g := range shown[:min(len(shown), maxLinesShown)] {
		all = append(all, line{r.Tree.Path(g), false, func(h int) float64 { return r.Hours[g][h].Used / max(r.Hours[g][h].Share, 1e-9) }})
	}
	return all
}

// panel draws a panel with its axes and legend, from a vertical position downwards.
func (r *Result) panel(canvas *svg.SVG, top int, title string, lines []line) {
	hours, highest := len(r.Hours[0]), 1e-9
	for _, l := range lines {
		for h := range hours {
			highest = max(highest, l.value(h))
		}
	}
	step := niceStep(highest / 5)
	highest = math.Ceil(highest/step) * step
	x := func(hour int) int { return leftMargin + hour*(panelWidth-leftMargin-rightMargin)/max(hours, 1) }
	y := func(v float64) int {
		return top + panelHeight - bottomMargin - int(v/highest*float64(panelHeight-topMargin-bottomMargin))
	}
	canvas.Text(leftMargin, top+22, title, "font-size:14px")
	for v := 0.0; v <= highest*1.001; v += step {
		canvas.Line(leftMargin, y(v), panelWidth-rightMargin, y(v), "stroke:#dddddd")
		canvas.Text(leftMargin-8, y(v)+4, fmt.Sprintf("%.6g", math.Round(v/step)*step), "text-anchor:end")
	}
	every := max(int(niceStep(float64(hours)/8)), 1)
	if hours > 48 {
		every = 24
	}
	for h := 0; h <= hours; h += every {
		canvas.Line(x(h), y(0), x(h), y(0)+5, "stroke:#444444")
		canvas.Text(x(h), y(0)+18, fmt.Sprint(h), "text-anchor:middle")
	}
	canvas.Text(leftMargin, top+panelHeight-8, "hours since the start")
	for i, l := range lines {
		style := "fill:none;stroke-width:1.5;stroke:" + colors[(i+len(colors)-1)%len(colors)]
		if l.dashed {
			style += ";stroke-dasharray:6,4"
		}
		var xs, ys []int
		for h := range hours {
			xs, ys = append(xs, x(h), x(h+1)), append(ys, y(l.value(h)), y(l.value(h)))
		}
		canvas.Polyline(xs, ys, style)
		at := top + topMargin + i*legendLinePixel
		canvas.Line(panelWidth-rightMargin+12, at, panelWidth-rightMargin+34, at, style)
		canvas.Text(panelWidth-rightMargin+40, at+4, l.name, "font-size:10px")
	}
}

// niceStep returns the smallest number of the form 1, 2 or 5 times a power of ten that is at least v.
func niceStep(v float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(max(v, 1e-9))))
	for _, m := range []float64{1, 2, 5} {
		if m*power >= v {
			return m * power
		}
	}
	return 10 * power
}
