package loopback

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hazelwheel/internal/netio"
)

// machine is a Machine on a ground. All but what its goroutines are told is for the loop.
type machine struct {
	Machine
	g        *Ground
	share    atomic.Int64 // of its time that its program reads, in thousandths; 0: it was never told
	life     *life        // nil: no process
	listener *listener
	conns    map[*conn]struct{}
	silent   map[*conn]struct{} // of a process that has vanished
}

// life is one process.
type life struct {
	m     *machine
	host  netio.Handler
	alarm *time.Timer
	asked int // for alarms: the last one counts
}

var _ netio.EventLoop = (*life)(nil)

// begin begins a process, unless there is one.
func (m *machine) begin() error {
	if m.life != nil {
		return nil
	}
	for c := range m.silent {
		c.abort() // who speaks to the process that was here is told so
	}
	m.silent, m.conns = nil, map[*conn]struct{}{}
	if m.Listen != "" && m.listener == nil {
		var err error
		if m.listener, err = listen(m.Listen); err != nil {
			return fmt.Errorf("%s at %s: %w", m.Name, m.Listen, err)
		}
		go m.accept(m.listener)
	} else if m.listener != nil {
		m.listener.appear()
	}
	l := &life{m: m}
	m.life = l
	l.host = m.Boot(l)
	l.host.Start()
	return nil
}

// kill ends the process and its connections.
func (m *machine) kill() {
	m.life = nil
	if m.listener != nil {
		m.listener.close()
		m.listener = nil
	}
	for c := range m.conns {
		c.abort()
	}
	for c := range m.silent {
		c.abort()
	}
	m.conns, m.silent = nil, nil
}

// vanish ends the process and leaves its connections as they are.
func (m *machine) vanish() {
	m.life = nil
	m.silent = m.conns
	m.conns = nil
	for c := range m.silent {
		c.in.hold(true)
		c.out.hold(true)
	}
	if m.listener != nil {
		m.listener.disappear()
	}
}

// accept takes connections until the listener is closed.
func (m *machine) accept(l *listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // Danger: with no descriptor left it would fail without a pause
			continue
		}
		tcp := raw.(*net.TCPConn)
		peer := m.g.who(tcp)
		if peer.Addr() == fillFrom || !peer.IsValid() {
			_ = tcp.Close() // the connection is given up
			continue
		}
		m.g.Post(func() {
			switch c := newConn(m, tcp, peer, nil); {
			case m.listener != l:
				c.abort()
			case m.life == nil: // it came up before the machine vanished
				m.silent[c] = struct{}{}
			default:
				m.life.open(c)
			}
		})
	}
}

// who returns a peer's address.
func (g *Ground) who(c *net.TCPConn) netip.AddrPort {
	peer := c.RemoteAddr().(*net.TCPAddr).AddrPort()
	if g.Who != nil {
		return g.Who(peer, c.LocalAddr().(*net.TCPAddr).AddrPort())
	}
	return peer
}

// open hands a connection that is up to the program.
func (l *life) open(c *conn) {
	c.life = l
	l.m.conns[c] = struct{}{}
	c.in.hold(l.m.g.cuts[way{c.peer, l.m.IP}])
	c.out.hold(l.m.g.cuts[way{l.m.IP, c.peer}])
	if !l.host.Open(c) {
		l.Close(c)
		return
	}
	c.run()
}

// Now, SetAlarm, Post, Dial, Close, CloseWrite, NothingToRead, StopListening and Stop are the process's netio.EventLoop.

func (l *life) Now() float64 { return l.m.g.Now() }

func (l *life) SetAlarm(at float64) {
	l.asked++
	asked := l.asked
	if l.alarm != nil {
		l.alarm.Stop()
	}
	l.alarm = time.AfterFunc(max(l.m.g.until(at), 0), func() {
		l.Post(func() {
			if l.asked == asked {
				l.host.Alarm()
			}
		})
	})
}

// Yield, Waited, PauseReading and ResumeReading are for programs under load; those here have a machine to themselves, and
// nothing they do hangs on them.

func (l *life) Yield(f func())                         { l.Post(f) }
func (l *life) ReceiveDelaySeconds(netio.Conn) float64 { return 0 }
func (l *life) ResumeReading(netio.Conn)               {}

// PauseReading can't be done here.
func (l *life) PauseReading(netio.Conn, netio.ClosePolicy) bool { return false }

// Post drops what is for a process that has ended.
func (l *life) Post(f func()) {
	l.m.g.Post(func() {
		if l.m.life == l {
			f()
		}
	})
}

func (l *life) Dial(address string, until float64, hostContext any, done func(error)) func() {
	ctx, cancel := context.WithTimeout(context.Background(), max(l.m.g.until(until), 0))
	go func() {
		dialer := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.m.IP)}, Control: manyPorts}
		raw, err := dialer.DialContext(ctx, "tcp", address)
		cancel()
		l.m.g.Post(func() {
			if l.m.life != l {
				if err == nil {
					raw.Close()
				}
				return
			}
			if err == nil {
				tcp := raw.(*net.TCPConn)
				l.open(newConn(l.m, tcp, tcp.RemoteAddr().(*net.TCPAddr).AddrPort(), hostContext))
			}
			done(err)
		})
	}()
	return cancel
}

// Close ends a connection; what has been written goes out before the end, as it is on its way already.
func (l *life) Close(nc netio.Conn) {
	c, ok := nc.(*conn)
	if !ok || c.dead {
		return
	}
	c.out.put(parcel{end: true, due: time.Now().Add(c.delay)})
	c.ended(nil)
}

func (l *life) CloseWrite(nc netio.Conn) {
	c := nc.(*conn)
	c.out.put(parcel{half: true, due: time.Now().Add(c.delay)})
}

// AllAcknowledged knows of what has left the program alone.
func (l *life) AllAcknowledged(nc netio.Conn) bool { return nc.OutboundBuffered() == 0 }

// NothingToRead looks at the socket, and at what is on its way to the program.
func (l *life) NothingToRead(nc netio.Conn) bool {
	c := nc.(*conn)
	if c.in.size() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && quiet
}

// Listen is for programs that listen at more than the machine's address; none on a ground does.
func (l *life) Listen(address string) (func(), error) {
	return nil, fmt.Errorf("listen %s: a machine on a ground has one listener", address)
}

func (l *life) StopListening(done func()) {
	defer done()
	if l.m.listener != nil {
		l.m.listener.close()
		l.m.listener = nil
	}
}

// Stop ends the process.
func (l *life) Stop() { l.m.kill() }
