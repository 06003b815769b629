package http1

import (
	"slices"
	"strings"
)

// Field is a header field (RFC 9110, 5.1).
type Field struct{ Name, Value string }

// Header is a header section: the fields in their order.
type Header []Field

// Get returns the first value of a field, or "" if there is none. Field names are case-insensitive.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// IsRepeated reports whether a field occurs more than once.
func (h Header) IsRepeated(name string) bool {
	n := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n > 1
}

// containsToken reports whether a list-based field (RFC 9110, 5.6.1) contains a token. The comparison ignores case.
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

// hopByHopFields are the fields that apply to a single connection (RFC 9110, 7.6.1) or to the framing of a message, which each sender
// determines itself. They are indexed by the length of their names.
var hopByHopFields = func() (byLength [32][]string) {
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		byLength[len(name)] = append(byLength[len(name)], name)
	}
	return byLength
}()

// IsHopByHop reports whether a field applies to a single connection or to framing, even if the Connection field does not list it.
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

// EndToEnd returns a copy of the fields that a proxy forwards (RFC 9110, 7.6.1): those that are neither hop-by-hop nor listed in
// Connection. Fields in except are kept even if Connection lists them.
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
