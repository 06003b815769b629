package election_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/election"
	"hazelwheel/internal/decide/register"
)

func TestElection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "election")
}

const lease = 3.0

// lookUntil has a process look every 0.3 s from one time to another, as its host does, and returns what the last look tells. The holder was
// heard of last at a time.
func lookUntil(h *election.Candidate, from, to float64, grant register.Grant, heard float64, inTouch bool) (next election.Action) {
	for now := from; ; now = min(now+0.3, to) {
		if next = h.NextAction(now, grant, max(now-heard, 0), inTouch); now >= to {
			return next
		}
	}
}

var _ = Describe("a process that stands for a role", func() {
	other := register.Grant{Role: "r", Holder: "b", Token: 4}

	It("takes a role that nobody ever held", func() {
		Expect(election.NewCandidate("r", "a", lease, 0).NextAction(0, register.Grant{}, 0, true)).To(Equal(election.Acquire))
	})

	It("waits while the holder is heard of", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		for now := 0.0; now < 60; now += 0.5 {
			Expect(h.NextAction(now, other, 0.4, true)).To(Equal(election.Wait))
		}
	})

	It("takes the role only when the lease and more has passed in silence", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		Expect(lookUntil(h, 0, 20, other, 20, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 20, 20+lease, other, 20, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 20+lease, 20+lease+2, other, 20, true)).To(Equal(election.Acquire))
	})

	It("waits as long where it has just begun and knows nothing", func() {
		h := election.NewCandidate("r", "a", lease, 100)
		Expect(h.NextAction(100.1, other, 1e9, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 100.1, 100+lease+1, other, -1e9, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 100+lease+1, 100+lease+2, other, -1e9, true)).To(Equal(election.Acquire))
	})

	It("waits as long once it is in touch again, whatever it did not hear while it was cut off", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		Expect(lookUntil(h, 0, 20, other, 20, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 20, 30, other, 20, false)).To(Equal(election.Wait))
		Expect(lookUntil(h, 30, 30+lease, other, 20, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 30+lease, 30+lease+2, other, 20, true)).To(Equal(election.Acquire))
	})

	It("waits as long after it has stood still", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		Expect(lookUntil(h, 0, 20, other, 20, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 27, 27+lease, other, 20, true)).To(Equal(election.Wait))
		Expect(lookUntil(h, 27+lease, 27+lease+2, other, 20, true)).To(Equal(election.Acquire))
	})

	It("waits anew when the role has changed hands", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.NextAction(10, other, 0, true)
		Expect(h.NextAction(14, register.Grant{Role: "r", Holder: "c", Token: 5}, 1e9, true)).To(Equal(election.Wait))
	})

	It("takes its own role of an earlier life at once, with a new token", func() {
		h := election.NewCandidate("r", "b", lease, 50)
		Expect(h.NextAction(50, other, 0, true)).To(Equal(election.Acquire))
		h.HandleAcquired(50, 5)
		Expect(h.NextAction(50.5, register.Grant{Role: "r", Holder: "b", Token: 5}, 0, true)).To(Equal(election.Act))
		Expect(h.Token()).To(BeEquivalentTo(5))
	})

	It("acts for a part of the lease without confirming, and not after standing still", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 1)
		own := register.Grant{Role: "r", Holder: "a", Token: 1}
		Expect(h.NextAction(1.5, own, 0, true)).To(Equal(election.Act))
		Expect(h.CanAct(1 + lease)).To(BeFalse())
		Expect(h.NextAction(1+lease, own, 0, true)).To(Equal(election.Confirm))
		h.HandleConfirmation(1+lease, own)
		Expect(h.NextAction(1+lease, own, 0, true)).To(Equal(election.Act))
	})

	It("stops where another holds a higher token", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 1)
		Expect(h.NextAction(1.1, register.Grant{Role: "r", Holder: "b", Token: 2}, 0, true)).To(Equal(election.Wait))
		Expect(h.CanAct(1.1)).To(BeFalse())
	})

	It("gives up when a majority says that it holds nothing", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 1)
		h.HandleConfirmation(3, register.Grant{Role: "r", Holder: "b", Token: 2})
		Expect(h.Token()).To(BeZero())
	})

	It("gives up what it could not confirm, a lease after it may have acted last", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 7)
		last := 0.0
		for now := 1.0; ; now += 0.05 {
			if h.CanAct(now) {
				last = now
			}
			if token := h.ReleaseIfUnconfirmed(now); token != 0 {
				Expect(token).To(BeEquivalentTo(7))
				Expect(now - last).To(BeNumerically(">=", lease))
				Expect(now).To(BeNumerically("<", 1+2*lease))
				break
			}
		}
		Expect(h.Token()).To(BeZero())
		Expect(h.ReleaseIfUnconfirmed(100)).To(BeZero())
	})

	It("takes its grant anew once it has lapsed, whatever a reading says that began then", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 4)
		own := register.Grant{Role: "r", Holder: "a", Token: 4}
		Expect(h.NextAction(1+lease, own, 0, true)).To(Equal(election.Confirm))
		const late = 1 + lease + 0.3
		Expect(h.NextAction(late, own, 0, true)).To(Equal(election.Acquire))
		h.HandleConfirmation(late, own)
		Expect(h.CanAct(late)).To(BeFalse(), "another may be about to take it")
		h.HandleAcquired(late, 5)
		Expect(h.CanAct(late)).To(BeTrue())
	})

	It("doesn't take a grant back by a reading that was under way as it gave it up", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 4)
		h.Resign()
		h.HandleConfirmation(1.5, register.Grant{Role: "r", Holder: "a", Token: 4})
		Expect(h.Token()).To(BeZero())
	})

	It("keeps what it confirms", func() {
		h := election.NewCandidate("r", "a", lease, 0)
		h.HandleAcquired(1, 1)
		for now := 1.0; now < 30; now += 0.9 {
			Expect(h.ReleaseIfUnconfirmed(now)).To(BeZero())
			h.HandleConfirmation(now, register.Grant{Role: "r", Holder: "a", Token: 1})
		}
	})
})
