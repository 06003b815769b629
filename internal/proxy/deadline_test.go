package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/routeconfig"
)

var _ = Describe("the deadline of a request", func() {
	DescribeTable("is forwarded to the server as the remaining time", func(deadline string, maxMs float64) {
		s := startServer("i-1", "s", "", echo)
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		_, _, err := sendClientRequest(front, headerDeadline, deadline)
		Expect(err).NotTo(HaveOccurred())
		forwarded, err := strconv.ParseFloat(s.received()[0].Header.Get(headerDeadline), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(forwarded).To(BeNumerically("<=", maxMs))
		Expect(forwarded).To(BeNumerically(">", 0))
	},
		Entry("the client's", "3000", 3000.0),
		Entry("the route's, where the client's is later", "60000", 5000.0),
		Entry("the route's, where the client sends none", "", 5000.0),
	)

	It("ends a request at the route's time-out where the server does not answer", func() {
		limited := route(routeconfig.NonIdempotent)
		limited.TimeoutMs = 300
		s := startServer("i-1", "s", "", func(conn net.Conn, _ receivedRequest, _ int) bool {
			_, _ = io.Copy(io.Discard, conn) // until the proxy disconnects
			return false
		})
		_, front := startProxy(limited, false, s)
		startedAt := time.Now()
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 300*time.Millisecond))
		Expect(s.received()).To(HaveLen(1))
	})

	It("ends when the client disconnects: the server's connection is closed, and there is no retry", func() {
		disconnected := make(chan struct{}, 2)
		silent := func(conn net.Conn, _ receivedRequest, _ int) bool {
			_, _ = io.Copy(io.Discard, conn)
			disconnected <- struct{}{}
			return false
		}
		one, two := startServer("i-1", "s", "", silent), startServer("i-2", "s", "", silent)
		_, front := startProxy(route(routeconfig.Idempotent), false, one, two)
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, front.URL+"/p/x", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "h.example"
		request.Header.Set(headerRequestID, "id-1")
		ended := make(chan error, 1)
		go func() {
			answer, err := front.Client().Do(request)
			if err == nil {
				err = answer.Body.Close()
			}
			ended <- err
		}()
		Eventually(func() int { return len(one.received()) + len(two.received()) }).WithTimeout(10 * time.Second).Should(Equal(1))
		cancel()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(HaveOccurred()))
		Eventually(disconnected).WithTimeout(10 * time.Second).Should(Receive())
		Expect(len(one.received()) + len(two.received())).To(Equal(1))
	})
})
