// Package frontend_test compares the frontends: it makes the same calls through each of them to the same sidecar core.
package frontend_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/http1"
	thriftfront "hazelwheel/internal/frontend/thrift"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/internal/thrift"
)

// fakeLoop is an event loop without sockets. Writes arrive at once, and a fake server responds to each request.
type fakeLoop struct {
	handler       netio.Handler
	now           float64
	alarm         float64 // 0: none
	posted        []func()
	respond       func(dst, req []byte) []byte
	script        []string // the server's action for each request, in order; it responds normally to all later ones
	backendWrites int      // number of requests that the server has received
}

func (n *fakeLoop) Now() float64                           { return n.now }
func (n *fakeLoop) SetAlarm(at float64)                    { n.alarm = at }
func (n *fakeLoop) Post(f func())                          { n.posted = append(n.posted, f) }
func (n *fakeLoop) Yield(f func())                         { n.posted = append(n.posted, f) }
func (n *fakeLoop) CloseWrite(c netio.Conn)                { c.(*fakeConn).isWriteClosed = true }
func (n *fakeLoop) NothingToRead(netio.Conn) bool          { return true }
func (n *fakeLoop) AllAcknowledged(netio.Conn) bool        { return true }
func (n *fakeLoop) ReceiveDelaySeconds(netio.Conn) float64 { return 0 }
func (n *fakeLoop) ResumeReading(netio.Conn)               {}
func (n *fakeLoop) Listen(string) (func(), error)          { return nil, errors.ErrUnsupported }
func (n *fakeLoop) StopListening(done func())              { done() }
func (n *fakeLoop) PauseReading(netio.Conn, netio.ClosePolicy) bool {
	return false
}
func (n *fakeLoop) Stop() {}
func (n *fakeLoop) Close(c netio.Conn) {
	if c := c.(*fakeConn); !c.isClosed {
		c.isClosed = true
		n.handler.Closed(c, nil)
	}
}

// backendAddress is the address of the listed server. Nothing responds at other addresses, such as that of discovery.
const backendAddress = "127.0.0.1:3"

func (n *fakeLoop) Dial(address string, _ float64, context any, done func(error)) func() {
	n.Post(func() {
		c := &fakeConn{loop: n, context: context, isBackend: address == backendAddress, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}}
		if n.handler.Open(c) {
			done(nil)
		}
	})
	return func() {}
}

// run calls posted functions, and those that they post, until the client has received data. When none are left it advances the time to the
// next alarm.
func (n *fakeLoop) run(c *fakeConn) {
	for steps := 0; (c == nil || len(c.written) == 0 || len(n.posted) > 0) && steps < 1000; steps++ {
		switch {
		case len(n.posted) > 0:
			f := n.posted[0]
			n.posted = n.posted[1:]
			f()
			n.now += 1e-5
		case c == nil || n.alarm == 0:
			return
		default:
			n.now, n.alarm = max(n.now, n.alarm), 0
			n.handler.Alarm()
		}
	}
	n.posted = n.posted[:0]
}

type fakeConn struct {
	loop          *fakeLoop
	context       any
	isBackend     bool
	remote        *net.TCPAddr
	local         *net.TCPAddr
	written       []byte // to the client
	reply         []byte
	isClosed      bool
	isWriteClosed bool // the sidecar has closed its writing side
}

func (c *fakeConn) Write(p []byte) (int, error) {
	if !c.isBackend {
		c.written = append(c.written[:0], p...)
		return len(p), nil
	}
	c.reply = c.loop.respond(c.reply[:0], p)
	action := ""
	if n := c.loop.backendWrites; n < len(c.loop.script) {
		action = c.loop.script[n]
	}
	c.loop.backendWrites++
	c.loop.Post(func() { c.perform(action) })
	return len(p), nil
}

