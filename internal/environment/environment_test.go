package environment

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

// eventRecorder keeps the events that an environment reports.
type eventRecorder struct{ events []checker.Event }

func (n *eventRecorder) Observe(e checker.Event) { n.events = append(n.events, e) }

func (n *eventRecorder) count(kind checker.Kind) int {
	count := 0
	for _, e := range n.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// recordingHandler is a netio.Handler whose calls a test sets.
type recordingHandler struct {
	net     *virtual.Process
	opened  func(c netio.Conn)
	traffic func(c netio.Conn, data []byte)
	closed  func(c netio.Conn, err error)
}

func (s *recordingHandler) Start() {}
func (s *recordingHandler) Alarm() {}
func (s *recordingHandler) Open(c netio.Conn) bool {
	if s.opened != nil {
		s.opened(c)
	}
	return true
}
func (s *recordingHandler) Traffic(c netio.Conn, data []byte) {
	if s.traffic != nil {
		s.traffic(c, data)
	}
}
func (s *recordingHandler) Closed(c netio.Conn, err error) {
	if s.closed != nil {
		s.closed(c, err)
	}
}

// testEnvironment is a day's actors on a virtual network, with a sidecar that the test implements.
type testEnvironment struct {
	day         Day
	recorder    eventRecorder
	environment *Environment
	net         *virtual.Network
	handler     *recordingHandler
}

func newTestEnvironment(t require.TestingT, seed uint64, change func(*Day)) *testEnvironment {
	s := &testEnvironment{day: Draw(seed, StandardRanges())}
	if change != nil {
		change(&s.day)
	}
	s.net = virtual.New(seed, s.day.Start)
	s.environment = New(&s.day, &s.recorder)
	side := s.day.Sidecars[0]
	s.handler = &recordingHandler{}
	s.handler.net = s.net.Machine(side.IP).Process(virtual.ProcessOptions{Listen: []string{side.Address}})
	require.NoError(t, s.handler.net.Run(s.handler))
	return s
}

// start starts the environment's machine at an address.
func (s *testEnvironment) start(t require.TestingT, ip string) {
	for _, m := range s.environment.Machines() {
		if m.IP == ip {
			o := virtual.ProcessOptions{}
			if m.Listen != "" {
				o.Listen = []string{m.Listen}
			}
			p := s.net.Machine(ip).Process(o)
			require.NoError(t, p.Run(m.Boot(p)))
		}
	}
}

func (s *testEnvironment) runUntil(seconds float64) { s.net.RunUntil(s.day.Start + seconds) }

// writeRequest writes a request with an id to a connection.
func writeRequest(c netio.Conn, class string, id uint64) {
	h := http1.Header{{Name: "Host", Value: "h"}, {Name: fieldID, Value: string(appendID(nil, id))}}
	c.Write(http1.AppendRequest(nil, "GET", "/"+class, h, nil))
}

// A malformed answer is never parsed as a complete one; a well-formed answer is parsed whatever precedes or follows it.
func TestMisbehavingServersAnswersAreNeverTakenAsComplete(t *testing.T) {
	for _, c := range []struct {
		name    string
		manners Misbehavior
		read    bool
	}{{"sound", Misbehavior{}, true}, {"spoilt", Misbehavior{Malformed: 1}, false}, {"behind", Misbehavior{TrailingBytes: 1}, true}, {"interim", Misbehavior{InterimResponses: 1}, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestEnvironment(t, 3, func(d *Day) { d.ReportsInline = true })
			b := s.environment.Servers[0]
			b.Spec.ErrorShare = 0
			b.Misbehavior = c.manners
			s.start(t, b.Spec.IP)
			const requests = 60
			got := make([][]byte, requests)
			s.handler.opened = func(c netio.Conn) { writeRequest(c, s.day.Classes[0].Name, uint64(c.Context().(int)+1)) }
			s.handler.traffic = func(c netio.Conn, data []byte) {
				got[c.Context().(int)] = append(got[c.Context().(int)], data...)
			}
			for i := range requests {
				s.net.Schedule(s.day.Start+float64(i), func() { s.handler.net.Dial(b.Spec.Address, math.Inf(1), i, func(error) {}) })
			}
			s.runUntil(requests + 30)
			made := map[uint64]bool{}
			for _, e := range s.recorder.events {
				if e.Kind == checker.ResponseSent && !e.Malformed {
					made[e.Digest] = true
				}
			}
			for _, text := range got {
				require.NotEmpty(t, text)
				buf, p := http1.Buffer{}, http1.NewResponseParser(messageLimits)
				buf.Write(text)
				whole, err := p.Next(&buf)
				require.Equal(t, c.read, whole && err == nil, "%.200q", text)
				require.Equal(t, c.read, made[checker.Digest(p.Body)])
				require.Equal(t, c.manners.TrailingBytes > 0, c.read && buf.Len() > 0)
			}
		})
	}
}

