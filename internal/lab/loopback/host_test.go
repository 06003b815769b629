package loopback

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/netio"
)

const patience = 10 * time.Second

// echo answers what it hears, and ends a connection that says "bye" behind its answer.
type echo struct {
	net    netio.EventLoop
	heard  atomic.Int64
	alarms atomic.Int64
	closed chan error
}

func (e *echo) Start()               {}
func (e *echo) Open(netio.Conn) bool { return true }
func (e *echo) Alarm()               { e.alarms.Add(1) }
func (e *echo) Closed(_ netio.Conn, err error) {
	select {
	case e.closed <- err:
	default:
	}
}
func (e *echo) Traffic(c netio.Conn, data []byte) {
	e.heard.Add(int64(len(data)))
	c.Write(data)
	if string(data) == "bye" {
		e.net.Close(c)
	}
}

// stage is a ground with one machine that echoes.
type stage struct {
	*testing.T
	*Host
	echo    *echo
	lives   atomic.Int64
	address string
}

const machineIP = "127.9.0.1"

func newStage(t *testing.T, delay time.Duration) *stage {
	l, err := net.Listen("tcp", machineIP+":0")
	require.NoError(t, err)
	s := &stage{T: t, Host: New(), address: l.Addr().String(), echo: &echo{closed: make(chan error, 10)}}
	l.Close()
	s.Delay = func(string, string) time.Duration { return delay }
	require.NoError(t, s.Add(Machine{Name: "box", IP: machineIP, Listen: s.address, Boot: func(n netio.EventLoop) netio.Handler {
		s.lives.Add(1)
		s.echo.net = n
		return s.echo
	}}))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Host.Run(ctx) }()
	t.Cleanup(func() { stop(); assert.NoError(t, <-done) })
	s.do(func() {})
	return s
}

// do has the loop call f and waits for it.
func (s *stage) do(f func()) {
	done := make(chan struct{})
	s.Post(func() { defer close(done); f() })
	select {
	case <-done:
	case <-time.After(patience):
		s.Fatal("the loop does not turn")
	}
}

func (s *stage) dial() net.Conn {
	c, err := net.Dial("tcp", s.address)
	require.NoError(s, err)
	s.Cleanup(func() { c.Close() })
	require.NoError(s, c.SetDeadline(time.Now().Add(patience)))
	return c
}

// hears reads a text.
func (s *stage) hears(c net.Conn, text string) {
	s.Helper()
	b := make([]byte, len(text))
	_, err := io.ReadFull(c, b)
	require.NoError(s, err)
	require.Equal(s, text, string(b))
}

