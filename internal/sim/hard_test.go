package sim

import (
	"bytes"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/sidecarconfig"
)

// stage is one sidecar among actors that do what a test says, at the instant that it says.
type stage struct {
	t       require.TestingT
	net     *virtual.Network
	proc    *virtual.Process
	sidecar Program
	client  *actor
	boxes   []*actor // as many as the list names
	listed  *actor   // discovery
}

// actor is a host that notes what it gets.
type actor struct {
	net     *virtual.Process
	conns   []netio.Conn
	got     bytes.Buffer                 // of all connections
	now     map[netio.Conn]*bytes.Buffer // what is being read; looked up, never walked
	holds   netio.Conn                   // where a request has come whole
	whole   int                          // requests that have
	ended   int
	answers bool // at once
}

func (a *actor) Start() {}
func (a *actor) Open(c netio.Conn) bool {
	a.conns = append(a.conns, c)
	return true
}

// Traffic answers probes, and requests where the test says so; both end as they alone do here.
func (a *actor) Traffic(c netio.Conn, data []byte) {
	a.got.Write(data)
	if a.now == nil {
		a.now = map[netio.Conn]*bytes.Buffer{}
	}
	if a.now[c] == nil {
		a.now[c] = &bytes.Buffer{}
	}
	b := a.now[c]
	b.Write(data)
	text := b.String()
	switch {
	case strings.HasPrefix(text, "GET /v1/endpoints") && strings.HasSuffix(text, "\r\n\r\n"):
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"))
	case strings.HasPrefix(text, "GET /status/load") && strings.HasSuffix(text, "\r\n\r\n"):
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npending=0"))
	case strings.HasSuffix(text, "last byte"):
		a.holds = c
		if a.whole++; a.answers {
			_, _ = c.Write([]byte(answer))
		}
	default:
		return
	}
	b.Reset()
}
func (a *actor) Closed(netio.Conn, error) { a.ended++ }
func (a *actor) Alarm()                   {}

type deaf struct{}

func (deaf) Observe(checker.Event) {}

// begin puts a sidecar and n boxes on the stage, with a discovery that tells nothing beyond the configuration.
func begin(t require.TestingT, seed uint64, n int, o virtual.ProcessOptions) *stage {
	s := &stage{t: t}
	d := environment.Draw(7, environment.StandardRanges())
	d.Shorten(1, n, 0)
	w := environment.New(&d, deaf{})
	s.net = virtual.New(seed, d.Start)
	play := func(ip, listen string, o virtual.ProcessOptions) *actor {
		a := &actor{}
		o.Name = ip
		if listen != "" {
			o.Listen = []string{listen}
		}
		a.net = s.net.Machine(ip).Process(o)
		require.NoError(t, a.net.Run(a))
		return a
	}
	for _, b := range d.Servers[:n] {
		s.boxes = append(s.boxes, play(b.IP, b.Address, virtual.ProcessOptions{ReceiveBuffer: 120}))
	}
	s.listed = play(d.Discovery.IPs[0], d.Discovery.Addresses[0], virtual.ProcessOptions{})
	cfg, err := sidecarconfig.Parse(w.StartConfiguration(0, d.Start))
	require.NoError(t, err)
	o.Name, o.Listen = "sidecar", []string{d.Sidecars[0].Address}
	s.proc = s.net.Machine(d.Sidecars[0].IP).Process(o)
	s.sidecar, err = NewSidecar(cfg, s.proc, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, s.proc.Run(s.sidecar))
	s.client = play("10.0.0.99", "", virtual.ProcessOptions{})
	s.client.net.Dial(d.Sidecars[0].Address, d.Start+1, nil, func(err error) { require.NoError(t, err) })
	s.play(0.5)
	return s
}

func (s *stage) play(seconds float64) { s.net.RunUntil(s.net.Now() + seconds) }

