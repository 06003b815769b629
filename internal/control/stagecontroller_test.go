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

var _ = Describe("the plan of who orders stages", func() {
	// longAgo is further back than any change takes, in seconds.
	const longAgo = 1000.0

	// keeper returns a holder of the role with a token, in a fleet of which it knows nobody else.
	keeper := func(token uint64) *stageController {
		settings := (&testCluster{founders: 1, base: 20000}).settings(0, true)
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		node := gossip.New(settings, membership.Record{Kind: membership.Control, Address: "127.0.5.10:1"}, transport.NewClient(), logrus.NewEntry(log))
		k := newStageController(&Control{settings: settings, node: node, log: logrus.NewEntry(log)})
		k.table = &routeconfig.Table{Services: []routeconfig.Service{{Name: "s", Engine: &routeconfig.Engine{StageSwitchSeconds: 2}}}}
		k.lease.HandleAcquired(k.now(), token)
		return k
	}
	told := func(k *stageController) message.StagePlan {
		gossipState, _ := k.control.node.State()
		return gossipState.Plan
	}

	It("is taken back once an order has come to nothing", func() {
		k := keeper(3)
		k.control.node.SetPlan(message.StagePlan{Token: 3, Sequence: k.planSequence, Stages: map[string]message.Stage{"i-1": message.Prefill}})
		k.planner.AdoptPending(k.now()-longAgo, told(k).Stages)
		k.issueOrders(context.Background())
		Expect(told(k).Stages).To(BeEmpty())
		Expect(told(k).Token).To(Equal(uint64(3)))
	})

	It("takes the place of the one of a holder before, also where there is nothing to order", func() {
		k := keeper(4)
		k.control.node.SetPlan(message.StagePlan{Token: 3, Sequence: 90, Stages: map[string]message.Stage{"i-1": message.Prefill}})
		k.issueOrders(context.Background())
		Expect(told(k).Stages).To(BeEmpty())
		Expect(told(k).Token).To(Equal(uint64(4)))
	})

	It("stays while an order is under way", func() {
		k := keeper(4)
		k.planner.AdoptPending(k.now(), map[string]message.Stage{"i-1": message.Prefill})
		k.issueOrders(context.Background())
		first := told(k)
		Expect(first.Stages).To(HaveLen(1))
		k.issueOrders(context.Background())
		Expect(told(k).Sequence).To(Equal(first.Sequence), "nothing new is told")
	})

	It("goes by how busy readers tell that they are, and by what live proxies ask", func() {
		k := keeper(4)
		k.instances = []message.Instance{{ID: "r", Service: "s", Stage: message.Prefill, Slots: 8}, {ID: "silent", Service: "s", Stage: message.Prefill},
			{ID: "d", Service: "s", Stage: message.Decode}, {ID: "gone", Service: "s", Stage: message.Decode, Draining: true}, {ID: "plain", Service: "t"}}
		k.control.node.SetLoads([]message.Load{{InstanceKey: message.InstanceKey("r"), Running: 1, Waiting: 3}, {InstanceKey: message.InstanceKey("d"), Running: 5},
			{InstanceKey: message.InstanceKey("gone"), Running: 9}})
		k.control.node.SetDemands([]membership.Demand{{Service: "s", PrefillTokensPerSecond: 100, DecodeStreams: 4, KVTokens: 70}})
		demand := k.totalDemands()["s"]
		Expect(demand.PrefillLoad.Reporting).To(Equal(1), "readers alone, and those that tell")
		Expect(demand.PrefillLoad.BusyServers).To(BeNumerically(">", 0.8))
		Expect(demand.Reports).To(Equal(1))
		Expect(demand.DecodeStreams).To(Equal(4.0))
		Expect(k.serviceLoads()).To(Equal(map[string]*serviceLoad{"s": {prefill: stageLoad{servers: 2, running: 1, waiting: 3},
			decode: stageLoad{servers: 1, running: 5}}}))
	})
})
