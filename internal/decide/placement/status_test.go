package placement

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the status of a pool", func() {
	It("counts each member once, by the reason for which it can't be picked", func() {
		p := newPool(instances(6, ""))
		p.SetRank(0, 1)
		answerProbes(p, 0, 60)
		p.SetMaxConnections(100)
		p.endpoints["i-000"].RecordIdentity("i-other")
		p.endpoints["i-001"].RecordFailure(60, true)
		for range p.maxConnections {
			p.endpoints["i-002"].StartRequest()
		}
		Expect(p.Status(60.1)).To(Equal(Status{Listed: 6, Members: 6, Available: 3, WrongInstance: 1, Ejected: 1, Full: 1}))
		Expect(p.Status(90)).To(Equal(Status{Listed: 6, Members: 6, WrongInstance: 1, Full: 1, Suspected: 4}))
	})
})
