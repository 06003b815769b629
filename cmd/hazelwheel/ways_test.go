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
	"sync"
	"testing"
	"time"

	apache "github.com/apache/thrift/lib/go/thrift"

	"hazelwheel/internal/thrift"
)

// everyWay runs a test over HTTP and over Thrift in both encodings. The test itself is the same: its requests and answers
// are carried over, and its servers speak whatever comes.
func everyWay(t *testing.T, test func(t *testing.T)) {
	for _, way := range []string{"http", "binary", "compact"} {
		t.Run(way, test)
	}
}

// way returns what a test speaks, which everyWay has put into its name.
func way(t *testing.T) string {
	for part := range strings.SplitSeq(t.Name(), "/") {
		if part == "binary" || part == "compact" {
			return part
		}
	}
	return "http"
}

// thriftFeatures is the operators' word for the methods that the tests call: one a class, which takes one struct.
func thriftFeatures(listen string) string {
	var classes []string
	for _, c := range []string{"read", "alert", "write"} {
		classes = append(classes, fmt.Sprintf(`{"class":"%s","methods":["%s","Readings:%s","%sAside"],"id":"1.1","key":"1.2","patience_ms":"1.3"}`, c, c, c, c))
	}
	return fmt.Sprintf(`"thrift":{"listen":"%s","classes":[%s]}`, listen, strings.Join(classes, ","))
}

// asked is the struct of arguments, as a generator would write it.
type asked struct {
	id, key, path string
	patienceMS    int32
	body          []byte
}

func (a *asked) Write(ctx context.Context, p apache.TProtocol) error {
	text := func(id int16, s string) error {
		if s == "" {
			return nil // an optional field that is not set
		}
		return errors.Join(p.WriteFieldBegin(ctx, "", apache.STRING, id), p.WriteString(ctx, s), p.WriteFieldEnd(ctx))
	}
	patience := func() error {
		if a.patienceMS < 0 {
			return nil
		}
		return errors.Join(p.WriteFieldBegin(ctx, "", apache.I32, 3), p.WriteI32(ctx, a.patienceMS))
	}
	return errors.Join(p.WriteStructBegin(ctx, "args"), p.WriteFieldBegin(ctx, "request", apache.STRUCT, 1),
		p.WriteStructBegin(ctx, "Request"), text(1, a.id), text(2, a.key), patience(),
		text(4, a.path), p.WriteFieldBegin(ctx, "", apache.STRING, 5), p.WriteBinary(ctx, a.body),
		p.WriteFieldBegin(ctx, "flags", apache.LIST, 6), p.WriteListBegin(ctx, apache.BOOL, 2), p.WriteBool(ctx, true), p.WriteBool(ctx, false),
		p.WriteFieldStop(ctx), p.WriteStructEnd(ctx), p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
}

func (a *asked) Read(ctx context.Context, p apache.TProtocol) error {
	return fields(ctx, p, func(id int16, t apache.TType) (bool, error) {
		if id != 1 || t != apache.STRUCT {
			return false, nil
		}
		return true, fields(ctx, p, func(id int16, t apache.TType) (known bool, err error) {
			switch {
			case id == 1 && t == apache.STRING:
				a.id, err = p.ReadString(ctx)
			case id == 2 && t == apache.STRING:
				a.key, err = p.ReadString(ctx)
			case id == 3 && t == apache.I32:
				a.patienceMS, err = p.ReadI32(ctx)
			case id == 4 && t == apache.STRING:
				a.path, err = p.ReadString(ctx)
			case id == 5 && t == apache.STRING:
				a.body, err = p.ReadBinary(ctx)
			default:
				return false, nil
			}
			return true, err
		})
	})
}

// fields reads a struct; what read does not know is skipped.
func fields(ctx context.Context, p apache.TProtocol, read func(id int16, t apache.TType) (bool, error)) error {
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, t, id, err := p.ReadFieldBegin(ctx)
		if err != nil || t == apache.STOP {
			return errors.Join(err, p.ReadStructEnd(ctx))
		}
		known, err := read(id, t)
		if !known && err == nil {
			err = p.Skip(ctx, t)
		}
		if err != nil {
			return err
		}
	}
}

