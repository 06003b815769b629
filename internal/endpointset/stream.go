package endpointset

import (
	"errors"
	"fmt"
)

// ErrNotObject is returned for a stream that contains anything but JSON objects and white space.
var ErrNotObject = errors.New("not a JSON object")

// maxQuotedBytes bounds what an error quotes of the stream.
const maxQuotedBytes = 32

// StreamScanner splits a watch stream into its JSON objects, which may span any number of lines, and the empty lines between them,
// which are heartbeats. It remembers how far it has scanned, so that a long object that arrives in many pieces is scanned only once.
// The zero value is ready to use.
type StreamScanner struct {
	scanned  int // bytes of the buffer that have been scanned
	depth    int // of open braces and brackets
	inString bool
	escaped  bool
	afterEnd bool // an object has ended on the current line
}

// Token is what StreamScanner.Next has found.
type Token uint8

// The tokens of a stream.
const (
	NeedMore  Token = iota // more bytes are needed first
	Heartbeat              // an empty line
	Object                 // a complete JSON object
)

// Next returns the next token of buf, and in rest the bytes after it. For an Object, text is the object. After NeedMore, the next call
// must be given rest with more bytes appended. After an error, which wraps ErrNotObject, the stream can't be scanned any further.
func (s *StreamScanner) Next(buf []byte) (token Token, text, rest []byte, err error) {
	for ; s.scanned < len(buf); s.scanned++ {
		b := buf[s.scanned]
		switch {
		case s.depth > 0:
			if s.scanObjectByte(b) {
				end := s.scanned + 1
				s.scanned, s.afterEnd = 0, true
				return Object, buf[:end], buf[end:], nil
			}
		case b == '{':
			buf = buf[s.scanned:]
			s.scanned, s.depth = 0, 1
		case b == '\n' && !s.afterEnd:
			rest, s.scanned = buf[s.scanned+1:], 0
			return Heartbeat, nil, rest, nil
		case b == '\n':
			s.afterEnd = false
		case b != ' ' && b != '\t' && b != '\r':
			return NeedMore, nil, buf, fmt.Errorf("%w: %.*q", ErrNotObject, maxQuotedBytes, buf[s.scanned:])
		}
	}
	if s.depth == 0 { // only white space, which is dropped
		s.scanned = 0
		return NeedMore, nil, buf[len(buf):], nil
	}
	return NeedMore, nil, buf, nil
}

// scanObjectByte scans a byte of an object and returns whether it is the object's last.
func (s *StreamScanner) scanObjectByte(b byte) bool {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = b == '\\'
		s.inString = b != '"'
	case b == '"':
		s.inString = true
	case b == '{' || b == '[':
		s.depth++
	case b == '}' || b == ']':
		s.depth--
	}
	return s.depth == 0
}
