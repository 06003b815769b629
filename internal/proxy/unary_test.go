package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

var _ = Describe("a unary request", func() {
	It("is forwarded unchanged, and so is its response", func() {
		s := startServer("i-1", "s", "", echo)
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		answer, body, err := sendClientRequest(front, "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("answer of body"))
		Expect(answer.Header.Get(headerStamp)).To(Equal("stamp"))
		got := s.received()[0]
		Expect(got.RequestURI).To(Equal("/p/x?q=1"))
		Expect(got.Host).To(Equal("h.example"))
		Expect(got.body).To(Equal("body"))
		Expect(got.Header.Get(headerRequestID)).To(Equal("id-1"))
		Expect(got.Header.Get(headerExpectInstance)).To(Equal("i-1"))
		Expect(got.Header.Get("X-Own")).To(Equal("kept"))
		Expect(got.Header).NotTo(HaveKey("X-Hop"))
	})

	It("is sent once where it must not run twice and the server breaks off", func() {
		one, two := startServer("i-1", "s", "", resetConn), startServer("i-2", "s", "", resetConn)
		_, front := startProxy(route(routeconfig.NonIdempotent), false, one, two)
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway), "a 503 would say that it was not executed")
		Expect(len(one.received()) + len(two.received())).To(Equal(1))
	})

	It("is retried at another server where it is idempotent", func() {
		one, two := startServer("i-1", "s", "", resetConn), startServer("i-2", "s", "", resetConn)
		_, front := startProxy(route(routeconfig.Idempotent), false, one, two)
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(one.received()).To(HaveLen(1))
		Expect(two.received()).To(HaveLen(1))
	})

	It("is retried at another server where the first has not executed it", func() {
		one, two := startServer("i-1", "s", "", rejectFull), startServer("i-2", "s", "", echo)
		_, front := startProxy(route(routeconfig.NonIdempotent), false, one, two)
		for range 4 {
			answer, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("is not sent on a new connection that a server with few connections resets", func() {
		for _, firstResets := range []bool{true, false} {
			one, two := startServer("i-1", "s", "", echo), startServer("i-2", "s", "", echo)
			one.setResetsNewConns(firstResets)
			two.setResetsNewConns(!firstResets)
			p, front := startProxy(route(routeconfig.NonIdempotent), false, one, two)
			p.state.withService("s", func(_ float64, pool *placement.Pool, _ *placement.Planner) { pool.SetMaxConnections(2) })
			for n := range 6 {
				answer, _, err := sendClientRequest(front, headerRequestID, fmt.Sprint("id-", n))
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.StatusCode).To(Equal(http.StatusOK))
			}
			Expect(len(one.received()) + len(two.received())).To(Equal(6))
		}
	})

	It("is rejected with a Retry-After where no server has executed it", func() {
		_, front := startProxy(route(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", rejectFull))
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(answer.Header.Get(headerStamp)).To(BeEmpty())
	})

	DescribeTable("is never answered with an incomplete response", func(broken serverBehavior) {
		_, front := startProxy(route(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", broken))
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	},
		Entry("no stamp", serverBehavior(func(conn net.Conn, r receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get(headerRequestID))
			return true
		})),
		Entry("an encoded body", serverBehavior(func(conn net.Conn, r receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: s\r\nContent-Encoding: br\r\n"+
				"Content-Length: 2\r\n\r\nok", r.Header.Get(headerRequestID))
			return true
		})),
		Entry("a body that ends early", serverBehavior(func(conn net.Conn, r receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: s\r\nContent-Length: 20\r\n\r\nok",
				r.Header.Get(headerRequestID))
			return false
		})),
		Entry("a body without a delimited end", serverBehavior(func(conn net.Conn, r receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: s\r\n\r\nok", r.Header.Get(headerRequestID))
			return false
		})),
		Entry("bytes that are no HTTP response", serverBehavior(func(conn net.Conn, _ receivedRequest, _ int) bool {
			writeText(conn, "no answer at all\r\n\r\n")
			return false
		})),
		Entry("a rejection that does not say that the request was not executed", serverBehavior(func(conn net.Conn, r receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 503 Busy\r\nHazelwheel-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(headerRequestID))
			return true
		})),
	)

	It("gets its own response where one of another request precedes it", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			if n == 2 {
				writeText(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: other\r\nHazelwheel-Response-Stamp: x\r\nContent-Length: 5\r\n\r\nother")
			}
			return writeAnswer(conn, r, fmt.Sprint("answer ", n))
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		for n := 1; n <= 3; n++ {
			_, body, err := sendClientRequest(front, headerRequestID, fmt.Sprint("id-", n))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(fmt.Sprint("answer ", n)))
		}
	})

	It("does not reuse a connection with a surplus response", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, n int) bool {
			writeAnswer(conn, r, "one")
			return writeAnswer(conn, r, "again")
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		for range 3 {
			_, body, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("one"))
		}
	})

	It("forwards a server's own error with its stamp", func() {
		s := startServer("i-1", "s", "", func(conn net.Conn, r receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 500 Oops\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Response-Stamp: st\r\nContent-Length: 4\r\n\r\noops",
				r.Header.Get(headerRequestID))
			return true
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, s)
		answer, body, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(answer.Header.Get(headerStamp)).To(Equal("st"))
		Expect(body).To(Equal("oops"))
	})

	It("avoids a server whose address another instance has", func() {
		one := startServer("i-1", "s", "", func(conn net.Conn, _ receivedRequest, _ int) bool {
			writeText(conn, "HTTP/1.1 421 Misdirected\r\nHazelwheel-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		_, front := startProxy(route(routeconfig.NonIdempotent), false, one, startServer("i-2", "s", "", echo))
		for range 8 {
			answer, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(len(one.received())).To(BeNumerically("<=", 1))
	})

	It("is rejected where there is no route, and where its body is too large", func() {
		_, front := startProxy(route(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", echo))
		answer, err := front.Client().Post(front.URL+"/elsewhere/", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusNotFound))
		request, err := http.NewRequest(http.MethodPost, front.URL+"/p/x", strings.NewReader(strings.Repeat("x", 1<<17)))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "h.example"
		answer, err = front.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("is sent to no draining server, also where an older list says otherwise", func() {
		one, two := startServer("i-1", "s", "", echo), startServer("i-2", "s", "", echo)
		p, front := startProxy(route(routeconfig.NonIdempotent), false, one, two)
		draining := one.Instance
		draining.Draining = true
		Expect(p.state.applyFeed(&message.Feed{List: list(draining, two.Instance)})).To(Succeed())
		Expect(p.state.applyFeed(&message.Feed{List: list(one.Instance, two.Instance)})).To(Succeed())
		for range 10 {
			_, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(one.received()).To(BeEmpty())
	})

	It("waits for a proxy that has just started, and is rejected where the first update does not arrive", func() {
		s := startServer("i-1", "s", "", echo)
		ready, _ := startProxy(route(routeconfig.NonIdempotent), false, s)
		starting := newProxy(ready.settings, ready.log)
		front := httptest.NewServer(starting)
		DeferCleanup(front.Close)
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())

		statuses := make(chan int)
		go func() {
			defer GinkgoRecover()
			late, _, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			statuses <- late.StatusCode
		}()
		Consistently(statuses, "100ms").ShouldNot(Receive())
		packed, err := message.PackTable(&routeconfig.Table{Version: 1, Routes: []routeconfig.Route{route(routeconfig.NonIdempotent)},
			Services: []routeconfig.Service{{Name: "s", HealthPath: "/health", MaxConnections: 100}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(starting.state.applyFeed(&message.Feed{Table: packed, List: list(s.Instance), ProxyCount: 1})).To(Succeed())
		Eventually(statuses).Should(Receive(Equal(http.StatusOK)))
	})

	It("is never routed by an older configuration than before", func() {
		p, front := startProxy(route(routeconfig.NonIdempotent), false, startServer("i-1", "s", "", echo))
		older, err := message.PackTable(&routeconfig.Table{Version: 0})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.state.applyFeed(&message.Feed{Table: older})).To(Succeed())
		answer, _, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
	})
})
