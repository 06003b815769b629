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

// Choose picks one of the boxes that serve; out says how many requests this balancer has at each.
type Selector func(rng *rand.Rand, boxes []uint32, out func(box uint32) int) uint32

// Random picks any.
func Random(rng *rand.Rand, boxes []uint32, _ func(uint32) int) uint32 {
	return boxes[rng.IntN(len(boxes))]
}

// LeastOutstanding picks one of those that have the fewest.
func LeastOutstanding(rng *rand.Rand, boxes []uint32, out func(uint32) int) uint32 {
	best, ties := boxes[0], 1
	for _, b := range boxes[1:] {
		switch n := out(b); {
		case n < out(best):
			best, ties = b, 1
		case n == out(best):
			if ties++; rng.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

// Plain returns the Core of a balancer that does no more than choose: one attempt, no probes, no limits. The service of
// the decisions is measured against it.
func PlainBalancer(choose Selector) Factory {
	return func(cfg sidecarconfig.Config, net netio.EventLoop, _ *slog.Logger) (Program, error) {
		p := &plain{cfg: cfg, net: net, choose: choose, rng: rand.New(rand.NewPCG(cfg.Seed, 0x706c61696e)),
			hosts: endpointset.New(cfg.Settings.Zones, cfg.Settings.HostTypes), out: map[uint32]int{}, idle: map[uint32][]*plainLink{}}
		if len(cfg.Known) > 0 {
			if err := p.list(cfg.Known); err != nil {
				return nil, err
			}
		}
		return p, nil
	}
}

// plain is a plain balancer.
type plain struct {
	cfg      sidecarconfig.Config
	net      netio.EventLoop
	choose   Selector
	rng      *rand.Rand
	hosts    *endpointset.Set
	serving  []uint32
	out      map[uint32]int // looked up, never walked
	idle     map[uint32][]*plainLink
	clients  []*plainLink
	due      []*plainAsk // in no order
	scratch  []byte
	draining bool
	rewatch  float64 // when the watch is begun again; 0: it is up
	leaveAt  float64
}

var plainLimits = http1.Limits{HeadBytes: 16 << 10, BufferedBodyBytes: 8 << 20}

// plainLink is a connection of any kind.
type plainLink struct {
	conn   netio.Conn
	kind   plainKind
	buf    http1.Buffer
	asks   http1.RequestParser
	answer http1.ResponseParser
	ask    *plainAsk
	host   uint32
}

type plainKind uint8

const (
	plainClient plainKind = iota
	plainServer
	plainWatch
)

// plainAsk is a request that is out.
type plainAsk struct {
	client *plainLink
	server *plainLink
	cancel func()
	host   uint32
	until  float64
	text   []byte
}

func (p *plain) Start() {
	p.watch()
	p.net.SetAlarm(p.net.Now() + plainTickS)
}

// plainTickS is the time between two looks for requests whose time is over.
const plainTickS = 0.01

func (p *plain) Do(f func())           { p.net.Post(f) }
func (p *plain) Leftovers() []Leftover { return nil }

// Offline and Online say no: there is no door.
func (p *plain) CordonServer(string) error   { return errors.ErrUnsupported }
func (p *plain) UncordonServer(string) error { return errors.ErrUnsupported }

func (p *plain) Reload(c sidecarconfig.Config, err error) {
	if err == nil && c.Discovery != p.cfg.Discovery {
		p.cfg.Discovery = c.Discovery
		p.hosts.ForgetIndex()
		p.rewatch = p.net.Now()
	}
}

// Drain has the balancer end once all is answered, at the earliest when clients have ceased to come.
func (p *plain) Drain() { p.draining, p.leaveAt = true, p.net.Now()+0.6 }

func (p *plain) Alarm() {
	now := p.net.Now()
	for i := 0; i < len(p.due); {
		if a := p.due[i]; a.until <= now {
			p.finish(a, 504, nil, false)
		} else {
			i++
		}
	}
	if p.rewatch > 0 && p.rewatch <= now {
		p.watch()
	}
	if p.draining && now >= p.leaveAt && len(p.due) == 0 {
		p.net.Stop()
		return
	}
	p.net.SetAlarm(now + plainTickS)
}

func (p *plain) watch() {
	p.rewatch = 0
	l := &plainLink{kind: plainWatch, answer: http1.NewResponseParser(plainLimits)}
	p.net.Dial(p.cfg.Discovery, p.net.Now()+1, l, func(err error) {
		if err != nil {
			p.rewatch = p.net.Now() + 1
		}
	})
}

func (p *plain) list(raw []byte) error {
	snapshot, infos, err := p.hosts.Apply(raw, p.net.Now())
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

func (p *plain) Open(c netio.Conn) bool {
	l, dialed := c.Context().(*plainLink)
	if !dialed {
		l = &plainLink{kind: plainClient, asks: http1.NewRequestParser(plainLimits)}
		c.SetContext(l)
	}
	l.conn = c
	switch l.kind {
	case plainClient:
		p.clients = append(p.clients, l)
	case plainWatch:
		_, _ = c.Write(http1.AppendRequest(nil, "GET", "/v1/endpoints?follow=1", http1.Header{{Name: "Host", Value: "discovery"}}, nil))
	case plainServer:
		if l.ask != nil {
			_, _ = c.Write(l.ask.text)
		}
	}
	return true
}

func (p *plain) Traffic(c netio.Conn, data []byte) {
	l := c.Context().(*plainLink)
	l.buf.Write(data)
	switch l.kind {
	case plainClient:
		p.read(l)
	case plainWatch:
		done, err := l.answer.Next(&l.buf)
		for err == nil {
			line, rest, ok := bytes.Cut(l.answer.Body, []byte{'\n'})
			if !ok {
				break
			}
			if l.answer.Body = rest; len(bytes.TrimSpace(line)) > 0 {
				err = p.list(line)
			}
		}
		if done || err != nil {
			p.net.Close(c)
		}
	case plainServer:
		a := l.ask
		if a == nil {
			p.net.Close(c)
			return
		}
		if done, err := l.answer.Next(&l.buf); err != nil {
			p.finish(a, 502, nil, false)
		} else if done {
			p.finish(a, l.answer.Status, l.answer.Body, l.answer.IsPersistent() && l.buf.Len() == 0)
		}
	}
}

// read takes up the next request of a client.
func (p *plain) read(l *plainLink) {
	for l.conn != nil && l.ask == nil {
		whole, err := l.asks.Next(&l.buf)
		if err != nil {
			p.net.Close(l.conn)
			return
		}
		if !whole {
			return
		}
		r := &l.asks
		if r.Target == "/ready" {
			p.say(l, 200, nil)
		} else if len(p.serving) == 0 {
			p.say(l, 503, nil)
		} else {
			p.send(l, r)
		}
		r.Release()
	}
}

func (p *plain) send(l *plainLink, r *http1.RequestParser) {
	host := p.choose(p.rng, p.serving, func(box uint32) int { return p.out[box] })
	a := &plainAsk{client: l, host: host, until: p.net.Now() + 3, text: http1.AppendRequest(nil, r.Method, r.Target, r.Header.EndToEnd(), r.Body)}
	l.ask = a
	p.out[host]++
	p.due = append(p.due, a)
	for idle := p.idle[host]; len(idle) > 0; idle = p.idle[host] {
		s := idle[len(idle)-1]
		p.idle[host] = idle[:len(idle)-1]
		if p.net.NothingToRead(s.conn) {
			s.ask, a.server = a, s
			s.answer = http1.NewResponseParser(plainLimits)
			_, _ = s.conn.Write(a.text)
			return
		}
		p.net.Close(s.conn)
	}
	s := &plainLink{kind: plainServer, host: host, ask: a, answer: http1.NewResponseParser(plainLimits)}
	a.server = s
	a.cancel = p.net.Dial(p.hosts.Host(host).Address, p.net.Now()+p.cfg.Settings.ConnectTimeoutS, s, func(err error) {
		if a.cancel = nil; err != nil && s.ask != nil {
			p.finish(s.ask, 502, nil, false)
		}
	})
}

// finish ends a request with an answer. Its server's connection is kept where keep says so.
func (p *plain) finish(a *plainAsk, status int, body []byte, keep bool) {
	if i := slices.Index(p.due, a); i >= 0 {
		p.due = slices.Delete(p.due, i, i+1)
	}
	p.out[a.host]--
	if s := a.server; s != nil {
		s.ask = nil
		switch {
		case a.cancel != nil:
			a.cancel()
		case s.conn == nil:
		case keep:
			p.idle[s.host] = append(p.idle[s.host], s)
		default:
			p.net.Close(s.conn)
		}
	}
	if l := a.client; l.conn != nil {
		l.ask = nil
		p.say(l, status, body)
		p.read(l)
	}
}

func (p *plain) say(l *plainLink, status int, body []byte) {
	p.scratch = http1.AppendResponse(p.scratch[:0], status, nil, body)
	_, _ = l.conn.Write(p.scratch)
}

func (p *plain) Closed(c netio.Conn, err error) {
	l := c.Context().(*plainLink)
	l.conn = nil
	a := l.ask
	l.ask = nil
	switch l.kind {
	case plainClient:
		if i := slices.Index(p.clients, l); i >= 0 {
			p.clients = slices.Delete(p.clients, i, i+1)
		}
		if a != nil {
			p.finish(a, 502, nil, false)
		}
	case plainWatch:
		p.rewatch = p.net.Now() + 1
	case plainServer:
		if i := slices.Index(p.idle[l.host], l); i >= 0 {
			p.idle[l.host] = slices.Delete(p.idle[l.host], i, i+1)
		}
		if a != nil {
			p.finish(a, 502, nil, false)
		}
	}
}
