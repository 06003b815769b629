package placement

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the retry budget", func() {
	It("is not exceeded by all proxies together in any window", func() {
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 5))
			proxies := 4 + rng.IntN(30)
			budgets := make([]RetryBudget, proxies)
			for i := range budgets {
				budgets[i] = RetryBudget{WindowSeconds: 10, Ratio: 0.2, Slack: 58}
			}
			var requests, retries []float64
			for now := 0.0; now < 60; now += rng.ExpFloat64() / 200 {
				b := &budgets[rng.IntN(rng.IntN(proxies)+1)] // proxies get uneven shares of the requests
				b.RecordRequest(now)
				requests = append(requests, now)
				for range rng.IntN(4) {
					if b.TrySpend(now, proxies) {
						retries = append(retries, now)
					}
				}
				requests, retries = dropBefore(requests, now-10), dropBefore(retries, now-10)
				Expect(float64(len(retries))).To(BeNumerically("<=", 0.2*float64(len(requests))+58), "seed %d at %.2f s", seed, now)
			}
			Expect(retries).NotTo(BeEmpty())
		}
	})
})