// perform carries out one action of the server's script; the protocol's function has built the response.
func (c *fakeConn) perform(action string) {
	bytes, closes := c.reply, false
	switch action {
	case "closes":
		bytes, closes = nil, true
	case "closes in the response":
		bytes, closes = bytes[:len(bytes)-1], true
	case "responds malformed":
		bytes = []byte("\x01\x02\x03\x04\x05\x06\x07\x08\r\n")
	case "sends unsolicited bytes":
		bytes = append(bytes, bytes...)
	case "responds and closes":
		closes = true
	case "does not respond":
		return
	}
	if len(bytes) > 0 && !c.isClosed {
		c.loop.handler.Traffic(c, bytes)
	}
	if closes && !c.isClosed {
		c.isClosed = true
		c.loop.handler.Closed(c, io.EOF)
	}
}

// backendActions are the possible actions in a server's script.
var backendActions = []string{"responds", "responds with an error", "rejects the request", "closes", "closes in the response", "responds malformed",
	"sends unsolicited bytes", "responds and closes", "does not respond"}

func (c *fakeConn) OutboundBuffered() int { return 0 }
func (c *fakeConn) RemoteAddr() net.Addr  { return c.remote }
func (c *fakeConn) LocalAddr() net.Addr   { return c.local }
func (c *fakeConn) Context() any          { return c.context }
func (c *fakeConn) SetContext(v any)      { c.context = v }

// startSidecar starts a sidecar and opens a client connection to it at a port.
func startSidecar(t testing.TB, port int, answer func(dst, req []byte) []byte) (*fakeLoop, *fakeConn) {
	known := `{"index":1,"snapshot":true,"endpoints":[{"name":"s-00000001","address":"` + backendAddress + `","zone":"a","status":"SERVING","weight":1}]}`
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:9", "known": json.RawMessage(known),
		"seed": "8c1f30d27a5be964", "settings": json.RawMessage(`{"dcs":["a"],"discovery":"on_request","replicasOfMe":1,"roundS":0.005,
		"classes":[{"name":"read","effect":"free","objectiveS":5,"giveUpS":10,"importance":1},
		{"name":"alert","effect":"guarded","dedupScope":"all","windowS":10,"objectiveS":5,"giveUpS":10,"importance":1},
		{"name":"write","effect":"single_shot","objectiveS":5,"giveUpS":10,"importance":1}],"report":{"how":"off"},
		"limits":{"cancel":true,"probes":false,"sendCap":3,"maxRetryAfterS":1.5,"connIdleS":60,"connectTimeoutS":5}}`)})
	require.NoError(t, err)
	cfg, err := sidecarconfig.Parse(raw)
	require.NoError(t, err)
	on, err := featureconfig.Parse([]byte(`{"thrift":{"listen":"127.0.0.1:2","classes":[
		{"class":"read","methods":["read"],"id":"1","key":"2","patience_us":"3"},{"class":"alert","methods":["alert"],"id":"1","key":"2","patience_us":"3"},
		{"class":"write","methods":["write"],"id":"1","key":"2","patience_us":"3"}]}}`), &cfg)
	require.NoError(t, err)
	n := &fakeLoop{now: 1.7e9, respond: answer}
	s, err := sidecar.New(cfg, on, []sidecar.Frontend{http1.New(cfg, on.Rewrites), thriftfront.New(cfg, on.Thrift)}, n, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	n.handler = s
	s.Start()
	n.run(nil)
	c := &fakeConn{loop: n, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7}, local: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}
	require.True(t, s.Open(c))
	return n, c
}

// protocol encodes the same call and its responses in one protocol. The normal response has a payload of 160 bytes.
type protocol struct {
	port     int
	request  func(class string, i int) []byte
	response func(action string) func(dst, req []byte) []byte
	statusOf func(resp []byte) int // the HTTP status that corresponds to the response
}

var payload = fmt.Sprintf("%-160s", "17.25 C")