// answered is the struct of results: what the method returns, or the exception that it declares.
type answered struct {
	body     string
	declared string
}

func (a *answered) Write(ctx context.Context, p apache.TProtocol) error {
	id, text := int16(0), a.body
	if a.declared != "" {
		id, text = 1, a.declared
	}
	return errors.Join(p.WriteStructBegin(ctx, "result"), p.WriteFieldBegin(ctx, "", apache.STRING, id), p.WriteString(ctx, text),
		p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
}

func (a *answered) Read(ctx context.Context, p apache.TProtocol) error {
	return fields(ctx, p, func(id int16, t apache.TType) (bool, error) {
		if t != apache.STRING {
			return false, nil
		}
		text, err := p.ReadString(ctx)
		if id == 1 {
			a.declared = text
		} else {
			a.body = text
		}
		return true, err
	})
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

// tripper carries HTTP requests to the program's Thrift port by the Apache library's client, and what comes back as HTTP.
type tripper struct {
	way, address string
	mu           sync.Mutex
	idle         []*apacheClient
}

type apacheClient struct {
	net.Conn
	*apache.TStandardClient
}

func (t *tripper) client() (*apacheClient, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.idle); n > 0 {
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		return c, nil
	}
	c, err := net.DialTimeout("tcp", t.address, patience)
	if err != nil {
		return nil, err
	}
	p := protocol(c, t.way)
	return &apacheClient{c, apache.NewTStandardClient(p, p)}, nil
}

func (t *tripper) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.Close()
	}
	t.idle = nil
}

