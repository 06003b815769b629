package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// receivedRequest is a request that a server has read.
type receivedRequest struct {
	*http.Request
	body string
}

// testServer is a fake server whose responses the test writes to the connection itself.
type testServer struct {
	message.Instance
	listener net.Listener

	mu             sync.Mutex
	requests       []receivedRequest
	conns          int
	resetsNewConns bool // it resets each new connection once the first byte has arrived
}

// serverBehavior answers the n-th request of a server on its connection. It returns whether the connection stays open.
type serverBehavior func(conn net.Conn, r receivedRequest, n int) bool

func startServer(id, service string, stage message.Stage, answer serverBehavior) *testServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &testServer{listener: listener, Instance: message.Instance{ID: id, Service: service, Address: listener.Addr().String(), Zone: "z",
		Slots: 4, Stage: stage}}
	DeferCleanup(func() { _ = listener.Close() }) // a test may have closed it
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *testServer) serve(conn net.Conn, answer serverBehavior) {
	defer func() { _ = conn.Close() }()
	s.mu.Lock()
	s.conns++
	resets := s.resetsNewConns
	s.mu.Unlock()
	if resets {
		_, _ = conn.Read(make([]byte, 1)) // the first byte
		resetConn(conn, receivedRequest{}, 0)
		return
	}
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
			continue
		}
		r := receivedRequest{request, string(body)}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		n := len(s.requests)
		s.mu.Unlock()
		if !answer(conn, r, n) {
			return
		}
	}
}

func (s *testServer) setResetsNewConns(resets bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetsNewConns = resets
}

func (s *testServer) received() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.requests...)
}

// writeText writes to a client. Errors are ignored: they show in what the client receives.
func writeText(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// writeAnswer writes a complete response with the request ID and the response stamp.
func writeAnswer(conn net.Conn, r receivedRequest, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: stamp\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get(headerRequestID), len(body), body)
	return err == nil
}

func echo(conn net.Conn, r receivedRequest, _ int) bool {
	return writeAnswer(conn, r, "answer of "+r.body)
}

// rejectFull rejects a request as a server without capacity does.
func rejectFull(conn net.Conn, r receivedRequest, _ int) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		r.Header.Get(headerRequestID))
	return err == nil
}

// resetConn resets the connection without a response, as a killed process does.
func resetConn(conn net.Conn, _ receivedRequest, _ int) bool {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// streamHead writes the head of a stream.
func streamHead(conn net.Conn, r receivedRequest) {
	writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: stamp\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get(headerRequestID))
}

func chunk(conn net.Conn, text string) { writeText(conn, "%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func endOfStream(conn net.Conn) bool {
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// events responds with a stream of the events up to count, after the one given in Last-Event-Id.
func events(count int) serverBehavior {
	return func(conn net.Conn, r receivedRequest, _ int) bool {
		streamHead(conn, r)
		from := 0
		if _, err := fmt.Sscan(r.Header.Get(headerLastEventID), &from); err != nil {
			from = 0
		}
		for id := from + 1; id <= count; id++ {
			chunk(conn, event(id))
		}
		return endOfStream(conn)
	}
}

// route returns a route to the service "s" with two attempts.
func route(kind routeconfig.RouteKind) routeconfig.Route {
	return routeconfig.Route{Name: "r", Host: "h.example", PathPrefix: "/p/", Kind: kind, TimeoutMs: 5000, LatencyTargetMs: 500, Priority: 1,
		Services: []routeconfig.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2}
}

// startProxy starts a proxy with one route and these servers. The retry budget allows some retries.
func startProxy(r routeconfig.Route, engine bool, servers ...*testServer) (*Proxy, *httptest.Server) {
	settings := &nodeconfig.Settings{NodeID: "n", Zone: "z", Bounds: nodeconfig.Bounds{RetryBudgetRatio: 0.2, BudgetWindowSeconds: 10, BudgetSlack: 100, PrefixCacheSeconds: 8}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := newProxy(settings, logrus.NewEntry(log))
	table := &routeconfig.Table{Version: 1, Routes: []routeconfig.Route{r}, Services: []routeconfig.Service{{Name: "s", HealthPath: "/health", MaxConnections: 100}},
		Limits: routeconfig.Limits{MaxBodyBytes: 1 << 16}}
	if engine {
		table.Services[0].Engine = &routeconfig.Engine{Slots: 4, KVTokens: 1e6, KVTokenBytes: 1000, LinkMbps: 1e6, HandleTTLSeconds: 5}
	}
	var instances []message.Instance
	for _, s := range servers {
		instances = append(instances, s.Instance)
	}
	packed, err := message.PackTable(table)
	Expect(err).NotTo(HaveOccurred())
	Expect(p.state.applyFeed(&message.Feed{Table: packed, List: list(instances...), ProxyRank: 0, ProxyCount: 1})).To(Succeed())
	front := httptest.NewServer(p)
	DeferCleanup(front.Close)
	return p, front
}

func list(instances ...message.Instance) *message.InstanceList {
	data, err := message.PackInstances(instances)
	Expect(err).NotTo(HaveOccurred())
	return &message.InstanceList{Digest: 1, Data: data}
}

// sendClientRequest sends a request and returns the response, its body and the error of reading the body.
func sendClientRequest(front *httptest.Server, set ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, front.URL+"/p/x?q=1", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set(headerRequestID, "id-1")
	request.Header.Set(headerDeadline, "4000")
	for i := 0; i+1 < len(set); i += 2 {
		request.Header.Set(set[i], set[i+1])
	}
	answer, err := front.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}
