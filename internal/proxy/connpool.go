package proxy

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/transport"
)

// backends holds the connections at rest by address.
type connPool struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*backendConn
}

func newConnPool() *connPool {
	return &connPool{dialer: transport.NewDialer(), idle: map[string][]*backendConn{}}
}

// get returns a connection at rest that is still good, or a new one. Danger: a server may answer a request twice. A connection that
// has just carried the request with this id is not taken for it again, since the second answer to the first sending would be taken
// for the answer to the next one.
func (pool *connPool) get(ctx context.Context, address, id string) (*backendConn, error) {
	for {
		conn := pool.takeIdle(address, id)
		if conn == nil {
			break
		}
		if conn.isReusable() {
			return conn, nil
		}
		conn.Close()
	}
	raw, err := pool.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

func (pool *connPool) takeIdle(address, id string) *backendConn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	idle := pool.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if id != "" && conn.lastRequestID == id {
			continue
		}
		pool.idle[address] = slices.Delete(idle, i, i+1)
		return conn
	}
	return nil
}

// put lets a connection rest.
func (pool *connPool) release(address string, conn *backendConn) {
	if conn.tainted || conn.reader.Buffered() > 0 || !time.Now().Before(conn.expiresAt) {
		conn.Close()
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle[address]) >= maxIdlePerBackend {
		conn.Close()
		return
	}
	pool.idle[address] = append(pool.idle[address], conn)
}

// sweep closes connections whose rest is over, and all to addresses that keep does not want.
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
				conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(pool.idle, address)
		} else {
			pool.idle[address] = kept
		}
	}
}
