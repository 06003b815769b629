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

// The picture's measures, in pixels. Danger: a library of plots brings fonts and four megabytes into every sidecar's memory
// for a command that few run; this needs lines and text alone.
const (
	wide, high      = 1080, 380 // of a panel
	left, right     = 70, 330   // the legend is on the right
	above, below    = 40, 45
	mostLinesShown  = 7
	legendLinePixel = 18
)

var colors = []string{"#1b6ca8", "#d1495b", "#3c8d5a", "#e09f3e", "#6a4c93", "#00798c", "#8d6e63", "#444444"}

// line is a value of each hour.
type line struct {
	name   string
	dashed bool
	value  func(hour int) float64
}

// Picture writes a picture of the hours as SVG: above, what all and the groups of the first level had beside the quota; below,
// of those that moved most by loans, what they had as a part of their shares.
func (r *Result) Picture(out io.Writer) error {
	var b bytes.Buffer
	canvas := svg.New(&b)
	canvas.Start(wide, 2*high)
	canvas.Rect(0, 0, wide, 2*high, "fill:white")
	canvas.Gstyle("font-family:sans-serif;font-size:12px")
	limit := r.Tree.Limits[r.Limit]
	r.panel(canvas, 0, "What all groups had, and those of the first level: "+limit.Measure.String()+" a second, hour by hour", r.levels())
	r.panel(canvas, high, "Of the groups that borrowed or lent most: what they had, as a part of their share", r.parts())
	canvas.Gend()
	canvas.End()
	_, err := b.WriteTo(out)
	return err
}

func (r *Result) levels() []line {
	limit := r.Tree.Limits[r.Limit]
	all := []line{{"the quota of all", true, func(int) float64 { return limit.Quota / limit.WindowSeconds }}}
	for g := int32(0); int(g) < r.Tree.Len() && len(all) <= mostLinesShown; g++ {
		if r.Tree.Parent(g) <= 0 {
			all = append(all, line{r.Tree.Path(g), false, func(h int) float64 { return r.Hours[g][h].Used / hourS }})
		}
	}
	return all
}

func (r *Result) parts() []line {
	var shown []int32
	for g := range int32(r.Tree.Len()) {
		if r.Tree.AcceptsRequests(g) && r.Total[g].Share > 0 {
			shown = append(shown, g)
		}
	}
	moved := func(g int32) float64 { return (r.Total[g].Borrowed + r.Total[g].Lent) / r.Total[g].Share }
	slices.SortStableFunc(shown, func(x, y int32) int { return cmp.Compare(moved(y), moved(x)) })
	all := []line{{"its share", true, func(int) float64 { return 1 }}}
	for _, g := range shown[:min(len(shown), mostLinesShown)] {
		all = append(all, line{r.Tree.Path(g), false, func(h int) float64 { return r.Hours[g][h].Used / max(r.Hours[g][h].Share, 1e-9) }})
	}
	return all
}

// panel draws lines over the hours, from a height on.
func (r *Result) panel(canvas *svg.SVG, top int, title string, lines []line) {
	hours, most := len(r.Hours[0]), 1e-9
	for _, l := range lines {
		for h := range hours {
			most = max(most, l.value(h))
		}
	}
	step := niceStep(most / 5)
	most = math.Ceil(most/step) * step
	x := func(hour int) int { return left + hour*(wide-left-right)/max(hours, 1) }
	y := func(v float64) int { return top + high - below - int(v/most*float64(high-above-below)) }
	canvas.Text(left, top+22, title, "font-size:14px")
	for v := 0.0; v <= most*1.001; v += step {
		canvas.Line(left, y(v), wide-right, y(v), "stroke:#dddddd")
		canvas.Text(left-8, y(v)+4, fmt.Sprintf("%.6g", math.Round(v/step)*step), "text-anchor:end")
	}
	every := max(int(niceStep(float64(hours)/8)), 1)
	if hours > 48 {
		every = 24
	}
	for h := 0; h <= hours; h += every {
		canvas.Line(x(h), y(0), x(h), y(0)+5, "stroke:#444444")
		canvas.Text(x(h), y(0)+18, fmt.Sprint(h), "text-anchor:middle")
	}
	canvas.Text(left, top+high-8, "hours since the start")
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
		at := top + above + i*legendLinePixel
		canvas.Line(wide-right+12, at, wide-right+34, at, style)
		canvas.Text(wide-right+40, at+4, l.name, "font-size:10px")
	}
}

// niceStep returns the least of 1, 2 and 5 times a power of ten that is no less than a value.
func niceStep(v float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(max(v, 1e-9))))
	for _, m := range []float64{1, 2, 5} {
		if m*power >= v {
			return m * power
		}
	}
	return 10 * power
}
