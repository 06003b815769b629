package pressure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Table writes the rows as Markdown: a column a program, each with the median and, where there are several runs, the
// least and the most.
func Table(w io.Writer, rows []Row, programs []Program) {
	fmt.Fprint(w, "| measurement | figure |")
	for _, p := range programs {
		fmt.Fprintf(w, " %s |", p.Name)
	}
	fmt.Fprintf(w, "\n| --- | --- |%s\n", strings.Repeat(" ---: |", len(programs)))
	before := ""
	for _, r := range rows {
		name := r.Measurement
		if name == before {
			name = ""
		}
		before = r.Measurement
		fmt.Fprintf(w, "| %s | %s |", name, r.Figure)
		for _, p := range programs {
			fmt.Fprintf(w, " %s |", spread(r.Values[p.Name]))
		}
		fmt.Fprintln(w)
	}
}

// spread returns the median of values, with the least and the most behind it where they differ.
func spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	v := slices.Sorted(slices.Values(values))
	median := (v[(len(v)-1)/2] + v[len(v)/2]) / 2
	if v[0] == v[len(v)-1] {
		return short(median)
	}
	return fmt.Sprintf("%s (%s to %s)", short(median), short(v[0]), short(v[len(v)-1]))
}

// short writes a figure with three digits that count, or all before the point.
func short(x float64) string {
	if x == math.Trunc(x) || math.Abs(x) >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'f', max(0, 2-int(math.Floor(math.Log10(math.Max(math.Abs(x), 0.1))))), 64)
}
