// Package processcluster plays fleets of real sidecars that know each other: it starts their processes, stands between all of them,
// has troubles come between them, and judges from outside.
package processcluster

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/peers/frames"
)

// Way is a direction between two sidecars, by their names.
type Direction struct{ From, To string }

// Rule is what befalls the bytes of a way. The zero value is none.
type LinkFault struct {
	Cut            bool    // they are lost; links that lost any are reset once the cut is mended, as TCP gives up
	Hold           bool    // they wait, and links stay up
	BytesPerSecond float64 // bytes a second that each link takes; 0: as many as come
}

// Switchboard stands between sidecars: each is dialed at a port of it, and who speaks is read from a link's first frame. It
// changes nothing that passes. It can be used from any goroutine.
type FaultProxy struct {
	mu      sync.Mutex
	changed *sync.Cond
	rules   map[Direction]LinkFault
	calls   map[*call]struct{}
	lines   []net.Listener
	passed  map[Direction]uint64 // bytes
	closed  bool

	// Tap, if it is set, is told of each frame that a sidecar has sent, before anything befalls it; call tells links apart. It is set
	// before the first link, and may be called from several goroutines at once.
	OnFrame func(call uint64, w Direction, topic frames.Topic, body []byte)
	n       uint64 // calls so far
}

// call is one link.
type call struct {
	a, b   string // who has dialed, and who is dialed
	conns  [2]net.Conn
	doomed bool
	number uint64
}

// NewSwitchboard returns one that nobody uses yet.
func NewFaultProxy() *FaultProxy {
	s := &FaultProxy{rules: map[Direction]LinkFault{}, calls: map[*call]struct{}{}, passed: map[Direction]uint64{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Add opens a port at which a sidecar is dialed that listens elsewhere.
func (s *FaultProxy) Listen(name, listens string) (advertise string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.lines = append(s.lines, l)
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			go s.serve(c, name, listens)
		}
	}()
	return l.Addr().String(), nil
}

// Close ends all.
func (s *FaultProxy) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.lines {
		l.Close()
	}
	for c := range s.calls {
		c.end()
	}
	s.changed.Broadcast()
}

// Set has a rule hold for ways from now on.
func (s *FaultProxy) SetFault(r LinkFault, ways ...Direction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range ways {
		if s.rules[w] = r; r == (LinkFault{}) {
			delete(s.rules, w)
		}
	}
	if !r.Cut {
		for c := range s.calls {
			if c.doomed && !s.rules[Direction{c.a, c.b}].Cut && !s.rules[Direction{c.b, c.a}].Cut {
				c.end()
			}
		}
	}
	s.changed.Broadcast()
}

// Reset breaks all links between two sidecars.
func (s *FaultProxy) ResetLinks(a, b string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if c.a == a && c.b == b || c.a == b && c.b == a {
			c.end()
		}
	}
}

// Passed returns how many bytes have gone each way so far, all ways together.
func (s *FaultProxy) ForwardedBytes() (total uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.passed {
		total += n
	}
	return total
}

// Between returns the ways between two groups; both directions, or from the first to the second alone.
func Directions(from, to []string, oneWay bool) (ways []Direction) {
	for _, a := range from {
		for _, b := range to {
			if a == b || slices.Contains(from, b) && slices.Contains(to, a) && a > b {
				continue
			}
			if ways = append(ways, Direction{a, b}); !oneWay {
				ways = append(ways, Direction{b, a})
			}
		}
	}
	return ways
}

// end breaks a link: both ends are reset.
func (c *call) end() {
	for _, conn := range c.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on one that is closed
			_ = tcp.Close()      // the connection is given up
		}
	}
}

// mostHello bounds the wait for a first frame.
const mostHello = 10 * time.Second

