package sim

import (
	"bytes"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

// Selector selects one of the servers that are ready; outstanding returns how many requests the balancer has at a server.
type Selector func(rng *rand.Rand, servers []uint32, outstanding func(server uint32) int) uint32

// Random selects any server with equal probability.
func Random(rng *rand.Rand, servers []uint32, _ func(uint32) int) uint32 {
	return servers[rng.IntN(len(servers))]
}

// LeastOutstanding selects a server with the fewest outstanding requests, at random among equals.
func LeastOutstanding(rng *rand.Rand, servers []uint32, outstanding func(uint32) int) uint32 {
	best, ties := servers[0], 1
	for _, server := range servers[1:] {
		switch n := outstanding(server); {
		case n < outstanding(best):
			best, ties = server, 1
		case n == outstanding(best):
			if ties++; rng.IntN(ties) == 0 {
				best = server
			}
		}
	}
	return best
}

// PlainBalancer returns the Factory of a balancer that only selects: one attempt, no health checks, no limits. It is the
// baseline for the service of the policy's decisions.
func PlainBalancer(choose Selector) Factory {
	return func(cfg sidecarconfig.Config, net netio.EventLoop, _ *slog.Logger) (Program, error) {
		p := &plainBalancer{cfg: cfg, loop: net, selectServer: choose, rng: rand.New(rand.NewPCG(cfg.Seed, 0x706c61696e)),
			endpoints: endpointset.New(cfg.Settings.Zones, cfg.Settings.HostTypes), outstanding: map[uint32]int{}, idle: map[uint32][]*plainConn{}}
		if len(cfg.Known) > 0 {
			if err := p.applyList(cfg.Known); err != nil {
				return nil, err
			}
		}
		return p, nil
	}
}

// plainBalancer is the baseline balancer. All its methods are for its event loop.
type plainBalancer struct {
	cfg          sidecarconfig.Config
	loop         netio.EventLoop
	selectServer Selector
	rng          *rand.Rand
	endpoints    *endpointset.Set
	serving      []uint32
	outstanding  map[uint32]int // by server; for lookups, never iterated
	idle         map[uint32][]*plainConn
	clients      []*plainConn
	pending      []*plainRequest // in no order
	scratch      []byte
	isDraining   bool
	watchRetryAt float64 // when the discovery watch is opened again; 0: it is up
	minStopAt    float64 // once draining, not before this time
}

var plainLimits = http1.Limits{HeadBytes: 16 << 10, BufferedBodyBytes: 8 << 20}

// plainConn is a connection of any kind.
type plainConn struct {
	conn     netio.Conn
	kind     plainConnKind
	buf      http1.Buffer
	request  http1.RequestParser
	response http1.ResponseParser
	current  *plainRequest
	server   uint32
}

// plainConnKind is the kind of a connection.
type plainConnKind uint8

const (
	plainClient plainConnKind = iota
	plainServer
	plainWatch
)

// plainRequest is a request that has been forwarded, or waits for its connection.
type plainRequest struct {
	client   *plainConn
	server   *plainConn
	cancel   func()
	serverID uint32
	deadline float64
	text     []byte
}

// Start implements netio.Handler.
func (p *plainBalancer) Start() {
	p.openWatch()
	p.loop.SetAlarm(p.loop.Now() + plainTickSeconds)
}

// plainTickSeconds is the time between two checks for requests past their deadline.
const plainTickSeconds = 0.01

// Do implements Program.
func (p *plainBalancer) Do(f func()) { p.loop.Post(f) }

// Leftovers implements Program; none are tracked.
func (p *plainBalancer) Leftovers() []Leftover { return nil }

// CordonServer implements Program; it isn't supported.
func (p *plainBalancer) CordonServer(string) error { return errors.ErrUnsupported }

// UncordonServer implements Program; it isn't supported.
func (p *plainBalancer) UncordonServer(string) error { return errors.ErrUnsupported }

// Reload implements Program; only a new address of the discovery is applied.
func (p *plainBalancer) Reload(c sidecarconfig.Config, err error) {
	if err == nil && c.Discovery != p.cfg.Discovery {
		p.cfg.Discovery = c.Discovery
		p.endpoints.ForgetIndex()
		p.watchRetryAt = p.loop.Now()
	}
}

// Drain implements Program: the balancer stops once all requests are answered, and not before clients have had the time to
// leave.
func (p *plainBalancer) Drain() { p.isDraining, p.minStopAt = true, p.loop.Now()+0.6 }

// Alarm implements netio.Handler: it fails requests past their deadline, opens the watch again and stops when drained.
func (p *plainBalancer) Alarm() {
	now := p.loop.Now()
	for i := 0; i < len(p.pending); {
		if a := p.pending[i]; a.deadline <= now {
			p.finish(a, 504, nil, false)
		} else {
			i++
		}
	}
	if p.watchRetryAt > 0 && p.watchRetryAt <= now {
		p.openWatch()
	}
	if p.isDraining && now >= p.minStopAt && len(p.pending) == 0 {
		p.loop.Stop()
		return
	}
	p.loop.SetAlarm(now + plainTickSeconds)
}

// openWatch dials the discovery.
func (p *plainBalancer) openWatch() {
	p.watchRetryAt = 0
	l := &plainConn{kind: plainWatch, response: http1.NewResponseParser(plainLimits)}
	p.loop.Dial(p.cfg.Discovery, p.loop.Now()+1, l, func(err error) {
		if err != nil {
			p.watchRetryAt = p.loop.Now() + 1
		}
	})
}

// applyList applies an update of the endpoint list.
func (p *plainBalancer) applyList(raw []byte) error {
	snapshot, infos, err := p.endpoints.Apply(raw, p.loop.Now())
	if err != nil {
		return err
	}
	if snapshot {
		p.serving = p.serving[:0]
	}
	for _, h := range infos {
		i, had := slices.BinarySearch(p.serving, h.ID)
		switch {
		case h.State == policy.Ready && !had:
			p.serving = slices.Insert(p.serving, i, h.ID)
		case h.State != policy.Ready && had:
			p.serving = slices.Delete(p.serving, i, i+1)
		}
	}
	return nil
}

// Open implements netio.Handler.
func (p *plainBalancer) Open(c netio.Conn) bool {
	l, dialed := c.Context().(*plainConn)
	if !dialed {
		l = &plainConn{kind: plainClient, request: http1.NewRequestParser(plainLimits)}
		c.SetContext(l)
	}
	l.conn = c
	switch l.kind {
	case plainClient:
		p.clients = append(p.clients, l)
	case plainWatch:
		_, _ = c.Write(http1.AppendRequest(nil, "GET", "/v1/endpoints?follow=1", http1.Header{{Name: "Host", Value: "discovery"}}, nil))
	case plainServer:
		if l.current != nil {
			_, _ = c.Write(l.current.text)
		}
	}
	return true
}

// Traffic implements netio.Handler.
func (p *plainBalancer) Traffic(c netio.Conn, data []byte) {
	l := c.Context().(*plainConn)
	l.buf.Write(data)
	switch l.kind {
	case plainClient:
		p.handleRequests(l)
	case plainWatch:
		done, err := l.response.Next(&l.buf)
		for err == nil {
			line, rest, ok := bytes.Cut(l.response.Body, []byte{'\n'})
			if !ok {
				break
			}
			if l.response.Body = rest; len(bytes.TrimSpace(line)) > 0 {
				err = p.applyList(line)
			}
		}
		if done || err != nil {
			p.loop.Close(c)
		}
	case plainServer:
		a := l.current
		if a == nil {
			p.loop.Close(c)
			return
		}
		if done, err := l.response.Next(&l.buf); err != nil {
			p.finish(a, 502, nil, false)
		} else if done {
			p.finish(a, l.response.Status, l.response.Body, l.response.IsPersistent() && l.buf.Len() == 0)
		}
	}
}

// handleRequests handles the next requests of a client, one at a time.
func (p *plainBalancer) handleRequests(l *plainConn) {
	for l.conn != nil && l.current == nil {
		isComplete, err := l.request.Next(&l.buf)
		if err != nil {
			p.loop.Close(l.conn)
			return
		}
		if !isComplete {
			return
		}
		r := &l.request
		if r.Target == "/ready" {
			p.respond(l, 200, nil)
		} else if len(p.serving) == 0 {
			p.respond(l, 503, nil)
		} else {
			p.forward(l, r)
		}
		r.Release()
	}
}

// forward sends a request to a server, on an idle connection if there is one.
func (p *plainBalancer) forward(l *plainConn, r *http1.RequestParser) {
	host := p.selectServer(p.rng, p.serving, func(server uint32) int { return p.outstanding[server] })
	a := &plainRequest{client: l, serverID: host, deadline: p.loop.Now() + 3, text: http1.AppendRequest(nil, r.Method, r.Target, r.Header.EndToEnd(), r.Body)}
	l.current = a
	p.outstanding[host]++
	p.pending = append(p.pending, a)
	for idle := p.idle[host]; len(idle) > 0; idle = p.idle[host] {
		s := idle[len(idle)-1]
		p.idle[host] = idle[:len(idle)-1]
		if p.loop.NothingToRead(s.conn) {
			s.current, a.server = a, s
			s.response = http1.NewResponseParser(plainLimits)
			_, _ = s.conn.Write(a.text)
			return
		}
		p.loop.Close(s.conn)
	}
	s := &plainConn{kind: plainServer, server: host, current: a, response: http1.NewResponseParser(plainLimits)}
	a.server = s
	a.cancel = p.loop.Dial(p.endpoints.Host(host).Address, p.loop.Now()+p.cfg.Settings.ConnectTimeoutS, s, func(err error) {
		if a.cancel = nil; err != nil && s.current != nil {
			p.finish(s.current, 502, nil, false)
		}
	})
}

// finish ends a request with a response. The server's connection is reused if keep is set.
func (p *plainBalancer) finish(a *plainRequest, status int, body []byte, keep bool) {
	if i := slices.Index(p.pending, a); i >= 0 {
		p.pending = slices.Delete(p.pending, i, i+1)
	}
	p.outstanding[a.serverID]--
	if s := a.server; s != nil {
		s.current = nil
		switch {
		case a.cancel != nil:
			a.cancel()
		case s.conn == nil:
		case keep:
			p.idle[s.server] = append(p.idle[s.server], s)
		default:
			p.loop.Close(s.conn)
		}
	}
	if l := a.client; l.conn != nil {
		l.current = nil
		p.respond(l, status, body)
		p.handleRequests(l)
	}
}

// respond writes a response to a client.
func (p *plainBalancer) respond(l *plainConn, status int, body []byte) {
	p.scratch = http1.AppendResponse(p.scratch[:0], status, nil, body)
	_, _ = l.conn.Write(p.scratch)
}

// Closed implements netio.Handler.
func (p *plainBalancer) Closed(c netio.Conn, err error) {
	l := c.Context().(*plainConn)
	l.conn = nil
	a := l.current
	l.current = nil
	switch l.kind {
	case plainClient:
		if i := slices.Index(p.clients, l); i >= 0 {
			p.clients = slices.Delete(p.clients, i, i+1)
		}
		if a != nil {
			p.finish(a, 502, nil, false)
		}
	case plainWatch:
		p.watchRetryAt = p.loop.Now() + 1
	case plainServer:
		if i := slices.Index(p.idle[l.server], l); i >= 0 {
			p.idle[l.server] = slices.Delete(p.idle[l.server], i, i+1)
		}
		if a != nil {
			p.finish(a, 502, nil, false)
		}
	}
}