// A watcher that reconnects with the index it has, whenever its watch ends, has discovery's list in the end, through
// changes, moves and outages of discovery; and discovery has reported all that it wrote to the observer.
func TestWatchersEndUpWithDiscoverysList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestEnvironment(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"), nil)
		r := s.environment.Discovery
		s.start(t, r.spec.IPs[0])
		known := map[string]string{}
		index, have, forget := uint64(0), false, false
		var watch func()
		var parser http1.ResponseParser
		var buf http1.Buffer
		s.handler.opened = func(c netio.Conn) {
			target := "/v1/endpoints?follow=1"
			if have {
				target += "&since=" + strconv.FormatUint(index, 10)
			}
			parser, buf = http1.NewResponseParser(http1.Limits{HeadBytes: 1 << 12, BufferedBodyBytes: 1 << 20}), http1.Buffer{}
			c.Write(http1.AppendRequest(nil, "GET", target, http1.Header{{Name: "Host", Value: "d"}}, nil))
		}
		s.handler.traffic = func(c netio.Conn, data []byte) {
			buf.Write(data)
			done, err := parser.Next(&buf)
			require.NoError(t, err)
			if parser.IsHeadComplete() && parser.Status != 200 || done {
				s.handler.net.Close(c)
				return
			}
			for {
				line, rest, ok := bytes.Cut(parser.Body, []byte{'\n'})
				if !ok {
					return
				}
				if parser.Body = rest; len(line) == 0 {
					continue
				}
				var l struct {
					Index     uint64
					Snapshot  bool
					Endpoints []struct{ Name, Address, Status string }
				}
				require.NoError(t, json.Unmarshal(line, &l))
				require.Equal(t, !have, l.Snapshot, "without an index the complete list is sent")
				if index, have = l.Index, true; l.Snapshot {
					clear(known)
				}
				for _, e := range l.Endpoints {
					if known[e.Name] = e.Address + e.Status; e.Status == "DELETED" {
						delete(known, e.Name)
					}
				}
			}
		}
		s.handler.closed = func(netio.Conn, error) {
			have, forget = have && !forget, false
			s.net.Schedule(s.net.Now()+0.3, watch)
		}
		watch = func() {
			s.handler.net.Dial(r.Address(), s.net.Now()+1, nil, func(err error) {
				if err != nil {
					s.net.Schedule(s.net.Now()+0.3, watch)
				}
			})
		}
		s.net.Schedule(s.day.Start, watch)
		last := map[int]entry{} // the last state of each server
		for i, b := range s.day.Servers[:s.day.InitialServers] {
			last[i] = entry{status: checker.Serving, address: b.Address}
		}
		at := 1.0
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			at += rapid.Float64Range(0, 4).Draw(t, "wait")
			s.runUntil(at)
			server, now := rapid.IntRange(0, len(s.day.Servers)-1).Draw(t, "box"), s.net.Now()
			was := last[server]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				last[server] = entry{status: checker.Serving, address: "10.9.9." + strconv.Itoa(int(at))}
				r.ServerStarted(server, last[server].address, now, now)
			case 1:
				if was.status == checker.Serving {
					last[server] = entry{status: checker.Draining, address: was.address}
					r.ServerDraining(server, now)
				}
			case 2:
				if was.status != 0 && was.status != checker.Deleted {
					last[server] = entry{status: checker.Deleted, address: was.address}
					r.ServerStopped(server, rapid.Bool().Draw(t, "silent"), now)
				}
			case 3:
				r.DelaySeconds = rapid.Float64Range(0, 10).Draw(t, "stale")
			case 4:
				r.SetDown(!r.isDown, now)
			case 5:
				if ip, ok := r.nextIP(); ok {
					s.start(t, ip)
					r.Move()
				}
			case 6:
				forget = true // it reconnects without an index when its watch ends
			}
		}
		r.SetDown(false, s.net.Now())
		s.runUntil(at + 40)
		want := map[string]string{}
		delivered := map[int]checker.Event{}
		for _, e := range s.recorder.events {
			if e.Kind == checker.EntryDelivered && e.Sidecar == 0 {
				delivered[int(e.Server)] = e
			}
		}
		for i, e := range r.entries {
			require.Equal(t, last[i].status, e.status)
			require.Equal(t, last[i].address, e.address)
			if e.status == checker.Serving || e.status == checker.Draining {
				want[s.day.Servers[i].Name] = e.address + statusText[e.status]
			}
			if e.status != 0 {
				require.Equal(t, e.status, delivered[i].Status, "box %d", i)
				require.Equal(t, e.address, delivered[i].Address)
			}
		}
		require.Equal(t, want, known)
	})
}