// serve passes one link on.
func (s *FaultProxy) serve(in net.Conn, name, listens string) {
	defer in.Close()
	_ = in.SetReadDeadline(time.Now().Add(mostHello)) // fails only on one that is closed
	first, hello, err := readHello(bufio.NewReaderSize(in, frames.MaxFrameBytes))
	if err != nil {
		// Whoever speaks otherwise speaks to the sidecar itself: it must cope.
		hello.Name = ""
	}
	_ = in.SetReadDeadline(time.Time{})
	// Danger: where either way is cut no link comes up at all; passed on, the target would see one that says nothing.
	s.mu.Lock()
	cut := false
	for !s.closed && (s.rules[Direction{hello.Name, name}].Cut || s.rules[Direction{name, hello.Name}].Cut) {
		cut = true
		s.changed.Wait()
	}
	s.mu.Unlock()
	if cut {
		(&call{conns: [2]net.Conn{in, nil}}).end()
		return
	}
	out, err := net.Dial("tcp", listens)
	if err != nil {
		(&call{conns: [2]net.Conn{in, nil}}).end()
		return
	}
	defer out.Close()
	c := &call{a: hello.Name, b: name, conns: [2]net.Conn{in, out}}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.calls[c] = struct{}{}
	s.n++
	c.number = s.n
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.calls, c)
		s.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { s.pump(c, in, out, Direction{c.a, c.b}, first); done <- struct{}{} }()
	go func() { s.pump(c, out, in, Direction{c.b, c.a}, nil); done <- struct{}{} }()
	<-done
	c.end()
	<-done
}

// readHello reads up to the end of the first frame; what was read is returned also after an error.
func readHello(r *bufio.Reader) (first []byte, h frames.Hello, err error) {
	head, err := r.Peek(4)
	if err == nil {
		n := min(int(binary.BigEndian.Uint32(head)), frames.MaxFrameBytes-4)
		_, err = r.Peek(4 + n)
	}
	first, _ = r.Peek(r.Buffered())
	first = slices.Clone(first)
	if err != nil {
		return first, h, err
	}
	topic, body, _, err := frames.Next(first)
	if err == nil && topic == frames.TopicHello {
		err = frames.Unmarshal(body, &h)
	}
	return first, h, err
}

// pump passes bytes one way, as its rule says.
func (s *FaultProxy) pump(c *call, from, to net.Conn, w Direction, first []byte) {
	b := make([]byte, 32<<10)
	var paced time.Time // until then the link takes nothing
	var whole []byte    // frames that have not been told of
	for {
		data := first
		if first = nil; len(data) == 0 {
			n, err := from.Read(b)
			if n == 0 && err != nil {
				s.await(c, w, 0, nil)
				if errors.Is(err, io.EOF) {
					if tcp, ok := to.(*net.TCPConn); ok {
						_ = tcp.CloseWrite() // fails only on one that is closed
					}
				}
				return
			}
			data = b[:n]
		}
		if s.OnFrame != nil {
			whole = s.tell(c, w, append(whole, data...))
		}
		for len(data) > 0 {
			n, pass := s.await(c, w, len(data), &paced)
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
func (s *FaultProxy) tell(c *call, w Direction, data []byte) []byte {
	for {
		topic, body, n, err := frames.Next(data)
		if err != nil || n == 0 {
			return data[:min(len(data), frames.MaxFrameBytes)]
		}
		s.OnFrame(c.number, w, topic, body)
		data = data[n:]
	}
}

// paceFor is the time for which a paced link passes bytes at once.
const paceFor = 50 * time.Millisecond

// await waits until some of the bytes may pass, and tells how many of them do or are lost; 0: the link is over. paced is until
// when a link at a rate takes nothing.
func (s *FaultProxy) await(c *call, w Direction, n int, paced *time.Time) (int, bool) {
	s.mu.Lock()
	for !s.closed {
		r := s.rules[w]
		if r.Hold {
			s.changed.Wait()
			continue
		}
		left := time.Duration(0)
		if r.BytesPerSecond > 0 && paced != nil {
			left = time.Until(*paced)
		}
		if left <= 0 {
			break
		}
		again := time.AfterFunc(left, func() {
			s.mu.Lock() // Danger: between the look at the clock and the wait the word would be lost
			defer s.mu.Unlock()
			s.changed.Broadcast()
		})
		s.changed.Wait()
		again.Stop()
	}
	r := s.rules[w]
	if r.BytesPerSecond > 0 && n > 0 {
		n = min(n, max(int(r.BytesPerSecond*paceFor.Seconds()), 1))
		*paced = time.Now().Add(time.Duration(float64(n) / r.BytesPerSecond * float64(time.Second)))
	}
	_, on := s.calls[c]
	switch {
	case s.closed || !on:
		n = 0
	case r.Cut:
		c.doomed = true
		s.mu.Unlock()
		return n, false
	}
	s.passed[w] += uint64(n)
	s.mu.Unlock()
	return n, true
}
