// Package diagnostic describes problems of files that operators write, with their lines and columns.
package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
)

// Finding is a problem of a file, or a warning about it.
type Finding struct {
	Line, Column int    // from 1, or 0 if unknown
	Path         string // of the field, such as Routes[2].TimeoutMs; empty: the file as a whole
	Text         string
}

// String returns the finding in one line.
func (f Finding) String() string {
	text := f.Text
	if f.Path != "" {
		text = f.Path + ": " + text
	}
	switch {
	case f.Line == 0:
		return text
	case f.Column == 0:
		return fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, text)
}

// Sort sorts findings by line and column. Those without a line come last.
func Sort(all []Finding) {
	slices.SortStableFunc(all, func(a, b Finding) int {
		if (a.Line == 0) != (b.Line == 0) {
			return cmp.Compare(b.Line, a.Line)
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
