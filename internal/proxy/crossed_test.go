package proxy

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/routeconfig"
)

// rejectWithoutID rejects a request with a response that lacks the request ID.
func rejectWithoutID(conn net.Conn, _ receivedRequest, _ int) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nHazelwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

var _ = Describe("responses that arrive late, twice or without a request ID", func() {
	It("accepts a rejection without a request ID on a new connection", func() {
		one, two := startServer("i-1", "s", "", rejectWithoutID), startServer("i-2", "s", "", echo)
		_, front := startProxy(route(routeconfig.NonIdempotent), false, one, two)
		Eventually(func() int {
			answer, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			return len(one.received())
		}).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
	})

	It("does not trust a rejection without a request ID on a connection that has carried others", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			if n > 1 {
				rejectWithoutID(conn, r, n) // a second response to an earlier request
			}
			return echo(conn, r, n) // the response to this request, which is executed
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		answer, _, err = sendClientRequest(front, headerRequestID, "id-2")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway), "a 503 would say that it was not executed")
		Expect(s.received()).To(HaveLen(2), "it is not retried")
	})

	It("does not take the second rejection of a first attempt for the response to its retry", func() {
		var first net.Conn
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			switch {
			case n == 1:
				first = conn
				return rejectFull(conn, r, n)
			case conn == first:
				rejectFull(conn, r, n)
			}
			return echo(conn, r, n)
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(s.received()).To(HaveLen(2), "one attempt is rejected, one is executed")
	})
})
