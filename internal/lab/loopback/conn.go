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
	listenBacklog    = 1024
	fillTimeout      = 20 * time.Millisecond
	maxInFlightBytes = 256 << 10 // bytes that were read and not delivered; the socket holds the rest
	stallStep        = 50 * time.Millisecond
	stallBytes       = 2048
	// endMarginSeconds is subtracted from the time at which the end of a connection was read. Danger: of two connections that a peer used one after the
	// other, the first could otherwise seem to have ended after the second had begun.
	endMarginSeconds = 0.02
)

var (
	pastDeadline = time.Unix(1, 0)
	noDeadline   = time.Time{}
)

// conn is a machine's end of a connection. Its methods are for the loop unless they say otherwise.
type conn struct {
	m        *machine
	process  *process
	tcp      *net.TCPConn
	remote   net.Addr
	peer     string // IP of the other end
	context  any
	delay    time.Duration
	isClosed bool
	wroteAt  float64 // when the newest bytes were read
	endAt    float64 // when the peer ended the connection; 0: not yet
	in, out  *packetQueue
}

func newConn(m *machine, tcp *net.TCPConn, peer netip.AddrPort, context any) *conn {
	c := &conn{m: m, tcp: tcp, remote: net.TCPAddrFromAddrPort(peer), peer: peer.Addr().Unmap().String(), context: context,
		in: newPacketQueue(), out: newPacketQueue()}
	if m.g.Delay != nil {
		c.delay = m.g.Delay(m.IP, c.peer)
	}
	return c
}

// run starts reading and writing.
func (c *conn) run() {
	go c.read()
	go c.deliver()
	go c.send()
}

// Write sends a copy of the bytes after the delay of the network.
func (c *conn) Write(p []byte) (int, error) {
	if c.isClosed {
		return 0, net.ErrClosed
	}
	c.out.put(packet{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)})
	return len(p), nil
}

// OutboundBuffered returns the number of bytes that were not sent yet.
func (c *conn) OutboundBuffered() int { return c.out.size() }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

// Context returns what SetContext has set.
func (c *conn) Context() any { return c.context }

// SetContext sets what Context returns.
func (c *conn) SetContext(context any) { c.context = context }

// PeerWrote returns the Unix time at which the newest bytes were read from the socket; 0: none were.
func (c *conn) PeerWrote() float64 { return c.wroteAt }

// PeerEnded returns the Unix time at which the peer ended the connection, at most endMarginSeconds too early; 0: not yet.
func (c *conn) PeerEnded() float64 { return c.endAt }

// reset resets the socket and drops what is not sent.
func (c *conn) reset() {
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close() // the connection is given up
	c.in.close()
	c.out.close()
}

// notifyClosed notifies the program of the end, once.
func (c *conn) notifyClosed(err error) {
	if c.isClosed {
		return
	}
	c.isClosed = true
	delete(c.m.conns, c)
	c.in.close()
	if l := c.process; l != nil && l.m.life == l {
		l.host.Closed(c, err)
	}
}

// read reads from the socket, up to maxInFlightBytes ahead of the program. It runs in a goroutine of its own.
func (c *conn) read() {
	buf := make([]byte, 64<<10)
	for {
		room := buf
		if share := c.m.share.Load(); share > 0 && share < 1000 {
			time.Sleep(stallStep * time.Duration(1000-share) / 1000)
			room = buf[:stallBytes]
		}
		n, err := c.tcp.Read(room)
		p := packet{at: c.m.g.Now(), due: time.Now().Add(c.delay), err: err}
		p.data = append(p.data, buf[:n]...)
		if !c.in.put(p) || err != nil {
			return
		}
		if !c.in.waitBelow(maxInFlightBytes) {
			return
		}
	}
}

// deliver hands the bytes to the program in the loop. It runs in a goroutine of its own.
func (c *conn) deliver() {
	for {
		p, ok := c.in.take()
		if !ok {
			return
		}
		done := make(chan struct{})
		c.m.g.Post(func() {
			defer close(done)
			if l := c.process; c.isClosed || l == nil || l.m.life != l {
				return
			}
			if p.err != nil {
				c.endAt = p.at - endMarginSeconds
			}
			if len(p.data) > 0 {
				c.wroteAt = p.at
				c.process.host.Traffic(c, p.data)
			}
			if p.err != nil && !c.isClosed {
				if !errors.Is(p.err, io.EOF) {
					c.reset()
				}
				c.process.closedByPeer(c, p.err)
			}
		})
		select {
		case <-done:
		case <-c.m.g.done:
			return
		}
		c.in.release(len(p.data))
		if p.err != nil {
			return
		}
	}
}

// closedByPeer notifies the program that the peer has ended the connection. The socket is closed once everything was sent.
func (l *process) closedByPeer(c *conn, err error) {
	c.out.put(packet{end: true, due: time.Now().Add(c.delay)})
	c.notifyClosed(err)
}

// send writes packets when they are due. It runs in a goroutine of its own.
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
		c.out.release(len(p.data))
	}
}

// packet is bytes, or an end, on their way through the network.
type packet struct {
	data []byte
	err  error   // the end of the stream that is read
	at   float64 // when it was read
	half bool    // nothing more is written
	end  bool    // the connection ends
	due  time.Time
}

// packetQueue is one direction of a connection. It can be held, as in a partition. It is safe for concurrent use.
type packetQueue struct {
	mu     sync.Mutex
	change *sync.Cond
	queue  []packet
	bytes  int
	held   bool
	closed bool
}

func newPacketQueue() *packetQueue {
	l := &packetQueue{}
	l.change = sync.NewCond(&l.mu)
	return l
}

// put adds a packet, and returns false where the queue is closed.
func (l *packetQueue) put(p packet) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, p)
	l.bytes += len(p.data)
	l.change.Broadcast()
	return !l.closed
}

// take returns the first packet once it is due, and false where the queue is closed.
func (l *packetQueue) take() (packet, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for !l.closed && (l.held || len(l.queue) == 0) {
			l.change.Wait()
		}
		if l.closed {
			return packet{}, false
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

// release subtracts bytes that have arrived.
func (l *packetQueue) release(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes -= n
	l.change.Broadcast()
}

// waitBelow waits until fewer bytes are on their way, and returns false where the queue is closed.
func (l *packetQueue) waitBelow(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.bytes >= n && !l.closed {
		l.change.Wait()
	}
	return !l.closed
}

func (l *packetQueue) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *packetQueue) setHeld(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = on
	l.change.Broadcast()
}

func (l *packetQueue) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.queue = nil
	l.change.Broadcast()
}
