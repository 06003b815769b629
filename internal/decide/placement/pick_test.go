package placement

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

var _ = Describe("the choice of a server", func() {
	It("picks the server with fewer requests in progress of two", func() {
		p := newPool(instances(2, ""))
		p.endpoints["i-000"].InFlight = 3
		for range 50 {
			Expect(p.Pick(0, nil).ID).To(Equal("i-001"))
		}
	})

	It("skips servers that drain, are removed, change their stage or have another instance at their address", func() {
		p := newPool(instances(5, ""))
		list := instances(5, "")
		list[0].Draining = true
		p.UpdateInstances(1, list[:4])
		p.UpdateInstances(2, instances(5, "")) // an older version of the list
		p.ApplyStagePlan(0, message.StagePlan{Stages: map[string]message.Stage{"i-001": message.Prefill}})
		p.endpoints["i-002"].RecordIdentity("i-other")
		for range 100 {
			Expect(p.Pick(2, nil).ID).To(Equal("i-003"))
		}
	})

	It("replaces servers in the subset that change their stage", func() {
		p := newPool(instances(60, ""))
		p.SetRank(0, 60)
		stages := map[string]message.Stage{}
		for _, e := range p.members {
			stages[e.ID] = message.Prefill
		}
		p.ApplyStagePlan(0, message.StagePlan{Stages: stages})
		Expect(p.Pick(0, nil)).NotTo(BeNil())
		Expect(stages).NotTo(HaveKey(p.Pick(0, nil).ID))
	})

	It("ejects a server after consecutive failures until it succeeds or the ejection ends", func() {
		p := newPool(instances(2, ""))
		bad := p.endpoints["i-000"]
		bad.RecordFailure(1, false)
		Expect(p.isUsable(bad, 1)).To(BeTrue(), "one failure is not enough")
		bad.RecordFailure(1, false)
		Expect(p.isUsable(bad, 1.1)).To(BeFalse())
		Expect(p.isUsable(bad, 1+maxEjectionSeconds)).To(BeTrue())
		bad.RecordFailure(2, true)
		bad.RecordSuccess()
		Expect(p.isUsable(bad, 2)).To(BeTrue())
	})

	It("keeps the connection limit", func() {
		p := newPool(instances(1, ""))
		p.SetRank(0, 10)
		p.SetMaxConnections(50)
		only := p.endpoints["i-000"]
		only.InFlight = 3
		Expect(p.Pick(0, nil)).NotTo(BeNil())
		only.InFlight = 4 // a tenth of the usable fraction of 50
		Expect(p.candidates(0, "", nil)).To(BeEmpty())
	})
})

var _ = Describe("a proxy whose subset has no free connections", func() {
	It("uses servers outside the subset, each up to the connection limit", func() {
		p := newPool(instances(20, ""))
		p.SetRank(3, 50)
		p.SetMaxConnections(200)
		subsetSize := len(p.members)
		Expect(subsetSize).To(BeNumerically("<", 20))
		started := map[string]int{}
		for {
			e := p.Pick(0, nil)
			if e == nil {
				break
			}
			e.StartRequest()
			if started[e.ID]++; len(started) > subsetSize {
				for _, member := range p.members {
					Expect(member.InFlight).To(Equal(p.maxConnections), "servers outside are used only after all members are full")
				}
			}
		}
		Expect(started).To(HaveLen(20))
		for id, count := range started {
			Expect(count).To(Equal(p.maxConnections), id)
		}
	})

	It("skips servers outside the subset that drain, change their stage, are ejected or have failed the request", func() {
		p := newPool(instances(8, message.Decode))
		p.SetRank(0, 100)
		p.SetMaxConnections(100)
		l := NewPlanner(p, 60)
		for _, member := range p.members {
			member.InFlight = p.maxConnections
		}
		outside := p.outsideSubset(0, message.Decode, nil)
		Expect(len(outside)).To(Equal(8 - len(p.members)))
		outside[0].Draining = true
		outside[1].RecordFailure(0, true)
		Expect(p.outsideSubset(0, message.Decode, nil)).To(Equal(outside[2:]))
		Expect(l.decodeCandidates(0, outside[3:])).To(Equal(outside[2:3]))
		Expect(p.outsideSubset(0, message.Prefill, nil)).To(BeEmpty())
	})
})
