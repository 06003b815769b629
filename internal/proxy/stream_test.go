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

// allEvents returns the body of a stream of this many events.
func allEvents(count int) (out string) {
	for id := 1; id <= count; id++ {
		out += event(id)
	}
	return out
}

// breakAfter sends some events and a part of the next one, and resets the connection.
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
	It("is forwarded event by event", func() {
		_, front := startProxy(route(routeconfig.Streaming), false, startServer("i-1", "s", "", events(5)))
		answer, body, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(body).To(Equal(allEvents(5)))
	})

	It("that breaks off does not look complete, and no partial event is forwarded", func() {
		one, two := startServer("i-1", "s", "", breakAfter(2)), startServer("i-2", "s", "", breakAfter(2))
		_, front := startProxy(route(routeconfig.Streaming), false, one, two)
		_, body, err := sendClientRequest(front)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(Equal(allEvents(2)))
		Expect(len(one.received()) + len(two.received())).To(Equal(1))
	})

	It("is resumed at another server where the route allows it, without failing or repeating an event", func() {
		resumable := route(routeconfig.Streaming)
		resumable.Resumable = true
		broken, good := startServer("i-1", "s", "", breakAfter(2)), startServer("i-2", "s", "", events(4))
		_, front := startProxy(resumable, false, broken, good)
		for range 40 { // each time, one of the two servers is chosen at random
			_, body, err := sendClientRequest(front)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(4)))
		}
		Expect(broken.received()).NotTo(BeEmpty(), "the server that breaks off was never chosen")
		Expect(good.received()[0].Header.Get(headerLastEventID)).To(Or(Equal("2"), BeEmpty()))
	})
})

// longPromptPrefix is the prefix hash of a prompt that is long enough to be prefilled separately.
const longPromptPrefix = "aa:500,bb:300,cc:20000"

// answerPrefill responds to a prefill with a handle.
func answerPrefill(conn net.Conn, r receivedRequest, _ int) bool {
	if r.Method == http.MethodDelete {
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	body := `{"KvHandle":"h1","Tokens":1000,"Version":1}`
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(headerRequestID), len(body), body)
	return err == nil
}

