package diagnostic

import (
	"sort"
	"unicode/utf8"
)

// Lines converts offsets in a text to lines and columns.
type Lines struct {
	text   []byte
	starts []int // of each line
}

// NewLines returns the lines of a text.
func NewLines(text []byte) Lines {
	l := Lines{text: text, starts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			l.starts = append(l.starts, i+1)
		}
	}
	return l
}

// At returns the line and the column of an offset, both from 1; a column is a character, whatever its bytes.
func (l *Lines) At(offset int) (line, column int) {
	offset = min(max(offset, 0), len(l.text))
	line = sort.SearchInts(l.starts, offset+1)
	return line, utf8.RuneCount(l.text[l.starts[line-1]:offset]) + 1
}
