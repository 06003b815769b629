package register_test

import (
	"os"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// seeds returns the number of simulated histories; REGISTER_SEEDS overrides it.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("REGISTER_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 1500
}

var _ = Describe("the register under loss, crashes, lost disks and changes of voters", func() {
	DescribeTable("keeps acknowledged changes", func(nodes int) {
		finished, acknowledged := 0, 0
		for seed := range seeds() {
			s := simulate(seed, nodes, 1000, hostFaults{})
			Expect(s.violation).To(BeEmpty(), "seed %d", seed)
			finished, acknowledged = finished+s.finishedCalls, acknowledged+len(s.acknowledged)
		}
		Expect(finished).To(BeNumerically(">", int(seeds())*5), "calls that returned a value")
		Expect(acknowledged).To(BeNumerically(">", int(seeds())*2), "acknowledged changes")
	}, Entry("with three voters", 3), Entry("with five", 5))

	DescribeTable("detects a faulty host", func(f hostFaults) {
		for seed := range uint64(200) {
			if simulate(seed, 3, 1500, f).violation != "" {
				return
			}
		}
		Fail("no violation in 200 histories")
	},
		Entry("that replies before its disk has synced", hostFaults{repliesBeforeSync: true}),
		Entry("that keeps its identity when its disk is lost", hostFaults{keepsIdentityAfterWipe: true}),
		Entry("that reuses ballots after a restart", hostFaults{reusesBallots: true}),
		Entry("that reads at a minority", hostFaults{readsAtMinority: true}),
		Entry("that forgets accepted configuration changes", hostFaults{forgetsAcceptedChanges: true}),
	)
})

var _ = Describe("an acceptor", func() {
	founder := register.State{ID: "a", Value: register.Value{Epoch: 1, Voters: []register.Voter{{ID: "a"}}}}

	It("rejects requests for another identity", func() {
		_, promise := register.NewAcceptor(founder).HandlePrepare(register.PrepareRequest{To: "b", Ballot: register.Ballot{Number: 1}})
		Expect(promise.WrongVoter).To(BeTrue())
		Expect(promise.OK).To(BeFalse())
	})

	It("rejects ballots below the promised one and returns that", func() {
		a := register.NewAcceptor(founder)
		next, _ := a.HandlePrepare(register.PrepareRequest{To: "a", Ballot: register.Ballot{Number: 5}})
		a.MarkPersisted(*next)
		_, promise := a.HandlePrepare(register.PrepareRequest{To: "a", Ballot: register.Ballot{Number: 4, Proposer: "z"}})
		Expect(promise.OK).To(BeFalse())
		Expect(promise.Promised.Number).To(BeEquivalentTo(5))
	})

	It("requests the bytes of a configuration that it lacks", func() {
		a := register.NewAcceptor(founder)
		request := register.AcceptRequest{To: "a", Ballot: register.Ballot{Number: 1}, Value: register.Value{ConfigVersion: 3}}
		next, answer := a.HandleAccept(request, false)
		Expect(next).To(BeNil())
		Expect(answer.NeedsConfig).To(BeTrue())
	})
})

