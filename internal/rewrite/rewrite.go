// Package rewrite changes the header fields of requests to servers, and of their responses to clients, by the operators'
// rules.
package rewrite

import (
	"net/netip"
	"slices"
	"strings"

	"hazelwheel/internal/http1"
)

// The values of Rule.Dir and Rule.Op.
const (
	In  = "in"  // requests to servers
	Out = "out" // responses to clients

	Add    = "add"
	Drop   = "drop"
	Rename = "rename"
)

// Rule is one change of a header. It applies to requests, or their responses, that match both PathPrefix and Class; an empty
// one matches all.
type Rule struct {
	Dir        string // In or Out
	PathPrefix string
	Class      string
	Op         string // Add, Drop or Rename
	Name       string // of the field, in any case
	Value      string // for Add
	To         string // the new name, for Rename
}

// Settings are the rules in the order in which they are applied, and whether the client's address is added to requests in a
// Forwarded field.
type Settings struct {
	Rules     []Rule
	Forwarded bool
}

// protected are the fields that clients, sidecars and servers rely on. Rules can't change them, and they are forwarded even if
// Connection names them. Danger: otherwise a client that names Idempotency-Key in Connection would have it removed as a
// hop-by-hop field, and a request without its key may run twice. Host is protected because a request needs exactly one.
var protected = []string{"Request-Id", "Idempotency-Key", "Request-Timeout", "Content-Length", "Server-Load", "Host"}

// Free reports whether rules may change a field: it is neither protected nor a hop-by-hop or framing field.
func Free(name string) bool {
	return !http1.IsHopByHop(name) && !slices.ContainsFunc(protected, func(p string) bool { return strings.EqualFold(p, name) })
}

// On reports whether headers have to be rewritten at all.
func (s *Settings) On() bool { return len(s.Rules) > 0 || s.Forwarded }

// Request returns the header of a request as it is forwarded to a server. The rules are applied before Forwarded is added, so
// that a rule that drops Forwarded removes only what the client claims.
func (s *Settings) Request(h http1.Header, class, path string, client netip.Addr) http1.Header {
	h = s.apply(In, h, class, path)
	if !s.Forwarded || !client.IsValid() {
		return h
	}
	element := "for=" + node(client) + ";proto=http"
	for i := len(h) - 1; i >= 0; i-- { // append to the last one: fields of the same name form one list
		if strings.EqualFold(h[i].Name, "Forwarded") {
			if h[i].Value != "" {
				element = h[i].Value + ", " + element
			}
			h[i].Value = element
			return h
		}
	}
	return append(h, http1.Field{Name: "Forwarded", Value: element})
}

// Answer returns the header of a response as it is forwarded to a client.
func (s *Settings) Answer(h http1.Header, class, path string) http1.Header {
	return s.apply(Out, h, class, path)
}

// node returns an address in the form of a node in RFC 7239.
func node(a netip.Addr) string {
	if a = a.Unmap().WithZone(""); a.Is6() {
		return `"[` + a.String() + `]"`
	}
	return a.String()
}

// apply applies the rules of one direction to a copy of the end-to-end fields.
func (s *Settings) apply(dir string, h http1.Header, class, path string) http1.Header {
	h = h.EndToEnd(protected...)
	for i := range s.Rules {
		r := &s.Rules[i]
		if r.Dir != dir || r.Class != "" && r.Class != class || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		hasName := func(f http1.Field) bool { return strings.EqualFold(f.Name, r.Name) }
		switch r.Op {
		case Add:
			h = append(h, http1.Field{Name: r.Name, Value: r.Value})
		case Drop:
			h = slices.DeleteFunc(h, hasName)
		case Rename:
			for j := range h {
				if hasName(h[j]) {
					h[j].Name = r.To
				}
			}
		}
	}
	return h
}
