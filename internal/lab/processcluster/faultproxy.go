package processcluster

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"hazelwheel/internal/peers/frames"
)

// FaultProxy forwards the links between sidecars and injects faults into them. Each sidecar is dialed at a port of the proxy; the dialing sidecar is
// read from the first frame of a link. Bytes are never changed. It is safe for concurrent use.
type FaultProxy struct {
	mu        sync.Mutex // guards the fields but OnFrame
	changed   *sync.Cond // faults, or isClosed
	faults    map[Direction]LinkFault
	links     map[*link]struct{}
	listeners []net.Listener
	forwarded map[Direction]uint64 // bytes
	isClosed  bool

	// OnFrame, if it is set, is called with each frame that a sidecar has sent, before faults apply to it. link identifies the link. It is set before
	// the first link, and may be called from several goroutines at once.
	OnFrame   func(link uint64, direction Direction, topic frames.Topic, body []byte)
	linkCount uint64 // accepted so far; the number of the last link
}

// NewFaultProxy returns a proxy without ports and faults.
func NewFaultProxy() *FaultProxy {
	s := &FaultProxy{faults: map[Direction]LinkFault{}, links: map[*link]struct{}{}, forwarded: map[Direction]uint64{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Listen opens a port for the sidecar name, which listens at target, and returns the address that it is to advertise.
func (p *FaultProxy) Listen(name, target string) (advertise string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, listener)
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			go p.serveLink(conn, name, target)
		}
	}()
	return listener.Addr().String(), nil
}

// Close closes all ports and resets all links.
func (p *FaultProxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, listener := range p.listeners {
		listener.Close()
	}
	for l := range p.links {
		l.reset()
	}
	p.changed.Broadcast()
}

// SetFault sets the fault of directions, in place of an earlier one. The zero fault ends it.
func (p *FaultProxy) SetFault(fault LinkFault, directions ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, direction := range directions {
		if p.faults[direction] = fault; fault == (LinkFault{}) {
			delete(p.faults, direction)
		}
	}
	if !fault.Cut {
		for l := range p.links {
			if l.hasLostBytes && !p.faults[Direction{l.dialer, l.target}].Cut && !p.faults[Direction{l.target, l.dialer}].Cut {
				l.reset()
			}
		}
	}
	p.changed.Broadcast()
}

// ResetLinks resets all links between two sidecars.
func (p *FaultProxy) ResetLinks(a, b string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.dialer == a && l.target == b || l.dialer == b && l.target == a {
			l.reset()
		}
	}
}

// ForwardedBytes returns how many bytes were forwarded so far, in all directions.
func (p *FaultProxy) ForwardedBytes() (total uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.forwarded {
		total += n
	}
	return total
}

// serveLink accepts a link to the sidecar name, dials the sidecar at target and forwards in both directions until one ends.
func (p *FaultProxy) serveLink(in net.Conn, name, target string) {
	defer in.Close()
	_ = in.SetReadDeadline(time.Now().Add(helloTimeout)) // fails only on a closed connection
	first, hello, err := readHello(bufio.NewReaderSize(in, frames.MaxFrameBytes))
	if err != nil {
		// What is not a peer is forwarded too, without a name: the sidecar must cope with it.
		hello.Name = ""
	}
	_ = in.SetReadDeadline(time.Time{})
	// Danger: while either direction is cut no link may be established; if it were dialed, the target would see a link that stays silent.
	p.mu.Lock()
	wasCut := false
	for !p.isClosed && (p.faults[Direction{hello.Name, name}].Cut || p.faults[Direction{name, hello.Name}].Cut) {
		wasCut = true
		p.changed.Wait()
	}
	p.mu.Unlock()
	if wasCut {
		(&link{conns: [2]net.Conn{in, nil}}).reset()
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		(&link{conns: [2]net.Conn{in, nil}}).reset()
		return
	}
	defer out.Close()
	l := &link{dialer: hello.Name, target: name, conns: [2]net.Conn{in, out}}
	p.mu.Lock()
	if p.isClosed {
		p.mu.Unlock()
		return
	}
	p.links[l] = struct{}{}
	p.linkCount++
	l.number = p.linkCount
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { p.forward(l, in, out, Direction{l.dialer, l.target}, first); done <- struct{}{} }()
	go func() { p.forward(l, out, in, Direction{l.target, l.dialer}, nil); done <- struct{}{} }()
	<-done
	l.reset()
	<-done
}

