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
func (b *connPool) get(ctx context.Context, address, id string) (*backendConn, error) {
	for {
		conn := b.takeIdle(address, id)
		if conn == nil {
			break
		}
		if conn.isQuiet() {
			return conn, nil
		}
		conn.Close()
	}
	raw, err := b.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

func (b *connPool) takeIdle(address, id string) *backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	idle := b.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if id != "" && conn.lastRequestID == id {
			continue
		}
		b.idle[address] = slices.Delete(idle, i, i+1)
		return conn
	}
	return nil
}

// put lets a connection rest.
func (b *connPool) release(address string, conn *backendConn) {
	if conn.tainted || conn.reader.Buffered() > 0 || !time.Now().Before(conn.expiresAt) {
		conn.Close()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle[address]) >= maxIdlePerBackend {
		conn.Close()
		return
	}
	b.idle[address] = append(b.idle[address], conn)
}

// sweep closes connections whose rest is over, and all to addresses that keep does not want.
func (b *connPool) closeExpired(keep func(address string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for address, idle := range b.idle {
		var kept []*backendConn
		for _, conn := range idle {
			if keep(address) && now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(b.idle, address)
		} else {
			b.idle[address] = kept
		}
	}
}
