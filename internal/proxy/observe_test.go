package proxy

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("what operators see of requests that are not served", func() {
	It("is counted by service and told once in a while", func() {
		o := newObservations()
		began := o.logged
		refused := func(counts *unserved) { counts.Refused++ }
		o.count("s", refused)
		o.count("s", refused)
		o.count("t", func(counts *unserved) { counts.BrokenOff++ })
		Expect(o.due(began.Add(unservedEvery - time.Millisecond))).To(BeNil())
		Expect(o.due(began.Add(unservedEvery))).To(Equal(map[string]unserved{"s": {Refused: 2}, "t": {BrokenOff: 1}}))
		Expect(o.due(began.Add(3 * unservedEvery))).To(BeNil())
	})

	It("names the system's fields that a client has sent", func() {
		header := http.Header{}
		header.Set(headerRequestID, "id-1")
		header.Set(headerServingStage, "prefill")
		header.Set(headerKVFrom, "somewhere")
		Expect(systemFieldsOf(header)).To(Equal([]string{headerServingStage, headerKVFrom}))
	})
})

var _ = DescribeTable("the tokens that a client names", func(text string, tokens int) {
	Expect(tokenCount(text)).To(Equal(tokens))
}, Entry("a number", " 1460", 1460), Entry("nothing", "", 0), Entry("no number", "many", 0), Entry("a negative one", "-7", 0),
	Entry("one that would outweigh the fleet", "999999999999", tokensMost), Entry("one that does not fit", "99999999999999999999999", 0))