// A client retries what it may: safe requests after any failure, unsafe and keyed ones of a zone only if they were rejected
// or did not reach the sidecar. Each retry has a new id; a request that a close has crossed is sent once more as it was.
func TestApplicationRetriesWhatItMay(t *testing.T) {
	const maxRetries = 2
	reject := func(h *recordingHandler, c netio.Conn, _ int) { c.Write(http1.AppendResponse(nil, 503, nil, nil)) }
	fail := func(h *recordingHandler, c netio.Conn, _ int) { c.Write(http1.AppendResponse(nil, 500, nil, nil)) }
	closeConn := func(h *recordingHandler, c netio.Conn, _ int) { h.net.Close(c) }
	silent := func(*recordingHandler, netio.Conn, int) {}
	crossed := func(h *recordingHandler, c netio.Conn, n int) { // the first is served, the next one meets a close
		if n != 1 {
			c.Write(http1.AppendResponse(nil, 200, nil, nil))
			return
		}
		h.net.Close(c)
	}
	for _, c := range []struct {
		name         string
		class        checker.Effect
		does         func(h *recordingHandler, c netio.Conn, n int)
		tries, times int // of the most-tried request: ids, and times that it came
	}{
		{"safe refused", checker.Safe, reject, 1 + maxRetries, 1}, {"safe failed", checker.Safe, fail, 1 + maxRetries, 1},
		{"safe hung up on", checker.Safe, closeConn, 1 + maxRetries, 1}, {"safe not answered", checker.Safe, silent, 1 + maxRetries, 1},
		{"unsafe refused", checker.Unsafe, reject, 1 + maxRetries, 1}, {"unsafe failed", checker.Unsafe, fail, 1, 1},
		{"unsafe hung up on", checker.Unsafe, closeConn, 1, 1}, {"unsafe not answered", checker.Unsafe, silent, 1, 1},
		{"keyed refused", checker.Keyed, reject, 1 + maxRetries, 1}, {"keyed failed", checker.Keyed, fail, 1, 1},
		{"crossed", checker.Unsafe, crossed, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestEnvironment(t, 5, func(d *Day) {
				d.LengthSeconds = 20
				d.Classes = slices.DeleteFunc(d.Classes, func(k ClassSpec) bool { return k.Effect != c.class })
				d.Classes[0].Share, d.Classes[0].TotalTimeoutSeconds = 1, 3
				d.Clients.Retries, d.Clients.AttemptTimeoutShare, d.Clients.BackoffSeconds, d.Clients.ImpatientShare, d.Clients.RetryAfterShare = maxRetries, 0.3, 0.02, 0, 0
				d.Clients.RatePerSecond, d.Clients.BurstFactor, d.Sidecars[0].Share = 1, 1, 1
				d.Clients.MaxConnections = 100
			})
			n, arrivals := 0, map[string]int{}
			type reader struct {
				http1.Buffer
				http1.RequestParser
			}
			readers := map[netio.Conn]*reader{}
			s.handler.traffic = func(conn netio.Conn, data []byte) {
				p := readers[conn]
				if p == nil {
					p = &reader{RequestParser: http1.NewRequestParser(messageLimits)}
					readers[conn] = p
				}
				p.Write(data)
				whole, err := p.Next(&p.Buffer)
				require.NoError(t, err)
				switch {
				case !whole:
				case p.Target == "/ready":
					conn.Write(http1.AppendResponse(nil, 200, nil, nil))
				default:
					arrivals[p.Header.Get(fieldID)]++
					n++
					c.does(s.handler, conn, n-1)
				}
			}
			s.start(t, s.day.Sidecars[0].IP)
			s.runUntil(40)
			tries, times := map[uint64]int{}, 0
			for _, e := range s.recorder.events {
				if e.Kind == checker.RequestStarted {
					tries[e.FirstRequest]++
				}
			}
			for _, k := range arrivals {
				times = max(times, k)
			}
			maxRetries := 0
			for _, k := range tries {
				maxRetries = max(maxRetries, k)
			}
			require.Greater(t, len(tries), 3)
			assert.Equal(t, c.tries, maxRetries, "tries")
			assert.Equal(t, c.times, times, "times that one id came")
			assert.Zero(t, s.recorder.count(checker.UnsolicitedBytes))
		})
	}
}