func protocols() map[string]protocol {
	all := map[string]protocol{"http": {port: 1,
		request: func(class string, i int) []byte {
			method, more := "GET", ""
			if class != "read" {
				method, more = "POST", "Content-Length: 0\r\n"
			}
			return fmt.Appendf(nil, "%s /%s/7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %016x\r\nIdempotency-Key: k\r\nRequest-Timeout: 9900m\r\n%s\r\n",
				method, class, i, more)
		},
		response: func(action string) func(dst, _ []byte) []byte {
			switch action {
			case "responds with an error":
				return func(dst, _ []byte) []byte { return append(dst, "HTTP/1.1 500 \r\nContent-Length: 0\r\n\r\n"...) }
			case "rejects the request":
				return func(dst, _ []byte) []byte {
					return append(dst, "HTTP/1.1 503 \r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"...)
				}
			}
			return func(dst, _ []byte) []byte {
				return fmt.Appendf(dst, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(payload), payload)
			}
		},
		statusOf: func(resp []byte) int {
			n, _ := strconv.Atoi(string(resp[9:12]))
			return n
		}}}
	for _, enc := range []thrift.Encoding{thrift.Binary, thrift.Compact} {
		all[enc.String()] = protocol{port: 2,
			request: func(class string, i int) []byte {
				var w thrift.Writer
				w.BeginMessage(nil, enc, thrift.Call, class, int32(i))
				w.FieldHeader(thrift.String, 1)
				w.String(fmt.Sprintf("%016x", i))
				w.FieldHeader(thrift.String, 2)
				w.String("k")
				w.FieldHeader(thrift.I64, 3)
				w.I64(9_900_000)
				w.FieldHeader(thrift.I32, 4)
				w.I32(7)
				return w.EndMessage()
			},
			response: func(action string) func(dst, req []byte) []byte {
				return func(dst, req []byte) []byte {
					m, err := thrift.ParseMessage(req[4:])
					if err != nil {
						panic(err)
					}
					switch action {
					case "responds with an error":
						return thrift.AppendException(dst, enc, string(m.Name), m.Seq, thrift.InternalError, "no")
					case "rejects the request":
						return thrift.AppendException(dst, enc, string(m.Name), m.Seq, thrift.InternalError, "not started")
					}
					var w thrift.Writer
					w.BeginMessage(dst, enc, thrift.Reply, string(m.Name), m.Seq)
					w.FieldHeader(thrift.String, 0)
					w.String(payload)
					return w.EndMessage()
				}
			},
			statusOf: func(resp []byte) int {
				m, err := thrift.ParseMessage(resp[4:])
				if err != nil || m.Kind == thrift.Reply {
					return 200
				}
				kind, _, _ := m.DecodeException()
				return map[thrift.ExceptionType]int{thrift.LoadShedding: 503, thrift.InternalError: 502, thrift.TimedOutException: 504}[kind]
			}}
	}
	return all
}

// playOutcomes sends a request of each class for each pair of server actions, and returns one line per request with its outcome.
func playOutcomes(t *testing.T, w protocol) (lines []string) {
	for _, class := range []string{"read", "alert", "write"} {
		for _, first := range backendActions {
			for _, second := range backendActions {
				n, c := startSidecar(t, w.port, nil)
				n.script = []string{first, second}
				n.respond = func(dst, req []byte) []byte {
					action := ""
					if n.backendWrites < len(n.script) {
						action = n.script[n.backendWrites]
					}
					return w.response(action)(dst, req)
				}
				n.handler.Traffic(c, w.request(class, 1))
				n.run(c)
				served := bytes.Contains(c.written, []byte(payload))
				status := w.statusOf(c.written)
				require.Equal(t, status == 200, served)
				lines = append(lines, fmt.Sprintf("%s: the server %s, then %s: %d, sent %d times", class, first, second, status, n.backendWrites))
			}
		}
	}
	return lines
}

// The same server actions lead to the same outcomes over HTTP, binary and compact Thrift. A request that must not run twice is sent again
// only if the server says that it has not run.
func TestProtocolsHaveSameOutcomes(t *testing.T) {
	all := protocols()
	want := playOutcomes(t, all["http"])
	assert.Len(t, want, 3*len(backendActions)*len(backendActions))
	for _, name := range []string{"binary", "compact"} {
		got := playOutcomes(t, all[name])
		require.Len(t, got, len(want))
		for i := range want {
			assert.Equal(t, want[i], got[i], name)
		}
	}
	retried := 0
	for _, line := range want {
		if strings.HasPrefix(line, "write") && strings.HasSuffix(line, "sent 2 times") {
			assert.Contains(t, line, "the server rejects the request, then")
			retried++
		}
	}
	assert.Equal(t, len(backendActions), retried)
}