var _ = Describe("a prompt", func() {
	tokens := []string{headerPrefixHash, longPromptPrefix, headerTokenCounts, "20800,20"}

	It("is prefilled at one server and decoded at another", func() {
		prefillServer := startServer("i-1", "s", message.Prefill, answerPrefill)
		decodeServer := startServer("i-2", "s", message.Decode, events(3))
		_, front := startProxy(route(routeconfig.Streaming), true, prefillServer, decodeServer)
		_, body, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(allEvents(3)))
		Expect(prefillServer.received()[0].Header.Get(headerServingStage)).To(Equal("prefill"))
		Expect(decodeServer.received()[0].Header.Get(headerKVFrom)).To(Equal(prefillServer.Address + "/h1"))
		Expect(decodeServer.received()[0].Header.Get(headerPriority)).To(Equal("1"))
	})

	It("is prefilled by the decode server where the prefill fails", func() {
		prefillServer := startServer("i-1", "s", message.Prefill, resetConn)
		decodeServer := startServer("i-2", "s", message.Decode, events(3))
		_, front := startProxy(route(routeconfig.Streaming), true, prefillServer, decodeServer)
		_, body, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(allEvents(3)))
		Expect(decodeServer.received()[0].Header).NotTo(HaveKey(headerKVFrom))
	})

	It("is prefilled at another prefill server where the first is unreachable, and not by the decode server", func() {
		for _, ids := range [][]string{{"i-1", "i-3"}, {"i-3", "i-1"}} { // the prompt has affinity to one of them
			unreachable := startServer(ids[0], "s", message.Prefill, answerPrefill)
			Expect(unreachable.listener.Close()).To(Succeed())
			prefillServer := startServer(ids[1], "s", message.Prefill, answerPrefill)
			decodeServer := startServer("i-2", "s", message.Decode, events(3))
			_, front := startProxy(route(routeconfig.Streaming), true, unreachable, prefillServer, decodeServer)
			_, body, err := sendClientRequest(front, tokens...)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(3)))
			Expect(decodeServer.received()).To(HaveLen(1))
			Expect(decodeServer.received()[0].Header.Get(headerKVFrom)).To(Equal(prefillServer.Address + "/h1"))
		}
	})

	DescribeTable("whose prefill is lost is prefilled at another server as far as the route's attempts allow", func(attempts int, separately bool) {
		failingFirst := 0
		for _, ids := range [][]string{{"i-1", "i-3"}, {"i-3", "i-1"}} { // the prompt has affinity to one of them
			failing := startServer(ids[0], "s", message.Prefill, resetConn)
			prefillServer := startServer(ids[1], "s", message.Prefill, answerPrefill)
			decodeServer := startServer("i-2", "s", message.Decode, events(3))
			limited := route(routeconfig.Streaming)
			limited.MaxAttempts = attempts
			_, front := startProxy(limited, true, failing, prefillServer, decodeServer)
			_, body, err := sendClientRequest(front, tokens...)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(3)))
			if len(failing.received()) == 0 {
				continue // the prompt has affinity to the other one
			}
			failingFirst++
			Expect(decodeServer.received()[0].Header.Get(headerKVFrom) != "").To(Equal(separately))
			Expect(len(prefillServer.received()) > 0).To(Equal(separately))
		}
		Expect(failingFirst).To(Equal(1), "the prompt has affinity to one of them")
	}, Entry("one attempt: by the decode server", 1, false), Entry("two attempts", 2, true))

	It("charges the retry budget for each further prefill server, and not after the last one", func() {
		rejecting := []*testServer{startServer("i-1", "s", message.Prefill, rejectFull), startServer("i-2", "s", message.Prefill, rejectFull), startServer("i-3", "s", message.Prefill, rejectFull)}
		decodeServer := startServer("i-4", "s", message.Decode, events(3))
		charged, front := startProxy(route(routeconfig.Streaming), true, append(rejecting, decodeServer)...)
		unused, _ := startProxy(route(routeconfig.Streaming), true, decodeServer)
		_, body, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(allEvents(3)))
		for _, prefillServer := range rejecting {
			Expect(prefillServer.received()).To(HaveLen(1))
		}
		Expect(spendRemainingBudget(charged)).To(Equal(spendRemainingBudget(unused) - 2))
	})

	It("is prefilled at another server where the first rejects it, as far as the budget allows", func() {
		for _, ids := range [][]string{{"i-1", "i-3"}, {"i-3", "i-1"}} { // the prompt has affinity to one of them
			rejecting := startServer(ids[0], "s", message.Prefill, rejectFull)
			prefillServer := startServer(ids[1], "s", message.Prefill, answerPrefill)
			decodeServer := startServer("i-2", "s", message.Decode, events(3))
			_, front := startProxy(route(routeconfig.Streaming), true, rejecting, prefillServer, decodeServer)
			for range 3 {
				_, body, err := sendClientRequest(front, tokens...)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal(allEvents(3)))
			}
			for _, r := range decodeServer.received() {
				Expect(r.Header.Get(headerKVFrom)).To(Equal(prefillServer.Address + "/h1"))
			}
		}
	})

	It("offers its KV cache to one more decode server where the first is full", func() {
		prefillServer := startServer("i-1", "s", message.Prefill, answerPrefill)
		one, two := startServer("i-2", "s", message.Decode, rejectFull), startServer("i-3", "s", message.Decode, events(3))
		for range 40 { // a new proxy each time, which chooses one of the two decode servers at random
			_, front := startProxy(route(routeconfig.Streaming), true, prefillServer, one, two)
			_, body, err := sendClientRequest(front, tokens...)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(allEvents(3)))
		}
		Expect(one.received()).NotTo(BeEmpty())
		for _, r := range two.received() {
			Expect(r.Header.Get(headerKVFrom)).To(Equal(prefillServer.Address + "/h1"))
		}
	})

	It("releases its KV cache where it can't be decoded", func() {
		prefillServer := startServer("i-1", "s", message.Prefill, answerPrefill)
		decodeServer := startServer("i-2", "s", message.Decode, rejectFull)
		Expect(decodeServer.listener.Close()).To(Succeed())
		_, front := startProxy(route(routeconfig.Streaming), true, prefillServer, decodeServer)
		answer, _, err := sendClientRequest(front, tokens...)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() (paths []string) {
			for _, r := range prefillServer.received() {
				paths = append(paths, r.Method+" "+r.URL.Path)
			}
			return paths
		}).Should(ContainElement("DELETE /kv-handle/h1"))
	})

	It("without prefix chunks goes to the decode servers, whatever its route's kind", func() {
		decodeServer := startServer("i-2", "s", message.Decode, echo)
		_, front := startProxy(route(routeconfig.Idempotent), true, startServer("i-1", "s", message.Prefill, rejectFull), decodeServer)
		_, body, err := sendClientRequest(front)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.HasPrefix(body, "answer of")).To(BeTrue())
	})
})

// spendRemainingBudget spends a proxy's retry budget and returns how many retries it allowed.
func spendRemainingBudget(p *Proxy) (left int) {
	p.state.withService("s", func(now float64, pool *placement.Pool, _ *placement.Planner) {
		for pool.Budget.TrySpend(now, pool.ProxyCount()) {
			left++
		}
	})
	return left
}
