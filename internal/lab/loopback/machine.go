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

// machine is a Machine of a host. Its fields are for the loop, but for share.
type machine struct {
	Machine
	g        *Host
	share    atomic.Int64 // fraction of the time in which its program reads, in thousandths; 0: not limited
	life     *process     // nil: no process
	listener *listener
	conns    map[*conn]struct{}
	silent   map[*conn]struct{} // open connections of a process that has vanished
}

// process is one incarnation of a program. It is the netio.EventLoop of that program.
type process struct {
	m      *machine
	host   netio.Handler
	alarm  *time.Timer
	alarms int // that were set: the last one counts
}

var _ netio.EventLoop = (*process)(nil)

// start starts a process, unless one is running.
func (m *machine) start() error {
	if m.life != nil {
		return nil
	}
	for c := range m.silent {
		c.reset() // of the process before: its peers learn that it has gone
	}
	m.silent, m.conns = nil, map[*conn]struct{}{}
	if m.Listen != "" && m.listener == nil {
		var err error
		if m.listener, err = listen(m.Listen); err != nil {
			return fmt.Errorf("%s at %s: %w", m.Name, m.Listen, err)
		}
		go m.accept(m.listener)
	} else if m.listener != nil {
		m.listener.resume()
	}
	l := &process{m: m}
	m.life = l
	l.host = m.Boot(l)
	l.host.Start()
	return nil
}

// kill ends the process and resets its connections.
func (m *machine) kill() {
	m.life = nil
	if m.listener != nil {
		m.listener.close()
		m.listener = nil
	}
	for c := range m.conns {
		c.reset()
	}
	for c := range m.silent {
		c.reset()
	}
	m.conns, m.silent = nil, nil
}

// vanish ends the process and leaves its connections open.
func (m *machine) vanish() {
	m.life = nil
	m.silent = m.conns
	m.conns = nil
	for c := range m.silent {
		c.in.setHeld(true)
		c.out.setHeld(true)
	}
	if m.listener != nil {
		m.listener.silence()
	}
}

// accept accepts connections until the listener is closed. It runs in a goroutine of its own.
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
		peer := m.g.peerAddress(tcp)
		if peer.Addr() == fillFrom || !peer.IsValid() {
			_ = tcp.Close() // the connection is given up
			continue
		}
		m.g.Post(func() {
			switch c := newConn(m, tcp, peer, nil); {
			case m.listener != l:
				c.reset()
			case m.life == nil: // it came up before the machine vanished
				m.silent[c] = struct{}{}
			default:
				m.life.open(c)
			}
		})
	}
}

// peerAddress returns the address that a peer counts as having.
func (g *Host) peerAddress(c *net.TCPConn) netip.AddrPort {
	peer := c.RemoteAddr().(*net.TCPAddr).AddrPort()
	if g.ResolvePeer != nil {
		return g.ResolvePeer(peer, c.LocalAddr().(*net.TCPAddr).AddrPort())
	}
	return peer
}

// open hands a new connection to the program.
func (l *process) open(c *conn) {
	c.process = l
	l.m.conns[c] = struct{}{}
	c.in.setHeld(l.m.g.partitioned[direction{c.peer, l.m.IP}])
	c.out.setHeld(l.m.g.partitioned[direction{l.m.IP, c.peer}])
	if !l.host.Open(c) {
		l.Close(c)
		return
	}
	c.run()
}

// Now returns the Unix time in seconds.
func (l *process) Now() float64 { return l.m.g.Now() }

// SetAlarm has the program's Alarm called at a time, in place of the alarm that was set before.
func (l *process) SetAlarm(at float64) {
	l.alarms++
	asked := l.alarms
	if l.alarm != nil {
		l.alarm.Stop()
	}
	l.alarm = time.AfterFunc(max(l.m.g.until(at), 0), func() {
		l.Post(func() {
			if l.alarms == asked {
				l.host.Alarm()
			}
		})
	})
}

// Yield calls f behind the tasks that are posted already.
func (l *process) Yield(f func()) { l.Post(f) }

// ReceiveDelaySeconds returns 0: programs here are not under load.
func (l *process) ReceiveDelaySeconds(netio.Conn) float64 { return 0 }

// ResumeReading does nothing, as PauseReading.
func (l *process) ResumeReading(netio.Conn) {}

// PauseReading returns false: reading can't be paused here.
func (l *process) PauseReading(netio.Conn, netio.ClosePolicy) bool { return false }

// Post has the loop call f, unless the process has ended by then.
func (l *process) Post(f func()) {
	l.m.g.Post(func() {
		if l.m.life == l {
			f()
		}
	})
}

// Dial connects from the machine's address and calls done in the loop.
func (l *process) Dial(address string, until float64, hostContext any, done func(error)) func() {
	ctx, cancel := context.WithTimeout(context.Background(), max(l.m.g.until(until), 0))
	go func() {
		dialer := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.m.IP)}, Control: bindWithoutPort}
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

// Close ends a connection once everything was sent.
func (l *process) Close(nc netio.Conn) {
	c, ok := nc.(*conn)
	if !ok || c.isClosed {
		return
	}
	c.out.put(packet{end: true, due: time.Now().Add(c.delay)})
	c.notifyClosed(nil)
}

// CloseWrite ends the direction from the program to the peer once everything was sent.
func (l *process) CloseWrite(nc netio.Conn) {
	c := nc.(*conn)
	c.out.put(packet{half: true, due: time.Now().Add(c.delay)})
}

// AllAcknowledged reports whether everything was handed to the socket; acknowledgements are not looked at.
func (l *process) AllAcknowledged(nc netio.Conn) bool { return nc.OutboundBuffered() == 0 }

// NothingToRead reports whether nothing waits in the socket or on its way to the program.
func (l *process) NothingToRead(nc netio.Conn) bool {
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

// Listen fails: a machine has one listener.
func (l *process) Listen(address string) (func(), error) {
	return nil, fmt.Errorf("listen %s: a machine has one listener", address)
}

// StopListening closes the machine's listener.
func (l *process) StopListening(done func()) {
	defer done()
	if l.m.listener != nil {
		l.m.listener.close()
		l.m.listener = nil
	}
}

// Stop ends the process.
func (l *process) Stop() { l.m.kill() }
