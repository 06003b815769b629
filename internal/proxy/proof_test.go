package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

const rejectionWithoutID = "HTTP/1.1 503 Full\r\nHazelwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// repeatingServer rejects each health check, as a full server does, gives that answer a second time once the next request has come, and executes the
// request a moment later.
type repeatingServer struct {
	message.Instance

	mu       sync.Mutex
	executed []string // IDs of the requests
}

func startRepeatingServer(id string) *repeatingServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	s := &repeatingServer{Instance: message.Instance{ID: id, Service: "s", Address: listener.Addr().String(), Zone: "z", Slots: 4}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for checks := 0; ; {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // an error shows with the next request
		if request.URL.Path == "/health" {
			checks++
			writeText(conn, rejectionWithoutID)
			continue
		}
		s.mu.Lock()
		s.executed = append(s.executed, request.Header.Get(headerRequestID))
		s.mu.Unlock()
		if checks > 0 {
			writeText(conn, rejectionWithoutID)
		}
		time.Sleep(20 * time.Millisecond) // the request's execution
		if !writeAnswer(conn, receivedRequest{request, ""}, "done") {
			return
		}
	}
}

// executions returns how often the request with this ID was executed.
func (s *repeatingServer) executions(id string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, executed := range s.executed {
		if executed == id {
			count++
		}
	}
	return count
}

var _ = Describe("a response that says that a request was not executed", func() {
	// Guards against a request that is executed twice, or is executed although its client gets 503: the second answer to a health check was taken for
	// the rejection of the request that followed it on the connection.
	DescribeTable("proves nothing if it may belong to a health check", func(kind routeconfig.RouteKind) {
		one, two := startRepeatingServer("i-1"), startRepeatingServer("i-2")
		p, front := startProxy(route(kind), false)
		Expect(p.state.applyFeed(&message.Feed{List: list(one.Instance, two.Instance)})).To(Succeed())
		p.state.withService("s", func(_ float64, pool *placement.Pool, _ *placement.Planner) { pool.SetMaxConnections(2) })
		allExecutions := 0
		for n := range 6 {
			id := fmt.Sprint("id-", n)
			answer, _, err := sendClientRequest(front, headerRequestID, id)
			Expect(err).NotTo(HaveOccurred())
			executions := one.executions(id) + two.executions(id)
			Expect(executions).To(BeNumerically("<=", 1), "executed twice")
			if executions > 0 {
				Expect(answer.StatusCode).NotTo(Equal(http.StatusServiceUnavailable), "the client may send it again")
			}
			allExecutions += executions
		}
		Expect(allExecutions).To(BeNumerically(">", 0), "requests have followed a health check")
	},
		Entry("on a route whose requests must not be executed twice", routeconfig.NonIdempotent),
		Entry("of a stream", routeconfig.Streaming),
	)

	It("proves nothing to a request without an ID on a connection that has carried another exchange", func() {
		var first net.Conn
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			if n == 1 {
				first = conn
			} else if conn == first {
				writeText(conn, rejectionWithoutID) // late, of an earlier exchange
			}
			return echo(conn, r, n)
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		for _, id := range []string{"id-1", ""} {
			answer, _, err := sendClientRequest(front, headerRequestID, id)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(s.received()).To(HaveLen(2), "none was executed twice")
	})

	It("is not believed of a request that was sent on the connection before", func() {
		for _, others := range []int{0, 1, maxRememberedIDs - 1} {
			conn := &backendConn{}
			conn.recordCarried("id-1")
			conn.recordCarried("") // a health check
			for n := range others {
				conn.recordCarried(fmt.Sprint("other-", n))
			}
			pool := newConnPool()
			pool.idle["address"] = []*backendConn{conn}
			Expect(pool.takeIdle("address", "id-1")).To(BeNil(), "after %d others", others)
			Expect(pool.takeIdle("address", "id-2")).To(BeIdenticalTo(conn))
		}
	})

	It("is read only to a bound if it belongs to another request, and the connection is closed beyond", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			if n == 2 {
				writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: other\r\nContent-Length: %d\r\n\r\n%s", maxSurplusBytes+100,
					longAnswer[:maxSurplusBytes])
				writeText(conn, "HTTP/1.1 503 Full\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(headerRequestID))
			}
			return echo(conn, r, n)
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		_, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		answer, _, err := sendClientRequest(front, headerRequestID, "id-2")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway), "a part of another body must not be read as a promise")
	})
})
