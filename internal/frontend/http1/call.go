package http1

import (
	"net"
	"net/netip"
	"slices"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// call is a client's request. Its memory is not shared with the connection.
type call struct {
	frontend       *Frontend
	method, target string
	header         http1.Header // forwarded, without Request-Timeout, which is computed for each attempt
	body           sidecar.Body
	class          string
}

// NewExchange implements sidecar.Call.
func (c *call) NewExchange() sidecar.Exchange {
	c.body.SentBytes = 0
	return &exchange{call: c, parser: http1.NewResponseParser(limits)}
}

// newCall returns the call for a parsed request of a class from a remote address, and takes over its body. The header is rewritten here, once
// for all attempts.
func newCall(f *Frontend, p *http1.RequestParser, class string, remote net.Addr) *call {
	c := &call{frontend: f, method: p.Method, target: p.Target, class: class,
		body: sidecar.Body{Buffered: p.Body, Length: p.BodyLength(), IsComplete: p.IsComplete()}}
	header := p.Header
	if f.rewrites.On() {
		var client netip.Addr
		if tcp, ok := remote.(*net.TCPAddr); ok {
			client = tcp.AddrPort().Addr()
		}
		header = f.rewrites.Request(header, class, c.path(), client)
	} else {
		header = header.EndToEnd()
	}
	c.header = slices.DeleteFunc(header, func(f http1.Field) bool { return strings.EqualFold(f.Name, fieldTimeout) })
	return c
}

// path returns the target without its query.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.target, "?")
	return path
}
