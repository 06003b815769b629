package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/routeconfig"
)

// longAnswer is longer than all that a proxy holds of a response, and than what the buffers of two connections take up.
var longAnswer = strings.Repeat("a long answer...", 20<<20/16)

// answerHead writes the head of a successful response, with further lines.
func answerHead(conn net.Conn, r receivedRequest, status string, lines ...string) {
	writeText(conn, "HTTP/1.1 %s\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: stamp\r\n", status, r.Header.Get(headerRequestID))
	for _, line := range lines {
		writeText(conn, "%s\r\n", line)
	}
	writeText(conn, "\r\n")
}

// withLength responds with the first bytes of longAnswer, announced by a Content-Length of length. If these are fewer it breaks off.
func withLength(length, sent int) serverBehavior {
	return func(conn net.Conn, r receivedRequest, _ int) bool {
		answerHead(conn, r, "200 OK", fmt.Sprint("Content-Length: ", length))
		_, err := io.WriteString(conn, longAnswer[:sent])
		return err == nil && sent == length
	}
}

// inChunks responds with the first bytes of longAnswer in chunks. It breaks off instead of the last chunk, unless isComplete is set.
func inChunks(length int, isComplete bool) serverBehavior {
	return func(conn net.Conn, r receivedRequest, _ int) bool {
		answerHead(conn, r, "200 OK", "Transfer-Encoding: chunked")
		for rest := longAnswer[:length]; len(rest) > 0; {
			n := min(len(rest), 30_000)
			chunk(conn, rest[:n])
			rest = rest[n:]
		}
		return isComplete && endOfStream(conn)
	}
}

// untilClose responds with a body whose end only the end of the connection marks.
func untilClose(length int) serverBehavior {
	return func(conn net.Conn, r receivedRequest, _ int) bool {
		answerHead(conn, r, "200 OK")
		writeText(conn, "%s", longAnswer[:length])
		return false
	}
}

// bodyless responds with a head alone.
func bodyless(status string, lines ...string) serverBehavior {
	return func(conn net.Conn, r receivedRequest, _ int) bool {
		answerHead(conn, r, status, lines...)
		return true
	}
}

// routeOf returns the route of the tests with a longer timeout.
func routeOf(kind routeconfig.RouteKind) routeconfig.Route {
	r := route(kind)
	r.TimeoutMs = float64(time.Minute.Milliseconds())
	return r
}

