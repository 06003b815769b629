// Package standin plays the servers of a deployment and their discovery service at little cost, so that what is measured
// is the sidecar and not what stands behind it: all boxes are one process with one event loop, and each answers every
// request alike, at once or after a fixed time.
package standin

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
	requests atomic.Int64
	late     *queue // nil: answers go out at once
	stop     context.CancelFunc
}

// Start has the boxes listen. An error names the address that could not be had.
func Start(s Settings) (*Boxes, error) {
	if err := s.Err(); err != nil {
		return nil, err
	}
	body := bytes.Repeat([]byte("x"), s.Body)
	b := &Boxes{settings: s, up: make(chan struct{}), down: make(chan error, 1)}
	b.answer = append([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "+strconv.Itoa(s.Body)+"\r\n\r\n"), body...)
	ctx, stop := context.WithCancel(context.Background())
	if b.stop = stop; s.Delay > 0 {
		b.late = newQueue(b.answer)
		go b.late.run(ctx)
	}
	var addresses []string
	for _, box := range s.List() {
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

// Requests returns how many requests the boxes have taken, without probes.
func (b *Boxes) Requests() int64 { return b.requests.Load() }

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

// OnOpen gives a connection its state.
func (b *Boxes) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	c.SetContext(&conn{})
	return nil, gnet.None
}

// OnClose has what is still to be answered dropped.
func (b *Boxes) OnClose(c gnet.Conn, _ error) gnet.Action {
	c.Context().(*conn).gone.Store(true)
	return gnet.None
}

// conn is what is known of a connection.
type conn struct {
	skip int // bytes of a body still to come
	gone atomic.Bool
}

var (
	headEnd   = []byte("\r\n\r\n")
	probes    = [][]byte{[]byte("GET /health"), []byte("GET /status/load")}
	probed    = []byte("HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\ncpu_share=0,pending=0")
	lengthIs  = []byte("\r\nContent-Length: ")
	lengthIs2 = []byte("\r\ncontent-length: ")
)

// OnTraffic answers each request that has come whole.
func (b *Boxes) OnTraffic(c gnet.Conn) gnet.Action {
	state := c.Context().(*conn)
	data, _ := c.Peek(-1) // fails only for more than there is
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
		switch {
		case bytes.HasPrefix(head, probes[0]) || bytes.HasPrefix(head, probes[1]):
			c.Write(probed) // an error closes the connection
		case b.late != nil:
			b.requests.Add(1)
			b.late.push(entry{due: time.Now().Add(b.settings.Delay), c: c, state: state})
		default:
			b.requests.Add(1)
			c.Write(b.answer)
		}
	}
	c.Discard(used)
	return gnet.None
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

// entry is an answer that is due later.
type entry struct {
	due   time.Time
	c     gnet.Conn
	state *conn
}

// queue sends answers when they are due. All wait as long, so they go out in the order in which they came.
type queue struct {
	mu      sync.Mutex
	entries []entry
	more    chan struct{}
	answer  []byte
}

func newQueue(answer []byte) *queue { return &queue{more: make(chan struct{}, 1), answer: answer} }

func (q *queue) push(e entry) {
	q.mu.Lock()
	q.entries = append(q.entries, e)
	q.mu.Unlock()
	select {
	case q.more <- struct{}{}:
	default:
	}
}

// run sends until ctx ends.
func (q *queue) run(ctx context.Context) {
	for ctx.Err() == nil {
		q.mu.Lock()
		due := q.entries
		q.entries = nil
		q.mu.Unlock()
		for _, e := range due {
			if wait := time.Until(e.due); wait > 0 {
				time.Sleep(wait)
			}
			if !e.state.gone.Load() {
				_ = e.c.AsyncWrite(q.answer, nil) // fails only where the connection has gone
			}
		}
		if len(due) > 0 {
			continue
		}
		select {
		case <-q.more:
		case <-ctx.Done():
		}
	}
}

// quietLog passes on what gnet says of errors.
type quietLog struct{}

func (quietLog) Debugf(string, ...any)          {}
func (quietLog) Infof(string, ...any)           {}
func (quietLog) Warnf(string, ...any)           {}
func (quietLog) Errorf(format string, a ...any) { slog.Error("boxes: " + fmt.Sprintf(format, a...)) }
func (quietLog) Fatalf(format string, a ...any) { slog.Error("boxes: " + fmt.Sprintf(format, a...)) }
