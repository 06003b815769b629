package control

import (
	"bytes"
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// preemptFirstAccept has a rival promised a higher ballot at machine to, right before the first accept request arrives there. The request is
// rejected, after the sender's own replica may have accepted the value.
func (s *testCluster) preemptFirstAccept(to int) {
	replica := s.machines[to].control.replica
	var once sync.Once
	s.network.setOnWrite(func(toIP string, data []byte) {
		if toIP != s.ip(to) || !bytes.Contains(data, []byte("POST "+acceptPath)) {
			return
		}
		once.Do(func() {
			rival := register.Ballot{Number: replica.state().Promised.Number + 1, Proposer: "rival"}
			reply, err := replica.handlePrepare(context.Background(), &register.PrepareRequest{To: replica.state().ID, Ballot: rival})
			if err != nil || !reply.OK {
				panic("the rival's ballot must be promised")
			}
		})
	})
}

var _ = Describe("the lease of a role", func() {
	// Guards against a process that holds a role without knowing it, and acquires it again with a token too many: its round was pre-empted after one
	// voter had accepted, a later round completed the value, and it took the rejection of its change for a refusal.
	It("is held once a later round has completed the acquisition", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		s.network.setPartitioned(s.ip(2), true) // so that each majority contains the voter that accepts
		control := s.machines[0].control
		Eventually(func() bool { return control.isReachable(s.machines[2].control.proposer.self) }, waitTimeout).Should(BeFalse())
		s.preemptFirstAccept(1)
		lease := newRoleLease(control, "role", 0, false)
		lease.acquire(context.Background(), register.Grant{Role: "role", Holder: control.settings.NodeID}, 0)
		value, err := control.proposer.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(value.GrantFor("role")).To(Equal(register.Grant{Role: "role", Holder: control.settings.NodeID, Token: 1}))
		Expect(lease.token()).To(BeEquivalentTo(1), "the lease knows of the grant")
	})
})
