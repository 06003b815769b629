package overload

import (
	"fmt"
	"io"
	"strings"

	"hazelwheel/internal/lab/figures"
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
			fmt.Fprintf(w, " %s |", figures.Spread(r.Values[p.Name]))
		}
		fmt.Fprintln(w)
	}
}
