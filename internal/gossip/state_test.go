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

var _ = Describe("the state of a node is never replaced", func() {
	var n *Node
	BeforeEach(func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n = New(&nodeconfig.Settings{NodeID: "self", Zone: "z"}, membership.Record{Kind: membership.Agent, Address: "127.0.0.1:1"}, transport.NewClient(),
			log.WithField("node", "self"))
	})
	state := func() State {
		known, _ := n.State()
		return known
	}

	It("by an older configuration, or another one of the same version", func() {
		newest := &message.PackedTable{Version: 7, Data: []byte("a")}
		n.mergeTable(newest)
		for _, other := range []*message.PackedTable{{Version: 6, Data: []byte("b")}, {Version: 7, Data: []byte("c")}} {
			n.mergeTable(other)
			Expect(state().Table).To(BeIdenticalTo(newest))
		}
		n.mergeTable(&message.PackedTable{Version: 8})
		Expect(state().Table.Version).To(BeEquivalentTo(8))
	})

	It("by an older reading of the endpoints", func() {
		read := time.Now()
		n.mergeEndpoints(EndpointList{Digest: 1, Data: []byte("a"), ReadAt: read})
		n.mergeEndpoints(EndpointList{Digest: 2, Data: []byte("b"), ReadAt: read.Add(-time.Millisecond)})
		Expect(state().Endpoints.Digest).To(BeEquivalentTo(1))
		n.mergeEndpoints(EndpointList{Digest: 3, Data: []byte("c"), ReadAt: read.Add(time.Millisecond)})
		Expect(state().Endpoints.Digest).To(BeEquivalentTo(3))
	})

	It("by a grant with a token that is not above the known one", func() {
		merge := func(holder string, token uint64) string {
			n.MergeRegisterValue(register.Value{Grants: []register.Grant{{Role: "r", Holder: holder, Token: token}}})
			return (&register.Value{Grants: state().Grants}).GrantFor("r").Holder
		}
		Expect(merge("a", 4)).To(Equal("a"))
		Expect(merge("b", 4)).To(Equal("a"))
		Expect(merge("c", 3)).To(Equal("a"))
		Expect(merge("d", 5)).To(Equal("d"))
	})

	It("by a plan with a lower token, or with a lower sequence of the same token", func() {
		plan := func(token, sequence uint64) message.StagePlan {
			n.merge(&message.Gossip{FormatVersion: message.FormatVersion, Plan: message.StagePlan{Token: token, Sequence: sequence}})
			return state().Plan
		}
		Expect(plan(2, 5).Sequence).To(BeEquivalentTo(5))
		Expect(plan(1, 9).Token).To(BeEquivalentTo(2))
		Expect(plan(2, 4).Sequence).To(BeEquivalentTo(5))
		Expect(plan(3, 1).Token).To(BeEquivalentTo(3))
	})

	It("by voters of an earlier epoch", func() {
		merge := func(epoch uint64) uint64 {
			n.merge(&message.Gossip{FormatVersion: message.FormatVersion, Voters: register.Value{Epoch: epoch}})
			return state().Voters.Epoch
		}
		Expect(merge(4)).To(BeEquivalentTo(4))
		Expect(merge(3)).To(BeEquivalentTo(4))
		Expect(merge(5)).To(BeEquivalentTo(5))
	})
})
