// Package stub plays the servers of a deployment and their discovery service at little cost, so that what is measured
// is the sidecar and not what stands behind it: all boxes are one process with one event loop, and each answers every
// request alike, at once or after a fixed time, all together or so many at a time. Troubles can be done to them.
package stub

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Settings say which boxes there are and how they answer.
type Settings struct {
	Boxes   int           // how many, 1 to 4000
	Base    netip.Addr    // the first box's address; the others follow it
	Port    int           // the port of each
	Delay   time.Duration // from a request's last byte to its answer
	Body    int           // bytes of an answer's body
	Slots   int           // requests that a box works on at once; 0: as many as come. Needs a delay
	Waiting int           // requests that may wait for a slot; those beyond are turned away
	Threads int           // event loops, at least 1
	Zones   []string      // boxes are in these in turn
}

// MostBoxes is how many boxes one process plays at most: each takes a descriptor to listen.
const MostBoxes = 4000

// Box is one server as discovery lists it.
type Box struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Err returns what is wrong with the settings, in words that name the field.
func (s *Settings) Err() error {
	switch {
	case s.Boxes < 1 || s.Boxes > MostBoxes:
		return fmt.Errorf("boxes: %d, not 1 to %d", s.Boxes, MostBoxes)
	case !s.Base.IsLoopback():
		return fmt.Errorf("base: %s is not a loopback address", s.Base)
	case s.Port < 1 || s.Port > 65535:
		return fmt.Errorf("port: %d, not 1 to 65535", s.Port)
	case s.Delay < 0 || s.Delay > time.Minute:
		return fmt.Errorf("delay: %s, not 0 to 1 minute", s.Delay)
	case s.Body < 0 || s.Body > 64<<10:
		return fmt.Errorf("body: %d, not 0 to 65536", s.Body)
	case s.Threads < 1 || s.Threads > 64:
		return fmt.Errorf("threads: %d, not 1 to 64", s.Threads)
	case s.Slots < 0 || s.Waiting < 0:
		return fmt.Errorf("slots, waiting: %d and %d, not 0 or more", s.Slots, s.Waiting)
	case s.Slots > 0 && s.Delay == 0:
		return fmt.Errorf("slots: a box that answers at once has none")
	case len(s.Zones) == 0:
		return fmt.Errorf("zones: none")
	}
	return nil
}

// List returns the boxes as discovery lists them.
func (s *Settings) List() []Box {
	list := make([]Box, 0, s.Boxes)
	a := s.Base
	for i := range s.Boxes {
		list = append(list, Box{Name: fmt.Sprintf("s-%08x", i+1), Address: netip.AddrPortFrom(a, uint16(s.Port)).String(),
			Zone: s.Zones[i%len(s.Zones)], Type: "large", Status: "SERVING", Weight: 1})
		if a = a.Next(); a.As4()[3] == 255 { // neither the network's own address nor its broadcast
			a = a.Next().Next()
		}
	}
	return list
}

// Boxes are running stand-ins.
type Boxes struct {
	gnet.BuiltinEventEngine
	settings Settings
	answer   []byte
	engine   gnet.Engine
	up       chan struct{}
	down     chan error
	boxes    []*station
	at       map[string]*station // by address
	late     *queue
	stop     context.CancelFunc
}

// Counts are what a box has been asked.
type Counts struct {
	Name     string `json:"name"`
	Requests int64  `json:"requests"` // without probes
	Turned   int64  `json:"turned_away"`
}

// station is one box.
type station struct {
	Box
	requests, turned atomic.Int64
	trouble          atomic.Pointer[Trouble] // nil: none
	conns            sync.Map                // gnet.Conn to nothing: those that are open
	mu               sync.Mutex
	free             []time.Time // when each slot is free, in the order in which they are taken
	next             int         // the slot to be taken next
}