var _ = Describe("a proposal", func() {
	It("ignores the voters in the reply of a voter that has accepted nothing", func() {
		voters := []register.Voter{{ID: "a", Address: "1"}, {ID: "b", Address: "2"}, {ID: "c", Address: "3"}}
		proposal, step := register.NewProposal(register.Ballot{Number: 1}, register.Value{Epoch: 2, Voters: voters}, register.NoChange)
		Expect(step.SendPrepare).To(HaveLen(3))
		step = proposal.HandlePrepareReply(voters[0], register.PrepareReply{OK: true})
		Expect(step.SendAccept).To(BeEmpty(), "one of three is not a majority")
	})

	It("changes the voters by majorities of the outgoing and the new ones", func() {
		voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
		before := register.Value{Epoch: 1, Voters: []register.Voter{voter("a"), voter("b"), voter("c")}}
		after := []register.Voter{voter("d"), voter("e"), voter("f")}
		chosen := register.PrepareReply{OK: true, Accepted: register.Ballot{Number: 1}, Value: before}
		proposal, _ := register.NewProposal(register.Ballot{Number: 2}, before, register.BeginReconfiguration(1, after))
		proposal.HandlePrepareReply(voter("a"), chosen)
		step := proposal.HandlePrepareReply(voter("b"), chosen)
		Expect(step.SendAccept).To(HaveLen(6))
		for _, id := range []string{"d", "e", "f", "a"} {
			Expect(proposal.HandleAcceptReply(voter(id), register.AcceptReply{OK: true}).Done).To(BeFalse(), "after %s", id)
		}
		Expect(proposal.HandleAcceptReply(voter("b"), register.AcceptReply{OK: true}).Done).To(BeTrue())
		Expect(proposal.Outcome).To(Equal(register.Chosen))
	})

	DescribeTable("changes the voters only on top of a value known to be chosen",
		func(accepted, knownChosen register.Ballot, want register.Outcome) {
			voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
			before := register.Value{Epoch: 1, Voters: []register.Voter{voter("a"), voter("b"), voter("c")}}
			after := []register.Voter{voter("a"), voter("b"), voter("d")}
			proposal, _ := register.NewProposal(register.Ballot{Number: 5}, before, register.BeginReconfiguration(1, after))
			proposal.SetKnownChosen(knownChosen)
			proposal.HandlePrepareReply(voter("a"), register.PrepareReply{OK: true, Accepted: register.Ballot{Number: 3}, Value: before})
			proposal.HandlePrepareReply(voter("b"), register.PrepareReply{OK: true, Accepted: accepted, Value: before})
			for _, id := range []string{"a", "b", "c"} {
				proposal.HandleAcceptReply(voter(id), register.AcceptReply{OK: true})
			}
			proposal.HandleAcceptReply(voter("d"), register.AcceptReply{OK: true})
			Expect(proposal.Outcome).To(Equal(want))
		},
		Entry("a majority has accepted it", register.Ballot{Number: 3}, register.Ballot{}, register.Chosen),
		Entry("one voter alone has accepted it", register.Ballot{Number: 2}, register.Ballot{}, register.Confirmed),
		Entry("an earlier proposal has found it chosen", register.Ballot{Number: 2}, register.Ballot{Number: 3}, register.Chosen),
		Entry("an earlier proposal has found another value chosen", register.Ballot{Number: 2}, register.Ballot{Number: 2}, register.Confirmed),
	)

	// Guards against a proposal that never ends: two of three voters had promised, and their promises contained a newer set of voters
	// of which they were a majority, too. The proposal contacted the new voter first, which rejected it because of a higher ballot. The
	// third voter was down, so no further reply came and the promises were not evaluated again. (Simulation, three voters, seed 3804.)
	It("proceeds if the promises are a majority of the voters that the last reply contains", func() {
		voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
		initial := register.Value{Epoch: 1, Voters: []register.Voter{voter("a"), voter("b"), voter("c")}}
		newest := register.Value{Epoch: 2, Voters: []register.Voter{voter("a"), voter("b"), voter("d")}}
		proposal, _ := register.NewProposal(register.Ballot{Number: 5}, initial, register.NoChange)
		proposal.HandlePrepareReply(voter("a"), register.PrepareReply{OK: true})
		step := proposal.HandlePrepareReply(voter("b"), register.PrepareReply{OK: true, Accepted: register.Ballot{Number: 3}, Value: newest})
		Expect(step.SendAccept).To(ConsistOf(newest.Voters))
	})

	It("ends if no majority of the voters that the last reply contains can promise any more", func() {
		voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
		initial := register.Value{Epoch: 1, Voters: []register.Voter{voter("a"), voter("b"), voter("c"), voter("d"), voter("e")}}
		newest := register.Value{Epoch: 2, Voters: []register.Voter{voter("a"), voter("d"), voter("e")}}
		proposal, _ := register.NewProposal(register.Ballot{Number: 5}, initial, register.NoChange)
		proposal.HandleNoReply(voter("d"), false)
		proposal.HandleNoReply(voter("e"), false)
		step := proposal.HandlePrepareReply(voter("a"), register.PrepareReply{OK: true, Accepted: register.Ballot{Number: 3}, Value: newest})
		Expect(step.Done).To(BeTrue())
		Expect(proposal.Outcome).To(Equal(register.Undecided))
	})

	// With one of three voters down, each proposal that was pre-empted waited the call timeout of 0.9 s for that voter, and a new machine
	// did not become a voter in time. (Simulation of package reconfiguration with configuration bytes, three voters, seed 26.)
	It("ends once it was pre-empted and waits only for unreachable voters", func() {
		voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
		value := register.Value{Epoch: 1, Voters: []register.Voter{voter("a"), voter("b"), voter("c")}}
		isReachable := func(v register.Voter) bool { return v != voter("c") }
		proposal, _ := register.NewProposal(register.Ballot{Number: 5}, value, register.NoChange)
		proposal.HandlePrepareReply(voter("a"), register.PrepareReply{OK: true})
		Expect(proposal.EndIfPreempted(isReachable).Done).To(BeFalse(), "no voter has promised a higher ballot")
		proposal.HandlePrepareReply(voter("b"), register.PrepareReply{OK: true})
		proposal.HandleAcceptReply(voter("b"), register.AcceptReply{Promised: register.Ballot{Number: 6}})
		Expect(proposal.EndIfPreempted(isReachable).Done).To(BeFalse(), "a reachable voter has not replied yet")
		proposal.HandleAcceptReply(voter("a"), register.AcceptReply{OK: true})
		Expect(proposal.EndIfPreempted(isReachable).Done).To(BeTrue())
		Expect(proposal.Outcome).To(Equal(register.Undecided))
	})

	It("changes a configuration on top of a value that may not be chosen", func() {
		voter := register.Voter{ID: "a", Address: "a"}
		before := register.Value{Epoch: 1, Voters: []register.Voter{voter}}
		proposal, _ := register.NewProposal(register.Ballot{Number: 2}, before, register.SetConfig(1, 0, register.DigestOf([]byte("x"))))
		Expect(proposal.HandlePrepareReply(voter, register.PrepareReply{OK: true}).SendAccept).To(ConsistOf(voter))
		Expect(proposal.HandleAcceptReply(voter, register.AcceptReply{OK: true}).Done).To(BeTrue())
		Expect(proposal.Outcome).To(Equal(register.Chosen))
	})
})

