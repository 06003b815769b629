package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// These tests force two events to coincide: the end, close or reset of a connection, and bytes in transit. They use plain sockets on
// both sides of the program, and stop the program (SIGSTOP) where it must find both events at once.

// attempt is a request as a backend has received it, completely.
type attempt struct {
	id, path, body string
	timeout        time.Duration // its Request-Timeout header
	at             time.Time     // when its last byte was read
	connection     int           // number of its connection, from 0
}

// responder responds to an attempt on its connection, and reports whether the connection stays open.
type responder func(c *net.TCPConn, a attempt) (keep bool)

// backend is a server on a plain listener, with which a test controls each byte and how its connections end.
type backend struct {
	name     string
	address  string
	listener net.Listener // nil until connections are accepted
	fd       int          // listening socket that does not accept connections yet

	mu       sync.Mutex
	script   responder
	attempts []attempt
	open     []*net.TCPConn // all connections so far
}

// newBackend returns a backend that accepts connections.
func newBackend(t *testing.T, name string, script responder) *backend {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{name: name, address: listener.Addr().String(), listener: listener, script: script}
	t.Cleanup(func() { listener.Close() })
	go b.accept()
	return b
}

// newLateBackend returns a backend whose accept queue is full: connects succeed only some time after comeUp.
func newLateBackend(t *testing.T, name string, script responder) *backend {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	b := &backend{name: name, address: "127.0.0.1:" + strconv.Itoa(bound.(*unix.SockaddrInet4).Port), fd: fd, script: script}
	filler, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	t.Cleanup(func() { filler.Close() })
	return b
}

// comeUp accepts connections from now on. The connecting kernel retries after one, three and seven seconds.
func (b *backend) comeUp(t *testing.T) {
	again, err := unix.Dup(b.fd)
	require.NoError(t, err)
	file := os.NewFile(uintptr(again), "listener")
	defer file.Close()
	b.listener, err = net.FileListener(file)
	require.NoError(t, err)
	t.Cleanup(func() { b.listener.Close() })
	go b.accept()
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		number := len(b.open)
		b.open = append(b.open, c.(*net.TCPConn))
		b.mu.Unlock()
		go b.serve(c.(*net.TCPConn), number)
	}
}

func (b *backend) serve(c *net.TCPConn, number int) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		us, _ := strconv.Atoi(strings.TrimSuffix(request.Header.Get("Request-Timeout"), "u"))
		a := attempt{request.Header.Get("Request-Id"), request.URL.Path, string(body), time.Duration(us) * time.Microsecond, time.Now(), number}
		b.mu.Lock()
		b.attempts = append(b.attempts, a)
		script := b.script
		b.mu.Unlock()
		if !script(c, a) {
			return
		}
	}
}

// got returns the attempts that have been received completely so far.
func (b *backend) got() []attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]attempt(nil), b.attempts...)
}

// of returns the attempts of one request.
func (b *backend) of(id string) (all []attempt) {
	for _, a := range b.got() {
		if a.id == id {
			all = append(all, a)
		}
	}
	return all
}

// connections returns all connections accepted so far.
func (b *backend) connections() []*net.TCPConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*net.TCPConn(nil), b.open...)
}

// Connection states as the kernel numbers them in /proc/net/tcp.
const (
	established = "01"
	synSent     = "02"
)

// isIn reports whether a connection to the backend is in a state, as the kernel shows it for the connecting side. Danger: when other
// tests run too, the table has 100,000 lines of connections in TIME_WAIT. Parsing them line by line under the race detector takes
// seconds for one call.
func (b *backend) isIn(t *testing.T, state string) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	remote := netip.MustParseAddrPort(b.address)
	ip := remote.Addr().As4()
	slices.Reverse(ip[:]) // the table has addresses in host byte order
	return bytes.Contains(table, fmt.Appendf(nil, " %X:%04X %s ", ip[:], remote.Port(), state))
}

func (b *backend) set(script responder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script = script
}

func (b *backend) endpoint() endpoint { return endpoint{b.name, b.address, "a", "SERVING", 1, 0} }

