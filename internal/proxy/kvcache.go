package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"
)

// releaseTimeout bounds the request that releases a KV cache.
const releaseTimeout = time.Second

// releaseKVHandle tells a server in the background to free a KV cache that no decode server has fetched. It does nothing for an empty handle. A
// failure is ignored, since the server frees the cache by itself later.
func (p *Proxy) releaseKVHandle(handle string) {
	address, id, ok := strings.Cut(handle, "/")
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		conn, err := p.conns.get(ctx, address, "")
		if err != nil {
			return
		}
		request := "DELETE /kv-handle/" + id + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: 0\r\n\r\n"
		exchange, _, err := sendRequest(ctx, conn, http.MethodDelete, "", []byte(request))
		if err != nil {
			return
		}
		if err := exchange.discardBody(); err != nil {
			return
		}
		exchange.finish(p.conns, address)
	}()
}

// kvCache is the KV cache of a separate prefill that no decode server has fetched yet.
type kvCache struct {
	handle     string // IP:PORT/HANDLE of the prefill server; empty: there is no cache
	zone       string // of the prefill server
	rejections int    // of requests with the handle by decode servers
}

// handleRejection handles a decode server's response other than a stream to a request with the handle. After a first rejection without execution
// the cache may still exist, for example if the decode server was full; after any other response it is given up.
func (c *kvCache) handleRejection(exchange *backendExchange) {
	if c.rejections++; c.rejections > 1 || !exchange.provesNotExecuted() {
		c.handle = ""
	}
}
