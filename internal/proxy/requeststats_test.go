package proxy

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/routeconfig"
)

var _ = Describe("the statistics of requests that are not served", func() {
	It("are counted by service and reported at intervals", func() {
		stats := newRequestStats()
		startedAt := stats.unserved.takenAt
		refused := func(counts *unservedCounts) { counts.Rejected++ }
		stats.unserved.update("s", refused)
		stats.unserved.update("s", refused)
		stats.unserved.update("t", func(counts *unservedCounts) { counts.BackendFailed++ })
		Expect(stats.unserved.takeDue(startedAt.Add(countsLogInterval - time.Millisecond))).To(BeNil())
		Expect(stats.unserved.takeDue(startedAt.Add(countsLogInterval))).To(Equal(map[string]*unservedCounts{"s": {Rejected: 2}, "t": {BackendFailed: 1}}))
		Expect(stats.unserved.takeDue(startedAt.Add(3 * countsLogInterval))).To(BeNil())
	})

	It("name the reserved fields that a client has sent", func() {
		header := http.Header{}
		header.Set(headerRequestID, "id-1")
		header.Set(headerServingStage, "prefill")
		header.Set(headerKVFrom, "somewhere")
		Expect(sentReservedHeaders(header)).To(Equal([]string{headerServingStage, headerKVFrom}))
	})
})

var _ = DescribeTable("a stream is counted by the cause of its delay", func(read, first, pause time.Duration, want streamCounts) {
	arrivedAt := time.Now()
	timing := &streamTiming{}
	if read > 0 {
		timing.prefilledAt = arrivedAt.Add(read)
	}
	timing.recordEvent(arrivedAt.Add(first))
	timing.recordEvent(arrivedAt.Add(first + pause))
	counts := &streamCounts{}
	counts.add(&routeconfig.Route{LatencyTargetMs: 400, TokenGapTargetMs: 200}, arrivedAt, timing)
	want.Served = 1
	Expect(*counts).To(Equal(want))
}, Entry("in time", 100*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond, streamCounts{}),
	Entry("its prefill was late", 250*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond, streamCounts{LatePrefill: 1}),
	Entry("its first event was late", 100*time.Millisecond, 500*time.Millisecond, 0*time.Second, streamCounts{LateFirstEvent: 1}),
	Entry("there was no separate prefill", 0*time.Second, 500*time.Millisecond, 0*time.Second, streamCounts{LateFirstEvent: 1}),
	Entry("it paused", 100*time.Millisecond, 300*time.Millisecond, 250*time.Millisecond, streamCounts{LateGap: 1}))

var _ = Describe("the statistics of streams", func() {
	It("are reported at intervals, by route", func() {
		stats := newRequestStats()
		req := &proxyRequest{route: &routeconfig.Route{Name: "r", LatencyTargetMs: 400}, arrivedAt: time.Now()}
		req.timing.recordEvent(req.arrivedAt)
		stats.countStream(req)
		stats.countStream(req)
		Expect(stats.streams.takeDue(stats.streams.takenAt.Add(countsLogInterval - time.Millisecond))).To(BeNil())
		Expect(stats.streams.takeDue(stats.streams.takenAt.Add(countsLogInterval))).To(Equal(map[string]*streamCounts{"r": {Served: 2}}))
		Expect(stats.streams.takeDue(stats.streams.takenAt.Add(3 * countsLogInterval))).To(BeNil())
	})
})

var _ = DescribeTable("the token count of a client", func(text string, tokens int) {
	Expect(parseTokenCount(text)).To(Equal(tokens))
}, Entry("a number", " 1460", 1460), Entry("nothing", "", 0), Entry("no number", "many", 0), Entry("a negative one", "-7", 0),
	Entry("one that would outweigh the fleet", "999999999999", maxTokenCount), Entry("one that does not fit", "99999999999999999999999", 0))
