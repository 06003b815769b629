// Package rewrite changes the header fields of requests on their way to a server, and of answers on their way back, by
// the operators' rules.
package rewrite

import (
	"net/netip"
	"slices"
	"strings"

	"hazelwheel/internal/http1"
)

// What a rule may say.
const (
	In  = "in"  // of a request to a server
	Out = "out" // of a server's answer to the client

	Add    = "add"
	Drop   = "drop"
	Rename = "rename"
)

// Rule is one change. It is made where its path prefix and its class both fit; an empty one fits all.
type Rule struct {
	Dir        string
	PathPrefix string
	Class      string
	Op         string
	Name       string
	Value      string // of what is added
	To         string // the new name
}

// Settings are the rules in their order, and whether requests tell whom they come from.
type Settings struct {
	Rules     []Rule
	Forwarded bool
}

// protected are the fields that clients, sidecar and servers rely on; no rule changes them. Danger: a client that
// names one in Connection would have it taken off as a field of that connection alone, and a request without its key
// may run twice. Host is among them since a request needs exactly one.
var protected = []string{"Request-Id", "Idempotency-Key", "Request-Timeout", "Content-Length", "Server-Load", "Host"}

// Free reports whether rules may touch a field: it is neither protected nor one that concerns a connection or framing.
func Free(name string) bool {
	return !http1.IsHopByHop(name) && !slices.ContainsFunc(protected, func(p string) bool { return strings.EqualFold(p, name) })
}

// On reports whether there is anything to do.
func (s *Settings) On() bool { return len(s.Rules) > 0 || s.Forwarded }

// Request returns what a server is sent of a request's header. The rules come first: one that drops Forwarded takes
// off what the client claims of its own way, and not what is added here.
func (s *Settings) Request(h http1.Header, class, path string, client netip.Addr) http1.Header {
	h = s.apply(In, h, class, path)
	if !s.Forwarded || !client.IsValid() {
		return h
	}
	element := "for=" + node(client) + ";proto=http"
	for i := len(h) - 1; i >= 0; i-- { // the fields of one name are one list
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

// Answer returns what a client is sent of an answer's header.
func (s *Settings) Answer(h http1.Header, class, path string) http1.Header {
	return s.apply(Out, h, class, path)
}

// node writes an address as RFC 7239 has it.
func node(a netip.Addr) string {
	if a = a.Unmap().WithZone(""); a.Is6() {
		return `"[` + a.String() + `]"`
	}
	return a.String()
}

// apply makes all changes of one direction on a copy of the end-to-end fields.
func (s *Settings) apply(dir string, h http1.Header, class, path string) http1.Header {
	h = h.EndToEnd(protected...)
	for i := range s.Rules {
		r := &s.Rules[i]
		if r.Dir != dir || r.Class != "" && r.Class != class || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		named := func(f http1.Field) bool { return strings.EqualFold(f.Name, r.Name) }
		switch r.Op {
		case Add:
			h = append(h, http1.Field{Name: r.Name, Value: r.Value})
		case Drop:
			h = slices.DeleteFunc(h, named)
		case Rename:
			for j := range h {
				if named(h[j]) {
					h[j].Name = r.To
				}
			}
		}
	}
	return h
}
