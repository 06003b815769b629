package control

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

var _ = Describe("the plan of the stage controller", func() {
	// longAgo is longer than any change of a stage takes, in seconds.
	const longAgo = 1000.0

	// leaseHolder returns a controller that holds the lease with a token and knows no other process.
	leaseHolder := func(token uint64) *stageController {
		settings := (&testCluster{founders: 1, base: 20000}).settings(0, true)
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		node := gossip.New(settings, membership.Record{Kind: membership.Control, Address: "127.0.5.10:1"}, transport.NewClient(), logrus.NewEntry(log))
		s := newStageController(&Control{settings: settings, node: node, log: logrus.NewEntry(log)})
		s.table = &routeconfig.Table{Services: []routeconfig.Service{{Name: "s", Engine: &routeconfig.Engine{StageSwitchSeconds: 2}}}}
		s.lease.candidate.HandleAcquired(s.lease.now(), token)
		return s
	}
	publishedPlan := func(s *stageController) message.StagePlan {
		gossipState, _ := s.control.node.State()
		return gossipState.Plan
	}

	It("is withdrawn once an order has failed", func() {
		s := leaseHolder(3)
		s.control.node.SetPlan(message.StagePlan{Token: 3, Sequence: s.planSequence, Stages: map[string]message.Stage{"i-1": message.Prefill}})
		s.planner.AdoptPending(s.now()-longAgo, publishedPlan(s).Stages)
		s.issueOrders(context.Background())
		Expect(publishedPlan(s).Stages).To(BeEmpty())
		Expect(publishedPlan(s).Token).To(Equal(uint64(3)))
	})

	It("supersedes the plan of an earlier lease holder, even if there is nothing to order", func() {
		s := leaseHolder(4)
		s.control.node.SetPlan(message.StagePlan{Token: 3, Sequence: 90, Stages: map[string]message.Stage{"i-1": message.Prefill}})
		s.issueOrders(context.Background())
		Expect(publishedPlan(s).Stages).To(BeEmpty())
		Expect(publishedPlan(s).Token).To(Equal(uint64(4)))
	})

	It("stays while an order is in progress", func() {
		s := leaseHolder(4)
		s.planner.AdoptPending(s.now(), map[string]message.Stage{"i-1": message.Prefill})
		s.issueOrders(context.Background())
		first := publishedPlan(s)
		Expect(first.Stages).To(HaveLen(1))
		s.issueOrders(context.Background())
		Expect(publishedPlan(s).Sequence).To(Equal(first.Sequence), "no new plan is published")
	})

	It("is based on the loads that prefill servers report and the demands of live proxies", func() {
		s := leaseHolder(4)
		s.instances = []message.Instance{{ID: "r", Service: "s", Stage: message.Prefill, Slots: 8}, {ID: "silent", Service: "s", Stage: message.Prefill},
			{ID: "d", Service: "s", Stage: message.Decode}, {ID: "gone", Service: "s", Stage: message.Decode, Draining: true}, {ID: "plain", Service: "t"}}
		s.control.node.SetLoads([]message.Load{{InstanceKey: message.InstanceKey("r"), Running: 1, Waiting: 3}, {InstanceKey: message.InstanceKey("d"), Running: 5},
			{InstanceKey: message.InstanceKey("gone"), Running: 9}})
		s.control.node.SetDemands([]membership.Demand{{Service: "s", PrefillTokensPerSecond: 100, DecodeStreams: 4, KVTokens: 70}})
		demand := s.totalDemands()["s"]
		Expect(demand.PrefillLoad.Reporting).To(Equal(1), "only prefill servers that report")
		Expect(demand.PrefillLoad.BusyServers).To(BeNumerically(">", 0.8))
		Expect(demand.Reports).To(Equal(1))
		Expect(demand.DecodeStreams).To(Equal(4.0))
		Expect(s.serviceLoads()).To(Equal(map[string]*serviceLoad{"s": {prefill: stageLoad{servers: 2, running: 1, waiting: 3},
			decode: stageLoad{servers: 1, running: 5}}}))
	})
})
