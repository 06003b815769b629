package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// freeHandle lets a server forget a cache that nobody takes.
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
		exchanged, _, err := sendRequest(ctx, conn, http.MethodDelete, "", []byte(request))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(exchanged.response.Body, maxSurplusBytes)); err != nil {
			exchanged.abort()
			return
		}
		exchanged.finish(p.conns, address)
	}()
}

// handle is a cache that was read and not taken yet.
type kvCache struct {
	handle     string // IP:PORT/HANDLE; empty: there is none
	zone       string // where it was read
	rejections int
}

// refused tells that a server did not run the request that names the cache. The first time the cache may still be there, as
// where the server was full; after that it is given up.
func (c *kvCache) handleRejection(response *http.Response) {
	if c.rejections++; c.rejections > 1 || !isNotExecuted(response) {
		c.handle = ""
	}
}
