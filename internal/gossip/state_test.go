package gossip

import (
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

var _ = Describe("what a process has learned never goes back", func() {
	var n *Node
	BeforeEach(func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n = New(&nodeconfig.Settings{NodeID: "self", Zone: "z"}, membership.Record{Kind: membership.Agent, Address: "127.0.0.1:1"}, transport.NewClient(),
			log.WithField("node", "self"))
	})
	facts := func() State {
		known, _ := n.State()
		return known
	}

	It("to an older configuration, or to another one of the same version", func() {
		newest := &message.PackedTable{Version: 7, Data: []byte("a")}
		n.takeTable(newest)
		for _, told := range []*message.PackedTable{{Version: 6, Data: []byte("b")}, {Version: 7, Data: []byte("c")}} {
			n.takeTable(told)
			Expect(facts().Table).To(BeIdenticalTo(newest))
		}
		n.takeTable(&message.PackedTable{Version: 8})
		Expect(facts().Table.Version).To(BeEquivalentTo(8))
	})

	It("to an older reading of the list", func() {
		read := time.Now()
		n.takeList(EndpointList{Digest: 1, Data: []byte("a"), ReadAt: read})
		n.takeList(EndpointList{Digest: 2, Data: []byte("b"), ReadAt: read.Add(-time.Millisecond)})
		Expect(facts().Endpoints.Digest).To(BeEquivalentTo(1))
		n.takeList(EndpointList{Digest: 3, Data: []byte("c"), ReadAt: read.Add(time.Millisecond)})
		Expect(facts().Endpoints.Digest).To(BeEquivalentTo(3))
	})

	It("to a grant with a token that is not above the known one", func() {
		merge := func(holder string, token uint64) string {
			n.MergeRegisterValue(register.Value{Grants: []register.Grant{{Role: "r", Holder: holder, Token: token}}})
			return (&register.Value{Grants: facts().Grants}).GrantFor("r").Holder
		}
		Expect(merge("a", 4)).To(Equal("a"))
		Expect(merge("b", 4)).To(Equal("a"))
		Expect(merge("c", 3)).To(Equal("a"))
		Expect(merge("d", 5)).To(Equal("d"))
	})

	It("to a plan of a holder before, or to an earlier one of the same holder", func() {
		plan := func(token, sequence uint64) message.StagePlan {
			n.absorb(&message.Gossip{FormatVersion: message.FormatVersion, Plan: message.StagePlan{Token: token, Sequence: sequence}})
			return facts().Plan
		}
		Expect(plan(2, 5).Sequence).To(BeEquivalentTo(5))
		Expect(plan(1, 9).Token).To(BeEquivalentTo(2))
		Expect(plan(2, 4).Sequence).To(BeEquivalentTo(5))
		Expect(plan(3, 1).Token).To(BeEquivalentTo(3))
	})

	It("to voters of an earlier epoch", func() {
		tell := func(epoch uint64) uint64 {
			n.absorb(&message.Gossip{FormatVersion: message.FormatVersion, Voters: register.Value{Epoch: epoch}})
			return facts().Voters.Epoch
		}
		Expect(tell(4)).To(BeEquivalentTo(4))
		Expect(tell(3)).To(BeEquivalentTo(4))
		Expect(tell(5)).To(BeEquivalentTo(5))
	})
})
