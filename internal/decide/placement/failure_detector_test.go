package placement

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("suspicion", func() {
	It("picks servers that reply and excludes silent ones", func() {
		p := newPool(instances(4, ""))
		answerProbes(p, 0, 60)
		Expect(p.endpoints["i-000"].probeGaps.phi(60.5)).To(BeNumerically("<", suspectPhi))
		answerProbes(p, 60, 90, "i-000")
		Expect(p.endpoints["i-000"].probeGaps.phi(90)).To(BeNumerically(">", excludePhi))
		for range 200 {
			Expect(p.Pick(90, nil).ID).NotTo(Equal("i-000"))
		}
	})

	It("makes servers between the thresholds candidates for half of the picks", func() {
		p := newPool(instances(2, ""))
		answerProbes(p, 0, 60)
		late := p.endpoints["i-000"]
		now := 60.0
		for late.probeGaps.phi(now) <= suspectPhi {
			now += 0.05
		}
		p.endpoints["i-001"].probeGaps.lastArrival = now
		Expect(late.probeGaps.phi(now)).To(BeNumerically("<=", excludePhi))
		drawn := 0
		for range 4000 {
			for _, e := range p.candidates(now, "", nil) {
				if e == late {
					drawn++
				}
			}
		}
		Expect(drawn).To(BeNumerically("~", 2000, 200))
	})

	It("picks the least suspected server where all are silent", func() {
		p := newPool(instances(3, ""))
		answerProbes(p, 0, 60)
		for _, e := range p.endpoints {
			e.probeGaps.seed(60, ProbeIntervalSeconds)
		}
		p.endpoints["i-001"].probeGaps.lastArrival += 1
		for range 50 {
			Expect(p.Pick(500, nil).ID).To(Equal("i-001"))
		}
	})

	It("adds gaps for replies only", func() {
		p := newPool(instances(1, ""))
		answerProbes(p, 0, 30)
		gaps := len(p.endpoints["i-000"].probeGaps.gaps)
		answerProbes(p, 30, 300, "i-000")
		Expect(p.endpoints["i-000"].probeGaps.gaps).To(HaveLen(gaps))
	})

	It("seeds a new server with the mean gap of the others", func() {
		p := newPool(instances(3, ""))
		answerProbes(p, 0, 60)
		p.UpdateInstances(60, instances(4, ""))
		Expect(p.endpoints["i-003"].probeGaps.mean()).To(BeNumerically("~", p.endpoints["i-000"].probeGaps.mean(), 0.5))
		Expect(p.endpoints["i-003"].probeGaps.phi(60)).To(BeNumerically("<", suspectPhi))
	})

	It("probes each member at least every five seconds", func() {
		p := newPool(instances(10, ""))
		last := map[string]float64{}
		for now := 0.0; now < 100; now += 0.1 {
			for _, e := range p.DueProbes(now) {
				last[e.ID] = now
				e.RecordProbe(now, true)
			}
			for id := range p.endpoints {
				Expect(now-last[id]).To(BeNumerically("<=", 5), id)
			}
		}
	})
})