var _ = Describe("the acquisition of a role", func() {
	voter := func(id string) register.Voter { return register.Voter{ID: id, Address: id} }
	before := register.Value{Epoch: 1, Voters: []register.Voter{voter("a"), voter("b"), voter("c")}, Grants: []register.Grant{{Role: "r", Holder: "x", Token: 1}}}
	// propose plays a round in which two of three voters promise and reply that they have accepted a value. Its accept requests are not answered.
	propose := func(round uint64, accepted register.Value, change register.Change) *register.Proposal {
		proposal, _ := register.NewProposal(register.Ballot{Number: round}, before, change)
		for _, id := range []string{"a", "b"} {
			proposal.HandlePrepareReply(voter(id), register.PrepareReply{OK: true, Accepted: register.Ballot{Number: round - 1}, Value: accepted})
		}
		return proposal
	}

	// Guards against a role that is acquired twice in a row, with a token too many and a delay: the first round was pre-empted, another process
	// completed its value, and the next round ended Rejected because of its own grant.
	It("recognizes its own grant after another process has completed its round", func() {
		acquisition := register.NewRoleAcquisition("r", "y", 1)
		preempted := propose(2, before, acquisition.Apply)
		rejected := propose(4, preempted.Value, acquisition.Apply)
		Expect(rejected.Outcome).To(Equal(register.Rejected))
		Expect(acquisition.GrantedToken(&rejected.Value)).To(BeEquivalentTo(2))
	})

	It("doesn't take the grant of another process, or of an earlier run of its holder, for its own", func() {
		withGrant := func(holder string, token uint64) register.Value {
			value := before.Clone()
			value.Grants = []register.Grant{{Role: "r", Holder: holder, Token: token}}
			return value
		}
		for _, other := range []register.Value{withGrant("z", 2), withGrant("y", 3), withGrant("y", 2)} {
			acquisition := register.NewRoleAcquisition("r", "y", 1)
			rejected := propose(4, other, acquisition.Apply)
			Expect(rejected.Outcome).To(Equal(register.Rejected))
			Expect(acquisition.GrantedToken(&rejected.Value)).To(BeZero(), "%v, before any round of its own", other.Grants)
		}
		for _, other := range []register.Value{withGrant("z", 2), withGrant("y", 3), before} {
			acquisition := register.NewRoleAcquisition("r", "y", 1)
			propose(2, before, acquisition.Apply)
			Expect(acquisition.GrantedToken(&other)).To(BeZero(), "%v, after a round of its own", other.Grants)
		}
	})
})

