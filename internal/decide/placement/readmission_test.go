package placement

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

// TestServerIsReadmittedByItsIdentity checks that a server which rejected a request as misdirected, and at whose address another
// instance answered, is readmitted after it has replied to a probe itself.
func TestServerIsReadmittedByItsIdentity(t *testing.T) {
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
		t.Fatal("the server is still excluded")
	}
}

// newEngine returns a pool of model servers and its planner.
func newEngine(prefill, decode int) (*Pool, *Planner) {
	p := newPool(append(instances(prefill, message.Prefill), instances(decode, message.Decode)...))
	p.Engine = Engine{IsPresent: true, KVTokenBytes: 35000, KVTokens: 900e3, LinkMbps: 1e6}
	return p, NewPlanner(p, 8)
}

var _ = Describe("a server that has rejected a request as misdirected", func() {
	It("is ejected briefly and probed at once", func() {
		p := newPool(instances(2, ""))
		answerProbes(p, 0, 20)
		e := p.endpoints["i-000"]
		e.RecordMisdirected(20)
		Expect(p.candidates(20.1, "", nil)).NotTo(ContainElement(e))
		Expect(p.DueProbes(20.1)).To(ContainElement(e))
		Expect(p.candidates(20.1+firstEjectionSeconds, "", nil)).To(ContainElement(e))
	})

	It("is excluded while another instance answers at its address, and probed at the usual interval", func() {
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

	It("is used if all servers are ejected", func() {
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

var _ = Describe("a change of the stage that never happens", func() {
	plan := message.StagePlan{Token: 1, Stages: map[string]message.Stage{"i-decode000": message.Prefill}}
	e := func(p *Pool) *Endpoint { return p.endpoints["i-decode000"] }

	It("excludes the server no longer than a change may take, however often the plan arrives", func() {
		p, _ := newEngine(0, 4)
		p.Engine.SwitchSeconds = 2
		for now := 0.0; now < 2+switchMarginSeconds; now += 0.5 {
			p.ApplyStagePlan(now, plan)
			Expect(p.members).NotTo(ContainElement(e(p)))
		}
		Expect(p.ExpireStageChanges(2+switchMarginSeconds)).To(BeTrue(), "without a new plan")
		Expect(p.members).To(ContainElement(e(p)))
		p.ApplyStagePlan(20, plan)
		Expect(p.members).To(ContainElement(e(p)))
		plan.Token = 2
		p.ApplyStagePlan(21, plan)
		Expect(p.members).NotTo(ContainElement(e(p)), "another lease holder has planned it again")
	})
})

var _ = Describe("an instance that was missing in one version of the list", func() {
	It("is readmitted when the last list is applied again", func() {
		all := instances(3, "")
		p := newPool(all)
		p.UpdateInstances(1, all[:2])
		p.UpdateInstances(1.1, all)
		Expect(p.endpoints).To(HaveLen(2), "an older version of the list may arrive late")
		Expect(p.CanReadmit(1 + readmissionSeconds)).To(BeFalse())
		Expect(p.CanReadmit(1.1 + readmissionSeconds)).To(BeTrue())
		p.UpdateInstances(1.1+readmissionSeconds, all)
		Expect(p.endpoints).To(HaveLen(3))
		Expect(p.CanReadmit(2 + readmissionSeconds)).To(BeFalse())
	})
})
