package register_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// dueller is a proposer that tries rounds of two phases until one is not outvoted.
type dueller struct {
	backoff  register.Backoff
	rng      *rand.Rand
	began    float64 // of its round
	phase    int     // how many have ended
	next     float64 // end of the phase, or begin of the next round
	resting  bool
	done     bool
	outvoted bool // the other has prepared since its round began
}

// step ends a phase, or begins a round. phaseS is what a phase takes.
func (d *dueller) step(other *dueller, phaseS float64) {
	now := d.next
	switch {
	case d.resting:
		*d = dueller{backoff: d.backoff, rng: d.rng, began: now, next: now + phaseS}
		other.outvoted = true // a higher ballot is promised
	case d.outvoted:
		d.resting = true
		d.next = now + d.backoff.NextDelay(now-d.began, d.rng.Float64())
	case d.phase == 0:
		d.phase, d.next = 1, now+phaseS
	default:
		d.done = true
	}
}

// duel returns how long it takes until the first of two has its round, who begin within a phase of each other.
func duel(seed uint64, phaseS float64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	a := &dueller{rng: rng, resting: true, next: 0}
	b := &dueller{rng: rng, resting: true, next: phaseS * rng.Float64()}
	for {
		first, second := a, b
		if b.next < a.next {
			first, second = b, a
		}
		first.step(second, phaseS)
		if first.done {
			return first.next
		}
	}
}

var _ = Describe("the pauses of proposers that outvote each other", func() {
	DescribeTable("let one of two through soon, whatever a round takes", func(phaseS, withinS float64) {
		const seeds = 5000
		late := 0
		for seed := range uint64(seeds) {
			if duel(seed, phaseS) > withinS {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", seeds/500), "one in five hundred")
	},
		Entry("fast disks", 0.005, 0.3),
		Entry("disks of 30 ms", 0.03, 0.7),
		Entry("a busy machine, within the time that a change has", 0.15, 2.5),
		Entry("a machine that is overfull", 0.2, 3.2),
	)

	It("grow with the rounds and stay bounded", func() {
		var b register.Backoff
		last := 0.0
		for range 20 {
			pause := b.NextDelay(0.05, 0.999)
			Expect(pause).To(BeNumerically(">=", last*0.999))
			last = pause
		}
		Expect(last).To(BeNumerically("<=", 0.8))
		Expect(b.NextDelay(3, 0.5)).To(BeNumerically("~", 1.5), "never less than the round itself, drawn")
	})
})
