// Package report turns the folders of experiments into pages: one HTML file that needs nothing beside it, and Markdown.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
	"unicode"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/figures"
)

// row is a figure of a cell with the balancers' values.
type row struct {
	Figure string
	Values []string
}

// section is a cell of an experiment.
type section struct {
	Title     string
	Balancers []string
	Rows      []row
	Partial   string // which runs are left out; empty: none
	Plots     []template.HTML
	Profiles  []profiled
}

// chapter is an experiment.
type chapter struct {
	*experiment.Data
	Took     time.Duration
	Pinned   string
	Overview []section // a figure each, over all cells; none where there is one cell alone
	Plots    []template.HTML
	Sections []section
}

func newChapter(d *experiment.Data, plots bool) (chapter, error) {
	c := chapter{Data: d, Took: d.Ended.Sub(d.Began).Round(time.Second), Pinned: pinned(d.Spec.Cores)}
	if n := d.Spec.Nice; n != 0 {
		c.Pinned += fmt.Sprintf(", all at a priority of %d", n)
	}
	if d.Ended.IsZero() {
		c.Took = 0
	}
	cells := figures.Cells(d)
	c.Overview = overview(cells)
	if plots {
		drawn, err := drawAll(d, cells)
		if err != nil {
			return c, err
		}
		for _, p := range drawn {
			c.Plots = append(c.Plots, p.svg)
		}
	}
	for _, cell := range cells {
		s := section{Title: title(&cell)}
		var left []string
		for _, b := range cell.Columns {
			s.Balancers = append(s.Balancers, b.Balancer)
			if b.Partial > 0 {
				left = append(left, fmt.Sprintf("%d of %s", b.Partial, b.Balancer))
			}
		}
		s.Partial = strings.Join(left, ", ")
		for _, f := range figures.All {
			r, told := row{Figure: f.Name}, false
			for i := range cell.Columns {
				values := cell.Columns[i].Values(f)
				told = told || len(values) > 0
				r.Values = append(r.Values, figures.Spread(values))
			}
			if told {
				s.Rows = append(s.Rows, r)
			}
		}
		var err error
		if s.Profiles, err = profiles(&cell); err != nil {
			return c, err
		}
		if plots {
			drawn, err := draw(&cell)
			if err != nil {
				return c, fmt.Errorf("%s: %w", s.Title, err)
			}
			for _, p := range drawn {
				s.Plots = append(s.Plots, p.svg)
			}
		}
		c.Sections = append(c.Sections, s)
	}
	return c, nil
}

func title(c *figures.Cell) string {
	if c.Trouble == "none" {
		return fmt.Sprintf("%s, %s", c.Size, c.Load)
	}
	return fmt.Sprintf("%s, %s, %s", c.Size, c.Load, c.Trouble)
}

// inOverview are the figures that are shown over all cells.
var inOverview = []string{"worth %", "served/s", "until service is back s", "CPU µs a request"}

// overview returns a table for each of some figures, with a row for each cell.
func overview(cells []figures.Cell) (all []section) {
	for _, f := range figures.All {
		if !slices.Contains(inOverview, f.Name) || len(cells) < 2 {
			continue
		}
		s := section{Title: f.Name}
		for _, b := range cells[0].Columns {
			s.Balancers = append(s.Balancers, b.Balancer)
		}
		told := false
		for i := range cells {
			r := row{Figure: title(&cells[i])}
			for j := range cells[i].Columns {
				values := cells[i].Columns[j].Values(f)
				told = told || len(values) > 0
				r.Values = append(r.Values, figures.Spread(values))
			}
			s.Rows = append(s.Rows, r)
		}
		if told {
			all = append(all, s)
		}
	}
	return all
}

func pinned(c experiment.Cores) string {
	var parts []string
	for _, x := range []struct {
		name  string
		cores []int
	}{{"balancers", c.Balancer}, {"boxes", c.Boxes}, {"load", c.Load}} {
		if len(x.cores) > 0 {
			parts = append(parts, fmt.Sprintf("%s on cores %s", x.name, strings.Trim(fmt.Sprint(x.cores), "[]")))
		}
	}
	if len(parts) == 0 {
		return "nothing was pinned to cores"
	}
	return strings.Join(parts, ", ")
}

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Parse(page))

