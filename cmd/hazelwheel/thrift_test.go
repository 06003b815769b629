package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	apache "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/thrift"
)

// newThriftTestSidecar returns a sidecar with a Thrift port that is not started.
func newThriftTestSidecar(t *testing.T, servers ...*server) *testSidecar {
	w := newTestSidecar(t, servers...)
	w.thrift = freeAddress(t)
	w.features = "{" + thriftFeatures(w.thrift) + "}"
	return w
}

var encodings = []thrift.Encoding{thrift.Binary, thrift.OldBinary, thrift.Compact}

// dialThrift opens a connection to the Thrift port.
func (w *testSidecar) dialThrift() net.Conn {
	c, err := net.Dial("tcp", w.thrift)
	require.NoError(w, err)
	w.Cleanup(func() { c.Close() })
	require.NoError(w, c.SetDeadline(time.Now().Add(patience)))
	return c
}

// echo answers with the request that it received.
func echo(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(rw, r.Header.Get("Request-Id")+"="+string(body))
}

// Calls are parsed however their bytes are split, and pipelined calls are answered in order, each in its encoding and with its sequence
// number.
func TestThriftBytesComeInPieces(t *testing.T) {
	w := newThriftTestSidecar(t, newServer(t, "s-00000001", echo)).start()
	for _, enc := range encodings {
		call := frame(enc, thrift.Call, "read", -7, "", "", "x")
		for cut := 1; cut < len(call); cut++ {
			c := w.dialThrift()
			require.NoError(t, c.(*net.TCPConn).SetNoDelay(true))
			_, _ = c.Write(call[:cut])
			if cut%16 == 0 {
				time.Sleep(time.Millisecond) // usually read in two parts, at times in one; both must work
			}
			_, _ = c.Write(call[cut:])
			require.Equal(t, "-7 read =x", summarizeReply(t, c), "%v cut at %d", enc, cut)
			c.Close()
		}
	}
	c, many := w.dialThrift(), []byte(nil)
	for i := range 60 {
		many = append(many, frame(encodings[i%3], thrift.Call, "read", int32(i), fmt.Sprint(i), "", strings.Repeat("y", i*10))...)
	}
	go func() { _, _ = c.Write(many) }()
	for i := range 60 {
		require.Equal(t, fmt.Sprintf("%d read %d=%s", i, i, strings.Repeat("y", i*10)), summarizeReply(t, c))
	}
	one := w.dialThrift()
	for _, b := range frame(thrift.Compact, thrift.Call, "read", 1, "", "", "slow") {
		_, _ = one.Write([]byte{b})
	}
	assert.Equal(t, "1 read =slow", summarizeReply(t, one))
}

