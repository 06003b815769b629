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
	idleDefault = 6 * time.Second
	idleMargin  = time.Second
	// restMost bounds the connections at rest to one server.
	restMost = 8
	// surplusMost bounds the answers of other requests that are skipped on a connection.
	surplusMost = 3
	readBuffer  = 4 << 10
)

var (
	errSurplus = errors.New("too many answers that belong to other requests")
	// errUnnamed says that an answer on a connection that has served before names no request. Danger: it may be a second answer to an
	// earlier one, and its word that the request was not run does not hold for this one.
	errUnnamed = errors.New("a refusal that names no request, on a connection that has served others")
)

// errNotTaken says that a server did not answer on a new connection.
var errNotTaken = errors.New("the server does not answer on a new connection")

// backendConn is a connection to a server.
type backendConn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
	tainted bool   // it has carried an answer that belongs to no request
	used    bool   // it has carried an exchange before
	last    string // the id of the request before, "" where that had none
}

// backends holds the connections at rest by address.
type backends struct {
	dialer *net.Dialer

	mu   sync.Mutex
	rest map[string][]*backendConn
}

func newBackends() *backends {
	return &backends{dialer: transport.NewDialer(), rest: map[string][]*backendConn{}}
}

// get returns a connection at rest that is still good, or a new one. Danger: a server may answer a request twice. A connection that
// has just carried the request with this id is not taken for it again, since the second answer to the first sending would be taken
// for the answer to the next one.
func (b *backends) get(ctx context.Context, address, id string) (*backendConn, error) {
	for {
		conn := b.takeResting(address, id)
		if conn == nil {
			break
		}
		if conn.quiet() {
			return conn, nil
		}
		conn.Close()
	}
	raw, err := b.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (b *backends) takeResting(address, id string) *backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	resting := b.rest[address]
	for i := len(resting) - 1; i >= 0; i-- {
		conn := resting[i]
		if id != "" && conn.last == id {
			continue
		}
		b.rest[address] = slices.Delete(resting, i, i+1)
		return conn
	}
	return nil
}

// put lets a connection rest.
func (b *backends) put(address string, conn *backendConn) {
	if conn.tainted || conn.reader.Buffered() > 0 || !time.Now().Before(conn.expires) {
		conn.Close()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.rest[address]) >= restMost {
		conn.Close()
		return
	}
	b.rest[address] = append(b.rest[address], conn)
}

// sweep closes connections whose rest is over, and all to addresses that keep does not want.
func (b *backends) sweep(keep func(address string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for address, resting := range b.rest {
		var left []*backendConn
		for _, conn := range resting {
			if keep(address) && now.Before(conn.expires) {
				left = append(left, conn)
			} else {
				conn.Close()
			}
		}
		if len(left) == 0 {
			delete(b.rest, address)
		} else {
			b.rest[address] = left
		}
	}
}

// quiet tells whether a connection at rest is open and has nothing to read. Danger: bytes that came meanwhile belong to no
// request of ours.
func (c *backendConn) quiet() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expires) {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange is one request on a connection.
type backendExchange struct {
	conn          *backendConn
	response      *http.Response
	detachContext func() bool // takes back what ends the connection with the context
}

// send writes a request and reads the head of its answer. Its verdict is Served where there is an answer.
func send(ctx context.Context, conn *backendConn, method, id string, request []byte) (*backendExchange, outcome, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	written, err := conn.Write(request)
	if err != nil {
		stop()
		conn.Close()
		if written == 0 {
			return nil, outcomeNotSent, err
		}
		return nil, outcomeMayHaveExecuted, err
	}
	answer, err := readAnswer(conn, method, id)
	conn.used, conn.last = true, id
	if err != nil {
		stop()
		conn.Close()
		return nil, outcomeMayHaveExecuted, err
	}
	return &backendExchange{conn: conn, response: answer, detachContext: stop}, outcomeAnswered, nil
}

// readAnswer reads heads until that of the request's own answer. Answers that carry another id belong to requests before.
func readAnswer(conn *backendConn, method, id string) (*http.Response, error) {
	for range surplusMost {
		answer, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		echoed := answer.Header.Get(headerRequestID)
		switch {
		case echoed == id:
			return answer, nil
		case echoed == "" && refusal(answer) && !conn.used:
			return answer, nil
		case echoed == "" && refusal(answer):
			return nil, errUnnamed
		}
		conn.tainted = true
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSurplus)); err != nil {
			return nil, err
		}
	}
	return nil, errSurplus
}

const maxSurplus = 1 << 20

// refusal tells whether an answer says that the request was not run.
func refusal(answer *http.Response) bool {
	return answer.Header.Get(headerNotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

// finish ends an exchange whose body was read whole, and lets the connection rest if it may.
func (x *backendExchange) finish(b *backends, address string) {
	// Danger: where the context has ended the connection may be given its last deadline at any moment.
	if !x.detachContext() || x.response.Close || x.response.ContentLength < 0 && !chunked(x.response) {
		x.conn.Close()
		return
	}
	x.conn.expires = time.Now().Add(restOf(x.response.Header.Get("Keep-Alive")))
	_ = x.conn.SetDeadline(time.Time{})
	b.put(address, x.conn)
}

// abort ends an exchange whose answer is not wanted.
func (x *backendExchange) abort() {
	x.detachContext()
	x.conn.Close()
}

func chunked(answer *http.Response) bool {
	return len(answer.TransferEncoding) > 0 && answer.TransferEncoding[0] == "chunked"
}

// restOf reads how long a connection may rest from the field Keep-Alive.
func restOf(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}