// listOf returns one discovery object with the complete endpoint list.
func listOf(t *testing.T, index int, endpoints ...endpoint) string {
	raw, err := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": endpoints})
	require.NoError(t, err)
	return string(raw) + "\n"
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// message returns a response with a Content-Length.
func message(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// sends returns a responder that writes text and keeps the connection open.
func sends(text string) responder {
	return func(c *net.TCPConn, _ attempt) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// sendsWhen is like sends, but waits until a channel is closed.
func sendsWhen(release <-chan struct{}, text string) responder {
	return func(c *net.TCPConn, a attempt) bool {
		<-release
		return sends(text)(c, a)
	}
}

// onceThen uses one responder for the first attempt and another for all others.
func onceThen(one, others responder) responder {
	var once sync.Once
	return func(c *net.TCPConn, a attempt) bool {
		do := others
		once.Do(func() { do = one })
		return do(c, a)
	}
}

// client is a plain TCP connection to the program.
type client struct {
	*net.TCPConn
	r *bufio.Reader
}

// dial opens a client connection with a receive buffer of a size; 0 means the system's default.
func (w *testSidecar) dial(receive int) *client {
	w.Helper()
	dialer := net.Dialer{Timeout: patience}
	if receive > 0 {
		dialer.Control = bounded(receive)
	}
	c, err := dialer.Dial("tcp4", w.listen)
	require.NoError(w, err)
	w.Cleanup(func() { c.Close() })
	require.NoError(w, c.SetDeadline(time.Now().Add(patience)))
	return &client{c.(*net.TCPConn), bufio.NewReader(c)}
}

// bounded sets the size of a socket's receive buffer before it connects.
func bounded(receive int) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive) })
		return errors.Join(err, failed)
	}
}

func (c *client) send(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// received is a response as read from a connection.
type received struct {
	status int
	body   string
	last   bool
}

// answer reads one response. An error says that it was incomplete; io.EOF, that the connection was closed in order before its first
// byte.
func (c *client) answer() (received, error) {
	if _, err := c.r.Peek(1); err != nil {
		return received{}, err
	}
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return received{}, err
	}
	body, err := io.ReadAll(response.Body)
	return received{response.StatusCode, string(body), response.Close}, err
}

// end reads until the connection ends. It returns io.EOF for an orderly close, or else the error.
func (c *client) end() error {
	for {
		if _, err := c.r.ReadByte(); err != nil {
			return err
		}
	}
}

// newID returns a unique Request-Id.
func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%016x", lastID.n)
}

// text returns a request of a class as a client writes it.
func text(class, id string, timeout time.Duration, body string) string {
	method, more := "POST", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch class {
	case "read":
		method, more = "GET", ""
	case "alert":
		more += "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\n%s\r\n%s", method, class, id,
		timeout.Milliseconds(), more, body)
}

// within polls until a condition holds, and reports whether it did in time.
func within(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// newCrossing returns a running sidecar with backends. Time limits that the test does not set are long.
func newCrossing(t *testing.T, change func(w *testSidecar), backends ...*backend) *testSidecar {
	w := newTestSidecar(t)
	for _, b := range backends {
		w.known = append(w.known, b.endpoint())
	}
	if change != nil {
		change(w)
	}
	return w.start()
}

// setClassField sets a field of every class.
func (w *testSidecar) setClassField(name string, value any) {
	for _, class := range w.settings["classes"].([]map[string]any) {
		class[name] = value
	}
}

// freeze stops the program with SIGSTOP and returns once it has stopped.
func (w *testSidecar) freeze() {
	w.Helper()
	w.signal(syscall.SIGSTOP)
	w.eventually("the process has stopped", func() bool {
		status, err := readStatus(w.cmd.Process.Pid)
		return err == nil && strings.Contains(status, "State:\tT")
	})
}

// awaitExit waits until the program exits by itself and returns how long after since that was.
func (w *testSidecar) awaitExit(since time.Time) time.Duration {
	w.Helper()
	over := make(chan error, 1)
	go func() { over <- w.cmd.Wait() }()
	select {
	case err := <-over:
		require.NoError(w, err)
	case <-time.After(patience):
		require.Fail(w, "the program does not exit")
	}
	return time.Since(since)
}

// awaitNoAccept polls until the program accepts no more connections.
func (w *testSidecar) awaitNoAccept() {
	w.Helper()
	w.eventually("the listener is closed", func() bool {
		c, err := net.Dial("tcp4", w.listen)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// stallMeter measures how long the machine itself stalls: delays of that size are not held against the program.
type stallMeter struct {
	late atomic.Int64
	over chan struct{}
}

// newStallMeter measures from now until the test ends.
func newStallMeter(t *testing.T) *stallMeter {
	const nap, usual = 5 * time.Millisecond, 10 * time.Millisecond
	s := &stallMeter{over: make(chan struct{})}
	t.Cleanup(func() { close(s.over) })
	go func() {
		for last := time.Now(); ; {
			select {
			case <-s.over:
				return
			case <-time.After(nap):
			}
			now := time.Now()
			if late := now.Sub(last) - nap; late > usual {
				s.late.Add(int64(late))
			}
			last = now
		}
	}()
	return s
}

// total returns the total stall time so far.
func (s *stallMeter) total() time.Duration { return time.Duration(s.late.Load()) }
