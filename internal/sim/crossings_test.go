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

// scenario is a sidecar among actors that do what a test says, at the instant it says.
type scenario struct {
	t         require.TestingT
	network   *virtual.Network
	process   *virtual.Process
	sidecar   Program
	client    *recordingActor
	servers   []*recordingActor // those of the endpoint list
	discovery *recordingActor   // discovery
}

// recordingActor is a handler that records what it receives.
type recordingActor struct {
	process         *virtual.Process
	conns           []netio.Conn
	received        bytes.Buffer                 // on all connections
	partial         map[netio.Conn]*bytes.Buffer // requests received in part; for lookups, never iterated
	connWithRequest netio.Conn                   // on which a complete request was received last
	requests        int                          // received completely
	closed          int
	responds        bool // at once
}

func (a *recordingActor) Start() {}
func (a *recordingActor) Open(c netio.Conn) bool {
	a.conns = append(a.conns, c)
	return true
}

// Traffic answers health checks, and requests if responds is set. Their ends are recognised by texts that occur nowhere else in
// these tests.
func (a *recordingActor) Traffic(c netio.Conn, data []byte) {
	a.received.Write(data)
	if a.partial == nil {
		a.partial = map[netio.Conn]*bytes.Buffer{}
	}
	if a.partial[c] == nil {
		a.partial[c] = &bytes.Buffer{}
	}
	b := a.partial[c]
	b.Write(data)
	text := b.String()
	switch {
	case strings.HasPrefix(text, "GET /v1/endpoints") && strings.HasSuffix(text, "\r\n\r\n"):
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"))
	case strings.HasPrefix(text, "GET /status/load") && strings.HasSuffix(text, "\r\n\r\n"):
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npending=0"))
	case strings.HasSuffix(text, "last byte"):
		a.connWithRequest = c
		if a.requests++; a.responds {
			_, _ = c.Write([]byte(responseText))
		}
	default:
		return
	}
	b.Reset()
}
func (a *recordingActor) Closed(netio.Conn, error) { a.closed++ }
func (a *recordingActor) Alarm()                   {}

type discardObserver struct{}

func (discardObserver) Observe(checker.Event) {}

// startScenario starts a sidecar and n servers, with a discovery that sends nothing beyond the configuration.
func startScenario(t require.TestingT, seed uint64, n int, o virtual.ProcessOptions) *scenario {
	s := &scenario{t: t}
	d := environment.Draw(7, environment.StandardRanges())
	d.Shorten(1, n, 0)
	w := environment.New(&d, discardObserver{})
	s.network = virtual.New(seed, d.Start)
	play := func(ip, listen string, o virtual.ProcessOptions) *recordingActor {
		a := &recordingActor{}
		o.Name = ip
		if listen != "" {
			o.Listen = []string{listen}
		}
		a.process = s.network.Machine(ip).Process(o)
		require.NoError(t, a.process.Run(a))
		return a
	}
	for _, b := range d.Servers[:n] {
		s.servers = append(s.servers, play(b.IP, b.Address, virtual.ProcessOptions{ReceiveBuffer: 120}))
	}
	s.discovery = play(d.Discovery.IPs[0], d.Discovery.Addresses[0], virtual.ProcessOptions{})
	cfg, err := sidecarconfig.Parse(w.StartConfiguration(0, d.Start))
	require.NoError(t, err)
	o.Name, o.Listen = "sidecar", []string{d.Sidecars[0].Address}
	s.process = s.network.Machine(d.Sidecars[0].IP).Process(o)
	s.sidecar, err = NewSidecar(cfg, s.process, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, s.process.Run(s.sidecar))
	s.client = play("10.0.0.99", "", virtual.ProcessOptions{})
	s.client.process.Dial(d.Sidecars[0].Address, d.Start+1, nil, func(err error) { require.NoError(t, err) })
	s.run(0.5)
	return s
}

func (s *scenario) run(seconds float64) { s.network.RunUntil(s.network.Now() + seconds) }

