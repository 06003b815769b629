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

// A voter was removed, restarted and added again while it held an older version than had been acknowledged before the restart. The voter
// that queried it still used the target ballot from before the removal: 200, when the newest was 278, twelve seconds later. (Seen in the
// simulated control plane, five voters, seed 7649.) A process therefore finds by a round of its own what it must hold before it votes.
var _ = Describe("a control process that a voter considers for the set of voters", func() {
	// Disks were replaced one after the other, each as soon as the status of the previous one said that it votes. The status said so during
	// the reconfiguration; replacing the next disk then lost the second of three outgoing voters, and for 30 s no change was accepted (the log
	// showed "voters changed before=3", then repeatedly "the voters could not be changed: context deadline exceeded").
	It("has the status of a voter once the reconfiguration is complete", func() {
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
		Expect(isUpToDate(value(7))).To(BeTrue(), "later changes don't raise what it must hold")
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
