package http1

import (
	"slices"
	"strings"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds header fields in their order.
type Header []Field

// Get returns the first value of a field, "" if it is absent.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Twice tells whether a field comes more than once.
func (h Header) IsRepeated(name string) bool {
	n := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n > 1
}

// has tells whether a comma-separated field holds a token.
func (h Header) containsToken(name, token string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// hopByHop are the fields that concern one connection alone, and those that framing writes anew, by the length of their
// names.
var hopByHopFields = func() (by [32][]string) {
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		by[len(name)] = append(by[len(name)], name)
	}
	return by
}()

// HopByHop tells whether a field is of one connection or its framing, whatever Connection says.
func IsHopByHop(name string) bool {
	if len(name) >= len(hopByHopFields) {
		return false
	}
	for _, other := range hopByHopFields[len(name)] {
		if strings.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// EndToEnd returns the fields that a proxy passes on; of those that Connection names, only the ones in spite. The result
// is the caller's.
func (h Header) EndToEnd(except ...string) Header {
	kept := make(Header, 0, len(h)+1)
	hasConnection := h.Get("Connection") != ""
	for _, f := range h {
		named := func(name string) bool { return strings.EqualFold(name, f.Name) }
		if !IsHopByHop(f.Name) && (!hasConnection || !h.containsToken("Connection", f.Name) || slices.ContainsFunc(except, named)) {
			kept = append(kept, f)
		}
	}
	return kept
}