// sendRequest sends a client's request that must not be executed twice.
func (s *scenario) sendRequest(patienceMS int) {
	body := "value, and the last byte"
	_, err := fmt.Fprintf(s.client.conns[0], "POST /log-calibration HTTP/1.1\r\nHost: a\r\nRequest-Id: 00000000000000aa\r\nRequest-Timeout: %dm\r\n"+
		"Content-Length: %d\r\n\r\n%s", patienceMS, len(body), body)
	require.NoError(s.t, err)
}

const responseText = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

// connWithRequest returns the connection on which a server has received the complete request.
func (s *scenario) connWithRequest() netio.Conn {
	for _, b := range s.servers {
		if b.connWithRequest != nil {
			return b.connWithRequest
		}
	}
	require.Fail(s.t, "no box has the request")
	return nil
}

// requireIdle checks that nothing of the request is left in the sidecar.
func (s *scenario) requireIdle() {
	for _, h := range s.sidecar.Leftovers() {
		assert.Zero(s.t, h.Count, h.Name)
	}
	assert.NotContains(s.t, string(counters(s)), `"panics":1`)
}

func counters(s *scenario) []byte { return s.sidecar.(sidecarProgram).Counters() }

// requestsReceived returns how many servers have received the complete request.
func (s *scenario) requestsReceived() (n int) {
	for _, b := range s.servers {
		n += b.requests
	}
	return n
}

// A response, the deadline and the client's disconnect at about one instant, in each order: the client gets one response at
// most, and nothing is left.
func TestResponseDeadlineAndDisconnectCoincide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startScenario(t, rapid.Uint64().Draw(t, "seed"), 3, virtual.ProcessOptions{Shuffle: rapid.Bool().Draw(t, "shuffle")})
		const patience = 300
		asked := s.network.Now()
		s.sendRequest(patience)
		s.run(0.1)
		link := s.connWithRequest()
		end := asked + patience/1e3 - 0.005 // when the wait for the box is over
		offset := func(name string) float64 {
			return rapid.SampledFrom([]float64{0, 0, -0.001, 0.001, 0.005, 0.01}).Draw(t, name) + rapid.Float64Range(-2e-4, 2e-4).Draw(t, name+" jitter")
		}
		s.network.Schedule(end-4e-4+offset("answer"), func() { _, _ = link.Write([]byte(responseText)) })
		if rapid.Bool().Draw(t, "leaves") {
			s.network.Schedule(end-4e-4+offset("departure"), func() { s.client.process.Close(s.client.conns[0]) })
		}
		if rapid.Bool().Draw(t, "stalls") {
			s.network.Schedule(end-0.002, func() { s.process.Stall(end + offset("stall")) })
		}
		s.run(8)
		said := s.client.received.String()
		assert.LessOrEqual(t, strings.Count(said, "HTTP/1.1"), 1)
		if s.client.closed == 0 {
			assert.True(t, strings.HasSuffix(said, "body") || strings.HasPrefix(said, "HTTP/1.1 504"), said)
			s.client.process.Close(s.client.conns[0])
		}
		s.run(8)
		assert.Equal(t, 1, s.requestsReceived())
		s.requireIdle()
	})
}

// A server that crashes before the last byte of a request has left the sidecar has not executed it; one that crashes later may
// have.
func TestServerCrashDuringRequest(t *testing.T) {
	for name, c := range map[string]struct {
		send, receive int
		want          string
		executions    int
	}{
		"half written":  {send: 20, want: "HTTP/1.1 200", executions: 1},
		"written whole": {send: 4096, want: "HTTP/1.1 502"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScenario(t, 1, 3, virtual.ProcessOptions{SendBuffer: c.send})
			for _, b := range s.servers {
				b.process.SetReadRate(-1) // the request stays in the socket buffers, as far as they have space
			}
			s.sendRequest(2500)
			s.run(0.02)
			var dead *recordingActor
			for _, b := range s.servers {
				for _, k := range b.process.Conns() {
					if !b.process.NothingToRead(k) {
						dead = b
					}
				}
			}
			require.NotNil(t, dead)
			for _, b := range s.servers {
				if b.responds = true; b != dead {
					b.process.SetReadRate(0)
				}
			}
			dead.process.Kill()
			s.run(3)
			assert.True(t, strings.HasPrefix(s.client.received.String(), c.want), s.client.received.String())
			assert.Equal(t, c.executions, s.requestsReceived())
		})
	}
}

