package control

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// A change that came second got 503 after 2.5 s instead of 412, in a test of two operators that once failed so. A round that finds a value
// which one voter alone has accepted completes it before it answers; it sent the bytes of its own change along with that value, each voter
// turned them down ("the bytes of a configuration don't match its digest"), and the next round did the same until the time was over.
var _ = Describe("a change that doesn't apply to a value which another round has left unfinished", func() {
	It("sends the voters that value alone, for which they ask the bytes", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		proposer := s.machines[0].control.proposer
		chosen := proposer.replica.state()
		second := testConfig(2, 2)
		unfinished, ok := register.SetConfig(2, 1, register.DigestOf(testConfig(2, 1)))(chosen.Value.Clone())
		Expect(ok).To(BeTrue())

		ballot := register.Ballot{Number: 1 << 40, Proposer: proposer.proposerID} // no other round interferes
		proposal, _ := register.NewProposal(ballot, chosen.Value, register.SetConfig(2, 1, register.DigestOf(second)))
		voters := chosen.Value.Voters
		left := register.PrepareReply{OK: true, Accepted: register.Ballot{Number: 1 << 39}, Value: unfinished}
		proposal.HandlePrepareReply(voters[0], left)
		step := proposal.HandlePrepareReply(voters[1], register.PrepareReply{OK: true, Accepted: chosen.Accepted, Value: chosen.Value})
		Expect(step.SendAccept).To(ConsistOf(voters))
		Expect(proposal.Value.ConfigDigest).To(Equal(unfinished.ConfigDigest))

		replies := make(chan voterReply, len(voters))
		proposer.sendStep(context.Background(), proposal, step, second, replies)
		for range voters {
			var reply voterReply
			Eventually(replies, waitTimeout).Should(Receive(&reply))
			Expect(reply.err).NotTo(HaveOccurred())
			Expect(reply.acceptReply.NeedsConfig).To(BeTrue())
		}
	})
})
