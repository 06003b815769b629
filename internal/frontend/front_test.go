// Package front_test holds the fronts against each other: the same calls through the same core.
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

// loop is a network without sockets: what is written is there at once, and a box answers everything.
type loop struct {
	host   netio.Handler
	now    float64
	alarm  float64 // 0: none
	todo   []func()
	answer func(dst, asked []byte) []byte
	does   []string // what the box does with what it is sent, one after the other; behind them it answers
	sent   int      // what the box has been sent
}

func (n *loop) Now() float64                           { return n.now }
func (n *loop) SetAlarm(at float64)                    { n.alarm = at }
func (n *loop) Post(f func())                          { n.todo = append(n.todo, f) }
func (n *loop) Yield(f func())                         { n.todo = append(n.todo, f) }
func (n *loop) CloseWrite(c netio.Conn)                { c.(*conn).ended = true }
func (n *loop) NothingToRead(netio.Conn) bool          { return true }
func (n *loop) AllAcknowledged(netio.Conn) bool        { return true }
func (n *loop) ReceiveDelaySeconds(netio.Conn) float64 { return 0 }
func (n *loop) ResumeReading(netio.Conn)               {}
func (n *loop) Listen(string) (func(), error)          { return nil, errors.ErrUnsupported }
func (n *loop) StopListening(done func())              { done() }
func (n *loop) PauseReading(netio.Conn, netio.ClosePolicy) bool {
	return false
}
func (n *loop) Stop() {}
func (n *loop) Close(c netio.Conn) {
	if c := c.(*conn); !c.gone {
		c.gone = true
		n.host.Closed(c, nil)
	}
}

// box is where the box is listed; what is sent elsewhere, to discovery, nobody answers.
const box = "127.0.0.1:3"

func (n *loop) Dial(address string, _ float64, context any, done func(error)) func() {
	n.Post(func() {
		c := &conn{n: n, context: context, box: address == box, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}}
		if n.host.Open(c) {
			done(nil)
		}
	})
	return func() {}
}

// run does what has come up, and what follows from it, until a client has been told something. Time passes where nothing else
// does.
func (n *loop) run(c *conn) {
	for steps := 0; (c == nil || len(c.said) == 0 || len(n.todo) > 0) && steps < 1000; steps++ {
		switch {
		case len(n.todo) > 0:
			f := n.todo[0]
			n.todo = n.todo[1:]
			f()
			n.now += 1e-5
		case c == nil || n.alarm == 0:
			return
		default:
			n.now, n.alarm = max(n.now, n.alarm), 0
			n.host.Alarm()
		}
	}
	n.todo = n.todo[:0]
}

type conn struct {
	n       *loop
	context any
	box     bool
	remote  *net.TCPAddr
	local   *net.TCPAddr
	said    []byte // to the client
	reply   []byte
	gone    bool
	ended   bool // nothing more will be said
}

func (c *conn) Write(p []byte) (int, error) {
	if !c.box {
		c.said = append(c.said[:0], p...)
		return len(p), nil
	}
	c.reply = c.n.answer(c.reply[:0], p)
	does := ""
	if n := c.n.sent; n < len(c.n.does) {
		does = c.n.does[n]
	}
	c.n.sent++
	c.n.Post(func() { c.act(does) })
	return len(p), nil
}

// act does what the box does; what it says otherwise is the protocol's own.
func (c *conn) act(does string) {
	bytes, ends := c.reply, false
	switch does {
	case "closes":
		bytes, ends = nil, true
	case "closes in the answer":
		bytes, ends = bytes[:len(bytes)-1], true
	case "makes no sense":
		bytes = []byte("\x01\x02\x03\x04\x05\x06\x07\x08\r\n")
	case "says more than it should":
		bytes = append(bytes, bytes...)
	case "answers and closes":
		ends = true
	case "says nothing":
		return
	}
	if len(bytes) > 0 && !c.gone {
		c.n.host.Traffic(c, bytes)
	}
	if ends && !c.gone {
		c.gone = true
		c.n.host.Closed(c, io.EOF)
	}
}

// actions are what a box may do with a request.
var actions = []string{"answers", "errs", "turns it away", "closes", "closes in the answer", "makes no sense",
	"says more than it should", "answers and closes", "says nothing"}

func (c *conn) OutboundBuffered() int { return 0 }
func (c *conn) RemoteAddr() net.Addr  { return c.remote }
func (c *conn) LocalAddr() net.Addr   { return c.local }
func (c *conn) Context() any          { return c.context }
func (c *conn) SetContext(v any)      { c.context = v }

