package compare

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/figures"
)

// Side is what is compared: an experiment, and one of its balancers or, if that is empty, all.
type Side struct {
	Data     *experiment.Data
	Balancer string
}

// Line is one figure of a cell, compared.
type Line struct {
	Cell, Figure string
	A, B         []float64
	Interval
	Better bool // the second is, if there is a difference
}

// fewest is how many runs each side needs. Danger: of two runs nothing can be told apart from chance.
const fewest = 3

// confidence is that of all lines together: where nothing differs, 19 of 20 comparisons say so.
const confidence = 0.95

// Compare compares two sides cell by cell. Runs of one experiment are compared in pairs, each with the run of its repeat,
// since these took turns. skipped counts the cells that had too few whole runs.
func Compare(a, b Side, seed uint64) (lines []Line, skipped int) {
	paired := a.Data.Folder == b.Data.Folder
	var pairs []bool
	for _, ca := range figures.Cells(a.Data) {
		for _, cb := range figures.Cells(b.Data) {
			if ca.Size != cb.Size || ca.Load != cb.Load || ca.Trouble != cb.Trouble {
				continue
			}
			for _, x := range ca.Columns {
				for _, y := range cb.Columns {
					if !chosen(a, x, b, y) {
						continue
					}
					name := strings.Join([]string{ca.Size, ca.Load, ca.Trouble}, ", ")
					if a.Balancer == "" {
						name += ", " + x.Balancer
					}
					if paired {
						x.Runs, y.Runs = sameRepeats(x.Runs, y.Runs), sameRepeats(y.Runs, x.Runs)
					}
					if len(x.Runs) < fewest || len(y.Runs) < fewest {
						skipped++
						continue
					}
					for _, f := range figures.All {
						l := Line{Cell: name, Figure: f.Name, A: x.Values(f), B: y.Values(f), Better: f.Higher}
						if len(l.A) >= fewest && len(l.B) >= fewest {
							lines = append(lines, l)
							pairs = append(pairs, paired && len(l.A) == len(x.Runs) && len(l.B) == len(y.Runs))
						}
					}
				}
			}
		}
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range lines {
		l := &lines[i]
		// Danger: among many lines some differ by chance; each must be as sure as all together shall be (Bonferroni).
		l.Interval = Bootstrap(l.A, l.B, pairs[i], 1-(1-confidence)/float64(len(lines)), rng)
		l.Better = (l.Diff > 0) == l.Better
	}
	return lines, skipped
}

// chosen reports whether two columns are to be compared: those named, or those of one name.
func chosen(a Side, x figures.Column, b Side, y figures.Column) bool {
	if a.Balancer == "" && b.Balancer == "" {
		return x.Balancer == y.Balancer
	}
	return x.Balancer == a.Balancer && y.Balancer == b.Balancer
}

// sameRepeats returns the runs whose repeat is among others', too.
func sameRepeats(runs, others []*experiment.Record) []*experiment.Record {
	var both []*experiment.Record
	for _, r := range runs {
		for _, o := range others {
			if o.Repeat == r.Repeat {
				both = append(both, r)
			}
		}
	}
	return both
}

// Print writes the lines as a table, and a verdict.
func Print(w io.Writer, lines []Line, skipped int) {
	if skipped > 0 {
		fmt.Fprintf(w, "%d cells have fewer than %d whole runs a side and are left out.\n", skipped, fewest)
	}
	if len(lines) == 0 {
		fmt.Fprintln(w, "nothing to compare: no cell is in both")
		return
	}
	fmt.Fprintf(w, "| cell | figure | A | B | B - A, %g %% for all together | |\n| --- | --- | ---: | ---: | ---: | --- |\n", 100*confidence)
	differ, cell := 0, ""
	for _, l := range lines {
		name := l.Cell
		if name == cell {
			name = ""
		}
		cell = l.Cell
		word := ""
		if !l.Zero() {
			differ++
			word = "worse"
			if l.Better {
				word = "better"
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s (%s to %s) | %s |\n", name, l.Figure, figures.Spread(l.A), figures.Spread(l.B),
			figures.Short(l.Diff), figures.Short(l.Low), figures.Short(l.High), word)
	}
	if differ == 0 {
		fmt.Fprintln(w, "\nno difference seen")
		return
	}
	fmt.Fprintf(w, "\n%d of %d figures differ\n", differ, len(lines))
}
