package register_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// competingProposer makes proposals of two phases each until one of them is not pre-empted.
type competingProposer struct {
	backoff        register.Backoff
	rng            *rand.Rand
	roundStart     float64 // start of the current proposal
	finishedPhases int     // of the current proposal
	nextEventAt    float64 // end of the phase, or start of the next proposal
	isBackingOff   bool
	isDone         bool
	isPreempted    bool // the other proposer has prepared a ballot since this proposal started
}

// step executes the proposer's next event: it ends a phase or starts a proposal. A phase takes phaseSeconds.
func (p *competingProposer) step(other *competingProposer, phaseSeconds float64) {
	now := p.nextEventAt
	switch {
	case p.isBackingOff:
		*p = competingProposer{backoff: p.backoff, rng: p.rng, roundStart: now, nextEventAt: now + phaseSeconds}
		other.isPreempted = true // a higher ballot is promised
	case p.isPreempted:
		p.isBackingOff = true
		p.nextEventAt = now + p.backoff.NextDelay(now-p.roundStart, p.rng.Float64())
	case p.finishedPhases == 0:
		p.finishedPhases, p.nextEventAt = 1, now+phaseSeconds
	default:
		p.isDone = true
	}
}

// contend runs two proposers that start within one phase of each other, and returns the time until the first one succeeds.
func contend(seed uint64, phaseSeconds float64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	a := &competingProposer{rng: rng, isBackingOff: true, nextEventAt: 0}
	b := &competingProposer{rng: rng, isBackingOff: true, nextEventAt: phaseSeconds * rng.Float64()}
	for {
		first, second := a, b
		if b.nextEventAt < a.nextEventAt {
			first, second = b, a
		}
		first.step(second, phaseSeconds)
		if first.isDone {
			return first.nextEventAt
		}
	}
}

var _ = Describe("the backoff of proposers that pre-empt each other", func() {
	DescribeTable("lets one of two succeed soon, however long a proposal takes", func(phaseSeconds, limitSeconds float64) {
		const seeds = 5000
		late := 0
		for seed := range uint64(seeds) {
			if contend(seed, phaseSeconds) > limitSeconds {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", seeds/500), "at most one in 500 may take longer")
	},
		Entry("fast disks", 0.005, 0.3),
		Entry("disks that sync in 30 ms", 0.03, 0.7),
		Entry("a busy machine, within the timeout of a change", 0.15, 2.5),
		Entry("an overloaded machine", 0.2, 3.2),
	)

	It("grows with failures and stays bounded", func() {
		var b register.Backoff
		last := 0.0
		for range 20 {
			delay := b.NextDelay(0.05, 0.999)
			Expect(delay).To(BeNumerically(">=", last*0.999))
			last = delay
		}
		Expect(last).To(BeNumerically("<=", 0.8))
		Expect(b.NextDelay(3, 0.5)).To(BeNumerically("~", 1.5), "scaled by how long the proposal took")
	})
})