var _ = Describe("the check of a configuration change", func() {
	value := register.Value{ConfigVersion: 7, AcceptedChanges: []register.Digest{register.DigestOf([]byte("old")), register.DigestOf([]byte("now"))}}

	DescribeTable("recognises duplicates before it compares versions", func(version, base uint64, data string, want register.ConfigVerdict) {
		Expect(value.CheckConfig(version, base, register.DigestOf([]byte(data)))).To(Equal(want))
	},
		Entry("repeated", uint64(7), uint64(5), "now", register.ConfigDuplicate),
		Entry("repeated after a later one", uint64(5), uint64(1), "old", register.ConfigDuplicate),
		Entry("based on an older version", uint64(9), uint64(5), "new", register.ConfigStaleBase),
		Entry("not above the current version", uint64(7), uint64(7), "new", register.ConfigStaleVersion),
		Entry("based on the current version", uint64(8), uint64(7), "new", register.ConfigApplicable),
	)
})

var _ = Describe("the next voters", func() {
	a, b, c := register.Voter{ID: "a", Address: "1"}, register.Voter{ID: "b", Address: "2"}, register.Voter{ID: "c", Address: "3"}
	d, wiped := register.Voter{ID: "d", Address: "4"}, register.Voter{ID: "c2", Address: "3"}
	alive := func(voters ...register.Voter) (out []register.Candidate) {
		for _, voter := range voters {
			out = append(out, register.Candidate{Voter: voter, Alive: true, CaughtUp: true})
		}
		return out
	}
	voters := []register.Voter{a, b, c}

	It("keeps an unreachable voter without a replacement", func() {
		_, changed := register.NextVoters(voters, alive(a, b), 3)
		Expect(changed).To(BeFalse())
	})

	It("replaces an identity by the new one at its address", func() {
		next, changed := register.NextVoters(voters, alive(a, b, wiped), 3)
		Expect(changed).To(BeTrue())
		Expect(next).To(ConsistOf(a, b, wiped))
	})

	It("replaces an unreachable voter by a candidate", func() {
		next, changed := register.NextVoters(voters, alive(a, b, d), 3)
		Expect(changed).To(BeTrue())
		Expect(next).To(ConsistOf(a, b, d))
	})

	It("adds further candidates", func() {
		next, changed := register.NextVoters(voters, alive(a, b, c, d), 3)
		Expect(changed).To(BeTrue())
		Expect(next).To(ConsistOf(a, b, c, d))
	})

	It("doesn't add candidates that lag", func() {
		learner := register.Candidate{Voter: d, Alive: true}
		_, changed := register.NextVoters(voters, append(alive(a, b, c), learner), 3)
		Expect(changed).To(BeFalse())
	})

	It("keeps a lost identity until its replacement has caught up", func() {
		learner := register.Candidate{Voter: wiped, Alive: true}
		_, changed := register.NextVoters(voters, append(alive(a, b), learner), 3)
		Expect(changed).To(BeFalse())
	})

	It("removes a leaving voter at once where enough are left", func() {
		leaving := register.Candidate{Voter: c, Alive: true, Leaving: true}
		next, changed := register.NextVoters([]register.Voter{a, b, c, d}, append(alive(a, b, d), leaving), 3)
		Expect(changed).To(BeTrue())
		Expect(next).To(ConsistOf(a, b, d))
	})

	It("keeps a leaving voter while too few would be left", func() {
		leaving := register.Candidate{Voter: c, Alive: true, Leaving: true}
		_, changed := register.NextVoters(voters, append(alive(a, b), leaving), 3)
		Expect(changed).To(BeFalse())
	})

	It("doesn't add a leaving candidate", func() {
		leaving := register.Candidate{Voter: d, Alive: true, CaughtUp: true, Leaving: true}
		_, changed := register.NextVoters(voters, append(alive(a, b, c), leaving), 3)
		Expect(changed).To(BeFalse())
	})

	It("keeps a leaving voter rather than an unreachable one", func() {
		leaving := register.Candidate{Voter: c, Alive: true, Leaving: true}
		next, changed := register.NextVoters([]register.Voter{d, a, b, c}, append(alive(a, b), leaving), 3)
		Expect(changed).To(BeTrue())
		Expect(next).To(ConsistOf(a, b, c))
	})
})

