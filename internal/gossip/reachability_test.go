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
	It("reach each of many in turns", func() {
		settings := &nodeconfig.Settings{NodeID: "self", Zone: "z"}
		log := logrus.New()
		n := New(settings, membership.Record{Kind: membership.Control, Address: "10.0.0.1:1"}, transport.NewClient(), log.WithField("node", "self"))
		const others = 10
		for i := range others {
			n.view.MergeRecords(0, []membership.Record{{Name: fmt.Sprint("c", i), Kind: membership.Control, Address: fmt.Sprintf("10.0.1.%d:1", i), Incarnation: 1}})
		}
		called := map[string]int{}
		for range 3 {
			partners := n.mesh()
			Expect(partners).To(HaveLen(meshMost))
			for _, partner := range partners {
				called[partner]++
			}
		}
		Expect(called).To(HaveLen(others))
		Expect(called).NotTo(HaveKey("10.0.0.1:1"))
	})
})

var _ = Describe("contact", func() {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }

	// run ticks every 0.4 s over a time.
	run := func(c *contact, from, to time.Duration) {
		for at := from; at <= to; at += 400 * time.Millisecond {
			c.tick(after(at))
		}
	}

	It("is lost by silence and made by an answer", func() {
		c := newContact(start)
		run(c, 0, 8*time.Second)
		Expect(c.silence("a", after(8*time.Second))).To(Equal(8 * time.Second))
		c.answer("a", after(8*time.Second))
		Expect(c.silence("a", after(9*time.Second))).To(Equal(time.Second))
		Expect(c.silence("b", after(9*time.Second))).To(Equal(9 * time.Second))
	})

	It("does not hold against others that this process stood still", func() {
		c := newContact(start)
		c.answer("a", start)
		run(c, 0, 2*time.Second)
		c.tick(after(20 * time.Second))
		Expect(c.silence("a", after(20*time.Second))).To(BeZero())
		Expect(c.silence("a", after(21*time.Second))).To(Equal(time.Second))
	})

	It("is forgotten after a while", func() {
		c := newContact(start)
		c.answer("a", start)
		run(c, 0, contactKept+time.Second)
		Expect(c.answered).To(BeEmpty())
	})
})
