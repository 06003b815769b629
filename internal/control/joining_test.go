package control

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// A machine that had voted was removed, started again and voted, with a version older than what had been acknowledged before it started.
// The voter that asked whether it had caught up took the value of its own first question, which it had kept from the machine's earlier
// stay: "asks n5 target 200, newest 278", twelve seconds after it had begun to ask with 200. (Simulated control side, five voters, seed
// 7649.) What a process must hold is therefore found by a round of its own.
var _ = Describe("a control process that a voter considers for the set of voters", func() {
	// Disks were replaced one after the other, each as soon as the one before was told to vote. It was told so while the voters were changing;
	// the next disk was the second one of three outgoing voters that was lost, and for 30 s no change was accepted ("voters changed before=3",
	// then "the voters could not be changed: context deadline exceeded" again and again).
	It("is told to vote once the change of the voters is complete", func() {
		c := idleControl()
		voters := []register.Voter{c.proposer.self, {ID: "b", Address: "127.0.5.11:20000"}}
		outgoing := []register.Voter{{ID: "a", Address: c.proposer.self.Address}, voters[1]}
		c.node.MergeRegisterValue(register.Value{Epoch: 2, Voters: voters, OutgoingVoters: outgoing})
		Expect(c.status().IsVoter).To(BeFalse())
		c.node.MergeRegisterValue(register.Value{Epoch: 3, Voters: voters})
		Expect(c.status().IsVoter).To(BeTrue())
	})

	It("is not up to date before it holds what a round of its own has found chosen since it started", func() {
		c := idleControl()
		value := func(number uint64) chosenValue {
			return chosenValue{register.Value{Epoch: number}, register.Ballot{Number: number}}
		}
		isUpToDate := func(chosen chosenValue) bool {
			reply, err := c.handleLearn(context.Background(), &message.LearnRequest{To: c.proposer.self.ID, Ballot: chosen.Ballot, Value: chosen.Value,
				MinBallot: register.Ballot{Number: 3}})
			Expect(err).NotTo(HaveOccurred())
			return reply.UpToDate
		}
		Expect(isUpToDate(value(5))).To(BeFalse(), "no round of its own has ended")
		c.handleChosen(value(7))
		Expect(isUpToDate(value(5))).To(BeFalse(), "the disk holds less than the first round has found")
		c.handleChosen(value(9))
		Expect(isUpToDate(value(7))).To(BeTrue(), "later changes don't move what it must hold")
	})
})

// idleControl returns a control process with an empty disk, whose servers and tasks don't run.
func idleControl() *Control {
	cluster := &testCluster{dir: GinkgoT().TempDir(), base: 20000, founders: 3}
	settings := cluster.settings(4, false)
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	opened, err := openReplica(settings, logger.WithField("node", settings.NodeID))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(opened.store.Close)
	return newControl(settings, opened, transport.NewClient(), opened.log)
}
