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

const leaseSeconds = 3.0

// contact returns the contact of a process that reaches a quorum, or that has not reached one for a long time.
func contact(hasQuorum bool) election.QuorumContact {
	if hasQuorum {
		return election.QuorumContact{IsReachable: true}
	}
	return election.QuorumContact{ReplyAgeSeconds: 1e9}
}

// checkUntil calls NextAction every 0.3 s from one time to another, as the host does, and returns the last action. The lease holder
// was last seen at holderSeenAt.
func checkUntil(c *election.Candidate, from, to float64, grant register.Grant, holderSeenAt float64, hasQuorum bool) (next election.Action) {
	for now := from; ; now = min(now+0.3, to) {
		if next = c.NextAction(now, grant, max(now-holderSeenAt, 0), contact(hasQuorum)); now >= to {
			return next
		}
	}
}

var _ = Describe("a candidate for a role", func() {
	other := register.Grant{Role: "r", Holder: "b", Token: 4}

	It("acquires a role that was never granted", func() {
		Expect(election.NewCandidate("r", "a", leaseSeconds, 0).NextAction(0, register.Grant{}, 0, contact(true))).To(Equal(election.Acquire))
	})

	It("waits while the holder sends heartbeats", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		for now := 0.0; now < 60; now += 0.5 {
			Expect(c.NextAction(now, other, 0.4, contact(true))).To(Equal(election.Wait))
		}
	})

	It("acquires the role only after the holder was silent for longer than the lease", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		Expect(checkUntil(c, 0, 20, other, 20, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 20, 20+leaseSeconds, other, 20, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 20+leaseSeconds, 20+leaseSeconds+2, other, 20, true)).To(Equal(election.Acquire))
	})

	It("waits for longer than the lease after its start", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 100)
		Expect(c.NextAction(100.1, other, 1e9, contact(true))).To(Equal(election.Wait))
		Expect(checkUntil(c, 100.1, 100+leaseSeconds+1, other, -1e9, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 100+leaseSeconds+1, 100+leaseSeconds+2, other, -1e9, true)).To(Equal(election.Acquire))
	})

	It("waits for longer than the lease after a partition", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		Expect(checkUntil(c, 0, 20, other, 20, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 20, 30, other, 20, false)).To(Equal(election.Wait))
		Expect(checkUntil(c, 30, 30+leaseSeconds, other, 20, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 30+leaseSeconds, 30+leaseSeconds+2, other, 20, true)).To(Equal(election.Acquire))
	})

	It("waits for longer than the lease after a stall", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		Expect(checkUntil(c, 0, 20, other, 20, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 27, 27+leaseSeconds, other, 20, true)).To(Equal(election.Wait))
		Expect(checkUntil(c, 27+leaseSeconds, 27+leaseSeconds+2, other, 20, true)).To(Equal(election.Acquire))
	})

	It("restarts the wait when the holder has changed", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.NextAction(10, other, 0, contact(true))
		Expect(c.NextAction(14, register.Grant{Role: "r", Holder: "c", Token: 5}, 1e9, contact(true))).To(Equal(election.Wait))
	})

	It("acquires the grant of its earlier run at once, with a new token", func() {
		c := election.NewCandidate("r", "b", leaseSeconds, 50)
		Expect(c.NextAction(50, other, 0, contact(true))).To(Equal(election.Acquire))
		c.HandleAcquired(50, 5)
		Expect(c.NextAction(50.5, register.Grant{Role: "r", Holder: "b", Token: 5}, 0, contact(true))).To(Equal(election.Act))
		Expect(c.Token()).To(BeEquivalentTo(5))
	})

	It("acts for a fraction of the lease without confirming, and has to confirm its grant after a stall", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 1)
		own := register.Grant{Role: "r", Holder: "a", Token: 1}
		Expect(c.NextAction(1.5, own, 0, contact(true))).To(Equal(election.Act))
		Expect(c.CanAct(1 + leaseSeconds)).To(BeFalse())
		Expect(c.NextAction(1+leaseSeconds, own, 0, contact(true))).To(Equal(election.Confirm))
		c.HandleConfirmation(1+leaseSeconds, own)
		Expect(c.NextAction(1+leaseSeconds, own, 0, contact(true))).To(Equal(election.Act))
	})

	// Guards against two processes that act within one lease: a partitioned holder read its grant at a majority in a gap of 60 ms
	// between two partitions, in which it sent no heartbeat, and acted for another second. Another process, which had received its last
	// heartbeat 1.4 s before that gap, acquired the role and acted 2.54 s after the old holder's last action. (Simulation of package
	// reconfiguration with configuration bytes, three voters, seed 3320.)
	It("acts only while a quorum replies to its heartbeats", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 1)
		own := register.Grant{Role: "r", Holder: "a", Token: 1}
		Expect(c.NextAction(1, own, 0, election.QuorumContact{IsReachable: true, ReplyAgeSeconds: 0.1})).To(Equal(election.Act))
		c.HandleConfirmation(2.2, own)
		Expect(c.CanAct(2.25)).To(BeTrue())
		Expect(c.CanAct(2.4)).To(BeFalse(), "1.5 s after the last heartbeat that a quorum replied to")
		Expect(c.NextAction(2.4, own, 0, election.QuorumContact{IsReachable: true, ReplyAgeSeconds: 1.5})).To(Equal(election.Wait))
		Expect(c.NextAction(2.5, own, 0, election.QuorumContact{IsReachable: true, ReplyAgeSeconds: 0.2})).To(Equal(election.Act))
	})

	It("stops when another process holds a higher token", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 1)
		Expect(c.NextAction(1.1, register.Grant{Role: "r", Holder: "b", Token: 2}, 0, contact(true))).To(Equal(election.Wait))
		Expect(c.CanAct(1.1)).To(BeFalse())
	})

	It("gives the role up when a quorum returns another holder", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 1)
		c.HandleConfirmation(3, register.Grant{Role: "r", Holder: "b", Token: 2})
		Expect(c.Token()).To(BeZero())
	})

	It("releases an unconfirmed grant a lease after its last possible action", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 7)
		last := 0.0
		for now := 1.0; ; now += 0.05 {
			if c.CanAct(now) {
				last = now
			}
			if token := c.ReleaseIfUnconfirmed(now); token != 0 {
				Expect(token).To(BeEquivalentTo(7))
				Expect(now - last).To(BeNumerically(">=", leaseSeconds))
				Expect(now).To(BeNumerically("<", 1+2*leaseSeconds))
				break
			}
		}
		Expect(c.Token()).To(BeZero())
		Expect(c.ReleaseIfUnconfirmed(100)).To(BeZero())
	})

	It("acquires an expired grant again, even if a later read still returns it", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 4)
		own := register.Grant{Role: "r", Holder: "a", Token: 4}
		Expect(c.NextAction(1+leaseSeconds, own, 0, contact(true))).To(Equal(election.Confirm))
		const late = 1 + leaseSeconds + 0.3
		Expect(c.NextAction(late, own, 0, contact(true))).To(Equal(election.Acquire))
		c.HandleConfirmation(late, own)
		Expect(c.CanAct(late)).To(BeFalse(), "another process may be about to acquire it")
		c.HandleAcquired(late, 5)
		Expect(c.CanAct(late)).To(BeTrue())
	})

	It("ignores a confirmation of a grant that it has given up", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 4)
		c.Resign()
		c.HandleConfirmation(1.5, register.Grant{Role: "r", Holder: "a", Token: 4})
		Expect(c.Token()).To(BeZero())
	})

	It("keeps a grant that it confirms", func() {
		c := election.NewCandidate("r", "a", leaseSeconds, 0)
		c.HandleAcquired(1, 1)
		for now := 1.0; now < 30; now += 0.9 {
			Expect(c.ReleaseIfUnconfirmed(now)).To(BeZero())
			c.HandleConfirmation(now, register.Grant{Role: "r", Holder: "a", Token: 1})
		}
	})
})