// HTML writes one page of experiments that needs no other file.
func HTML(w io.Writer, all []*experiment.Data) error {
	var chapters []chapter
	for _, d := range all {
		c, err := newChapter(d, true)
		if err != nil {
			return fmt.Errorf("%s: %w", d.Folder, err)
		}
		chapters = append(chapters, c)
	}
	return pageTemplate.Execute(w, chapters)
}

// table writes a section's rows under its title.
func (s *section) table(b *bytes.Buffer) {
	fmt.Fprintf(b, "\n## %s\n\n| | %s |\n| --- |%s\n", s.Title, strings.Join(s.Balancers, " | "), strings.Repeat(" ---: |", len(s.Balancers)))
	for _, r := range s.Rows {
		fmt.Fprintf(b, "| %s | %s |\n", r.Figure, strings.Join(r.Values, " | "))
	}
}

// Markdown writes experiments as tables.
func Markdown(w io.Writer, all []*experiment.Data) error {
	var b bytes.Buffer
	for _, d := range all {
		c, err := newChapter(d, false)
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "# %s\n\n", c.Name)
		if c.About.About != "" {
			fmt.Fprintf(&b, "%s\n\n", c.About.About)
		}
		if c.Partial {
			fmt.Fprintf(&b, "**Partial:** %d of %d runs; %s.\n\n", c.Done, c.Planned, c.Why)
		}
		fmt.Fprintf(&b, "%s, %d cores, %d MB, %s, %s; load average at the start %s; %s. Seed %d, %d repeats, balancers in turns.\n",
			c.Machine.CPU, c.Machine.Cores, c.Machine.MemoryMB, c.Machine.Kernel, c.Machine.Go, c.Machine.LoadAvg, c.Pinned, c.Spec.Seed, c.Spec.Repeats)
		b.WriteString("Medians, with the least and the most of the runs.\n")
		for _, s := range c.Overview {
			s.table(&b)
		}
		for _, s := range c.Sections {
			s.table(&b)
			for _, p := range s.Profiles {
				fmt.Fprintf(&b, "\nWhere the CPU time of %s went, %%:\n\n| by itself | | with what it calls | |\n| --- | ---: | --- | ---: |\n", p.Balancer)
				for i := range max(len(p.Own), len(p.Whole)) {
					b.WriteString("|")
					for _, side := range [][]hot{p.Own, p.Whole} {
						if i >= len(side) {
							b.WriteString(" | |")
							continue
						}
						share := side[i].Own
						if &side[0] == &p.Whole[0] {
							share = side[i].Whole
						}
						fmt.Fprintf(&b, " `%s` | %.1f |", side[i].Name, share)
					}
					b.WriteString("\n")
				}
			}
			if s.Partial != "" {
				fmt.Fprintf(&b, "\nRuns that were not whole are left out: %s.\n", s.Partial)
			}
		}
		b.WriteString("\n")
	}
	_, err := w.Write(b.Bytes())
	return err
}

// Pictures writes the plots of an experiment as SVG files into a folder, each named after what it shows, and of which cell.
func Pictures(folder string, d *experiment.Data) error {
	cells := figures.Cells(d)
	drawn, err := drawAll(d, cells)
	for i := range cells {
		if err != nil {
			return err
		}
		var more []picture
		more, err = draw(&cells[i])
		for _, p := range more {
			drawn = append(drawn, picture{strings.Join([]string{cells[i].Size, cells[i].Load, cells[i].Trouble, p.name}, " "), p.svg})
		}
	}
	for _, p := range drawn {
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, fileName(d.Name+" "+p.name)+".svg"), []byte(p.svg), 0o644)
		}
	}
	return err
}

// fileName returns a text with letters and digits alone, and hyphens between them.
func fileName(text string) string {
	words := strings.FieldsFunc(strings.ToLower(text), func(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) })
	return strings.Join(words, "-")
}