// After a malformed reply, or one to another call, the call may have run, so it is sent again only if it may run twice.
func TestInvalidThriftReplies(t *testing.T) {
	message := func(kind thrift.Kind, name string, add int32) func([]byte, *thrift.Message) []byte {
		return func(_ []byte, m *thrift.Message) []byte {
			var w thrift.Writer
			w.BeginMessage(nil, m.Encoding, kind, name, m.Seq+add)
			return w.EndMessage()
		}
	}
	for name, reply := range map[string]func(valid []byte, m *thrift.Message) []byte{
		"another sequence number": message(thrift.Reply, "m", 1),
		"another name":            message(thrift.Reply, "other", 0),
		"a call":                  message(thrift.Call, "m", 0),
		"an unknown kind":         message(7, "m", 0),
		"another encoding": func(_ []byte, m *thrift.Message) []byte {
			return message(thrift.Reply, "m", 0)(nil, &thrift.Message{Seq: m.Seq})
		},
		"a frame above the bound": func([]byte, *thrift.Message) []byte { return []byte{0, 1, 0, 1, 0x82} },
		"a negative length":       func([]byte, *thrift.Message) []byte { return []byte{0xff, 0, 0, 0, 0x82} },
		"a zero length":           func([]byte, *thrift.Message) []byte { return []byte{0, 0, 0, 0} },
		"a struct without an end": func(valid []byte, _ *thrift.Message) []byte { valid[3]--; return valid[:len(valid)-1] },
		"bytes behind the struct": func(valid []byte, _ *thrift.Message) []byte { valid[3]++; return append(valid, 0) },
	} {
		for class, want := range map[string]string{"write": "502, sent 1", "read": "200, sent 2"} {
			proto := protocols()["compact"]
			n, c := startSidecar(t, proto.port, nil)
			n.respond = func(dst, req []byte) []byte {
				valid := proto.response("")(dst, req)
				if n.backendWrites > 0 {
					return valid
				}
				m, err := thrift.ParseMessage(req[4:])
				require.NoError(t, err)
				invalid := reply(valid, &m)
				return bytes.Replace(invalid, []byte("\x01m\x00"), append([]byte{byte(len(class))}, class+"\x00"...), 1)
			}
			n.handler.Traffic(c, proto.request(class, 1))
			n.run(c)
			assert.Equal(t, want, fmt.Sprintf("%d, sent %d", proto.statusOf(c.written), n.backendWrites), "%s: %s", class, name)
		}
	}
}

// Near the limit of connections, the sidecar closes a connection after a response only if the protocol can announce that. A client that is
// not told may already be sending its next request, and would lose it.
func TestConnsNearLimitCloseOnlyIfAnnounced(t *testing.T) {
	for name, w := range protocols() {
		n, c := startSidecar(t, w.port, w.response(""))
		for range 300 {
			n.handler.Open(&fakeConn{loop: n, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 8}, local: c.local})
		}
		n.handler.Traffic(c, w.request("read", 1))
		n.run(c)
		assert.Equal(t, 200, w.statusOf(c.written), name)
		assert.Equal(t, name == "http", c.isWriteClosed, name)
		assert.Equal(t, name == "http", bytes.Contains(c.written, []byte("Connection: close")), name)
	}
}

// BenchmarkFrontends measures the handling of a call, without system calls and without the work of the client and the server.
func BenchmarkFrontends(b *testing.B) {
	for _, name := range []string{"http", "binary", "compact"} {
		w := protocols()[name]
		b.Run(name, func(b *testing.B) {
			n, c := startSidecar(b, w.port, w.response(""))
			requests := make([][]byte, 1024)
			for i := range requests {
				requests[i] = w.request("read", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n.now += 0.005
				n.handler.Traffic(c, requests[i&1023])
				n.run(c)
				if !bytes.Contains(c.written, []byte("17.25 C")) {
					b.Fatalf("%q", c.written)
				}
				c.written = c.written[:0]
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