// ask has the client send a request that must not run twice.
func (s *stage) ask(patienceMS int) {
	body := "value, and the last byte"
	_, err := fmt.Fprintf(s.client.conns[0], "POST /log-calibration HTTP/1.1\r\nHost: a\r\nRequest-Id: 00000000000000aa\r\nRequest-Timeout: %dm\r\n"+
		"Content-Length: %d\r\n\r\n%s", patienceMS, len(body), body)
	require.NoError(s.t, err)
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

// holder returns the connection on which a box has the request whole.
func (s *stage) holder() netio.Conn {
	for _, b := range s.boxes {
		if b.holds != nil {
			return b.holds
		}
	}
	require.Fail(s.t, "no box has the request")
	return nil
}

// rest checks that nothing of the request is left in the sidecar.
func (s *stage) rest() {
	for _, h := range s.sidecar.Leftovers() {
		assert.Zero(s.t, h.Count, h.Name)
	}
	assert.NotContains(s.t, string(counters(s)), `"panics":1`)
}

func counters(s *stage) []byte { return s.sidecar.(sidecarProgram).Counters() }

// executions returns how many boxes have had the request whole.
func (s *stage) executions() (n int) {
	for _, b := range s.boxes {
		n += b.whole
	}
	return n
}

// An answer, the deadline and the client's departure at about one instant, in each order: the client gets one answer at
// most, and nothing is left.
func TestAnswerDeadlineAndDeparture(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := begin(t, rapid.Uint64().Draw(t, "seed"), 3, virtual.ProcessOptions{Shuffle: rapid.Bool().Draw(t, "shuffle")})
		const patience = 300
		asked := s.net.Now()
		s.ask(patience)
		s.play(0.1)
		link := s.holder()
		end := asked + patience/1e3 - 0.005 // when the wait for the box is over
		offset := func(name string) float64 {
			return rapid.SampledFrom([]float64{0, 0, -0.001, 0.001, 0.005, 0.01}).Draw(t, name) + rapid.Float64Range(-2e-4, 2e-4).Draw(t, name+" jitter")
		}
		s.net.Schedule(end-4e-4+offset("answer"), func() { _, _ = link.Write([]byte(answer)) })
		if rapid.Bool().Draw(t, "leaves") {
			s.net.Schedule(end-4e-4+offset("departure"), func() { s.client.net.Close(s.client.conns[0]) })
		}
		if rapid.Bool().Draw(t, "stalls") {
			s.net.Schedule(end-0.002, func() { s.proc.Stall(end + offset("stall")) })
		}
		s.play(8)
		said := s.client.got.String()
		assert.LessOrEqual(t, strings.Count(said, "HTTP/1.1"), 1)
		if s.client.ended == 0 {
			assert.True(t, strings.HasSuffix(said, "body") || strings.HasPrefix(said, "HTTP/1.1 504"), said)
			s.client.net.Close(s.client.conns[0])
		}
		s.play(8)
		assert.Equal(t, 1, s.executions())
		s.rest()
	})
}

// A box that dies before the last byte of a request has left the sidecar has not run it; one that dies after may have.
func TestBoxDiesUnderARequest(t *testing.T) {
	for name, c := range map[string]struct {
		send, receive int
		want          string
		executions    int
	}{
		"half written":  {send: 20, want: "HTTP/1.1 200", executions: 1},
		"written whole": {send: 4096, want: "HTTP/1.1 502"},
	} {
		t.Run(name, func(t *testing.T) {
			s := begin(t, 1, 3, virtual.ProcessOptions{SendBuffer: c.send})
			for _, b := range s.boxes {
				b.net.SetReadRate(-1) // the request stays in the sockets, as far as they go
			}
			s.ask(2500)
			s.play(0.02)
			var dead *actor
			for _, b := range s.boxes {
				for _, k := range b.net.Conns() {
					if !b.net.NothingToRead(k) {
						dead = b
					}
				}
			}
			require.NotNil(t, dead)
			for _, b := range s.boxes {
				if b.answers = true; b != dead {
					b.net.SetReadRate(0)
				}
			}
			dead.net.Kill()
			s.play(3)
			assert.True(t, strings.HasPrefix(s.client.got.String(), c.want), s.client.got.String())
			assert.Equal(t, c.executions, s.executions())
		})
	}
}

