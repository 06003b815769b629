package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

// hostOmissions are duties of the calling program that a simulation omits. The recovery check must detect each of them.
type hostOmissions struct {
	skipsReapplying bool // list and plan are applied only when they change
	skipsProbes     bool // servers are not probed
}

// simulation runs a pool with its calling program and random events that exclude servers.
type simulation struct {
	rng           *rand.Rand
	pool          *Pool
	list          []message.Instance // all servers
	plan          message.StagePlan
	now           float64
	wrongInstance map[string]bool // servers at whose address another instance answers
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

// injectEvent excludes or readmits a random server in a random way.
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
	case 3: // planned changes that never happen
		h.plan = message.StagePlan{Token: h.plan.Token + uint64(h.rng.IntN(2)), Sequence: h.plan.Sequence + 1,
			Stages: map[string]message.Stage{e.ID: message.Prefill, h.randomEndpoint().ID: message.Decode}}
		h.pool.ApplyStagePlan(h.now, h.plan)
	case 4: // a version of the list without the server
		h.pool.UpdateInstances(h.now, slices.DeleteFunc(slices.Clone(h.list), func(i message.Instance) bool { return i.ID == e.ID }))
		h.pool.ApplyStagePlan(h.now, h.plan)
	case 5:
		h.pool.UpdateInstances(h.now, h.list)
		h.pool.ApplyStagePlan(h.now, h.plan)
	case 6:
		h.pool.SetRank(h.rng.IntN(3), 1+h.rng.IntN(3))
	}
}

// advance simulates the calling program for some time.
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
		if h.omissions.skipsReapplying {
			continue
		}
		h.pool.ExpireStageChanges(h.now)
		if h.pool.CanReadmit(h.now) {
			h.pool.UpdateInstances(h.now, h.list)
			h.pool.ApplyStagePlan(h.now, h.plan)
		}
	}
}

// run injects events, ends all faults and waits. It returns the pool's status if servers are still excluded, otherwise "".
func (h *simulation) run() string {
	for range 60 {
		h.injectEvent()
		h.advance(h.rng.ExpFloat64() * 1.5)
	}
	h.pool.UpdateInstances(h.now, h.list) // the last version of the list; list and plan don't change from here on
	h.pool.ApplyStagePlan(h.now, h.plan)
	clear(h.wrongInstance)
	h.pool.SetRank(0, 1)
	h.advance(readmissionSeconds + h.pool.Engine.SwitchSeconds + switchMarginSeconds + 2*ProbeIntervalSeconds)
	if s := h.pool.Status(h.now); s.Available != len(h.list) {
		return fmt.Sprintf("%+v", s)
	}
	return ""
}

var _ = Describe("each exclusion of a server", func() {
	It("ends once the faults have ended, without a new list or plan", func() {
		for seed := range uint64(500) {
			Expect(newSimulation(seed, hostOmissions{}).run()).To(BeEmpty(), "seed %d", seed)
		}
	})

	DescribeTable("needs a calling program that", func(host hostOmissions) {
		for seed := range uint64(500) {
			if newSimulation(seed, host).run() != "" {
				return
			}
		}
		Fail("no server stayed excluded in 500 simulations")
	},
		Entry("applies list and plan repeatedly", hostOmissions{skipsReapplying: true}),
		Entry("probes its servers", hostOmissions{skipsProbes: true}))
})