// forward forwards the bytes of one direction, subject to its fault, until an end closes or the link is reset. first has been read already.
func (p *FaultProxy) forward(l *link, from, to net.Conn, direction Direction, first []byte) {
	buffer := make([]byte, 32<<10)
	var pausedUntil time.Time // no bytes are accepted before, at a limited rate
	var unparsed []byte       // bytes since the last frame given to OnFrame
	for {
		data := first
		if first = nil; len(data) == 0 {
			n, err := from.Read(buffer)
			if n == 0 && err != nil {
				p.awaitPermission(l, direction, 0, nil)
				if errors.Is(err, io.EOF) {
					if tcp, ok := to.(*net.TCPConn); ok {
						_ = tcp.CloseWrite() // fails only on a closed connection
					}
				}
				return
			}
			data = buffer[:n]
		}
		if p.OnFrame != nil {
			unparsed = p.notifyFrames(l, direction, append(unparsed, data...))
		}
		for len(data) > 0 {
			n, pass := p.awaitPermission(l, direction, len(data), &pausedUntil)
			if n == 0 {
				return
			}
			if pass {
				if _, err := to.Write(data[:n]); err != nil {
					return
				}
			}
			data = data[n:]
		}
	}
}

// notifyFrames calls OnFrame with the complete frames in data and returns the rest.
func (p *FaultProxy) notifyFrames(l *link, direction Direction, data []byte) []byte {
	for {
		topic, body, n, err := frames.Next(data)
		if err != nil || n == 0 {
			return data[:min(len(data), frames.MaxFrameBytes)]
		}
		p.OnFrame(l.number, direction, topic, body)
		data = data[n:]
	}
}

// paceInterval is the time whose bytes a link at a limited rate forwards at once.
const paceInterval = 50 * time.Millisecond

// awaitPermission waits until the fault of a direction lets bytes pass. Of n bytes it returns how many to take, and whether to forward them or to drop
// them because of a cut; 0 means that the link is closed. At a limited rate it waits for pausedUntil and sets it for the next call.
func (p *FaultProxy) awaitPermission(l *link, direction Direction, n int, pausedUntil *time.Time) (int, bool) {
	p.mu.Lock()
	for !p.isClosed {
		fault := p.faults[direction]
		if fault.Hold {
			p.changed.Wait()
			continue
		}
		remaining := time.Duration(0)
		if fault.BytesPerSecond > 0 && pausedUntil != nil {
			remaining = time.Until(*pausedUntil)
		}
		if remaining <= 0 {
			break
		}
		wakeUp := time.AfterFunc(remaining, func() {
			p.mu.Lock() // Danger: without the lock the broadcast could come between the check and the wait, and be lost
			defer p.mu.Unlock()
			p.changed.Broadcast()
		})
		p.changed.Wait()
		wakeUp.Stop()
	}
	fault := p.faults[direction]
	if fault.BytesPerSecond > 0 && n > 0 {
		n = min(n, max(int(fault.BytesPerSecond*paceInterval.Seconds()), 1))
		*pausedUntil = time.Now().Add(time.Duration(float64(n) / fault.BytesPerSecond * float64(time.Second)))
	}
	_, isOpen := p.links[l]
	switch {
	case p.isClosed || !isOpen:
		n = 0
	case fault.Cut:
		l.hasLostBytes = true
		p.mu.Unlock()
		return n, false
	}
	p.forwarded[direction] += uint64(n)
	p.mu.Unlock()
	return n, true
}
