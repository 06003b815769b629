package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

// hostOmissions is what a host leaves out, to show that the property notices it.
type hostOmissions struct {
	skipsRevisits bool // it goes by the list and the plan only when it is told something new
	skipsProbes   bool // it does not ask servers for their health
}

// simulation is a pool whose host meets everything that keeps servers out of the choice.
type simulation struct {
	rng           *rand.Rand
	pool          *Pool
	list          []message.Instance // all servers that are there
	plan          message.StagePlan
	now           float64
	wrongInstance map[string]bool // servers whose addresses another instance answers for
	omissions     hostOmissions
}

func newSimulation(seed uint64, host hostOmissions) *simulation {
	h := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), list: append(instances(3, message.Prefill), instances(5, message.Decode)...),
		wrongInstance: map[string]bool{}, omissions: host}
	h.pool = newPool(h.list)
	h.pool.Engine = Engine{IsPresent: true, SwitchSeconds: 2}
	return h
}

func (h *simulation) randomEndpoint() *Endpoint {
	return h.pool.endpoints[h.pool.ids[h.rng.IntN(len(h.pool.ids))]]
}

// injectEvent has something happen to a server.
func (h *simulation) injectEvent() {
	if len(h.pool.ids) == 0 {
		return
	}
	e := h.randomEndpoint()
	switch h.rng.IntN(7) {
	case 0:
		e.RecordMisdirected(h.now)
	case 1:
		e.RecordFailure(h.now, h.rng.IntN(2) == 0)
	case 2:
		h.wrongInstance[e.ID] = !h.wrongInstance[e.ID]
	case 3: // orders, some of which come to nothing
		h.plan = message.StagePlan{Token: h.plan.Token + uint64(h.rng.IntN(2)), Sequence: h.plan.Sequence + 1,
			Stages: map[string]message.Stage{e.ID: message.Prefill, h.randomEndpoint().ID: message.Decode}}
		h.pool.ApplyStagePlan(h.now, h.plan)
	case 4: // a reading in which a server is missing
		h.pool.UpdateInstances(h.now, slices.DeleteFunc(slices.Clone(h.list), func(i message.Instance) bool { return i.ID == e.ID }))
		h.pool.ApplyStagePlan(h.now, h.plan)
	case 5:
		h.pool.UpdateInstances(h.now, h.list)
		h.pool.ApplyStagePlan(h.now, h.plan)
	case 6:
		h.pool.SetRank(h.rng.IntN(3), 1+h.rng.IntN(3))
	}
}

// advance lets time go by for the host.
func (h *simulation) advance(seconds float64) {
	const tick = 0.5
	for until := h.now + seconds; h.now < until; h.now += tick {
		if !h.omissions.skipsProbes {
			for _, e := range h.pool.DueProbes(h.now) {
				instance := e.ID
				if h.wrongInstance[e.ID] {
					instance = "i-other"
				}
				e.RecordIdentity(instance)
				e.RecordProbe(h.now, instance == e.ID)
			}
		}
		if h.omissions.skipsRevisits {
			continue
		}
		h.pool.ExpireStageChanges(h.now)
		if h.pool.CanReadmit(h.now) {
			h.pool.UpdateInstances(h.now, h.list)
			h.pool.ApplyStagePlan(h.now, h.plan)
		}
	}
}

// run has a server meet something again and again, lets all be well for a while, and returns what still keeps servers out, "" if nothing does.
func (h *simulation) run() string {
	for range 60 {
		h.injectEvent()
		h.advance(h.rng.ExpFloat64() * 1.5)
	}
	h.pool.UpdateInstances(h.now, h.list) // the last word on the list; nothing new is told from here on
	h.pool.ApplyStagePlan(h.now, h.plan)
	clear(h.wrongInstance)
	h.pool.SetRank(0, 1)
	h.advance(readmissionSeconds + h.pool.Engine.SwitchSeconds + switchMarginSeconds + 2*ProbeIntervalSeconds)
	if s := h.pool.Status(h.now); s.Available != len(h.list) {
		return fmt.Sprintf("%+v", s)
	}
	return ""
}

var _ = Describe("each way out of the choice", func() {
	It("has its way back once all is well, without another word from the list or the plan", func() {
		for seed := range uint64(500) {
			Expect(newSimulation(seed, hostOmissions{}).run()).To(BeEmpty(), "seed %d", seed)
		}
	})

	DescribeTable("needs a host that", func(host hostOmissions) {
		for seed := range uint64(500) {
			if newSimulation(seed, host).run() != "" {
				return
			}
		}
		Fail("nothing was kept out in 500 histories")
	},
		Entry("looks again at what was told before", hostOmissions{skipsRevisits: true}),
		Entry("probes its servers", hostOmissions{skipsProbes: true}))
})