// A sidecar's configuration parses to the figures of the day.
func TestSidecarParsesItsConfiguration(t *testing.T) {
	for seed := range uint64(20) {
		s := newTestEnvironment(t, seed, nil)
		for i := range s.day.Sidecars {
			cfg, err := sidecarconfig.Parse(s.environment.StartConfiguration(i, s.day.Start))
			require.NoError(t, err)
			assert.Equal(t, []any{s.day.Sidecars[i].Address, s.environment.Discovery.Address(), s.day.MaxDescriptors, len(s.day.Sidecars), s.day.Sidecars[i].Site},
				[]any{cfg.Listen, cfg.Discovery, cfg.Limits.Sockets, cfg.Settings.Policy.Replicas, cfg.Settings.Policy.Zone})
			for k, c := range cfg.Settings.Policy.Classes {
				want := s.day.Classes[k]
				assert.Equal(t, policy.Class{Name: want.Name, Effect: policy.Effect(want.Effect), Group: policy.Group(want.Group), DedupWindowSeconds: want.DedupWindowSeconds,
					LatencyTargetSeconds: want.LatencyTargetSeconds, TotalTimeoutSeconds: want.TotalTimeoutSeconds, PriorityWeight: want.PriorityWeight, LateFraction: want.LateFraction}, c)
			}
			var known struct{ Endpoints []struct{ Name string } }
			require.NoError(t, json.Unmarshal(cfg.Known, &known))
			assert.Len(t, known.Endpoints, s.day.InitialServers)
		}
		assert.Equal(t, len(s.day.Sidecars)*s.day.InitialServers, s.recorder.count(checker.EntryDelivered), "the observer gets what they were sent")
	}
}
