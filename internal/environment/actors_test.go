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

// notes keeps what a world tells.
type notes struct{ events []checker.Event }

func (n *notes) Observe(e checker.Event) { n.events = append(n.events, e) }

func (n *notes) count(kind checker.Kind) int {
	count := 0
	for _, e := range n.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// script is a host whose calls a test writes down.
type script struct {
	net     *virtual.Process
	opened  func(c netio.Conn)
	traffic func(c netio.Conn, data []byte)
	closed  func(c netio.Conn, err error)
}

func (s *script) Start() {}
func (s *script) Alarm() {}
func (s *script) Open(c netio.Conn) bool {
	if s.opened != nil {
		s.opened(c)
	}
	return true
}
func (s *script) Traffic(c netio.Conn, data []byte) {
	if s.traffic != nil {
		s.traffic(c, data)
	}
}
func (s *script) Closed(c netio.Conn, err error) {
	if s.closed != nil {
		s.closed(c, err)
	}
}

// stage is a day's actors on a virtual network, with a sidecar that the test plays.
type stage struct {
	day   Day
	notes notes
	world *Environment
	net   *virtual.Network
	host  *script
}

func newStage(t require.TestingT, seed uint64, change func(*Day)) *stage {
	s := &stage{day: Draw(seed, StandardRanges())}
	if change != nil {
		change(&s.day)
	}
	s.net = virtual.New(seed, s.day.Start)
	s.world = New(&s.day, &s.notes)
	side := s.day.Sidecars[0]
	s.host = &script{}
	s.host.net = s.net.Machine(side.IP).Process(virtual.ProcessOptions{Listen: []string{side.Address}})
	require.NoError(t, s.host.net.Run(s.host))
	return s
}

// begin begins what the world has at an address.
func (s *stage) begin(t require.TestingT, ip string) {
	for _, m := range s.world.Machines() {
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

func (s *stage) until(seconds float64) { s.net.RunUntil(s.day.Start + seconds) }

// request writes a request to a connection, with an id.
func request(c netio.Conn, class string, id uint64) {
	h := http1.Header{{Name: "Host", Value: "h"}, {Name: fieldID, Value: string(appendID(nil, id))}}
	c.Write(http1.AppendRequest(nil, "GET", "/"+class, h, nil))
}

// Whatever a box does to an answer that it spoils, nobody reads it as whole; and whatever it puts in front of or behind a
// good one, the answer itself is read.
func TestBoxManners(t *testing.T) {
	for _, c := range []struct {
		name    string
		manners Misbehavior
		read    bool
	}{{"sound", Misbehavior{}, true}, {"spoilt", Misbehavior{Malformed: 1}, false}, {"behind", Misbehavior{TrailingBytes: 1}, true}, {"interim", Misbehavior{InterimResponses: 1}, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t, 3, func(d *Day) { d.ReportsInline = true })
			b := s.world.Servers[0]
			b.Spec.ErrorShare = 0
			b.Misbehavior = c.manners
			s.begin(t, b.Spec.IP)
			const requests = 60
			got := make([][]byte, requests)
			s.host.opened = func(c netio.Conn) { request(c, s.day.Classes[0].Name, uint64(c.Context().(int)+1)) }
			s.host.traffic = func(c netio.Conn, data []byte) {
				got[c.Context().(int)] = append(got[c.Context().(int)], data...)
			}
			for i := range requests {
				s.net.Schedule(s.day.Start+float64(i), func() { s.host.net.Dial(b.Spec.Address, math.Inf(1), i, func(error) {}) })
			}
			s.until(requests + 30)
			made := map[uint64]bool{}
			for _, e := range s.notes.events {
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

// A watcher that asks on with the version it has, whenever its watch ends, has discovery's list in the end, through
// changes, moves and times in which discovery is down; and discovery has told the witness of all that it wrote.
func TestDiscoveryTellsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStage(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"), nil)
		r := s.world.Discovery
		s.begin(t, r.spec.IPs[0])
		held := map[string]string{}
		index, have, forget := uint64(0), false, false
		var watch func()
		var parser http1.ResponseParser
		var buf http1.Buffer
		s.host.opened = func(c netio.Conn) {
			target := "/v1/endpoints?follow=1"
			if have {
				target += "&since=" + strconv.FormatUint(index, 10)
			}
			parser, buf = http1.NewResponseParser(http1.Limits{HeadBytes: 1 << 12, BufferedBodyBytes: 1 << 20}), http1.Buffer{}
			c.Write(http1.AppendRequest(nil, "GET", target, http1.Header{{Name: "Host", Value: "d"}}, nil))
		}
		s.host.traffic = func(c netio.Conn, data []byte) {
			buf.Write(data)
			done, err := parser.Next(&buf)
			require.NoError(t, err)
			if parser.IsHeadComplete() && parser.Status != 200 || done {
				s.host.net.Close(c)
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
				require.Equal(t, !have, l.Snapshot, "who has no version is given the whole list")
				if index, have = l.Index, true; l.Snapshot {
					clear(held)
				}
				for _, e := range l.Endpoints {
					if held[e.Name] = e.Address + e.Status; e.Status == "DELETED" {
						delete(held, e.Name)
					}
				}
			}
		}
		s.host.closed = func(netio.Conn, error) {
			have, forget = have && !forget, false
			s.net.Schedule(s.net.Now()+0.3, watch)
		}
		watch = func() {
			s.host.net.Dial(r.Address(), s.net.Now()+1, nil, func(err error) {
				if err != nil {
					s.net.Schedule(s.net.Now()+0.3, watch)
				}
			})
		}
		s.net.Schedule(s.day.Start, watch)
		last := map[int]entry{} // what the boxes have done last
		for i, b := range s.day.Servers[:s.day.InitialServers] {
			last[i] = entry{status: checker.Serving, address: b.Address}
		}
		at := 1.0
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			at += rapid.Float64Range(0, 4).Draw(t, "wait")
			s.until(at)
			box, now := rapid.IntRange(0, len(s.day.Servers)-1).Draw(t, "box"), s.net.Now()
			was := last[box]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				last[box] = entry{status: checker.Serving, address: "10.9.9." + strconv.Itoa(int(at))}
				r.ServerStarted(box, last[box].address, now, now)
			case 1:
				if was.status == checker.Serving {
					last[box] = entry{status: checker.Draining, address: was.address}
					r.ServerDraining(box, now)
				}
			case 2:
				if was.status != 0 && was.status != checker.Deleted {
					last[box] = entry{status: checker.Deleted, address: was.address}
					r.ServerStopped(box, rapid.Bool().Draw(t, "silent"), now)
				}
			case 3:
				r.DelaySeconds = rapid.Float64Range(0, 10).Draw(t, "stale")
			case 4:
				r.SetDown(!r.isDown, now)
			case 5:
				if ip, ok := r.nextIP(); ok {
					s.begin(t, ip)
					r.Move()
				}
			case 6:
				forget = true // it begins anew when its watch ends
			}
		}
		r.SetDown(false, s.net.Now())
		s.until(at + 40)
		want := map[string]string{}
		told := map[int]checker.Event{}
		for _, e := range s.notes.events {
			if e.Kind == checker.EntryDelivered && e.Sidecar == 0 {
				told[int(e.Server)] = e
			}
		}
		for i, e := range r.entries {
			require.Equal(t, last[i].status, e.status)
			require.Equal(t, last[i].address, e.address)
			if e.status == checker.Serving || e.status == checker.Draining {
				want[s.day.Servers[i].Name] = e.address + statusText[e.status]
			}
			if e.status != 0 {
				require.Equal(t, e.status, told[i].Status, "box %d", i)
				require.Equal(t, e.address, told[i].Address)
			}
		}
		require.Equal(t, want, held)
	})
}

// A client tries again what it may: safe requests after any failure, unsafe and keyed ones of a zone only where they
// were refused or not even taken; each try has a new id, and one that a close has crossed is sent once more as it was.
func TestApplicationTriesAgain(t *testing.T) {
	const most = 2
	refuse := func(h *script, c netio.Conn, _ int) { c.Write(http1.AppendResponse(nil, 503, nil, nil)) }
	fail := func(h *script, c netio.Conn, _ int) { c.Write(http1.AppendResponse(nil, 500, nil, nil)) }
	hangUp := func(h *script, c netio.Conn, _ int) { h.net.Close(c) }
	silent := func(*script, netio.Conn, int) {}
	crossed := func(h *script, c netio.Conn, n int) { // the first is served, the next one meets a close
		if n != 1 {
			c.Write(http1.AppendResponse(nil, 200, nil, nil))
			return
		}
		h.net.Close(c)
	}
	for _, c := range []struct {
		name         string
		class        checker.Effect
		does         func(h *script, c netio.Conn, n int)
		tries, times int // of the most-tried request: ids, and times that it came
	}{
		{"safe refused", checker.Safe, refuse, 1 + most, 1}, {"safe failed", checker.Safe, fail, 1 + most, 1},
		{"safe hung up on", checker.Safe, hangUp, 1 + most, 1}, {"safe not answered", checker.Safe, silent, 1 + most, 1},
		{"unsafe refused", checker.Unsafe, refuse, 1 + most, 1}, {"unsafe failed", checker.Unsafe, fail, 1, 1},
		{"unsafe hung up on", checker.Unsafe, hangUp, 1, 1}, {"unsafe not answered", checker.Unsafe, silent, 1, 1},
		{"keyed refused", checker.Keyed, refuse, 1 + most, 1}, {"keyed failed", checker.Keyed, fail, 1, 1},
		{"crossed", checker.Unsafe, crossed, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t, 5, func(d *Day) {
				d.LengthSeconds = 20
				d.Classes = slices.DeleteFunc(d.Classes, func(k ClassSpec) bool { return k.Effect != c.class })
				d.Classes[0].Share, d.Classes[0].TotalTimeoutSeconds = 1, 3
				d.Clients.Retries, d.Clients.AttemptTimeoutShare, d.Clients.BackoffSeconds, d.Clients.ImpatientShare, d.Clients.RetryAfterShare = most, 0.3, 0.02, 0, 0
				d.Clients.RatePerSecond, d.Clients.BurstFactor, d.Sidecars[0].Share = 1, 1, 1
				d.Clients.MaxConnections = 100
			})
			n, came := 0, map[string]int{}
			type reader struct {
				http1.Buffer
				http1.RequestParser
			}
			readers := map[netio.Conn]*reader{}
			s.host.traffic = func(conn netio.Conn, data []byte) {
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
					came[p.Header.Get(fieldID)]++
					n++
					c.does(s.host, conn, n-1)
				}
			}
			s.begin(t, s.day.Sidecars[0].IP)
			s.until(40)
			tries, times := map[uint64]int{}, 0
			for _, e := range s.notes.events {
				if e.Kind == checker.RequestStarted {
					tries[e.FirstRequest]++
				}
			}
			for _, k := range came {
				times = max(times, k)
			}
			most := 0
			for _, k := range tries {
				most = max(most, k)
			}
			require.Greater(t, len(tries), 3)
			assert.Equal(t, c.tries, most, "tries")
			assert.Equal(t, c.times, times, "times that one id came")
			assert.Zero(t, s.notes.count(checker.UnsolicitedBytes))
		})
	}
}

// A sidecar reads its configuration as the day means it.
func TestConfigurationIsRead(t *testing.T) {
	for seed := range uint64(20) {
		s := newStage(t, seed, nil)
		for i := range s.day.Sidecars {
			cfg, err := sidecarconfig.Parse(s.world.StartConfiguration(i, s.day.Start))
			require.NoError(t, err)
			assert.Equal(t, []any{s.day.Sidecars[i].Address, s.world.Discovery.Address(), s.day.MaxDescriptors, len(s.day.Sidecars), s.day.Sidecars[i].Site},
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
		assert.Equal(t, len(s.day.Sidecars)*s.day.InitialServers, s.notes.count(checker.EntryDelivered), "the witness knows what they were told")
	}
}
