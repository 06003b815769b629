package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// allEvents is the body of a stream of so many.
func allEvents(count int) (out string) {
	for id := 1; id <= count; id++ {
		out += event(id)
	}
	return out
}

// breakAfter sends some events and half of the next one, and is gone.
func breakAfter(count int) serverBehavior {
	return func(conn net.Conn, r receivedRequest, n int) bool {
		streamHead(conn, r)
		for id := 1; id <= count; id++ {
			chunk(conn, event(id))
		}
		chunk(conn, event(count + 1)[:7])
		return resetConn(conn, r, n)
	}
}

var _ = Describe("a stream", func() {
	It("is passed on event by event", func() {
		_, front := startProxy(route(routeconfig.Streaming), false, startServer("i-1", "s", "", events(5)))
		answer, body, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(body).To(Equal(allEvents(5)))
	})

	It("that breaks off does not look complete, and no half event goes out", func() {
		one, two := startServer("i-1", "s", "", breakAfter(2)), startServer("i-2", "s", "", breakAfter(2))
		_, front := startProxy(route(routeconfig.Streaming), false, one, two)
		_, body, err := sendClientRequest(front)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(Equal(allEvents(2)))
		Expect(len(one.received()) + len(two.received())).To(Equal(1))
	})

	It("goes on at another server where it may, without losing or repeating an event", func() {
		resumable := route(routeconfig.Streaming)
		resumable.Resumable = true
		broken, good := startServer("i-1", "s", "", breakAfter(2)), startServer("i-2", "s", "", events(4))
		_, front := startProxy(resumable, false, broken, good)
		for range 40 { // one of two is drawn
			_, body, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(4)))
		}
		Expect(broken.received()).NotTo(BeEmpty(), "the draw never met the server that breaks off")
		Expect(good.received()[0].Header.Get(headerLastEventID)).To(Or(Equal("2"), BeEmpty()))
	})
})

// prefix is of a prompt so long that it is worth moving.
const prefix = "aa:500,bb:300,cc:20000"

// reads answers the reading of a prompt with a handle.
func reads(conn net.Conn, r receivedRequest, _ int) bool {
	if r.Method == http.MethodDelete {
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	body := `{"KvHandle":"h1","Tokens":1000,"Version":1}`
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(headerRequestID), len(body), body)
	return err == nil
}

