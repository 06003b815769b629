// Package processcluster plays fleets of real sidecars that know each other: it starts their processes, stands between all of them,
// has troubles come between them, and judges from outside.
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

// Switchboard stands between sidecars: each is dialed at a port of it, and who speaks is read from a link's first frame. It
// changes nothing that passes. It can be used from any goroutine.
type FaultProxy struct {
	mu        sync.Mutex
	changed   *sync.Cond
	faults    map[Direction]LinkFault
	links     map[*link]struct{}
	listeners []net.Listener
	forwarded map[Direction]uint64 // bytes
	isClosed  bool

	// Tap, if it is set, is told of each frame that a sidecar has sent, before anything befalls it; call tells links apart. It is set
	// before the first link, and may be called from several goroutines at once.
	OnFrame   func(call uint64, w Direction, topic frames.Topic, body []byte)
	linkCount uint64 // calls so far
}

// NewSwitchboard returns one that nobody uses yet.
func NewFaultProxy() *FaultProxy {
	s := &FaultProxy{faults: map[Direction]LinkFault{}, links: map[*link]struct{}{}, forwarded: map[Direction]uint64{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Add opens a port at which a sidecar is dialed that listens elsewhere.
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

// Close ends all.
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

// Set has a rule hold for ways from now on.
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

// Reset breaks all links between two sidecars.
func (p *FaultProxy) ResetLinks(a, b string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.dialer == a && l.target == b || l.dialer == b && l.target == a {
			l.reset()
		}
	}
}

// Passed returns how many bytes have gone each way so far, all ways together.
func (p *FaultProxy) ForwardedBytes() (total uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.forwarded {
		total += n
	}
	return total
}

// serve passes one link on.
func (p *FaultProxy) serveLink(in net.Conn, name, target string) {
	defer in.Close()
	_ = in.SetReadDeadline(time.Now().Add(helloTimeout)) // fails only on one that is closed
	first, hello, err := readHello(bufio.NewReaderSize(in, frames.MaxFrameBytes))
	if err != nil {
		// Whoever speaks otherwise speaks to the sidecar itself: it must cope.
		hello.Name = ""
	}
	_ = in.SetReadDeadline(time.Time{})
	// Danger: where either way is cut no link comes up at all; passed on, the target would see one that says nothing.
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

// pump passes bytes one way, as its rule says.
func (p *FaultProxy) forward(l *link, from, to net.Conn, direction Direction, first []byte) {
	buffer := make([]byte, 32<<10)
	var pausedUntil time.Time // until then the link takes nothing
	var frames []byte         // frames that have not been told of
	for {
		data := first
		if first = nil; len(data) == 0 {
			n, err := from.Read(buffer)
			if n == 0 && err != nil {
				p.awaitPermission(l, direction, 0, nil)
				if errors.Is(err, io.EOF) {
					if tcp, ok := to.(*net.TCPConn); ok {
						_ = tcp.CloseWrite() // fails only on one that is closed
					}
				}
				return
			}
			data = buffer[:n]
		}
		if p.OnFrame != nil {
			frames = p.notifyFrames(l, direction, append(frames, data...))
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

// tell tells of the whole frames, and returns what is left.
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

// paceFor is the time for which a paced link passes bytes at once.
const paceInterval = 50 * time.Millisecond

// await waits until some of the bytes may pass, and tells how many of them do or are lost; 0: the link is over. paced is until
// when a link at a rate takes nothing.
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
			p.mu.Lock() // Danger: between the look at the clock and the wait the word would be lost
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