func (t *tripper) RoundTrip(r *http.Request) (*http.Response, error) {
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.RequestURI(), "/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	a := &asked{id: r.Header.Get("Request-Id"), key: r.Header.Get("Idempotency-Key"), path: rest, body: body, patienceMS: -1}
	if text := r.Header.Get("Request-Timeout"); text != "" {
		n, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
		if err != nil {
			return nil, err
		}
		a.patienceMS = int32(n)
	}
	c, err := t.client()
	if err != nil {
		return nil, err
	}
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	var result answered
	_, err = c.Call(r.Context(), class, a, &result)
	if said, ok := err.(apache.TApplicationException); ok {
		t.rest(c)
		return told(said), nil
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	t.rest(c)
	return response(200, result.body, nil), nil
}

func (t *tripper) rest(c *apacheClient) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

func response(status int, body string, h http.Header) *http.Response {
	if h == nil {
		h = http.Header{}
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

// told returns what an HTTP client would have been told.
func told(e apache.TApplicationException) *http.Response {
	status, h := 500, http.Header{}
	switch after, advised := strings.CutPrefix(e.Error(), "throttled; retry-after="); {
	case e.TypeId() == thrift.LoadShedding:
		status = 503
		if advised {
			h.Set("Retry-After", after)
		}
	case e.TypeId() == thrift.TimedOutException:
		status = 504
	case e.TypeId() == apache.UNKNOWN_METHOD:
		status = 404
	case strings.Contains(e.Error(), "open call"):
		status = 409
	case e.TypeId() == apache.INTERNAL_ERROR:
		status = 502
	}
	return response(status, e.Error(), h)
}

// sniffer is a listener that keeps connections which speak Thrift from an HTTP server, and serves them itself.
type sniffer struct {
	net.Listener
	s    *server
	http chan net.Conn
	over chan struct{}
	once sync.Once
}

func sniff(s *server) *sniffer {
	l := &sniffer{Listener: s.Listener, s: s, http: make(chan net.Conn), over: make(chan struct{})}
	go func() {
		for {
			c, err := l.Listener.Accept()
			if err != nil {
				l.once.Do(func() { close(l.over) })
				return
			}
			go l.sort(c)
		}
	}()
	return l
}

func (l *sniffer) Accept() (net.Conn, error) {
	select {
	case c := <-l.http:
		return c, nil
	case <-l.over:
		return nil, net.ErrClosed
	}
}

// peeked is a connection whose first bytes have been looked at.
type peeked struct {
	net.Conn
	r *bufio.Reader
}

func (p peeked) Read(b []byte) (int, error) { return p.r.Read(b) }

func (l *sniffer) sort(c net.Conn) {
	p := peeked{c, bufio.NewReader(c)}
	if first, err := p.r.Peek(1); err == nil && first[0] == 0 {
		l.s.serveThrift(p)
		return
	}
	select {
	case l.http <- p:
	case <-l.over:
		c.Close()
	}
}

// serveThrift has the server's handler answer calls, one after the other.
func (s *server) serveThrift(c peeked) {
	s.count(&s.opened)
	gone, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() {
		c.Close()
		s.count(&s.closed)
	}()
	frames := make(chan []byte)
	go func() { // the end of a connection shows while a call is served, too
		defer cancel()
		for {
			head, err := c.r.Peek(4)
			if err != nil {
				return
			}
			frame := make([]byte, 4+int(head[1])<<16+int(head[2])<<8+int(head[3]))
			if _, err := io.ReadFull(c.r, frame); err != nil {
				return
			}
			select {
			case frames <- frame[4:]:
			case <-gone.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-gone.Done():
			return
		case frame := <-frames:
			if !s.call(gone, c, frame) {
				return
			}
		}
	}
}

func (s *server) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// call has a call answered and tells whether the connection goes on.
func (s *server) call(ctx context.Context, c net.Conn, frame []byte) bool {
	way := "binary"
	if frame[0] == 0x82 {
		way = "compact"
	}
	mem := apache.NewTMemoryBuffer()
	mem.Write(frame)
	var in apache.TProtocol = apache.NewTBinaryProtocolConf(mem, nil)
	if way == "compact" {
		in = apache.NewTCompactProtocolConf(mem, nil)
	}
	name, kind, seq, err := in.ReadMessageBegin(ctx)
	var a asked
	if err != nil || a.Read(ctx, in) != nil || mem.Len() > 0 {
		return false
	}
	method := "POST"
	if strings.HasSuffix(name, "read") {
		method = "GET"
	}
	r := httptest.NewRequest(method, "/"+name+"/"+a.path, bytes.NewReader(a.body)).WithContext(ctx)
	r.RequestURI = "/" + name + "/" + a.path
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Idempotency-Key", a.key)
	r.Header.Set("Request-Timeout", strconv.Itoa(int(a.patienceMS)*1000)+"u")
	rec := &recorder{ResponseRecorder: httptest.NewRecorder(), c: c, name: name, seq: seq}
	if way == "compact" {
		rec.enc = thrift.Compact
	}
	s.ServeHTTP(rec, r)
	if rec.taken || ctx.Err() != nil {
		return false
	}
	if kind == apache.ONEWAY {
		return true
	}
	out := protocol(c, way)
	switch h := rec.Header(); {
	case rec.Code == 200:
		err = errors.Join(out.WriteMessageBegin(ctx, name, apache.REPLY, seq), (&answered{body: rec.Body.String(), declared: h.Get("Declared")}).Write(ctx, out))
	default:
		text, kind := rec.Body.String(), int32(apache.INTERNAL_ERROR)
		if (rec.Code == 503 || rec.Code == 504) && h.Get("Not-Started") == "1" {
			text = "not started: " + text
		}
		err = errors.Join(out.WriteMessageBegin(ctx, name, apache.EXCEPTION, seq), apache.NewTApplicationException(kind, text).Write(ctx, out))
	}
	return errors.Join(err, out.WriteMessageEnd(ctx), out.Flush(ctx)) == nil
}

// recorder lets a handler break the connection.
type recorder struct {
	*httptest.ResponseRecorder
	c     net.Conn
	name  string
	seq   int32
	enc   thrift.Encoding
	taken bool
}

func (r *recorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	r.taken = true
	return r.c, nil, nil
}
