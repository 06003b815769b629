package placement

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

// TestServerThatAnswersAsItselfReturns has a server turn a request away as not its own, and then answer a probe as itself: what it said
// of one request holds no longer than its next sign of life.
func TestServerThatAnswersAsItselfReturns(t *testing.T) {
	p := newPool(instances(1, ""))
	e := p.endpoints["i-000"]
	e.RecordMisdirected(0)
	e.RecordIdentity("i-other")
	for now := 0.0; now < 10; now += 0.1 {
		for _, due := range p.DueProbes(now) {
			due.RecordIdentity(due.ID)
			due.RecordProbe(now, true)
		}
	}
	if p.Pick(10, nil) == nil {
		t.Fatal("it is out for good")
	}
}

// newEngine returns a pool of model servers, and its planner.
func newEngine(readers, runners int) (*Pool, *Planner) {
	p := newPool(append(instances(readers, message.Prefill), instances(runners, message.Decode)...))
	p.Engine = Engine{IsPresent: true, KVTokenBytes: 35000, KVTokens: 900e3, LinkMbps: 1e6}
	return p, NewPlanner(p, 8)
}

var _ = Describe("a server that has turned a request away as not its own", func() {
	It("is held back for a moment and probed at once", func() {
		p := newPool(instances(2, ""))
		answerProbes(p, 0, 20)
		e := p.endpoints["i-000"]
		e.RecordMisdirected(20)
		Expect(p.candidates(20.1, "", nil)).NotTo(ContainElement(e))
		Expect(p.DueProbes(20.1)).To(ContainElement(e))
		Expect(p.candidates(20.1+firstEjectionSeconds, "", nil)).To(ContainElement(e))
	})

	It("is out while another instance answers at its address, and goes on being probed in its time", func() {
		p := newPool(instances(2, ""))
		answerProbes(p, 0, 20)
		e := p.endpoints["i-000"]
		probes := 0
		for now := 20.0; now < 65; now += 0.1 {
			for _, due := range p.DueProbes(now) {
				if due != e {
					due.RecordProbe(now, true)
					continue
				}
				probes++
				e.RecordIdentity("i-other")
				e.RecordProbe(now, false)
			}
			if probes > 0 {
				Expect(p.Pick(now, nil)).NotTo(Equal(e))
			}
		}
		Expect(probes).To(BeNumerically("~", 45/ProbeIntervalSeconds, 1.1))
		e.RecordIdentity(e.ID)
		e.RecordProbe(65, true)
		Expect(p.candidates(65, "", nil)).To(ContainElement(e))
	})

	It("makes an answer rather than none where all servers are held back", func() {
		p, l := newEngine(2, 2)
		for _, e := range p.members {
			if e.Stage == message.Decode {
				e.RecordMisdirected(0)
			}
		}
		plan, found := l.PlanPrompt(0.1, &Prompt{Tokens: 100}, nil, false)
		Expect(found).To(BeTrue())
		Expect(plan.DecodeServer.Stage).To(Equal(message.Decode))
		Expect(l.PickDecodeServer(0.1, "z0", nil)).NotTo(BeNil())
	})
})

var _ = Describe("a change of the stage that comes to nothing", func() {
	plan := message.StagePlan{Token: 1, Stages: map[string]message.Stage{"i-decode000": message.Prefill}}
	e := func(p *Pool) *Endpoint { return p.endpoints["i-decode000"] }

	It("keeps a server out for as long as it may take, whoever goes on telling of it", func() {
		p, _ := newEngine(0, 4)
		p.Engine.SwitchSeconds = 2
		for now := 0.0; now < 2+switchMarginSeconds; now += 0.5 {
			p.ApplyStagePlan(now, plan)
			Expect(p.members).NotTo(ContainElement(e(p)))
		}
		Expect(p.ExpireStageChanges(2+switchMarginSeconds)).To(BeTrue(), "without another word of the holder")
		Expect(p.members).To(ContainElement(e(p)))
		p.ApplyStagePlan(20, plan)
		Expect(p.members).To(ContainElement(e(p)))
		plan.Token = 2
		p.ApplyStagePlan(21, plan)
		Expect(p.members).NotTo(ContainElement(e(p)), "another holder has ordered it anew")
	})
})

var _ = Describe("an instance that was missing in one reading of the list", func() {
	It("comes back with a later one, though nothing else changes", func() {
		all := instances(3, "")
		p := newPool(all)
		p.UpdateInstances(1, all[:2])
		p.UpdateInstances(1.1, all)
		Expect(p.endpoints).To(HaveLen(2), "an older reading may come after")
		Expect(p.CanReadmit(1 + readmissionSeconds)).To(BeFalse())
		Expect(p.CanReadmit(1.1 + readmissionSeconds)).To(BeTrue())
		p.UpdateInstances(1.1+readmissionSeconds, all)
		Expect(p.endpoints).To(HaveLen(3))
		Expect(p.CanReadmit(2 + readmissionSeconds)).To(BeFalse())
	})
})
