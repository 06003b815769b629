package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// serveFast is a round robin on fasthttp: its server, and its client for one host for each box.
func serveFast(ctx context.Context, l net.Listener, b *boxes) error {
	var clients sync.Map // address to *fasthttp.HostClient
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/ready" {
			return
		}
		x := b.choose("roundrobin")
		if x == nil {
			c.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		known, ok := clients.Load(x.address)
		if !ok {
			known, _ = clients.LoadOrStore(x.address, &fasthttp.HostClient{Addr: x.address, MaxConns: 4096,
				MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true})
		}
		client := known.(*fasthttp.HostClient)
		wait := patience(string(c.Request.Header.Peek("Request-Timeout")))
		var err error
		if wait > 0 {
			err = client.DoDeadline(&c.Request, &c.Response, time.Now().Add(wait))
		} else {
			err = client.Do(&c.Request, &c.Response)
		}
		if err != nil {
			c.Response.Reset()
			c.SetStatusCode(fasthttp.StatusBadGateway)
		}
	}}
	context.AfterFunc(ctx, func() { l.Close() })
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil //nolint:nilerr // Serve returns an error because the context's end closed its listener
	}
	return err
}
