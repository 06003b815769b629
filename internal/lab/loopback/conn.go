package loopback

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	usualBacklog = 1024
	fillWithin   = 20 * time.Millisecond
	mostInWay    = 256 << 10 // bytes that are on their way to a program; the socket holds what is beyond
	stallStep    = 50 * time.Millisecond
	stallBytes   = 2048
	// lookS is how much later than another connection's bytes an end may be looked at that came before them. Danger: of
	// two connections that a peer used one after the other, the one that it ended first could seem to have outlived the
	// other's beginning.
	lookS = 0.02
)

var (
	longAgo = time.Unix(1, 0)
	never   = time.Time{}
)

// conn is a connection's end at a machine. What is not marked is for the loop.
type conn struct {
	m       *machine
	life    *life
	tcp     *net.TCPConn
	remote  net.Addr
	peer    string // the other end's IP
	context any
	delay   time.Duration
	dead    bool
	wroteAt float64 // when the peer wrote what has come last
	endAt   float64 // when it ended the connection; 0: not yet
	in, out *lane
}

func newConn(m *machine, tcp *net.TCPConn, peer netip.AddrPort, context any) *conn {
	c := &conn{m: m, tcp: tcp, remote: net.TCPAddrFromAddrPort(peer), peer: peer.Addr().Unmap().String(), context: context,
		in: newLane(), out: newLane()}
	if m.g.Delay != nil {
		c.delay = m.g.Delay(m.IP, c.peer)
	}
	return c
}

// run begins to read and write.
func (c *conn) run() {
	go c.read()
	go c.deliver()
	go c.send()
}

// Write, OutboundBuffered, RemoteAddr, LocalAddr, Context and SetContext are the netio.Conn.

func (c *conn) Write(p []byte) (int, error) {
	if c.dead {
		return 0, net.ErrClosed
	}
	c.out.put(parcel{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)})
	return len(p), nil
}

func (c *conn) OutboundBuffered() int  { return c.out.size() }
func (c *conn) RemoteAddr() net.Addr   { return c.remote }
func (c *conn) LocalAddr() net.Addr    { return c.tcp.LocalAddr() }
func (c *conn) Context() any           { return c.context }
func (c *conn) SetContext(context any) { c.context = context }

// PeerWrote returns when the peer wrote what has come last, as the socket tells it, in Unix time; 0: nothing has come.
func (c *conn) PeerWrote() float64 { return c.wroteAt }

// PeerEnded returns when the peer ended the connection, in Unix time, and rather too early than too late; 0: not yet.
func (c *conn) PeerEnded() float64 { return c.endAt }

// abort ends the socket with a reset, whatever waits.
func (c *conn) abort() {
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close() // the connection is given up
	c.in.close()
	c.out.close()
}

// ended tells the program of the end, once.
func (c *conn) ended(err error) {
	if c.dead {
		return
	}
	c.dead = true
	delete(c.m.conns, c)
	c.in.close()
	if l := c.life; l != nil && l.m.life == l {
		l.host.Closed(c, err)
	}
}

// read takes from the socket what there is room for.
func (c *conn) read() {
	buf := make([]byte, 64<<10)
	for {
		room := buf
		if share := c.m.share.Load(); share > 0 && share < 1000 {
			time.Sleep(stallStep * time.Duration(1000-share) / 1000)
			room = buf[:stallBytes]
		}
		n, err := c.tcp.Read(room)
		p := parcel{at: c.m.g.Now(), due: time.Now().Add(c.delay), err: err}
		p.data = append(p.data, buf[:n]...)
		if !c.in.put(p) || err != nil {
			return
		}
		if !c.in.waitBelow(mostInWay) {
			return
		}
	}
}

// deliver hands what has come to the program.
func (c *conn) deliver() {
	for {
		p, ok := c.in.take()
		if !ok {
			return
		}
		done := make(chan struct{})
		c.m.g.Post(func() {
			defer close(done)
			if l := c.life; c.dead || l == nil || l.m.life != l {
				return
			}
			if p.err != nil {
				c.endAt = p.at - lookS
			}
			if len(p.data) > 0 {
				c.wroteAt = p.at
				c.life.host.Traffic(c, p.data)
			}
			if p.err != nil && !c.dead {
				if !errors.Is(p.err, io.EOF) {
					c.abort()
				}
				c.life.closedByPeer(c, p.err)
			}
		})
		select {
		case <-done:
		case <-c.m.g.over:
			return
		}
		c.in.taken(len(p.data))
		if p.err != nil {
			return
		}
	}
}

// closedByPeer tells of the other side's end. The socket goes once what was written is out.
func (l *life) closedByPeer(c *conn, err error) {
	c.out.put(parcel{end: true, due: time.Now().Add(c.delay)})
	c.ended(err)
}

// send writes what is due.
func (c *conn) send() {
	defer func() { _ = c.tcp.Close() }() // the connection is given up
	for {
		p, ok := c.out.take()
		if !ok {
			return
		}
		switch {
		case p.end:
			c.out.close()
			return
		case p.half:
			_ = c.tcp.CloseWrite() // fails only where the connection has gone
		default:
			if _, err := c.tcp.Write(p.data); err != nil {
				c.out.close()
				return // the reader learns of it, too
			}
		}
		c.out.taken(len(p.data))
	}
}

// parcel is what is on its way.
type parcel struct {
	data []byte
	err  error   // the end of what is read
	at   float64 // when it was read
	half bool    // nothing more is written
	end  bool    // the connection ends
	due  time.Time
}

// lane is one direction of a connection, a queue that can be held. It may be used from anywhere.
type lane struct {
	mu     sync.Mutex
	change *sync.Cond
	queue  []parcel
	bytes  int
	held   bool
	closed bool
}

func newLane() *lane {
	l := &lane{}
	l.change = sync.NewCond(&l.mu)
	return l
}

// put adds to the queue; false: the lane is closed.
func (l *lane) put(p parcel) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, p)
	l.bytes += len(p.data)
	l.change.Broadcast()
	return !l.closed
}

// take waits for the first parcel and for when it is due; false: the lane is closed.
func (l *lane) take() (parcel, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for !l.closed && (l.held || len(l.queue) == 0) {
			l.change.Wait()
		}
		if l.closed {
			return parcel{}, false
		}
		wait := time.Until(l.queue[0].due)
		if wait <= 0 {
			p := l.queue[0]
			l.queue = l.queue[1:]
			return p, true
		}
		l.mu.Unlock()
		time.Sleep(wait)
		l.mu.Lock()
	}
}

// taken notes that bytes have arrived.
func (l *lane) taken(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes -= n
	l.change.Broadcast()
}

// waitBelow waits until fewer bytes are on their way; false: the lane is closed.
func (l *lane) waitBelow(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.bytes >= n && !l.closed {
		l.change.Wait()
	}
	return !l.closed
}

func (l *lane) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *lane) hold(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = on
	l.change.Broadcast()
}

func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.queue = nil
	l.change.Broadcast()
}
