package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	apache "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/thrift"
)

// everyWay runs a test over HTTP and over Thrift in both encodings. The test itself is the same: its requests and responses are
// translated, and its servers accept each protocol.
func everyWay(t *testing.T, test func(t *testing.T)) {
	for _, way := range []string{"http", "binary", "compact"} {
		t.Run(way, test)
	}
}

// way returns the protocol of a test, which everyWay has put into its name.
func way(t *testing.T) string {
	for part := range strings.SplitSeq(t.Name(), "/") {
		if part == "binary" || part == "compact" {
			return part
		}
	}
	return "http"
}

// thriftFeatures returns a features file with the methods that the tests call, which take one struct.
func thriftFeatures(listen string) string {
	var classes []string
	for _, c := range []string{"read", "alert", "write"} {
		classes = append(classes, fmt.Sprintf(`{"class":"%s","methods":["%s","Readings:%s","%sAside"],"id":"1.1","key":"1.2","patience_ms":"1.3"}`, c, c, c, c))
	}
	return fmt.Sprintf(`"thrift":{"listen":"%s","classes":[%s]}`, listen, strings.Join(classes, ","))
}

// arguments writes the arguments of the tests' methods. Values that are empty or below 0 are left out.
func arguments(w *thrift.Writer, id, key, path, body string, patienceMS int) {
	w.FieldHeader(thrift.Struct, 1)
	w.BeginStruct()
	for i, text := range []string{id, key} {
		if text != "" {
			w.FieldHeader(thrift.String, int16(i+1))
			w.String(text)
		}
	}
	if patienceMS >= 0 {
		w.FieldHeader(thrift.I32, 3)
		w.I32(int32(patienceMS))
	}
	w.FieldHeader(thrift.Bool, 90) // an unknown field
	w.Bool(true)
	w.FieldHeader(thrift.String, 4)
	w.String(path)
	w.FieldHeader(thrift.String, 5)
	w.String(body)
	w.EndStruct()
}

// frame returns a framed call.
func frame(enc thrift.Encoding, kind thrift.Kind, name string, seq int32, id, key, body string) []byte {
	var w thrift.Writer
	w.BeginMessage(nil, enc, kind, name, seq)
	arguments(&w, id, key, "", body, -1)
	return w.EndMessage()
}

// values is a struct that the Apache library writes and reads value by value, as generated code does; it is stored in the compact
// protocol.
type values []byte

func pass(ctx context.Context, from, to apache.TProtocol) error {
	return apache.Skip(ctx, &apache.TDuplicateToProtocol{Delegate: from, DuplicateTo: to}, apache.STRUCT, apache.DEFAULT_RECURSION_DEPTH)
}

func (v *values) Write(ctx context.Context, p apache.TProtocol) error {
	mem := apache.NewTMemoryBuffer()
	mem.Write(*v)
	return pass(ctx, apache.NewTCompactProtocolConf(mem, nil), p)
}

func (v *values) Read(ctx context.Context, p apache.TProtocol) error {
	mem := apache.NewTMemoryBuffer()
	err := pass(ctx, p, apache.NewTCompactProtocolConf(mem, nil))
	*v = mem.Bytes()
	return err
}

// protocol returns the Apache library's protocol over a framed connection.
func protocol(c net.Conn, way string) apache.TProtocol {
	conf := &apache.TConfiguration{}
	framed := apache.NewTFramedTransportConf(apache.NewTSocketFromConnConf(c, conf), conf)
	if way == "compact" {
		return apache.NewTCompactProtocolConf(framed, conf)
	}
	return apache.NewTBinaryProtocolConf(framed, conf)
}

// thriftTransport sends HTTP requests as calls to the program's Thrift port with the Apache library's client, and returns the replies as
// HTTP.
type thriftTransport struct {
	way, address string
	idle         chan net.Conn
}

func (t *thriftTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.RequestURI(), "/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	patienceMS, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("Request-Timeout"), "m"))
	if err != nil {
		patienceMS = -1
	}
	var w thrift.Writer
	w.BeginMessage(nil, thrift.Compact, thrift.Call, "", 0)
	arguments(&w, r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), rest, string(body), patienceMS)
	request, result := values(w.EndMessage()[8:]), values(nil) // after a message header with an empty name

	var c net.Conn
	select {
	case c = <-t.idle:
	default:
		if c, err = net.DialTimeout("tcp", t.address, patience); err != nil {
			return nil, err
		}
	}
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	p := protocol(c, t.way)
	_, err = apache.NewTStandardClient(p, p).Call(r.Context(), class, &request, &result)
	var exception apache.TApplicationException
	excepted := errors.As(err, &exception)
	if err != nil && !excepted {
		c.Close()
		return nil, err
	}
	t.idle <- c
	if excepted {
		return exceptionResponse(exception), nil
	}
	m, err := thrift.ParseMessage(append([]byte{0x82, 0x41, 0, 0}, result...))
	if err != nil {
		return nil, err
	}
	var found [thrift.MaxPaths]thrift.Value
	err = m.Find([]thrift.Path{{0}}, &found)
	return response(200, string(found[0].Bytes), http.Header{}), err
}

func (t *thriftTransport) CloseIdleConnections() {
	for len(t.idle) > 0 {
		(<-t.idle).Close()
	}
}

