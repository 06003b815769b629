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

// unnamed refuses a request without naming it.
func unnamed(conn net.Conn, _ receivedRequest, _ int) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nHazelwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

var _ = Describe("answers that come late, twice or without a name", func() {
	It("takes a refusal that names nobody on a new connection", func() {
		one, two := startServer("i-1", "s", "", unnamed), startServer("i-2", "s", "", echo)
		_, front := startProxy(route(routeconfig.NonIdempotent), false, one, two)
		Eventually(func() int {
			answer, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			return len(one.received())
		}).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
	})

	It("does not believe a refusal that names nobody on a connection that has served others", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			if n > 1 {
				unnamed(conn, r, n) // the second answer to an earlier request
			}
			return echo(conn, r, n) // this one is run
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		answer, _, err = sendClientRequest(front, headerRequestID, "id-2")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway), "a 503 would promise that it has not run")
		Expect(s.received()).To(HaveLen(2), "and it is not sent again")
	})

	It("does not take the second refusal of a first sending for the answer to the next one", func() {
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
		Expect(s.received()).To(HaveLen(2), "one sending is refused, one is run")
	})
})
