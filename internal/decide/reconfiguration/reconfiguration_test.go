package reconfiguration_test

import (
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/reconfiguration"
	"hazelwheel/internal/decide/register"
)

func TestUpkeep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upkeep")
}

// seeds is how many histories are played; UPKEEP_SEEDS asks for more.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("UPKEEP_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 30
}

var _ = Describe("the control side under lasting cuts, freezes, lost disks, replacements and losses of power", func() {
	DescribeTable("keeps what it has acknowledged, takes newcomers in in time, and is whole in the end", func(machines, spares int, gapS float64) {
		acked, changes := 0, 0
		count := seeds()
		if gapS == steadyChanges {
			count /= 2 // each has many times the changes
		}
		for seed := range count {
			w := play(seed, machines, spares, gapS, mistakes{})
			Expect(w.broken).To(BeEmpty(), "seed %d", seed)
			acked, changes = acked+len(w.acked), changes+w.changes
		}
		GinkgoWriter.Printf("%d acknowledged, %d changes of the voters\n", acked, changes)
		Expect(acked).To(BeNumerically(">", int(count)*40))
		Expect(changes).To(BeNumerically(">", int(count)*3))
	}, Entry("with three voters", 3, 2, someChanges), Entry("with five", 5, 2, someChanges), Entry("with seven", 7, 2, someChanges),
		Entry("with three under steady change", 3, 2, steadyChanges), Entry("with five under steady change", 5, 2, steadyChanges))

	DescribeTable("shows a host that makes a mistake", func(machines int, gapS float64, m mistakes) {
		for seed := range uint64(500) {
			if w := play(seed, machines, 2, gapS, m); w.broken != "" {
				GinkgoWriter.Printf("seed %d: %s\n", seed, w.broken)
				return
			}
		}
		Fail("no rule was broken in 500 histories")
	},
		Entry("that lets newcomers vote before they hold the newest value", 3, someChanges, mistakes{learnersVote: true}),
		Entry("that answers before its disk has synced", 3, someChanges, mistakes{answerFirst: true}),
		Entry("that leaves the upkeep to one that reaches no majority", 5, someChanges, mistakes{noTurns: true}),
		Entry("that asks newcomers for the newest value each time", 3, steadyChanges, mistakes{newestOnly: true}),
		Entry("whose leases go by the wall clock", 3, someChanges, mistakes{wallLease: true}),
		Entry("that takes a role whoever has taken it meanwhile", 5, someChanges, mistakes{grabsRole: true}),
		Entry("that takes a role as soon as it is in touch again", 3, someChanges, mistakes{takesCutOff: true}),
		Entry("whose servers refuse the token that they have seen", 3, someChanges, mistakes{refusesEqual: true}),
	)
})

var _ = Describe("turns", func() {
	It("begin with the first and go on to the next where the need stays", func() {
		var first, second reconfiguration.StaggeredTimer
		Expect(first.IsDue(10, true, 0)).To(BeTrue())
		Expect(second.IsDue(10, true, 1)).To(BeFalse())
		Expect(second.IsDue(10.5, true, 1)).To(BeFalse())
		Expect(second.IsDue(10.8, true, 1)).To(BeTrue())
	})

	It("begin anew once there was no need", func() {
		var turns reconfiguration.StaggeredTimer
		turns.IsDue(10, true, 1)
		turns.IsDue(10.6, false, 1)
		Expect(turns.IsDue(10.8, true, 1)).To(BeFalse())
	})

	It("pass over voters that can't be reached", func() {
		voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
		value := &register.Value{Voters: []register.Voter{voter("a"), voter("b"), voter("c")}}
		rank, votes := reconfiguration.Rank("b", value, func(v register.Voter) bool { return v.ID != "a" })
		Expect(rank).To(BeZero())
		Expect(votes).To(BeTrue())
		_, votes = reconfiguration.Rank("x", value, func(register.Voter) bool { return true })
		Expect(votes).To(BeFalse())
	})
})

var _ = Describe("who is there", func() {
	voter := func(id, address string) register.Voter { return register.Voter{ID: id, Address: address} }
	value := &register.Value{Epoch: 1, Voters: []register.Voter{voter("a", "A"), voter("b", "B"), voter("c", "C")}}
	alive := func(id, address string) register.Candidate {
		return register.Candidate{Voter: voter(id, address), Alive: true}
	}
	everyone := func(register.Voter) bool { return true }
	nobody := func(register.Voter) bool { return false }

	It("takes in voters that there was no time to hear of, so that none of them leaves for a newcomer", func() {
		newcomer := alive("d", "D")
		newcomer.CaughtUp = true
		heard := []register.Candidate{alive("a", "A"), newcomer}
		next, _ := register.NextVoters(value.Voters, heard, 3)
		Expect(next).NotTo(ContainElement(voter("c", "C")), "what would happen without")
		next, _ = register.NextVoters(value.Voters, reconfiguration.AddReachableVoters(value, heard, everyone), 3)
		Expect(next).To(ContainElements(value.Voters))
	})

	It("leaves voters out that had their time", func() {
		Expect(reconfiguration.AddReachableVoters(value, []register.Candidate{alive("a", "A")}, nobody)).To(HaveLen(1))
	})

	It("doesn't take a machine that lost its disk for the voter that it was", func() {
		candidates := reconfiguration.AddReachableVoters(value, []register.Candidate{alive("a#1", "A"), alive("b", "B"), alive("c", "C")}, everyone)
		Expect(candidates).To(HaveLen(3))
		rank, votes := reconfiguration.Rank("b", value, reconfiguration.IsLiveVoter(candidates))
		Expect(rank).To(BeZero(), "the first that can act")
		Expect(votes).To(BeTrue())
	})
})

var _ = Describe("what a newcomer must hold", func() {
	candidate := register.Voter{ID: "d", Address: "d"}
	at := func(round uint64) register.Ballot { return register.Ballot{Number: round} }

	It("stays what was chosen when it was asked first, until it is not asked any longer", func() {
		var learners reconfiguration.LearnerTargets
		Expect(learners.Target(candidate, at(5))).To(Equal(at(5)))
		Expect(learners.Target(candidate, at(9))).To(Equal(at(5)))
		learners.Retain(func(register.Voter) bool { return true })
		Expect(learners.Target(candidate, at(12))).To(Equal(at(5)))
		learners.Retain(func(register.Voter) bool { return false })
		Expect(learners.Target(candidate, at(15))).To(Equal(at(15)), "one that was away begins anew")
	})
})