// begin returns a sidecar that has begun, and a client's connection to it.
func begin(t testing.TB, port int, answer func(dst, asked []byte) []byte) (*loop, *conn) {
	known := `{"index":1,"snapshot":true,"endpoints":[{"name":"s-00000001","address":"` + box + `","zone":"a","status":"SERVING","weight":1}]}`
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
	n := &loop{now: 1.7e9, answer: answer}
	s, err := sidecar.New(cfg, on, []sidecar.Frontend{http1.New(cfg, on.Rewrites), thriftfront.New(cfg, on.Thrift)}, n, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	n.host = s
	s.Start()
	n.run(nil)
	c := &conn{n: n, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7}, local: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}
	require.True(t, s.Open(c))
	return n, c
}

// way is one protocol of the same call and its answers, the usual one of 160 bytes.
type way struct {
	port   int
	ask    func(class string, i int) []byte
	answer func(does string) func(dst, asked []byte) []byte
	status func(said []byte) int // as over HTTP
}

var reading = fmt.Sprintf("%-160s", "17.25 C")

func ways() map[string]way {
	all := map[string]way{"http": {port: 1,
		ask: func(class string, i int) []byte {
			method, more := "GET", ""
			if class != "read" {
				method, more = "POST", "Content-Length: 0\r\n"
			}
			return fmt.Appendf(nil, "%s /%s/7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %016x\r\nIdempotency-Key: k\r\nRequest-Timeout: 9900m\r\n%s\r\n",
				method, class, i, more)
		},
		answer: func(does string) func(dst, _ []byte) []byte {
			switch does {
			case "errs":
				return func(dst, _ []byte) []byte { return append(dst, "HTTP/1.1 500 \r\nContent-Length: 0\r\n\r\n"...) }
			case "turns it away":
				return func(dst, _ []byte) []byte {
					return append(dst, "HTTP/1.1 503 \r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"...)
				}
			}
			return func(dst, _ []byte) []byte {
				return fmt.Appendf(dst, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reading), reading)
			}
		},
		status: func(said []byte) int {
			n, _ := strconv.Atoi(string(said[9:12]))
			return n
		}}}
	for _, enc := range []thrift.Encoding{thrift.Binary, thrift.Compact} {
		all[enc.String()] = way{port: 2,
			ask: func(class string, i int) []byte {
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
			answer: func(does string) func(dst, asked []byte) []byte {
				return func(dst, asked []byte) []byte {
					m, err := thrift.ParseMessage(asked[4:])
					if err != nil {
						panic(err)
					}
					switch does {
					case "errs":
						return thrift.AppendException(dst, enc, string(m.Name), m.Seq, thrift.InternalError, "no")
					case "turns it away":
						return thrift.AppendException(dst, enc, string(m.Name), m.Seq, thrift.InternalError, "not started")
					}
					var w thrift.Writer
					w.BeginMessage(dst, enc, thrift.Reply, string(m.Name), m.Seq)
					w.FieldHeader(thrift.String, 0)
					w.String(reading)
					return w.EndMessage()
				}
			},
			status: func(said []byte) int {
				m, err := thrift.ParseMessage(said[4:])
				if err != nil || m.Kind == thrift.Reply {
					return 200
				}
				kind, _, _ := m.DecodeException()
				return map[int32]int{thrift.LoadShedding: 503, thrift.InternalError: 502, thrift.TimedOutException: 504}[kind]
			}}
	}
	return all
}

// outcomes plays each class of request with each two things that the box may do with it, and returns a line for each.
func outcomes(t *testing.T, w way) (lines []string) {
	for _, class := range []string{"read", "alert", "write"} {
		for _, first := range actions {
			for _, second := range actions {
				n, c := begin(t, w.port, nil)
				n.does = []string{first, second}
				n.answer = func(dst, asked []byte) []byte {
					does := ""
					if n.sent < len(n.does) {
						does = n.does[n.sent]
					}
					return w.answer(does)(dst, asked)
				}
				n.host.Traffic(c, w.ask(class, 1))
				n.run(c)
				served := bytes.Contains(c.said, []byte(reading))
				status := w.status(c.said)
				require.Equal(t, status == 200, served)
				lines = append(lines, fmt.Sprintf("%s: the box %s, then %s: %d, sent %d times", class, first, second, status, n.sent))
			}
		}
	}
	return lines
}