// After the first byte of a response and then silence, the client gets a time-out, and no other server gets the request.
func TestServerStallsAfterFirstByte(t *testing.T) {
	s := startScenario(t, 2, 3, virtual.ProcessOptions{})
	s.sendRequest(700)
	s.run(0.1)
	link := s.connWithRequest()
	_, _ = link.Write([]byte("H"))
	s.run(0.55)
	assert.Zero(t, s.client.received.Len())
	s.run(0.1)
	assert.True(t, strings.HasPrefix(s.client.received.String(), "HTTP/1.1 504"), s.client.received.String())
	s.client.process.Close(s.client.conns[0])
	s.run(8)
	assert.Equal(t, 1, s.requestsReceived())
	s.requireIdle()
}

// announceDraining has the discovery send that servers are draining.
func (s *scenario) announceDraining(boxes ...int) {
	d := environment.Draw(7, environment.StandardRanges())
	var entries []string
	for _, i := range boxes {
		b := d.Servers[i]
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":"DRAINING","weight":1,"since_ms":0}`,
			b.Name, b.Address, d.Sites[b.Site], d.ServerKinds[b.Kind], b.Cell))
	}
	line := `{"index":1000,"snapshot":false,"endpoints":[` + strings.Join(entries, ",") + "]}\n"
	_, _ = s.discovery.conns[0].Write([]byte(strconv.FormatInt(int64(len(line)), 16) + "\r\n" + line + "\r\n"))
}

// A drain notice that arrives during a handshake, or in the turn of the failure before a retry, keeps the request from the
// draining server.
func TestDrainNoticeBeforeRequestIsSent(t *testing.T) {
	t.Run("while dialing", func(t *testing.T) {
		s := startScenario(t, 3, 2, virtual.ProcessOptions{})
		for _, b := range s.servers { // a latency by which the notice overtakes the handshake
			for _, c := range b.process.Conns() {
				b.process.Close(c)
			}
			s.network.SetPath(b.process.Machine(), s.process.Machine(), virtual.Path{LatencySeconds: 0.1})
		}
		s.run(0.2)
		dials := s.process.Dialing()
		s.sendRequest(900)
		s.run(0.02)
		require.Greater(t, s.process.Dialing(), dials)
		s.announceDraining(0, 1)
		s.run(2)
		assert.Zero(t, s.requestsReceived())
		assert.True(t, strings.HasPrefix(s.client.received.String(), "HTTP/1.1 503"), s.client.received.String())
	})
	for _, shuffle := range []bool{false, true} {
		t.Run(fmt.Sprint("before a retry, shuffled ", shuffle), func(t *testing.T) {
			for seed := range uint64(20) {
				s := startScenario(t, seed, 2, virtual.ProcessOptions{Shuffle: shuffle, SendBuffer: 20})
				for _, b := range s.servers {
					b.process.SetReadRate(-1)
				}
				s.sendRequest(900)
				s.run(0.02)
				s.process.Stall(s.network.Now() + 0.1)
				s.announceDraining(0, 1)
				s.run(0.01)
				for _, b := range s.servers { // both crash: the request fails at either, and the other one is draining
					if len(b.process.Conns()) > 0 && !b.process.NothingToRead(b.process.Conns()[0]) {
						b.process.Kill()
					} else {
						b.process.SetReadRate(0)
					}
				}
				s.run(2)
				if !shuffle { // the notice was handled first
					assert.Zero(t, s.requestsReceived())
				}
				assert.LessOrEqual(t, s.requestsReceived(), 1)
				assert.Equal(t, 1, strings.Count(s.client.received.String(), "HTTP/1.1"))
			}
		})
	}
}
