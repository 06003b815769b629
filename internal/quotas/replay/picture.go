package replay

import (
	"fmt"
	"io"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// mostLinesShown bounds the groups in the picture.
const mostLinesShown = 6

// Picture writes a picture of the hours as SVG: above, what all groups of the first level had beside the quota; below, of the
// groups that borrowed most, what they had as a part of their shares.
func (r *Result) Picture(out io.Writer) error {
	top, err := r.levels()
	if err != nil {
		return err
	}
	below, err := r.parts()
	if err != nil {
		return err
	}
	canvas := vgsvg.New(26*vg.Centimeter, 20*vg.Centimeter)
	area := vgdraw.New(canvas)
	tiles := vgdraw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	grid := plot.Align([][]*plot.Plot{{top}, {below}}, tiles, area)
	top.Draw(grid[0][0])
	below.Draw(grid[1][0])
	_, err = canvas.WriteTo(out)
	return err
}

// newPlot returns an empty plot over the hours.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "hours since the start", y
	p.Legend.Top, p.Y.Min = true, 0
	p.Add(plotter.NewGrid())
	return p
}

// add draws a value of each hour.
func (r *Result) add(p *plot.Plot, name string, color int, dashed bool, value func(hour int) float64) error {
	var xy plotter.XYs
	for hour := range r.Hours[0] {
		v := value(hour)
		xy = append(xy, plotter.XY{X: float64(hour), Y: v}, plotter.XY{X: float64(hour + 1), Y: v})
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	line.Color, line.Width = plotutil.Color(color), vg.Points(1)
	if dashed {
		line.Dashes = plotutil.Dashes(1)
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// perSecond is the limit in a second.
func (r *Result) perSecond() float64 {
	l := r.Tree.Limits[r.Limit]
	return l.Quota / l.WindowS
}

func (r *Result) levels() (*plot.Plot, error) {
	l := r.Tree.Limits[r.Limit]
	p := newPlot("What the groups of the first level had", l.Measure.String()+" a second")
	if err := r.add(p, "quota of all", 0, true, func(int) float64 { return r.perSecond() }); err != nil {
		return nil, err
	}
	color := 1
	for g := int32(0); int(g) < r.Tree.Len() && color < 10; g++ {
		if g > 0 && r.Tree.Parent(g) != 0 {
			continue
		}
		name := r.Tree.Path(g)
		if err := r.add(p, name, color, false, func(h int) float64 { return r.Hours[g][h].Used / hourS }); err != nil {
			return nil, err
		}
		color++
	}
	return p, nil
}

func (r *Result) parts() (*plot.Plot, error) {
	p := newPlot("Of who borrowed or lent most: what they had, as a part of their shares", "part")
	var shown []int32
	for g := range int32(r.Tree.Len()) {
		if r.Tree.Takes(g) && r.Total[g].Share > 0 {
			shown = append(shown, g)
		}
	}
	moved := func(g int32) float64 { return (r.Total[g].Borrowed + r.Total[g].Lent) / r.Total[g].Share }
	slices.SortStableFunc(shown, func(x, y int32) int {
		switch {
		case moved(x) > moved(y):
			return -1
		case moved(x) < moved(y):
			return 1
		}
		return 0
	})
	for i, g := range shown[:min(len(shown), mostLinesShown)] {
		if err := r.add(p, r.Tree.Path(g), i, false, func(h int) float64 { return r.Hours[g][h].Used / max(r.Hours[g][h].Share, 1e-9) }); err != nil {
			return nil, err
		}
	}
	return p, r.add(p, "its share", mostLinesShown, true, func(int) float64 { return 1 })
}

// Text writes the figures of each group and of all.
func (r *Result) Text(out io.Writer) error {
	l := r.Tree.Limits[r.Limit]
	fmt.Fprintf(out, "%-54s %10s %10s %10s %7s %10s %10s %10s %10s\n", "GROUP", "ASKED", "SERVED", "REFUSED", "SHARE%", "BORROWED", "REPAID", "LENT", "RETURNED")
	for g := int32(1); int(g) < r.Tree.Len(); g++ {
		t := &r.Total[g]
		if !r.Tree.Takes(g) {
			fmt.Fprintf(out, "%-54s %10s %10s %10s %7s %10.0f %10.0f %10.0f %10.0f\n", r.Tree.Path(g), "", "", "", part(t), t.Borrowed, t.Repaid, t.Lent, t.Returned)
			continue
		}
		fmt.Fprintf(out, "%-54s %10d %10d %10d %7s %10.0f %10.0f %10.0f %10.0f\n", r.Tree.Path(g), t.Asked, t.Served, t.Refused, part(t), t.Borrowed, t.Repaid,
			t.Lent, t.Returned)
	}
	worst, hours := r.Worst()
	strict, clear := r.WorstOf()
	fmt.Fprintf(out, "%s: in %d hours in which a group wanted its share, it had %.2f %% of it at least, less what it paid back; in the %d of them without debts %.2f %%\n",
		l.Name(), hours, 100*worst, clear, 100*strict)
	_, err := fmt.Fprintf(out, "in minutes in which somebody was refused for want of it, %.3f %% of the quota was lost and %.3f %% not served; loans and what became of them differ by %.3f at most, the books by %.6f\n",
		100*r.Unused/max(r.Offered, 1e-9), 100*r.Unserved/max(r.Offered, 1e-9), r.Imbalance(), r.Off)
	return err
}

// part is what a group used of its share, in percent.
func part(h *Hour) string {
	if h.Share <= 0 {
		return "-"
	}
	return strconv.FormatFloat(100*h.Used/h.Share, 'f', 1, 64)
}