// The same script has the same outcomes over HTTP, binary and compact, line by line; what must not run twice is sent again
// only where it has not run.
func TestSameOutcomes(t *testing.T) {
	all := ways()
	want := outcomes(t, all["http"])
	assert.Len(t, want, 3*len(actions)*len(actions))
	for _, name := range []string{"binary", "compact"} {
		got := outcomes(t, all[name])
		require.Len(t, got, len(want))
		for i := range want {
			assert.Equal(t, want[i], got[i], name)
		}
	}
	again := 0
	for _, line := range want {
		if strings.HasPrefix(line, "write") && strings.HasSuffix(line, "sent 2 times") {
			assert.Contains(t, line, "the box turns it away, then")
			again++
		}
	}
	assert.Equal(t, len(actions), again)
}

// A reply that makes no sense, or answers another call, may have run all the same: it goes out again only where it may.
func TestThriftReplies(t *testing.T) {
	message := func(kind thrift.Kind, name string, add int32) func([]byte, *thrift.Message) []byte {
		return func(_ []byte, m *thrift.Message) []byte {
			var w thrift.Writer
			w.BeginMessage(nil, m.Encoding, kind, name, m.Seq+add)
			return w.EndMessage()
		}
	}
	for name, reply := range map[string]func(sound []byte, m *thrift.Message) []byte{
		"another sequence number": message(thrift.Reply, "m", 1),
		"another name":            message(thrift.Reply, "other", 0),
		"a call":                  message(thrift.Call, "m", 0),
		"a kind that is none":     message(7, "m", 0),
		"another encoding": func(_ []byte, m *thrift.Message) []byte {
			return message(thrift.Reply, "m", 0)(nil, &thrift.Message{Seq: m.Seq})
		},
		"a frame above the bound": func([]byte, *thrift.Message) []byte { return []byte{0, 1, 0, 1, 0x82} },
		"a negative length":       func([]byte, *thrift.Message) []byte { return []byte{0xff, 0, 0, 0, 0x82} },
		"a length of none":        func([]byte, *thrift.Message) []byte { return []byte{0, 0, 0, 0} },
		"a struct without an end": func(sound []byte, _ *thrift.Message) []byte { sound[3]--; return sound[:len(sound)-1] },
		"bytes behind the struct": func(sound []byte, _ *thrift.Message) []byte { sound[3]++; return append(sound, 0) },
	} {
		for class, want := range map[string]string{"write": "502, sent 1", "read": "200, sent 2"} {
			way := ways()["compact"]
			n, c := begin(t, way.port, nil)
			n.answer = func(dst, asked []byte) []byte {
				sound := way.answer("")(dst, asked)
				if n.sent > 0 {
					return sound
				}
				m, err := thrift.ParseMessage(asked[4:])
				require.NoError(t, err)
				odd := reply(sound, &m)
				return bytes.Replace(odd, []byte("\x01m\x00"), append([]byte{byte(len(class))}, class+"\x00"...), 1)
			}
			n.host.Traffic(c, way.ask(class, 1))
			n.run(c)
			assert.Equal(t, want, fmt.Sprintf("%d, sent %d", way.status(c.said), n.sent), "%s: %s", class, name)
		}
	}
}

// Where there are too many links an answer is the last on its own only if it can say so. A client that does not know may be
// sending its next request, and finds no other link.
func TestCrowdedLinks(t *testing.T) {
	for name, w := range ways() {
		n, c := begin(t, w.port, w.answer(""))
		for range 300 {
			n.host.Open(&conn{n: n, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 8}, local: c.local})
		}
		n.host.Traffic(c, w.ask("read", 1))
		n.run(c)
		assert.Equal(t, 200, w.status(c.said), name)
		assert.Equal(t, name == "http", c.ended, name)
		assert.Equal(t, name == "http", bytes.Contains(c.said, []byte("Connection: close")), name)
	}
}

// BenchmarkFronts is what a call costs without its system calls, the client's and the box's writing aside.
func BenchmarkFronts(b *testing.B) {
	for _, name := range []string{"http", "binary", "compact"} {
		w := ways()[name]
		b.Run(name, func(b *testing.B) {
			n, c := begin(b, w.port, w.answer(""))
			asks := make([][]byte, 1024)
			for i := range asks {
				asks[i] = w.ask("read", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n.now += 0.005
				n.host.Traffic(c, asks[i&1023])
				n.run(c)
				if !bytes.Contains(c.said, []byte("17.25 C")) {
					b.Fatalf("%q", c.said)
				}
				c.said = c.said[:0]
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