var _ = Describe("a learner", func() {
	old := register.State{ID: "d", Promised: register.Ballot{Number: 9}, Accepted: register.Ballot{Number: 2}, Value: register.Value{ConfigVersion: 1}}
	learn := func(number uint64, hasConfig bool) (*register.State, bool) {
		return register.NewAcceptor(old).HandleLearn(register.Ballot{Number: number}, register.Value{ConfigVersion: 4}, hasConfig)
	}

	It("adopts a chosen value and keeps its promise", func() {
		next, held := learn(5, true)
		Expect(held).To(BeTrue())
		Expect(next.Value.ConfigVersion).To(BeEquivalentTo(4))
		Expect(next.Accepted.Number).To(BeEquivalentTo(5))
		Expect(next.Promised).To(Equal(old.Promised))
	})

	It("rejects ballots below the learned one", func() {
		a := register.NewAcceptor(register.State{ID: "d"})
		next, _ := a.HandleLearn(register.Ballot{Number: 5}, register.Value{ConfigVersion: 4}, true)
		a.MarkPersisted(*next)
		_, promise := a.HandlePrepare(register.PrepareRequest{To: "d", Ballot: register.Ballot{Number: 3}})
		Expect(promise.OK).To(BeFalse())
		_, accepted := a.HandleAccept(register.AcceptRequest{To: "d", Ballot: register.Ballot{Number: 3}}, true)
		Expect(accepted.OK).To(BeFalse())
	})

	It("keeps a later value", func() {
		next, held := learn(2, true)
		Expect(held).To(BeTrue())
		Expect(next).To(BeNil())
	})

	It("adopts nothing without the bytes of the configuration", func() {
		next, held := learn(5, false)
		Expect(held).To(BeFalse())
		Expect(next).To(BeNil())
	})
})

var _ = Describe("a repeated configuration change", func() {
	It("is recognised by its bytes after a thousand later ones", func() {
		const later = 1000
		digest := func(version uint64) register.Digest {
			return register.DigestOf([]byte(strconv.FormatUint(version, 10)))
		}
		value := register.Value{}
		for version := uint64(1); version <= later+1; version++ {
			next, applies := register.SetConfig(version, version-1, digest(version))(value.Clone())
			Expect(applies).To(BeTrue())
			value = next
		}
		Expect(value.CheckConfig(1, 0, digest(1))).To(Equal(register.ConfigDuplicate))
		Expect(value.CheckConfig(1, 0, digest(later+2))).To(Equal(register.ConfigStaleBase), "other bytes under the same version")
	})
})