var _ = Describe("a prompt", func() {
	tokens := []string{headerPrefixHash, prefix, headerTokenCounts, "20800,20"}

	It("is read at one server and answered at another", func() {
		reader := startServer("i-1", "s", message.Prefill, reads)
		runner := startServer("i-2", "s", message.Decode, events(3))
		_, front := startProxy(route(routeconfig.Streaming), true, reader, runner)
		_, body, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(allEvents(3)))
		Expect(reader.received()[0].Header.Get(headerServingStage)).To(Equal("prefill"))
		Expect(runner.received()[0].Header.Get(headerKVFrom)).To(Equal(reader.Address + "/h1"))
		Expect(runner.received()[0].Header.Get(headerPriority)).To(Equal("1"))
	})

	It("is read where the answer is made when its reading fails", func() {
		reader := startServer("i-1", "s", message.Prefill, resetConn)
		runner := startServer("i-2", "s", message.Decode, events(3))
		_, front := startProxy(route(routeconfig.Streaming), true, reader, runner)
		_, body, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(allEvents(3)))
		Expect(runner.received()[0].Header).NotTo(HaveKey(headerKVFrom))
	})

	It("is read at another server where the first can't be reached, and not beside answers", func() {
		for _, ids := range [][]string{{"i-1", "i-3"}, {"i-3", "i-1"}} { // either is the prompt's home
			gone := startServer(ids[0], "s", message.Prefill, reads)
			Expect(gone.listener.Close()).To(Succeed())
			reader := startServer(ids[1], "s", message.Prefill, reads)
			runner := startServer("i-2", "s", message.Decode, events(3))
			_, front := startProxy(route(routeconfig.Streaming), true, gone, reader, runner)
			_, body, err := sendClientRequest(front, tokens...)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(3)))
			Expect(runner.received()).To(HaveLen(1))
			Expect(runner.received()[0].Header.Get(headerKVFrom)).To(Equal(reader.Address + "/h1"))
		}
	})

	DescribeTable("whose reading is lost is read at another server as far as the route's attempts go", func(attempts int, apart bool) {
		met := 0
		for _, ids := range [][]string{{"i-1", "i-3"}, {"i-3", "i-1"}} { // either is the prompt's home
			losing := startServer(ids[0], "s", message.Prefill, resetConn)
			reader := startServer(ids[1], "s", message.Prefill, reads)
			runner := startServer("i-2", "s", message.Decode, events(3))
			limited := route(routeconfig.Streaming)
			limited.MaxAttempts = attempts
			_, front := startProxy(limited, true, losing, reader, runner)
			_, body, err := sendClientRequest(front, tokens...)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(3)))
			if len(losing.received()) == 0 {
				continue // the other one is the home
			}
			met++
			Expect(runner.received()[0].Header.Get(headerKVFrom) != "").To(Equal(apart))
			Expect(len(reader.received()) > 0).To(Equal(apart))
		}
		Expect(met).To(Equal(1), "one of them is the home")
	}, Entry("one attempt: beside answers", 1, false), Entry("two attempts", 2, true))

	It("spends of the budget for readers that are asked again, and not for the last one", func() {
		refusing := []*testServer{startServer("i-1", "s", message.Prefill, rejectFull), startServer("i-2", "s", message.Prefill, rejectFull), startServer("i-3", "s", message.Prefill, rejectFull)}
		runner := startServer("i-4", "s", message.Decode, events(3))
		asked, front := startProxy(route(routeconfig.Streaming), true, append(refusing, runner)...)
		untouched, _ := startProxy(route(routeconfig.Streaming), true, runner)
		_, body, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(allEvents(3)))
		for _, reader := range refusing {
			Expect(reader.received()).To(HaveLen(1))
		}
		Expect(budgetLeft(asked)).To(Equal(budgetLeft(untouched) - 2))
	})

	It("is read at another server where the first refuses, as far as the budget goes", func() {
		for _, ids := range [][]string{{"i-1", "i-3"}, {"i-3", "i-1"}} { // either is the prompt's home
			refusing := startServer(ids[0], "s", message.Prefill, rejectFull)
			reader := startServer(ids[1], "s", message.Prefill, reads)
			runner := startServer("i-2", "s", message.Decode, events(3))
			_, front := startProxy(route(routeconfig.Streaming), true, refusing, reader, runner)
			for range 3 {
				_, body, err := sendClientRequest(front, tokens...)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal(allEvents(3)))
			}
			for _, r := range runner.received() {
				Expect(r.Header.Get(headerKVFrom)).To(Equal(reader.Address + "/h1"))
			}
		}
	})

	It("offers its cache to one more server when the first has no room", func() {
		reader := startServer("i-1", "s", message.Prefill, reads)
		one, two := startServer("i-2", "s", message.Decode, rejectFull), startServer("i-3", "s", message.Decode, events(3))
		for range 40 { // a proxy that has seen nothing yet, each time; one of two is drawn
			_, front := startProxy(route(routeconfig.Streaming), true, reader, one, two)
			_, body, err := sendClientRequest(front, tokens...)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(3)))
		}
		Expect(one.received()).NotTo(BeEmpty())
		for _, r := range two.received() {
			Expect(r.Header.Get(headerKVFrom)).To(Equal(reader.Address + "/h1"))
		}
	})

	It("frees its cache where no answer can be made", func() {
		reader := startServer("i-1", "s", message.Prefill, reads)
		runner := startServer("i-2", "s", message.Decode, rejectFull)
		Expect(runner.listener.Close()).To(Succeed())
		_, front := startProxy(route(routeconfig.Streaming), true, reader, runner)
		answer, _, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() (paths []string) {
			for _, r := range reader.received() {
				paths = append(paths, r.Method+" "+r.URL.Path)
			}
			return paths
		}).Should(ContainElement("DELETE /kv-handle/h1"))
	})

	It("without parts goes to the servers that make answers, whatever its route's kind", func() {
		runner := startServer("i-2", "s", message.Decode, echo)
		_, front := startProxy(route(routeconfig.Idempotent), true, startServer("i-1", "s", message.Prefill, rejectFull), runner)
		_, body, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.HasPrefix(body, "answer of")).To(BeTrue())
	})
})

// budgetLeft uses a proxy's budget up, and returns how many arrivals there was room for.
func budgetLeft(p *Proxy) (left int) {
	p.state.withService("s", func(now float64, pool *placement.Pool, _ *placement.Planner) {
		for pool.Budget.TrySpend(now, pool.ProxyCount()) {
			left++
		}
	})
	return left
}