// silent waits for a while in which nothing may come.
func (s *stage) silent(c net.Conn, d time.Duration) {
	s.Helper()
	require.NoError(s, c.SetReadDeadline(time.Now().Add(d)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(s, err, os.ErrDeadlineExceeded)
	require.NoError(s, c.SetReadDeadline(time.Now().Add(patience)))
}

// Bytes take their way's time and keep their order, and what was written goes out before the end.
func TestDelayAndOrder(t *testing.T) {
	const delay = 20 * time.Millisecond
	s := newStage(t, delay)
	c := s.dial()
	began := time.Now()
	io.WriteString(c, "hello")
	s.hears(c, "hello")
	assert.GreaterOrEqual(t, time.Since(began), 2*delay)
	text := make([]byte, 2<<20)
	for i := range text {
		text[i] = byte(i * 7 >> 3)
	}
	go c.Write(text)
	s.hears(c, string(text))
	time.Sleep(5 * time.Millisecond) // so that it stands alone
	io.WriteString(c, "bye")
	s.hears(c, "bye")
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-s.echo.closed)
}

// A process that is killed resets its connections, and new ones are refused until another begins.
func TestKill(t *testing.T) {
	s := newStage(t, 0)
	c := s.dial()
	io.WriteString(c, "a")
	s.hears(c, "a")
	s.do(func() { s.echo.net.SetAlarm(s.Now() + 0.05); s.Kill(machineIP) })
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = net.Dial("tcp", s.address)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	time.Sleep(60 * time.Millisecond)
	s.do(func() { s.Return(machineIP) })
	c = s.dial()
	io.WriteString(c, "b")
	s.hears(c, "b")
	assert.EqualValues(t, 2, s.lives.Load())
	assert.Zero(t, s.echo.alarms.Load(), "the alarm of a process that has ended")
	assert.Empty(t, s.echo.closed, "a process that has ended is told nothing")
}

// A machine that vanishes says nothing: what is open stays so, new connections never come up. When it is back, the old
// ones are reset.
func TestVanish(t *testing.T) {
	s := newStage(t, 0)
	c := s.dial()
	s.do(func() { s.Vanish(machineIP) })
	io.WriteString(c, "a")
	s.silent(c, 50*time.Millisecond)
	for range 5 {
		_, err := net.DialTimeout("tcp", s.address, 50*time.Millisecond)
		assert.True(t, os.IsTimeout(err), "%v", err)
	}
	s.do(func() { s.Return(machineIP) })
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	c = s.dial()
	io.WriteString(c, "b")
	s.hears(c, "b")
	assert.EqualValues(t, 1, s.echo.heard.Load())
}

// What is cut is cut in one direction, for connections that are open and new ones, and comes when it is mended.
func TestCut(t *testing.T) {
	for name, way := range map[string][2]string{"to": {"127.0.0.1", machineIP}, "from": {machineIP, "127.0.0.1"}} {
		t.Run(name, func(t *testing.T) {
			s := newStage(t, 0)
			before := s.dial()
			io.WriteString(before, "a")
			s.hears(before, "a")
			s.do(func() { s.Partition(way[0], way[1]) })
			after := s.dial()
			for _, c := range []net.Conn{before, after} {
				io.WriteString(c, "b")
				s.silent(c, 30*time.Millisecond)
			}
			assert.Equal(t, name == "from", s.echo.heard.Load() == 3)
			s.do(func() { s.Heal(way[0], way[1]) })
			s.hears(before, "b")
			s.hears(after, "b")
		})
	}
}

func TestReset(t *testing.T) {
	s := newStage(t, 0)
	c := s.dial()
	io.WriteString(c, "a")
	s.hears(c, "a")
	s.do(func() { s.Reset("127.0.0.1", machineIP) })
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.ErrorIs(t, <-s.echo.closed, syscall.ECONNRESET)
}

// The end of the other side is told as what it is.
func TestEnds(t *testing.T) {
	s := newStage(t, 0)
	c := s.dial()
	c.Close()
	assert.ErrorIs(t, <-s.echo.closed, io.EOF)
	c = s.dial()
	io.WriteString(c, "a")
	s.hears(c, "a")
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
	assert.ErrorIs(t, <-s.echo.closed, syscall.ECONNRESET)
}

// The last alarm that was asked for is the one that comes.
func TestAlarm(t *testing.T) {
	s := newStage(t, 0)
	s.do(func() {
		s.echo.net.SetAlarm(s.Now() + 0.001)
		s.echo.net.SetAlarm(s.Now() + 3600)
		s.echo.net.SetAlarm(s.Now() + 0.05)
	})
	time.Sleep(20 * time.Millisecond)
	assert.Zero(t, s.echo.alarms.Load())
	require.Eventually(t, func() bool { return s.echo.alarms.Load() == 1 }, patience, time.Millisecond)
}

// A program that reads slowly has its peer wait.
func TestStall(t *testing.T) {
	s := newStage(t, 0)
	s.LimitReading("box", 0.5)
	c := s.dial()
	began := time.Now()
	text := string(make([]byte, 5*stallBytes))
	go io.WriteString(c, text)
	s.hears(c, text)
	assert.GreaterOrEqual(t, time.Since(began), 4*stallStep/2)
}

// A program dials others on the ground, from its own address; a dial that can't come up ends at its time.
func TestDial(t *testing.T) {
	s := newStage(t, 0)
	got := make(chan string, 1)
	client := &dialer{got: got}
	require.NoError(t, s.Add(Machine{Name: "app", IP: "127.9.0.2", StartsLater: true, Boot: func(n netio.EventLoop) netio.Handler {
		client.net = n
		return client
	}}))
	s.do(func() { s.Return("127.9.0.2") })
	errs := make(chan error, 2)
	s.do(func() {
		client.net.Dial(s.address, s.Now()+5, "hello", func(err error) { errs <- err })
	})
	assert.NoError(t, <-errs)
	assert.Equal(t, "hello", <-got)
	s.do(func() { s.Vanish(machineIP) })
	s.do(func() { client.net.Dial(s.address, s.Now()+0.05, "", func(err error) { errs <- err }) })
	err := <-errs
	assert.True(t, os.IsTimeout(err), "%v", err)
}

// dialer says its context on each connection, and tells what comes back.
type dialer struct {
	net netio.EventLoop
	got chan string
}

func (d *dialer) Start()                            {}
func (d *dialer) Open(c netio.Conn) bool            { c.Write([]byte(c.Context().(string))); return true }
func (d *dialer) Traffic(_ netio.Conn, data []byte) { d.got <- string(data) }
func (d *dialer) Closed(netio.Conn, error)          {}
func (d *dialer) Alarm()                            {}

func TestPortTaken(t *testing.T) {
	l, err := net.Listen("tcp", machineIP+":0")
	require.NoError(t, err)
	defer l.Close()
	g := New()
	require.NoError(t, g.Add(Machine{Name: "box", IP: machineIP, Listen: l.Addr().String()}))
	assert.ErrorContains(t, g.Run(context.Background()), "address already in use")
	assert.Error(t, g.Add(Machine{Name: "box", IP: "10.0.0.1"}))
}
