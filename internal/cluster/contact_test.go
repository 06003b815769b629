package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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
