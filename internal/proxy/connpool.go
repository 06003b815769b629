package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/transport"
)

// maxIdlePerBackend bounds the idle connections to one server.
const maxIdlePerBackend = 8

// connPool holds the idle connections to servers. It is safe for concurrent use.
type connPool struct {
	dialer *net.Dialer

	mu   sync.Mutex                // guards idle
	idle map[string][]*backendConn // by address, least recently used first
}

// newConnPool returns an empty pool.
func newConnPool() *connPool {
	return &connPool{dialer: transport.NewDialer(), idle: map[string][]*backendConn{}}
}

// get returns a reusable idle connection, or a new one. The caller owns it until release. Danger: a server may answer a request twice. A
// connection that has carried the request with this ID is not used for its retry, since the second response to the first attempt would be
// mistaken for the response to the retry.
func (pool *connPool) get(ctx context.Context, address, id string) (*backendConn, error) {
	for {
		conn := pool.takeIdle(address, id)
		if conn == nil {
			break
		}
		if conn.isReusable() {
			return conn, nil
		}
		conn.discard()
	}
	return pool.dial(ctx, address)
}

// dial returns a new connection.
func (pool *connPool) dial(ctx context.Context, address string) (*backendConn, error) {
	raw, err := pool.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(raw), nil
}

// takeIdle removes and returns the most recently used idle connection that may carry the request with this ID, or nil if there is none.
func (pool *connPool) takeIdle(address, id string) *backendConn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	idle := pool.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if conn.hasCarriedID(id) {
			continue
		}
		pool.idle[address] = slices.Delete(idle, i, i+1)
		return conn
	}
	return nil
}

// release returns a connection to the pool, or closes it if it can't be reused or maxIdlePerBackend are idle.
func (pool *connPool) release(address string, conn *backendConn) {
	if conn.tainted || conn.reader.Buffered() > 0 || !time.Now().Before(conn.expiresAt) {
		conn.discard()
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle[address]) >= maxIdlePerBackend {
		conn.discard()
		return
	}
	pool.idle[address] = append(pool.idle[address], conn)
}

// closeExpired closes idle connections that have expired, and all connections to addresses for which keep returns false.
func (pool *connPool) closeExpired(keep func(address string) bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	for address, idle := range pool.idle {
		var kept []*backendConn
		for _, conn := range idle {
			if keep(address) && now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				conn.discard()
			}
		}
		if len(kept) == 0 {
			delete(pool.idle, address)
		} else {
			pool.idle[address] = kept
		}
	}
}