// Input that is not framed Thrift closes the connection with a log line; valid Thrift that is no known call gets an exception.
func TestThriftInput(t *testing.T) {
	s := newServer(t, "s-00000001", echo)
	w := newThriftTestSidecar(t, s).start()
	whole := frame(thrift.Binary, thrift.Call, "read", 3, "", "", "x")
	cut := bytes.Clone(whole[:len(whole)-1])
	cut[3]--
	reply := frame(thrift.Binary, thrift.Reply, "read", 3, "", "", "x")
	var twice thrift.Writer
	twice.BeginMessage(nil, thrift.Compact, thrift.Call, "read", 3)
	twice.FieldHeader(thrift.Struct, 1)
	twice.BeginStruct()
	for _, id := range []string{"a", "b"} {
		twice.FieldHeader(thrift.String, 1)
		twice.String(id)
	}
	twice.EndStruct()
	var impatient thrift.Writer
	impatient.BeginMessage(nil, thrift.Binary, thrift.Call, "read", 3)
	impatient.FieldHeader(thrift.Struct, 1)
	impatient.BeginStruct()
	impatient.FieldHeader(thrift.I32, 3)
	impatient.I32(-1)
	impatient.EndStruct()
	deep := append([]byte{0, 0, 0x27, 0x15, 0x82, 0x21, 3, 1, 'x'}, bytes.Repeat([]byte{0x1c}, 10_000)...)
	for name, c := range map[string]struct {
		text   string
		want   string // empty: closed without a reply
		closes bool
	}{
		"HTTP":                    {"GET /read HTTP/1.1\r\nHost: h\r\n\r\n", "", true},
		"beyond the bound":        {"\x00\x01\x00\x01\x80", "", true},
		"negative length":         {"\xff\xff\xff\xff\x80\x01", "", true},
		"empty frame":             {"\x00\x00\x00\x00", "", true},
		"unframed":                {"\x80\x01\x00\x01\x00\x00\x00\x04read", "", true},
		"no message":              {"\x00\x00\x00\x04\x80\x07\x00\x01", "", true},
		"cut short":               {string(cut), "3 read exception 7 " + thrift.ErrTruncated.Error(), true},
		"a reply":                 {string(reply), "3 read exception 2 a message that is no call", true},
		"two ids":                 {string(twice.EndMessage()), "3 read exception 7 " + thrift.ErrDuplicateField.Error(), true},
		"patience below 0":        {string(impatient.EndMessage()), "3 read exception 7 a patience that is no number from 0", false},
		"too deep":                {string(deep), "3 x exception 7 " + thrift.ErrTooDeep.Error(), true},
		"unknown method":          {string(frame(thrift.Compact, thrift.Call, "Readings:other", 3, "", "", "")), "3 other exception 1 no method that is known here", false},
		"an endless id":           {string(frame(thrift.Compact, thrift.Call, "read", 3, strings.Repeat("i", 257), "", "")), "3 read exception 7 an id of more than 256 bytes", false},
		"an id of odd bytes":      {string(frame(thrift.Compact, thrift.Call, "read", 3, "a\nb", "", "")), "3 read a\nb=", false},
		"unknown method, one way": {string(frame(thrift.Compact, thrift.Oneway, "other", 9, "", "", "")) + string(whole), "3 read =x", false},
	} {
		conn := w.dialThrift()
		_, _ = io.WriteString(conn, c.text)
		if c.want != "" {
			assert.Equal(t, c.want, summarizeReply(t, conn), name)
		}
		if c.closes {
			_, err := conn.Read(make([]byte, 1))
			assert.False(t, err == nil || strings.Contains(err.Error(), "timeout"), name)
		} else {
			_, _ = conn.Write(whole)
			assert.Equal(t, "3 read =x", summarizeReply(t, conn), name)
		}
		conn.Close()
	}
	for _, enc := range encodings { // in reverse order
		c, err := net.Dial("tcp", w.listen)
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
		began := time.Now()
		_, _ = c.Write(frame(enc, thrift.Call, "read", 3, "", "", "x"))
		_, err = c.Read(make([]byte, 1))
		assert.False(t, err == nil || strings.Contains(err.Error(), "timeout"))
		assert.Less(t, time.Since(began), 2*time.Second, "before an incomplete request would time out")
	}
	w.awaitLog("connections at the HTTP port are closed that speak Thrift", 1)
	w.eventually("the log", func() bool {
		return strings.Contains(w.log.String(), "connections at the Thrift port are closed that speak no framed Thrift")
	})
	w.eventually("no connection leaks", func() bool { return w.counter("open") == 0 && w.counter("descriptors") < 10 })
	assert.Zero(t, w.counter("panics"))
}