// Start has the boxes listen. An error names the address that could not be had.
func Start(s Settings) (*Boxes, error) {
	if err := s.Err(); err != nil {
		return nil, err
	}
	body := bytes.Repeat([]byte("x"), s.Body)
	b := &Boxes{settings: s, up: make(chan struct{}), down: make(chan error, 1), at: map[string]*station{}, late: newQueue()}
	b.answer = append([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "+strconv.Itoa(s.Body)+"\r\n\r\n"), body...)
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.late.run(ctx)
	var addresses []string
	for _, box := range s.List() {
		x := &station{Box: box, free: make([]time.Time, s.Slots)}
		b.boxes, b.at[box.Address] = append(b.boxes, x), x
		addresses = append(addresses, "tcp://"+box.Address)
	}
	go func() {
		b.down <- gnet.Rotate(b, addresses, gnet.WithNumEventLoop(s.Threads), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReuseAddr(true), gnet.WithReadBufferCap(128<<10), gnet.WithLogger(quietLog{}), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case err := <-b.down:
		stop()
		return nil, fmt.Errorf("boxes at %s and on: %w", addresses[0], err)
	case <-b.up:
		return b, nil
	}
}

// Counts returns what each box has been asked.
func (b *Boxes) Counts() []Counts {
	var all []Counts
	for _, x := range b.boxes {
		all = append(all, Counts{x.Name, x.requests.Load(), x.turned.Load()})
	}
	return all
}

// Requests returns how many requests the boxes have taken together, without probes.
func (b *Boxes) Requests() (n int64) {
	for _, x := range b.boxes {
		n += x.requests.Load()
	}
	return n
}

// Stop ends the boxes; their connections are closed.
func (b *Boxes) Stop() error {
	b.stop()
	until, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	return b.engine.Stop(until)
}

// OnBoot is gnet's word that all addresses are listened at.
func (b *Boxes) OnBoot(e gnet.Engine) gnet.Action {
	b.engine = e
	close(b.up)
	return gnet.None
}

// OnOpen gives a connection its state, or ends it where the box is down.
func (b *Boxes) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	x := b.at[c.LocalAddr().String()]
	state := &conn{box: x}
	c.SetContext(state)
	if t := x.trouble.Load(); t != nil && t.Kind == Crash {
		return nil, reset(c)
	}
	x.conns.Store(c, nil)
	return nil, gnet.None
}

// reset ends a connection with a reset.
func reset(c gnet.Conn) gnet.Action {
	_ = c.SetLinger(0) // fails only where the connection has gone
	return gnet.Close
}

// OnClose has what is still to be answered dropped.
func (b *Boxes) OnClose(c gnet.Conn, _ error) gnet.Action {
	state := c.Context().(*conn)
	state.gone.Store(true)
	state.box.conns.Delete(c)
	return gnet.None
}

// conn is what is known of a connection.
type conn struct {
	box  *station
	gone atomic.Bool
}

var (
	headEnd   = []byte("\r\n\r\n")
	probes    = [][]byte{[]byte("GET /health"), []byte("GET /status/load")}
	probed    = []byte("HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\ncpu_share=0,pending=0")
	failed    = []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	turned    = []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
	lengthIs  = []byte("\r\nContent-Length: ")
	lengthIs2 = []byte("\r\ncontent-length: ")
)

// OnTraffic answers each request that has come whole.
func (b *Boxes) OnTraffic(c gnet.Conn) gnet.Action {
	state := c.Context().(*conn)
	data, _ := c.Peek(-1) // fails only for more than there is
	t := state.box.trouble.Load()
	if t != nil && t.Kind == Crash {
		return reset(c)
	}
	used := 0
	for {
		rest := data[used:]
		end := bytes.Index(rest, headEnd)
		if end < 0 {
			break
		}
		head := rest[:end+4]
		whole := len(head) + bodyLength(head)
		if whole > len(rest) {
			break
		}
		used += whole
		probe := bytes.HasPrefix(head, probes[0]) || bytes.HasPrefix(head, probes[1])
		if t != nil && t.Kind == Hang {
			if !probe {
				state.box.requests.Add(1)
			}
			continue // never answered
		}
		if probe {
			_, _ = c.Write(probed) // an error closes the connection
			continue
		}
		b.serve(c, state, t)
	}
	_, _ = c.Discard(used)
	return gnet.None
}

// serve answers a request, at once or when it is due.
func (b *Boxes) serve(c gnet.Conn, state *conn, t *Trouble) {
	state.box.requests.Add(1)
	answer, delay := b.answer, b.settings.Delay
	if t != nil && t.Kind == Errors {
		answer = failed
	}
	if t != nil && t.Kind == Slow {
		delay += t.Delay
	}
	if delay == 0 {
		_, _ = c.Write(answer) // an error closes the connection
		return
	}
	due, ok := state.box.due(time.Now(), delay, b.settings.Waiting)
	if !ok {
		state.box.turned.Add(1)
		_, _ = c.Write(turned) // an error closes the connection
		return
	}
	b.late.push(entry{due: due, c: c, state: state, answer: answer})
}

// due takes a slot and returns when the work is done; ok is false where more wait than may.
func (x *station) due(now time.Time, delay time.Duration, waiting int) (due time.Time, ok bool) {
	if len(x.free) == 0 {
		return now.Add(delay), true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	slot := &x.free[x.next]
	begin := now
	if slot.After(now) {
		begin = *slot
		// The slot that is free next has its work and all that waits for it before this one.
		if ahead := float64(slot.Sub(now)) / float64(delay) * float64(len(x.free)); ahead > float64(waiting)+float64(len(x.free)) {
			return due, false
		}
	}
	*slot = begin.Add(delay)
	x.next = (x.next + 1) % len(x.free)
	return *slot, true
}

// bodyLength returns how many bytes of a body follow a head.
func bodyLength(head []byte) (n int) {
	if head[0] == 'G' {
		return 0
	}
	at := bytes.Index(head, lengthIs)
	if at < 0 {
		at = bytes.Index(head, lengthIs2)
	}
	if at < 0 {
		return 0
	}
	for _, d := range head[at+len(lengthIs):] {
		if d < '0' || d > '9' {
			break
		}
		n = n*10 + int(d-'0')
	}
	return n
}

// quietLog passes on what gnet says of errors.
type quietLog struct{}

func (quietLog) Debugf(string, ...any)          {}
func (quietLog) Infof(string, ...any)           {}
func (quietLog) Warnf(string, ...any)           {}
func (quietLog) Errorf(format string, a ...any) { slog.Error("boxes: " + fmt.Sprintf(format, a...)) }
func (quietLog) Fatalf(format string, a ...any) { slog.Error("boxes: " + fmt.Sprintf(format, a...)) }
