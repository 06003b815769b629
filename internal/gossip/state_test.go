package gossip

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
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

	It("by another table of the same version, unless that has a later form", func() {
		earlier, complete := &message.PackedTable{Version: 7, Data: []byte("a")}, &message.PackedTable{Version: 7, Form: routeconfig.FormTenants, Data: []byte("b")}
		n.mergeTable(earlier)
		n.mergeTable(complete)
		Expect(state().Table).To(BeIdenticalTo(complete))
		n.mergeTable(earlier)
		Expect(state().Table).To(BeIdenticalTo(complete))
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

var _ = Describe("a table of a later form", func() {
	It("is fetched by processes that know the form, and isn't sent repeatedly to others", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := New(&nodeconfig.Settings{NodeID: "self", Zone: "z"}, membership.Record{Kind: membership.Agent, Address: "127.0.0.1:1"}, transport.NewClient(),
			log.WithField("node", "self"))
		n.mergeTable(&message.PackedTable{Version: 7, Form: routeconfig.FormTenants, Data: []byte("b")})
		sentTo := func(request message.Gossip) bool {
			request.FormatVersion, request.NeedsTable = message.FormatVersion, true
			reply, err := n.handleGossip(context.Background(), &request)
			Expect(err).NotTo(HaveOccurred())
			return reply.Table != nil
		}
		Expect(sentTo(message.Gossip{ConfigVersion: 6})).To(BeTrue(), "an older version, at a process of an earlier version")
		Expect(sentTo(message.Gossip{ConfigVersion: 7})).To(BeFalse(), "the same version, at a process that knows no forms")
		Expect(sentTo(message.Gossip{ConfigVersion: 7, LatestForm: routeconfig.FormTenants})).To(BeTrue(), "the same version in an earlier form")
		Expect(sentTo(message.Gossip{ConfigVersion: 7, ConfigForm: routeconfig.FormTenants, LatestForm: routeconfig.FormTenants})).To(BeFalse(), "the same table")
	})

	It("is requested if only an earlier form is known", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := New(&nodeconfig.Settings{NodeID: "self", Zone: "z"}, membership.Record{Kind: membership.Agent, Address: "127.0.0.1:1"}, transport.NewClient(),
			log.WithField("node", "self"))
		n.mergeTable(&message.PackedTable{Version: 7, Data: []byte("a")})
		reply, err := n.handleGossip(context.Background(), &message.Gossip{FormatVersion: message.FormatVersion, ConfigVersion: 7,
			ConfigForm: routeconfig.FormTenants, LatestForm: routeconfig.FormTenants})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.NeedsTable).To(BeTrue())
	})
})