func response(status int, body string, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

// exceptionResponse returns the HTTP response that corresponds to an exception.
func exceptionResponse(e apache.TApplicationException) *http.Response {
	h := http.Header{}
	if after, advised := strings.CutPrefix(e.Error(), "throttled; retry-after="); advised {
		h.Set("Retry-After", after)
	}
	status := map[thrift.ExceptionType]int{thrift.LoadShedding: 503, thrift.TimedOutException: 504, thrift.UnknownMethod: 404, thrift.InternalError: 502}[thrift.ExceptionType(e.TypeId())]
	if strings.Contains(e.Error(), "open call") {
		status = 409
	}
	return response(status, e.Error(), h)
}

// protocolListener passes on HTTP connections to an HTTP server, and has those that speak Thrift served separately.
type protocolListener struct {
	net.Listener
	thrift func(peekedConn)
	http   chan net.Conn
	over   chan struct{}
}

// peekedConn is a connection whose first bytes have been peeked at.
type peekedConn struct {
	net.Conn
	r *bufio.Reader
}

func (p peekedConn) Read(b []byte) (int, error) { return p.r.Read(b) }

func sniff(s *server) *protocolListener {
	l := &protocolListener{s.Listener, s.serveThrift, make(chan net.Conn), make(chan struct{})}
	go func() {
		defer close(l.over)
		for {
			c, err := l.Listener.Accept()
			if err != nil {
				return
			}
			go l.dispatch(peekedConn{c, bufio.NewReader(c)})
		}
	}()
	return l
}

func (l *protocolListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.http:
		return c, nil
	case <-l.over:
		return nil, net.ErrClosed
	}
}

func (l *protocolListener) dispatch(c peekedConn) {
	if first, err := c.r.Peek(1); err == nil && first[0] == 0 {
		l.thrift(c)
		return
	}
	select {
	case l.http <- c:
	case <-l.over:
		c.Close()
	}
}

// serveThrift lets the server's handler answer calls, one after the other. It notices while it serves a call that the connection ends.
func (s *server) serveThrift(c peekedConn) {
	s.count(&s.opened)
	gone, cancel := context.WithCancel(context.Background())
	calls := make(chan thrift.Message)
	go func() {
		defer close(calls)
		defer cancel()
		for {
			m, err := readFrame(c)
			if err != nil {
				return
			}
			select {
			case calls <- m:
			case <-gone.Done():
				return
			}
		}
	}()
	for m := range calls {
		if !s.call(gone, c, m) {
			break
		}
	}
	cancel()
	c.Close()
	s.count(&s.closed)
}

func (s *server) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// call handles a call and reports whether the connection stays open.
func (s *server) call(ctx context.Context, c net.Conn, m thrift.Message) bool {
	var found [thrift.MaxPaths]thrift.Value
	if m.Find([]thrift.Path{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}}, &found) != nil {
		return false
	}
	method := "POST"
	if bytes.HasSuffix(m.Name, []byte("read")) {
		method = "GET"
	}
	r := httptest.NewRequest(method, fmt.Sprintf("/%s/%s", m.Name, found[3].Bytes), bytes.NewReader(found[4].Bytes)).WithContext(ctx)
	r.Header.Set("Request-Id", string(found[0].Bytes))
	r.Header.Set("Idempotency-Key", string(found[1].Bytes))
	rec := &recorder{httptest.NewRecorder(), c, false}
	s.ServeHTTP(rec, r)
	if rec.taken || ctx.Err() != nil {
		return false
	}
	var out []byte
	switch h := rec.Header(); {
	case m.Kind == thrift.Oneway:
	case rec.Code == 200:
		var w thrift.Writer
		w.BeginMessage(nil, m.Encoding, thrift.Reply, string(m.Name), m.Seq)
		w.FieldHeader(thrift.String, 0)
		w.Bytes(rec.Body.Bytes())
		out = w.EndMessage()
	case (rec.Code == 503 || rec.Code == 504) && h.Get("Not-Started") == "1":
		out = thrift.AppendException(nil, m.Encoding, string(m.Name), m.Seq, thrift.InternalError, "not started: full")
	default:
		out = thrift.AppendException(nil, m.Encoding, string(m.Name), m.Seq, thrift.InternalError, rec.Body.String())
	}
	_, err := c.Write(out)
	return err == nil
}

// recorder allows a handler to break the connection.
type recorder struct {
	*httptest.ResponseRecorder
	c     net.Conn
	taken bool
}

func (r *recorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	r.taken = true
	return r.c, nil, nil
}

// readFrame reads one message.
func readFrame(c io.Reader) (thrift.Message, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c, head); err != nil {
		return thrift.Message{}, err
	}
	payload := make([]byte, int(head[1])<<16+int(head[2])<<8+int(head[3]))
	if _, err := io.ReadFull(c, payload); err != nil {
		return thrift.Message{}, err
	}
	m, err := thrift.ParseMessage(payload)
	if err == nil {
		err = m.Validate()
	}
	return m, err
}

// summarizeReply returns a summary of a reply: its sequence number, and the result or the exception's type and text.
func summarizeReply(t *testing.T, c io.Reader) string {
	t.Helper()
	m, err := readFrame(c)
	require.NoError(t, err)
	if m.Kind == thrift.Exception {
		kind, text, err := m.DecodeException()
		require.NoError(t, err)
		return fmt.Sprintf("%d %s exception %d %s", m.Seq, m.Name, kind, text)
	}
	var found [thrift.MaxPaths]thrift.Value
	require.NoError(t, m.Find([]thrift.Path{{0}}, &found))
	return fmt.Sprintf("%d %s %s", m.Seq, m.Name, found[0].Bytes)
}