// The first byte of an answer and then silence: the client hears that time ran out, and no other box gets the request.
func TestFirstByteThenSilence(t *testing.T) {
	s := begin(t, 2, 3, virtual.ProcessOptions{})
	s.ask(700)
	s.play(0.1)
	link := s.holder()
	_, _ = link.Write([]byte("H"))
	s.play(0.55)
	assert.Zero(t, s.client.got.Len())
	s.play(0.1)
	assert.True(t, strings.HasPrefix(s.client.got.String(), "HTTP/1.1 504"), s.client.got.String())
	s.client.net.Close(s.client.conns[0])
	s.play(8)
	assert.Equal(t, 1, s.executions())
	s.rest()
}

// tell has discovery say that boxes drain.
func (s *stage) tell(boxes ...int) {
	d := environment.Draw(7, environment.StandardRanges())
	var entries []string
	for _, i := range boxes {
		b := d.Servers[i]
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":"DRAINING","weight":1,"since_ms":0}`,
			b.Name, b.Address, d.Sites[b.Site], d.ServerKinds[b.Kind], b.Cell))
	}
	line := `{"index":1000,"snapshot":false,"endpoints":[` + strings.Join(entries, ",") + "]}\n"
	_, _ = s.listed.conns[0].Write([]byte(strconv.FormatInt(int64(len(line)), 16) + "\r\n" + line + "\r\n"))
}

// A drain notice that comes while a connection comes up, or in the same turn as the failure before a retry: what the
// sidecar knows to drain gets nothing.
func TestDrainNoticeInBetween(t *testing.T) {
	t.Run("while dialing", func(t *testing.T) {
		s := begin(t, 3, 2, virtual.ProcessOptions{})
		for _, b := range s.boxes { // so far away that the notice overtakes the handshake
			for _, c := range b.net.Conns() {
				b.net.Close(c)
			}
			s.net.SetPath(b.net.Machine(), s.proc.Machine(), virtual.Path{LatencySeconds: 0.1})
		}
		s.play(0.2)
		dials := s.proc.Dialing()
		s.ask(900)
		s.play(0.02)
		require.Greater(t, s.proc.Dialing(), dials)
		s.tell(0, 1)
		s.play(2)
		assert.Zero(t, s.executions())
		assert.True(t, strings.HasPrefix(s.client.got.String(), "HTTP/1.1 503"), s.client.got.String())
	})
	for _, shuffle := range []bool{false, true} {
		t.Run(fmt.Sprint("before a retry, shuffled ", shuffle), func(t *testing.T) {
			for seed := range uint64(20) {
				s := begin(t, seed, 2, virtual.ProcessOptions{Shuffle: shuffle, SendBuffer: 20})
				for _, b := range s.boxes {
					b.net.SetReadRate(-1)
				}
				s.ask(900)
				s.play(0.02)
				s.proc.Stall(s.net.Now() + 0.1)
				s.tell(0, 1)
				s.play(0.01)
				for _, b := range s.boxes { // both die: wherever the request is, it fails, and the other is told to drain
					if len(b.net.Conns()) > 0 && !b.net.NothingToRead(b.net.Conns()[0]) {
						b.net.Kill()
					} else {
						b.net.SetReadRate(0)
					}
				}
				s.play(2)
				if !shuffle { // the notice came first
					assert.Zero(t, s.executions())
				}
				assert.LessOrEqual(t, s.executions(), 1)
				assert.Equal(t, 1, strings.Count(s.client.got.String(), "HTTP/1.1"))
			}
		})
	}
}
