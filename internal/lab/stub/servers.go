// Package stub stands in for the servers of a deployment and their discovery service at little cost, so that measurements are of the sidecar and not
// of its servers: all servers are one process with one event loop, and each answers every request alike, at once or after a fixed time, without
// a bound or so many at a time. Faults can be injected.
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

// Settings configures the servers. Error texts name the fields by the laboratory's flags.
type Settings struct {
	Servers int           // how many, 1 to 4000
	Base    netip.Addr    // address of the first server; the others follow it
	Port    int           // of each server
	Delay   time.Duration // from a request's last byte to its answer
	Body    int           // bytes of an answer's body
	Slots   int           // requests that a server executes at once; 0: no bound. Needs a delay
	Waiting int           // requests that may wait for a slot; those beyond are rejected
	Threads int           // event loops, at least 1
	Zones   []string      // of the servers, in turn
}

// MaxServers bounds the servers of one process: each takes a descriptor to listen.
const MaxServers = 4000

// Listed is a server as discovery lists it.
type Listed struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Validate returns an error that names the first field that is wrong.
func (s *Settings) Validate() error {
	switch {
	case s.Servers < 1 || s.Servers > MaxServers:
		return fmt.Errorf("boxes: %d, not 1 to %d", s.Servers, MaxServers)
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

// List returns the servers as discovery lists them.
func (s *Settings) List() []Listed {
	list := make([]Listed, 0, s.Servers)
	a := s.Base
	for i := range s.Servers {
		list = append(list, Listed{Name: fmt.Sprintf("s-%08x", i+1), Address: netip.AddrPortFrom(a, uint16(s.Port)).String(),
			Zone: s.Zones[i%len(s.Zones)], Type: "large", Status: "SERVING", Weight: 1})
		if a = a.Next(); a.As4()[3] == 255 { // skips addresses that end in 255 and 0
			a = a.Next().Next()
		}
	}
	return list
}

// Servers are the running servers.
type Servers struct {
	gnet.BuiltinEventEngine
	settings  Settings
	answer    []byte
	engine    gnet.Engine
	up        chan struct{}
	down      chan error
	servers   []*server
	byAddress map[string]*server // by address
	delayed   *queue
	stop      context.CancelFunc
}

// Counts holds the requests of a server.
type Counts struct {
	Name     string `json:"name"`
	Requests int64  `json:"requests"` // without health checks
	Rejected int64  `json:"turned_away"`
}

// server is one server.
type server struct {
	Listed
	requests, rejected atomic.Int64
	fault              atomic.Pointer[Fault] // nil: none
	conns              sync.Map              // open connections: gnet.Conn to nil
	mu                 sync.Mutex
	free               []time.Time // when each slot is free, in the order in which they are used
	next               int         // index of the slot to use next
}

// Start starts the servers. Its error names the first address.
func Start(s Settings) (*Servers, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	body := bytes.Repeat([]byte("x"), s.Body)
	b := &Servers{settings: s, up: make(chan struct{}), down: make(chan error, 1), byAddress: map[string]*server{}, delayed: newQueue()}
	b.answer = append([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "+strconv.Itoa(s.Body)+"\r\n\r\n"), body...)
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.delayed.run(ctx)
	var addresses []string
	for _, box := range s.List() {
		x := &server{Listed: box, free: make([]time.Time, s.Slots)}
		b.servers, b.byAddress[box.Address] = append(b.servers, x), x
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

// Counts returns the counts of each server.
func (b *Servers) Counts() []Counts {
	var all []Counts
	for _, x := range b.servers {
		all = append(all, Counts{x.Name, x.requests.Load(), x.rejected.Load()})
	}
	return all
}

// Requests returns how many requests all servers have received, without health checks.
func (b *Servers) Requests() (n int64) {
	for _, x := range b.servers {
		n += x.requests.Load()
	}
	return n
}

// Stop stops the servers and closes their connections.
func (b *Servers) Stop() error {
	b.stop()
	until, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	return b.engine.Stop(until)
}

// OnBoot is called by gnet once all addresses are listened at.
func (b *Servers) OnBoot(e gnet.Engine) gnet.Action {
	b.engine = e
	close(b.up)
	return gnet.None
}

// OnOpen sets up the state of a connection, or resets it where the server has crashed.
func (b *Servers) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	x := b.byAddress[c.LocalAddr().String()]
	state := &conn{server: x}
	c.SetContext(state)
	if t := x.fault.Load(); t != nil && t.Kind == Crash {
		return nil, reset(c)
	}
	x.conns.Store(c, nil)
	return nil, gnet.None
}

// reset resets a connection.
func reset(c gnet.Conn) gnet.Action {
	_ = c.SetLinger(0) // fails only where the connection has gone
	return gnet.Close
}

// OnClose drops the answers that are not sent yet.
func (b *Servers) OnClose(c gnet.Conn, _ error) gnet.Action {
	state := c.Context().(*conn)
	state.closed.Store(true)
	state.server.conns.Delete(c)
	return gnet.None
}

// conn is the state of a connection.
type conn struct {
	server *server
	closed atomic.Bool
}

var (
	headEnd        = []byte("\r\n\r\n")
	probes         = [][]byte{[]byte("GET /health"), []byte("GET /status/load")}
	healthAnswer   = []byte("HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\ncpu_share=0,pending=0")
	errorAnswer    = []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	rejectedAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
	lengthIs       = []byte("\r\nContent-Length: ")
	lengthIs2      = []byte("\r\ncontent-length: ")
)

// OnTraffic answers each request that is complete.
func (b *Servers) OnTraffic(c gnet.Conn) gnet.Action {
	state := c.Context().(*conn)
	data, _ := c.Peek(-1) // fails only for more than there is
	t := state.server.fault.Load()
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
				state.server.requests.Add(1)
			}
			continue // never answered
		}
		if probe {
			_, _ = c.Write(healthAnswer) // an error closes the connection
			continue
		}
		b.serve(c, state, t)
	}
	_, _ = c.Discard(used)
	return gnet.None
}

// serve answers a request, at once or after its delay.
func (b *Servers) serve(c gnet.Conn, state *conn, t *Fault) {
	state.server.requests.Add(1)
	answer, delay := b.answer, b.settings.Delay
	if t != nil && t.Kind == Errors {
		answer = errorAnswer
	}
	if t != nil && t.Kind == Slow {
		delay += t.Delay
	}
	if delay == 0 {
		_, _ = c.Write(answer) // an error closes the connection
		return
	}
	due, ok := state.server.due(time.Now(), delay, b.settings.Waiting)
	if !ok {
		state.server.rejected.Add(1)
		_, _ = c.Write(rejectedAnswer) // an error closes the connection
		return
	}
	b.delayed.push(entry{due: due, c: c, state: state, answer: answer})
}

// due reserves a slot and returns when the request is executed; ok is false where too many wait.
func (x *server) due(now time.Time, delay time.Duration, waiting int) (due time.Time, ok bool) {
	if len(x.free) == 0 {
		return now.Add(delay), true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	slot := &x.free[x.next]
	begin := now
	if slot.After(now) {
		begin = *slot
		// The next free slot executes its request and all that wait for it before this one.
		if ahead := float64(slot.Sub(now)) / float64(delay) * float64(len(x.free)); ahead > float64(waiting)+float64(len(x.free)) {
			return due, false
		}
	}
	*slot = begin.Add(delay)
	x.next = (x.next + 1) % len(x.free)
	return *slot, true
}

// bodyLength returns the number of bytes of the body that follows a head.
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

// quietLog passes on the errors of gnet, and drops the rest.
type quietLog struct{}

// Debugf drops a message.
func (quietLog) Debugf(string, ...any) {}

// Infof drops a message.
func (quietLog) Infof(string, ...any) {}

// Warnf drops a message.
func (quietLog) Warnf(string, ...any) {}

// Errorf logs an error.
func (quietLog) Errorf(format string, a ...any) { slog.Error("boxes: " + fmt.Sprintf(format, a...)) }

// Fatalf logs an error.
func (quietLog) Fatalf(format string, a ...any) { slog.Error("boxes: " + fmt.Sprintf(format, a...)) }
