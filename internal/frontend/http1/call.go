package http1

import (
	"net"
	"net/netip"
	"slices"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// call is what a client has asked for over HTTP.
type call struct {
	front          *Frontend
	method, target string
	header         http1.Header // passed on; Request-Timeout is written anew
	body           sidecar.Body
	class          string
}

func (c *call) NewExchange() sidecar.Exchange {
	c.body.SentBytes = 0
	return &exchange{call: c, parser: http1.NewResponseParser(limits)}
}

// newCall takes over a parsed request of a class that has come from an address. Its header is rewritten here, once
// for all attempts: each begins with the same.
func newCall(f *Frontend, p *http1.RequestParser, class string, remote net.Addr) *call {
	c := &call{front: f, method: p.Method, target: p.Target, class: class,
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

// path returns the target less its query.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.target, "?")
	return path
}