// sendSlowly sends a request on a connection of its own and reads only the head of the response.
func sendSlowly(front *httptest.Server, id string) (net.Conn, *bufio.Reader, *http.Response) {
	conn, err := net.Dial("tcp4", strings.TrimPrefix(front.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerRequestID, id)
	Expect(err).NotTo(HaveOccurred())
	in := bufio.NewReader(conn)
	answer, err := http.ReadResponse(in, nil) //nolint:bodyclose // the test closes the connection
	Expect(err).NotTo(HaveOccurred())
	return conn, in, answer
}

// writeCounter responds with longAnswer and counts the bytes that the connection has taken, and the responses that ended by an error.
type writeCounter struct {
	written, failed atomic.Int64
}

func (c *writeCounter) answer(conn net.Conn, r receivedRequest, _ int) bool {
	answerHead(conn, r, "200 OK", fmt.Sprint("Content-Length: ", len(longAnswer)))
	for rest := longAnswer; len(rest) > 0; {
		n, err := io.WriteString(conn, rest[:min(len(rest), 64<<10)])
		c.written.Add(int64(n))
		if err != nil {
			c.failed.Add(1)
			return false
		}
		rest = rest[n:]
	}
	return true
}

var _ = Describe("the body of a response", func() {
	// Guards against a success that has lost all but its first 16 MiB and looks complete.
	DescribeTable("reaches the client complete, and the connection to the server is used again",
		func(kind routeconfig.RouteKind, length int, behavior serverBehavior) {
			s := startServer("i-1", "s", "", behavior)
			_, front := startProxy(routeOf(kind), false, s)
			for n := range 2 {
				answer, body, err := sendClientRequest(front, headerRequestID, fmt.Sprint("id-", n), headerDeadline, "60000")
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.StatusCode).To(Equal(http.StatusOK))
				Expect(answer.Header.Get(headerStamp)).To(Equal("stamp"))
				Expect(len(body)).To(Equal(length))
				Expect(body == longAnswer[:length]).To(BeTrue())
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			Expect(s.conns).To(Equal(1))
		},
		Entry("20 MiB with their length", routeconfig.NonIdempotent, len(longAnswer), withLength(len(longAnswer), len(longAnswer))),
		Entry("20 MiB in chunks", routeconfig.Idempotent, len(longAnswer), inChunks(len(longAnswer), true)),
		Entry("as much as is held", routeconfig.NonIdempotent, maxHeldBytes, withLength(maxHeldBytes, maxHeldBytes)),
		Entry("as much as is held, in chunks", routeconfig.NonIdempotent, maxHeldBytes, inChunks(maxHeldBytes, true)),
		Entry("a byte more", routeconfig.NonIdempotent, maxHeldBytes+1, withLength(maxHeldBytes+1, maxHeldBytes+1)),
		Entry("a byte more in chunks", routeconfig.NonIdempotent, maxHeldBytes+1, inChunks(maxHeldBytes+1, true)),
		Entry("nothing", routeconfig.NonIdempotent, 0, withLength(0, 0)),
		Entry("nothing in chunks", routeconfig.NonIdempotent, 0, inChunks(0, true)),
	)

	It("reaches the client complete also if a stream's server responds with another status", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, _ int) bool {
			answerHead(conn, r, "201 Created", fmt.Sprint("Content-Length: ", len(longAnswer)))
			_, err := io.WriteString(conn, longAnswer)
			return err == nil
		})
		_, front := startProxy(routeOf(routeconfig.Streaming), false, s)
		answer, body, err := sendClientRequest(front, headerDeadline, "60000")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusCreated))
		Expect(len(body)).To(Equal(len(longAnswer)))
	})

	DescribeTable("never looks complete if the server breaks off, and no other attempt follows what was forwarded",
		func(behavior serverBehavior) {
			for _, kind := range []routeconfig.RouteKind{routeconfig.NonIdempotent, routeconfig.Idempotent} {
				one, two := startServer("i-1", "s", "", behavior), startServer("i-2", "s", "", behavior)
				_, front := startProxy(routeOf(kind), false, one, two)
				answer, body, err := sendClientRequest(front, headerDeadline, "60000")
				Expect(err).To(MatchError(io.ErrUnexpectedEOF), "%s", kind)
				Expect(answer.StatusCode).To(Equal(http.StatusOK))
				Expect(strings.HasPrefix(longAnswer, body)).To(BeTrue())
				Expect(len(one.received()) + len(two.received())).To(Equal(1))
			}
		},
		Entry("with a length", withLength(len(longAnswer), 1<<20)),
		Entry("in chunks", inChunks(1<<20, false)),
		Entry("right after what is held", withLength(len(longAnswer), maxHeldBytes+1)),
	)

	It("is requested again, where that is allowed, if the server breaks off before anything was forwarded", func() {
		for _, broken := range []serverBehavior{withLength(len(longAnswer), maxHeldBytes-1), inChunks(maxHeldBytes, false), untilClose(100), untilClose(1 << 20)} {
			var attempts atomic.Int64
			behavior := func(conn net.Conn, r receivedRequest, n int) bool {
				if attempts.Add(1) == 1 {
					return broken(conn, r, n)
				}
				return echo(conn, r, n)
			}
			one, two := startServer("i-1", "s", "", behavior), startServer("i-2", "s", "", behavior)
			_, front := startProxy(routeOf(routeconfig.Idempotent), false, one, two)
			_, body, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("answer of body"))
			Expect(attempts.Load()).To(BeEquivalentTo(2))
		}
	})

	It("is not forwarded if only the end of the connection marks its end", func() {
		for _, length := range []int{0, 100, 1 << 20} {
			_, front := startProxy(routeOf(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", untilClose(length)))
			answer, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(answer.Header.Get(headerStamp)).To(BeEmpty())
		}
	})

	DescribeTable("is not expected of a response that has none", func(method, length string, behavior serverBehavior, status int) {
		s := startServer("i-1", "s", "", behavior)
		_, front := startProxy(routeOf(routeconfig.NonIdempotent), false, s)
		for n := range 2 {
			request, err := http.NewRequest(method, front.URL+"/p/x", nil)
			Expect(err).NotTo(HaveOccurred())
			request.Host = "h.example"
			request.Header.Set(headerRequestID, fmt.Sprint("id-", n))
			answer, err := front.Client().Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Body.Close()).To(Succeed())
			Expect(answer.StatusCode).To(Equal(status))
			Expect(answer.Header.Get("Content-Length")).To(Equal(length))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.conns).To(Equal(1), "the connection is used again")
	},
		Entry("HEAD with a length", http.MethodHead, "20971520", bodyless("200 OK", "Content-Length: 20971520"), http.StatusOK),
		Entry("HEAD without a length", http.MethodHead, "", bodyless("200 OK"), http.StatusOK),
		Entry("HEAD of a body in chunks", http.MethodHead, "", bodyless("200 OK", "Transfer-Encoding: chunked"), http.StatusOK),
		Entry("204", http.MethodPost, "", bodyless("204 No Content"), http.StatusNoContent),
		Entry("304", http.MethodGet, "", bodyless("304 Not Modified", "Content-Length: 100"), http.StatusNotModified),
	)

	It("is read from the server at the pace of the client", func() {
		counter := &writeCounter{}
		_, front := startProxy(routeOf(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", counter.answer))
		conn, in, answer := sendSlowly(front, "id-1")
		defer conn.Close()
		Consistently(counter.written.Load, "300ms").Should(BeNumerically("<", len(longAnswer)))
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body) == longAnswer).To(BeTrue())
		Expect(in.Buffered()).To(BeZero())
	})

	It("is given up at the server if the client leaves in the middle", func() {
		counter := &writeCounter{}
		_, front := startProxy(routeOf(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", counter.answer))
		conn, _, _ := sendSlowly(front, "id-1") //nolint:bodyclose // the connection is closed
		Expect(conn.Close()).To(Succeed())
		Eventually(counter.failed.Load, "30s").Should(BeEquivalentTo(1))
	})

	// MemoryMb of the deployments' pages is 284. 60 of these answers would take 1.2 GB if they were held.
	It("takes little memory, with many long ones at once and clients that don't read", func() {
		const requests, limitBytes = 60, 284 << 20
		counter := &writeCounter{}
		_, front := startProxy(routeOf(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", counter.answer), startServer("i-2", "s", "", counter.answer),
			startServer("i-3", "s", "", counter.answer))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var mu sync.Mutex
		var conns []net.Conn
		var clients sync.WaitGroup
		for i := range requests {
			clients.Go(func() {
				defer GinkgoRecover()
				conn, _, answer := sendSlowly(front, fmt.Sprint("id-", i)) //nolint:bodyclose // the connection is closed
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, conn)
				Expect(answer.StatusCode).To(Equal(http.StatusOK))
			})
		}
		clients.Wait()
		Eventually(counter.written.Load).Should(BeNumerically(">", 3*maxHeldBytes))
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapInuse) - int64(before.HeapInuse)).To(BeNumerically("<", limitBytes))
		for _, conn := range conns {
			Expect(conn.Close()).To(Succeed())
		}
	})
})
