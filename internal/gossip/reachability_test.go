package gossip

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

var _ = Describe("the calls between control processes", func() {
	It("reach each of many in turn", func() {
		settings := &nodeconfig.Settings{NodeID: "self", Zone: "z"}
		log := logrus.New()
		n := New(settings, membership.Record{Kind: membership.Control, Address: "10.0.0.1:1"}, transport.NewClient(), log.WithField("node", "self"))
		const others = 10
		for i := range others {
			n.view.MergeRecords(0, []membership.Record{{Name: fmt.Sprint("c", i), Kind: membership.Control, Address: fmt.Sprintf("10.0.1.%d:1", i), Incarnation: 1}})
		}
		called := map[string]int{}
		for range 3 {
			partners := n.controlPartners()
			Expect(partners).To(HaveLen(maxControlPartners))
			for _, partner := range partners {
				called[partner]++
			}
		}
		Expect(called).To(HaveLen(others))
		Expect(called).NotTo(HaveKey("10.0.0.1:1"))
	})
})

var _ = Describe("the reply times", func() {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }

	// run calls tick every 0.4 s.
	run := func(times *replyTimes, from, to time.Duration) {
		for at := from; at <= to; at += 400 * time.Millisecond {
			times.tick(after(at))
		}
	}

	It("measure the time since the last reply", func() {
		times := newReplyTimes(start)
		run(times, 0, 8*time.Second)
		Expect(times.sinceReply("a", after(8*time.Second))).To(Equal(8 * time.Second))
		times.record("a", after(8*time.Second))
		Expect(times.sinceReply("a", after(9*time.Second))).To(Equal(time.Second))
		Expect(times.sinceReply("b", after(9*time.Second))).To(Equal(9 * time.Second))
	})

	It("ignore the time for which this process was paused", func() {
		times := newReplyTimes(start)
		times.record("a", start)
		run(times, 0, 2*time.Second)
		times.tick(after(20 * time.Second))
		Expect(times.sinceReply("a", after(20*time.Second))).To(BeZero())
		Expect(times.sinceReply("a", after(21*time.Second))).To(Equal(time.Second))
	})

	It("drop old replies", func() {
		times := newReplyTimes(start)
		times.record("a", start)
		run(times, 0, replyRetention+time.Second)
		Expect(times.lastReply).To(BeEmpty())
	})
})
