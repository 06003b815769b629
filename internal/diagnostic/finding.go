// Package diagnostic says what is wrong in a file that somebody has written, and where.
package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
)

// Finding is one thing that was found at a place of a file.
type Finding struct {
	Line, Column int    // from 1; 0: the place is not in the file, or its column is not told
	Place        string // the field, such as Routes[2].TimeoutMs
	Text         string
}

// String returns the finding in one line.
func (f Finding) String() string {
	text := f.Text
	if f.Place != "" {
		text = f.Place + ": " + text
	}
	switch {
	case f.Line == 0:
		return text
	case f.Column == 0:
		return fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, text)
}

// Sort orders findings by where they stand, those whose place is not in the file behind the others.
func Sort(all []Finding) {
	slices.SortStableFunc(all, func(a, b Finding) int {
		if (a.Line == 0) != (b.Line == 0) {
			return cmp.Compare(b.Line, a.Line)
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
