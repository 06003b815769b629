package placement

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the subset of a proxy", func() {
	DescribeTable("covers every server evenly", func(servers, proxies int) {
		uses := map[string]int{}
		for rank := range proxies {
			p := newPool(instances(servers, ""))
			p.SetRank(rank, proxies)
			for _, e := range p.members {
				uses[e.ID]++
			}
		}
		Expect(uses).To(HaveLen(servers))
		fewest, most := 1<<30, 0
		for _, count := range uses {
			fewest, most = min(fewest, count), max(most, count)
		}
		Expect(most - fewest).To(BeNumerically("<=", 2))
	}, Entry("few servers", 3, 9), Entry("as many servers as proxies", 20, 20), Entry("many servers", 300, 20), Entry("many proxies", 40, 300))
})

var _ = Describe("the connections of all proxies", func() {
	It("leave room at each server for those of processes that have lost power, and each proxy has a subset", func() {
		const connections, servers, proxies = 75, 5, 58
		uses := map[string]int{}
		for rank := range proxies {
			p := newPool(instances(servers, ""))
			p.SetRank(rank, proxies)
			p.SetMaxConnections(connections)
			Expect(len(p.members)).To(BeNumerically(">=", minMembers))
			for _, e := range p.members {
				uses[e.ID]++
			}
		}
		Expect(uses).To(HaveLen(servers))
		for id, count := range uses {
			Expect(2*count).To(BeNumerically("<=", connections), id)
		}
	})

	It("don't limit subsets if servers accept many or the limit is unknown", func() {
		for _, connections := range []int{0, 500} {
			p := newPool(instances(8, ""))
			p.SetRank(3, 9)
			p.SetMaxConnections(connections)
			Expect(len(p.members)).To(BeNumerically(">=", minSubset))
		}
	})
})
