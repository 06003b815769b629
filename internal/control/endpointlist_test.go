package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the platform's endpoint list", func() {
	It("is read by one process, and if that fails by another one before two thirds of the draining time are over", func() {
		const drain = 3 * time.Second // the shortest draining time of all deployments
		Expect(maxListAge(0)).To(Equal(listReadInterval))
		for rank := 1; rank < 40; rank++ {
			Expect(maxListAge(rank)).To(BeNumerically(">", maxListAge(0)+400*time.Millisecond), "a gossip exchange fits in between")
			Expect(maxListAge(rank)).To(BeNumerically(">=", maxListAge(rank-1)))
			Expect(maxListAge(rank)).To(BeNumerically("<", drain*2/3))
		}
	})
})
