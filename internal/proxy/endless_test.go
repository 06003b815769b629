package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/routeconfig"
)

// endlessBytes is how much a server sends that is not stopped, and takenBytes how much of that the buffers of a connection and the bounds of a proxy may
// take at most.
const (
	endlessBytes = 160 << 20
	takenBytes   = 24 << 20
)

// endlessServer sends a beginning and then bytes without a line end, in place of a response or of a part of one. It counts what was taken.
type endlessServer struct {
	beginning string // %s stands for the request's ID
	filler    string // repeated; default: x
	taken     atomic.Int64
}

func (s *endlessServer) answer(conn net.Conn, r receivedRequest, _ int) bool {
	writeText(conn, "%s", strings.ReplaceAll(s.beginning, "%s", r.Header.Get(headerRequestID)))
	filler := s.filler
	if filler == "" {
		filler = "x"
	}
	block := strings.Repeat(filler, (64<<10)/len(filler))
	for s.taken.Load() < endlessBytes {
		n, err := io.WriteString(conn, block)
		s.taken.Add(int64(n))
		if err != nil {
			return false
		}
	}
	return false
}

const chunkedHead = "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n"

var _ = Describe("bytes that form no response", func() {
	// Guards against a proxy that is killed for its memory, with all requests that it serves: what had no line end was read until the request's deadline.
	DescribeTable("are read only to a bound, and end the attempt as one that may have been executed", func(beginning, filler string) {
		server := &endlessServer{beginning: beginning, filler: filler}
		var spoiled atomic.Int64
		spoilsFirst := func(conn net.Conn, r receivedRequest, n int) bool {
			if spoiled.Add(1) == 1 {
				return server.answer(conn, r, n)
			}
			return echo(conn, r, n)
		}
		one, two := startServer("i-1", "s", "", spoilsFirst), startServer("i-2", "s", "", spoilsFirst)
		_, front := startProxy(routeOf(routeconfig.Idempotent), false, one, two)
		startedAt := time.Now()
		answer, body, err := sendClientRequest(front, headerDeadline, "60000")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("answer of body"), "another server serves it")
		Expect(time.Since(startedAt)).To(BeNumerically("<", 30*time.Second), "long before the deadline")
		Expect(server.taken.Load()).To(BeNumerically("<", takenBytes))

		server = &endlessServer{beginning: beginning, filler: filler}
		_, front = startProxy(routeOf(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", server.answer))
		answer, _, err = sendClientRequest(front, headerDeadline, "60000")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway), "a 503 would say that it was not executed")
		Expect(server.taken.Load()).To(BeNumerically("<", takenBytes))
	},
		Entry("in place of a response", "", ""),
		Entry("in a status line", "HTTP/1.1 200 ", ""),
		Entry("in a field of the head", "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nX-Long: ", ""),
		Entry("as fields without an end", "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\n", "X-Many: 1\r\n"),
		Entry("as informational responses without an end", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in the size of a chunk", chunkedHead+"\r\n", "1"),
		Entry("behind the size of a chunk", chunkedHead+"\r\n3;", ""),
		Entry("in a trailer", chunkedHead+"\r\n3\r\nabc\r\n0\r\nX-Long: ", ""),
		Entry("as trailers without an end", chunkedHead+"\r\n3\r\nabc\r\n0\r\n", "X-Many: 1\r\n"),
		Entry("as a response to another request", "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: other\r\nContent-Length: 1000000000\r\n\r\n", ""),
	)

	DescribeTable("end the attempt also within a stream, which goes on at another server where that is allowed", func(resumable bool, filler string) {
		server := &endlessServer{beginning: chunkedHead + "Content-Type: text/event-stream\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1)) + "7fffffff\r\n",
			filler: filler}
		var spoiled atomic.Int64
		spoilsFirst := func(conn net.Conn, r receivedRequest, n int) bool {
			if spoiled.Add(1) == 1 {
				return server.answer(conn, r, n)
			}
			return events(3)(conn, r, n)
		}
		streaming := routeOf(routeconfig.Streaming)
		streaming.Resumable = resumable
		one, two := startServer("i-1", "s", "", spoilsFirst), startServer("i-2", "s", "", spoilsFirst)
		_, front := startProxy(streaming, false, one, two)
		answer, body, err := sendClientRequest(front, headerDeadline, "60000")
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(server.taken.Load()).To(BeNumerically("<", takenBytes))
		if resumable {
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(event(1) + event(2) + event(3)))
			return
		}
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(Equal(event(1)))
	},
		Entry("resumable, an event without a line end", true, ""),
		Entry("resumable, an event of many lines", true, "data: x\n"),
		Entry("not resumable, an event without a line end", false, ""),
		Entry("not resumable, an event of many lines", false, "data: x\n"),
	)

	It("also end a health check", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		server := &endlessServer{}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go server.answer(conn, receivedRequest{Request: &http.Request{Header: http.Header{}}}, 0)
			}
		}()
		p, _ := startProxy(route(routeconfig.NonIdempotent), false)
		_, status := p.requestHealth(GinkgoT().Context(), healthCheck{address: listener.Addr().String(), healthPath: "/health", host: "s"})
		Expect(status).To(BeZero())
		Expect(server.taken.Load()).To(BeNumerically("<", takenBytes))
	})
})