// A call that must not run twice is sent once, wherever its server breaks the connection.
func TestThriftBreaksAtEveryByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var begun, take atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n, _ := io.ReadFull(c, make([]byte, take.Load())); n > 0 {
				begun.Add(1)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	w := newThriftTestSidecar(t)
	w.known = append(w.known, endpoint{"s-00000001", l.Addr().String(), "a", "SERVING", 1, 0})
	w.start()
	call := frame(thrift.Compact, thrift.Call, "write", 1, "a", "", "x")
	for cut := 1; cut <= len(call); cut++ {
		take.Store(int32(cut))
		c := w.dialThrift()
		before := w.counter("executions")
		for { // a server that has broken connections so often is avoided for a while
			_, _ = c.Write(call)
			m, err := readFrame(c)
			require.NoError(t, err)
			kind, _, err := m.DecodeException()
			require.NoError(t, err)
			if kind != thrift.LoadShedding {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		assert.Equal(t, before+1, w.counter("executions"))
		assert.EqualValues(t, cut, begun.Load(), "broken at %d: sent once", cut)
		c.Close()
	}
}

// A call whose client disconnects before its last byte never runs.
func TestThriftClientBreaksAtEveryByte(t *testing.T) {
	s := newServer(t, "s-00000001", echo)
	w := newThriftTestSidecar(t, s).start()
	call := frame(thrift.Compact, thrift.Call, "write", 1, "a", "", "x")
	for cut := range call {
		c := w.dialThrift()
		_, _ = c.Write(call[:cut])
		c.Close()
	}
	c := w.dialThrift()
	_, _ = c.Write(call)
	assert.Equal(t, "1 write a=x", summarizeReply(t, c))
	assert.Equal(t, 1, s.requestCount())
}

// A keyed call without a key is sent once, as no server could detect the duplicate.
func TestThriftWithoutAKey(t *testing.T) {
	for key, want := range map[string]int{"": 1, "k": 2} {
		t.Run("key "+key, func(t *testing.T) {
			s := newServer(t, "s-00000001", nil)
			s.set(func(w http.ResponseWriter, r *http.Request) {
				s.set(echo)
				says(500, "")(w, r)
			})
			w := newThriftTestSidecar(t, s).start()
			c := w.dialThrift()
			_, _ = c.Write(frame(thrift.Binary, thrift.Call, "alert", 1, "a", key, "x"))
			assert.Equal(t, map[int]string{1: "1 alert exception 6 failed; it may have run", 2: "1 alert a=x"}[want], summarizeReply(t, c))
			assert.Equal(t, want, s.requestCount())
			assert.EqualValues(t, 2-want, w.counter("failed"))
		})
	}
}

// The same key over HTTP and Thrift at the same time leads to two requests, which the servers recognize as one.
func TestSameKeyOverBoth(t *testing.T) {
	s := newServer(t, "s-00000001", nil)
	var arrivals sync.WaitGroup // each waits for the other
	arrivals.Add(2)
	s.set(func(rw http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "k2", r.Header.Get("Idempotency-Key"))
		arrivals.Done()
		arrivals.Wait()
		echo(rw, r)
	})
	w := newThriftTestSidecar(t, s).start()
	c := w.dialThrift()
	over := w.askAsync("alert", "", "x", "Request-Id", "h", "Idempotency-Key", "k2")
	_, _ = c.Write(frame(thrift.Binary, thrift.Call, "alert", 3, "t", "k2", "x"))
	assert.Equal(t, "3 alert t=x", summarizeReply(t, c))
	assert.Equal(t, "h=x", (<-over).body)
	assert.Equal(t, 2, s.requestCount())
}

// A call that was sent before a drain is answered on its connection; the next one goes to another server.
func TestThriftDrains(t *testing.T) {
	s := newServer(t, "s-00000001", nil)
	other := newServer(t, "s-00000002", says(200, "other"))
	release := make(chan struct{})
	s.set(func(rw http.ResponseWriter, r *http.Request) {
		<-release
		says(200, "drained")(rw, r)
	})
	w := newThriftTestSidecar(t, s)
	drains := make(chan struct{})
	w.discovery.sendVersionOnce(8, drains, func() string { return line(t, 8, false, s, other) })
	w.start()
	c := w.dialThrift()
	_, _ = c.Write(frame(thrift.Compact, thrift.Call, "write", 1, "a", "", ""))
	w.eventually("the attempt", func() bool { return s.requestCount() == 1 })
	s.status = "DRAINING"
	close(drains)
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	close(release)
	assert.Equal(t, "1 write drained", summarizeReply(t, c))
	w.eventually("the connection is closed", func() bool { _, _, closed := s.counts(); return closed == 1 })
	_, _ = c.Write(frame(thrift.Compact, thrift.Call, "write", 2, "b", "", ""))
	assert.Equal(t, "2 write other", summarizeReply(t, c))
	assert.Equal(t, 1, s.requestCount())
}

// After SIGTERM all pipelined calls are answered, then the connection is closed and the program ends.
func TestThriftEnds(t *testing.T) {
	s, release := newServer(t, "s-00000001", nil), make(chan struct{})
	s.set(func(rw http.ResponseWriter, r *http.Request) {
		<-release
		echo(rw, r)
	})
	w := newThriftTestSidecar(t, s).start()
	c := w.dialThrift()
	var ahead []byte
	for i := range 20 {
		ahead = append(ahead, frame(thrift.Binary, thrift.Call, "write", int32(i), fmt.Sprint("i", i), "", strings.Repeat("z", 1000))...)
	}
	_, _ = c.Write(ahead)
	w.eventually("the attempt", func() bool { return s.requestCount() == 1 })
	w.signal(syscall.SIGTERM)
	w.awaitLog("msg=ending", 1)
	close(release)
	for i := range 20 {
		require.Equal(t, fmt.Sprintf("%d write i%d=%s", i, i, strings.Repeat("z", 1000)), summarizeReply(t, c))
	}
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	require.NoError(t, w.cmd.Wait())
	assert.Equal(t, 20, s.requestCount())
}

// A oneway call is accepted and sent once, even if its client disconnects at once; the next call on its connection is answered.
func TestThriftOneway(t *testing.T) {
	s := newServer(t, "s-00000001", echo)
	w := newThriftTestSidecar(t, s).start()
	for i, enc := range encodings {
		c := w.dialThrift()
		_, _ = c.Write(append(frame(enc, thrift.Oneway, "writeAside", 1, "", "", "x"), frame(enc, thrift.Call, "read", 2, "", "", "y")...))
		assert.Equal(t, "2 read =y", summarizeReply(t, c))
		_, _ = c.Write(frame(enc, thrift.Oneway, "writeAside", 3, "", "", "z"))
		c.Close()
		w.eventually("the request arrives", func() bool { return s.requestCount() == 3*(i+1) })
	}
	w.eventually("all requests have ended", func() bool { return w.counter("open") == 0 })
	assert.Equal(t, 9.0, w.counter("served"))
	assert.Equal(t, 6.0, w.countOfOutcome("execution_ends", "cancelled"), "the outcome at the servers is unknown")
	assert.Zero(t, w.counter("abandoned"))
}

// Drills, captures, counters and reloads treat calls like HTTP requests.
func TestThriftWithOtherFeatures(t *testing.T) {
	s := newServer(t, "s-00000001", echo)
	w := newThriftTestSidecar(t, s).withFaults(`{"name":"cut","class":"write","share":100,"abort":"503"}`)
	w.features = strings.TrimSuffix(w.features, "}") + `,"capture":{},` + thriftFeatures(w.thrift) + "}"
	w.start()
	c := w.dialThrift()
	_, _ = c.Write(frame(thrift.Compact, thrift.Call, "write", 1, "call-1", "", ""))
	assert.Equal(t, "1 write call-1=", summarizeReply(t, c))
	code, text := w.controlFault("cut", drillSecret)
	require.Zero(t, code, text)
	_, _ = c.Write(frame(thrift.Compact, thrift.Call, "Readings:write", 2, "call-2", "", ""))
	assert.Equal(t, "2 write exception 11 throttled; retry-after=1.500", summarizeReply(t, c))
	assert.Equal(t, 1.0, w.faultHits())
	dump := w.dump()
	assert.Contains(t, dump, `"id":"call-1","class":"write"`)
	w.signal(syscall.SIGHUP)
	w.awaitLog("configuration read", 1)
	_, _ = c.Write(frame(thrift.Compact, thrift.Call, "read", 3, "", "", "x"))
	assert.Equal(t, "3 read =x", summarizeReply(t, c))
	assert.Equal(t, []float64{3, 2, 1}, []float64{w.counter("requests"), w.counter("served"), w.counter("throttled")})
}

// Where servers speak only Thrift, no request goes to them over HTTP.
func TestThriftOnly(t *testing.T) {
	s := newServer(t, "s-00000001", echo)
	w := newThriftTestSidecar(t, s)
	w.setLimit("probes", true)
	w.features = strings.Replace(w.features, `"classes"`, `"only":true,"classes"`, 1)
	code, text := run(t, "check", "--config", w.writeConfig(), "--features", w.writeFile("bad.json", w.features))
	assert.Equal(t, 2, code)
	assert.Contains(t, text, "thrift.probe: missing")
	w.features = strings.Replace(w.features, `"classes"`, `"probe":"ping","classes"`, 1)
	w.start()
	w.eventually("a probe", func() bool { return w.countOfOutcome("probe_ends", "ok") > 0 })
	assert.Equal(t, 404, w.ask("read", "", "").status)
	c := w.dialThrift()
	_, _ = c.Write(frame(thrift.Binary, thrift.Call, "read", 1, "", "", "x"))
	assert.Equal(t, "1 read =x", summarizeReply(t, c))
}

// echoer returns the struct that it was called with: a processor of the Apache library, like generated code.
type echoer struct{ apache.TProcessor }

func (echoer) Process(ctx context.Context, in, out apache.TProtocol) (bool, apache.TException) {
	name, _, seq, err := in.ReadMessageBegin(ctx)
	if err == nil {
		err = errors.Join(out.WriteMessageBegin(ctx, name, apache.REPLY, seq), pass(ctx, in, out), out.Flush(ctx))
	}
	return err == nil, apache.WrapTException(err)
}

// Uses the Apache library's own server and client, framed and framed-multiplexed, in both encodings, with fields of all types, as in the
// parser's corpus.
func TestThriftWithApacheOnBothSides(t *testing.T) {
	corpus, err := os.ReadFile("../../internal/thrift/testdata/messages.txt")
	require.NoError(t, err)
	for _, way := range []string{"binary", "compact"} {
		for _, multiplexed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s %v", way, multiplexed), func(t *testing.T) {
				conf := &apache.TConfiguration{}
				socket, err := apache.NewTServerSocket("127.0.0.1:0")
				require.NoError(t, err)
				require.NoError(t, socket.Listen())
				var processor apache.TProcessor = echoer{}
				if multiplexed {
					m := apache.NewTMultiplexedProcessor()
					m.RegisterProcessor("Readings", echoer{})
					processor = m
				}
				var protocols apache.TProtocolFactory = apache.NewTBinaryProtocolFactoryConf(conf)
				if way == "compact" {
					protocols = apache.NewTCompactProtocolFactoryConf(conf)
				}
				server := apache.NewTSimpleServer4(processor, socket, apache.NewTFramedTransportFactoryConf(apache.NewTTransportFactory(), conf), protocols)
				go server.Serve()
				t.Cleanup(func() { _ = server.Stop() })

				w := newThriftTestSidecar(t)
				w.features = fmt.Sprintf(`{"thrift":{"listen":"%s","classes":[{"class":"read","methods":["read","Readings:read"]}]}}`, w.thrift)
				w.known = append(w.known, endpoint{"s-00000001", socket.Addr().String(), "a", "SERVING", 1, 0})
				w.start()
				p := protocol(w.dialThrift(), way)
				client := apache.NewTStandardClient(p, p)
				if multiplexed {
					client = apache.NewTStandardClient(p, apache.NewTMultiplexedProtocol(p, "Readings"))
				}
				called := 0
				for line := range strings.Lines(string(corpus)) {
					f := strings.Fields(line)
					if !strings.HasPrefix(f[0], "compact-") || f[1] != "sound" {
						continue
					}
					raw, err := hex.DecodeString(f[2])
					require.NoError(t, err)
					m, err := thrift.ParseMessage(raw)
					require.NoError(t, err)
					body := m.Body()
					sent, got := values(raw[len(raw)-body.Remaining():]), values(nil)
					_, err = client.Call(t.Context(), "read", &sent, &got)
					require.NoError(t, err, f[0])
					mem := apache.NewTMemoryBuffer() // some are not encoded as the library does it
					require.NoError(t, sent.Write(t.Context(), apache.NewTCompactProtocolConf(mem, nil)))
					require.Equal(t, values(mem.Bytes()), got, f[0])
					called++
				}
				assert.Greater(t, called, 10)
				assert.EqualValues(t, called, w.counter("served"))
				assert.Less(t, w.counter("dials"), float64(called)+1)
			})
		}
	}
}
