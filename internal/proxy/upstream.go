package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hazelwheel/internal/transport"
)

const (
	// idleDefault is how long a connection rests where the server does not say; idleMargin is what is taken off what it says.
	defaultKeepAlive = 6 * time.Second
	keepAliveMargin  = time.Second
	// restMost bounds the connections at rest to one server.
	maxIdlePerBackend = 8
	// surplusMost bounds the answers of other requests that are skipped on a connection.
	maxSurplusResponses = 3
	readBufferSize      = 4 << 10
)

var (
	errTooManySurplus = errors.New("too many answers that belong to other requests")
	// errUnnamed says that an answer on a connection that has served before names no request. Danger: it may be a second answer to an
	// earlier one, and its word that the request was not run does not hold for this one.
	errUnidentifiedRejection = errors.New("a refusal that names no request, on a connection that has served others")
)

// errNotTaken says that a server did not answer on a new connection.
var errNewConnRejected = errors.New("the server does not answer on a new connection")

// backendConn is a connection to a server.
type backendConn struct {
	net.Conn
	reader        *bufio.Reader
	expiresAt     time.Time
	tainted       bool   // it has carried an answer that belongs to no request
	hasCarried    bool   // it has carried an exchange before
	lastRequestID string // the id of the request before, "" where that had none
}

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

// quiet tells whether a connection at rest is open and has nothing to read. Danger: bytes that came meanwhile belong to no
// request of ours.
func (c *backendConn) isQuiet() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expiresAt) {
		return false
	}
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

// exchange is one request on a connection.
type backendExchange struct {
	conn          *backendConn
	response      *http.Response
	detachContext func() bool // takes back what ends the connection with the context
}

// send writes a request and reads the head of its answer. Its verdict is Served where there is an answer.
func sendRequest(ctx context.Context, conn *backendConn, method, id string, request []byte) (*backendExchange, outcome, error) {
	detachContext := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	written, err := conn.Write(request)
	if err != nil {
		detachContext()
		conn.Close()
		if written == 0 {
			return nil, outcomeNotSent, err
		}
		return nil, outcomeMayHaveExecuted, err
	}
	response, err := readResponse(conn, method, id)
	conn.hasCarried, conn.lastRequestID = true, id
	if err != nil {
		detachContext()
		conn.Close()
		return nil, outcomeMayHaveExecuted, err
	}
	return &backendExchange{conn: conn, response: response, detachContext: detachContext}, outcomeAnswered, nil
}

// readAnswer reads heads until that of the request's own answer. Answers that carry another id belong to requests before.
func readResponse(conn *backendConn, method, id string) (*http.Response, error) {
	for range maxSurplusResponses {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		echoedID := response.Header.Get(headerRequestID)
		switch {
		case echoedID == id:
			return response, nil
		case echoedID == "" && isNotExecuted(response) && !conn.hasCarried:
			return response, nil
		case echoedID == "" && isNotExecuted(response):
			return nil, errUnidentifiedRejection
		}
		conn.tainted = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errTooManySurplus
}

const maxSurplusBytes = 1 << 20

// refusal tells whether an answer says that the request was not run.
func isNotExecuted(response *http.Response) bool {
	return response.Header.Get(headerNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// finish ends an exchange whose body was read whole, and lets the connection rest if it may.
func (x *backendExchange) finish(b *connPool, address string) {
	// Danger: where the context has ended the connection may be given its last deadline at any moment.
	if !x.detachContext() || x.response.Close || x.response.ContentLength < 0 && !isChunked(x.response) {
		x.conn.Close()
		return
	}
	x.conn.expiresAt = time.Now().Add(keepAliveTimeout(x.response.Header.Get("Keep-Alive")))
	_ = x.conn.SetDeadline(time.Time{})
	b.release(address, x.conn)
}

// abort ends an exchange whose answer is not wanted.
func (x *backendExchange) abort() {
	x.detachContext()
	x.conn.Close()
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// restOf reads how long a connection may rest from the field Keep-Alive.
func keepAliveTimeout(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return defaultKeepAlive
}
