package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func instances(count int, stage message.Stage) (list []message.Instance) {
	for i := range count {
		list = append(list, message.Instance{ID: fmt.Sprintf("i-%s%03d", stage, i), Service: "s", Address: fmt.Sprint("a", i),
			Zone: fmt.Sprint("z", i%3), Slots: 10, Stage: stage})
	}
	return list
}

func newPool(list []message.Instance) *Pool {
	p := NewPool("s", "z0", RetryBudget{WindowSeconds: 10, Ratio: 0.2, Slack: 50}, rand.New(rand.NewPCG(1, 1)))
	p.UpdateInstances(0, list)
	return p
}

// answerProbes answers all due probes except those of silent endpoints, in steps of 0.1 s.
func answerProbes(p *Pool, from, to float64, silent ...string) {
	for now := from; now < to; now += 0.1 {
		for _, e := range p.DueProbes(now) {
			answered := true
			for _, id := range silent {
				answered = answered && e.ID != id
			}
			e.RecordProbe(now, answered)
		}
	}
}

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
	}, Entry("few servers", 3, 9), Entry("as many", 20, 20), Entry("many servers", 300, 20), Entry("many proxies", 40, 300))
})

var _ = Describe("the connections of all proxies", func() {
	It("to a server leave room for those of processes that have lost power, and each proxy has a subset", func() {
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

	It("bound no subset where a service takes many or the limit is unknown", func() {
		for _, connections := range []int{0, 500} {
			p := newPool(instances(8, ""))
			p.SetRank(3, 9)
			p.SetMaxConnections(connections)
			Expect(len(p.members)).To(BeNumerically(">=", minSubset))
		}
	})
})

var _ = Describe("suspicion", func() {
	It("keeps servers that reply and excludes silent ones", func() {
		p := newPool(instances(4, ""))
		answerProbes(p, 0, 60)
		Expect(p.endpoints["i-000"].probeGaps.phi(60.5)).To(BeNumerically("<", suspectPhi))
		answerProbes(p, 60, 90, "i-000")
		Expect(p.endpoints["i-000"].probeGaps.phi(90)).To(BeNumerically(">", excludePhi))
		for range 200 {
			Expect(p.Pick(90, nil).ID).NotTo(Equal("i-000"))
		}
	})

	It("halves the traffic of servers between the thresholds", func() {
		p := newPool(instances(2, ""))
		answerProbes(p, 0, 60)
		late := p.endpoints["i-000"]
		now := 60.0
		for late.probeGaps.phi(now) <= suspectPhi {
			now += 0.05
		}
		p.endpoints["i-001"].probeGaps.lastArrival = now
		Expect(late.probeGaps.phi(now)).To(BeNumerically("<=", excludePhi))
		drawn := 0
		for range 4000 {
			for _, e := range p.candidates(now, "", nil) {
				if e == late {
					drawn++
				}
			}
		}
		Expect(drawn).To(BeNumerically("~", 2000, 200))
	})

	It("picks the least suspected server where all are silent", func() {
		p := newPool(instances(3, ""))
		answerProbes(p, 0, 60)
		for _, e := range p.endpoints {
			e.probeGaps.seed(60, ProbeIntervalSeconds)
		}
		p.endpoints["i-001"].probeGaps.lastArrival += 1
		for range 50 {
			Expect(p.Pick(500, nil).ID).To(Equal("i-001"))
		}
	})

	It("adds gaps for replies only", func() {
		p := newPool(instances(1, ""))
		answerProbes(p, 0, 30)
		gaps := len(p.endpoints["i-000"].probeGaps.gaps)
		answerProbes(p, 30, 300, "i-000")
		Expect(p.endpoints["i-000"].probeGaps.gaps).To(HaveLen(gaps))
	})

	It("seeds a new server with the mean gap of the others", func() {
		p := newPool(instances(3, ""))
		answerProbes(p, 0, 60)
		p.UpdateInstances(60, instances(4, ""))
		Expect(p.endpoints["i-003"].probeGaps.mean()).To(BeNumerically("~", p.endpoints["i-000"].probeGaps.mean(), 0.5))
		Expect(p.endpoints["i-003"].probeGaps.phi(60)).To(BeNumerically("<", suspectPhi))
	})

	It("probes each member at least every five seconds", func() {
		p := newPool(instances(10, ""))
		last := map[string]float64{}
		for now := 0.0; now < 100; now += 0.1 {
			for _, e := range p.DueProbes(now) {
				last[e.ID] = now
				e.RecordProbe(now, true)
			}
			for id := range p.endpoints {
				Expect(now-last[id]).To(BeNumerically("<=", 5), id)
			}
		}
	})
})

var _ = Describe("the choice of a server", func() {
	It("picks the one of two with fewer requests in progress", func() {
		p := newPool(instances(2, ""))
		p.endpoints["i-000"].InFlight = 3
		for range 50 {
			Expect(p.Pick(0, nil).ID).To(Equal("i-001"))
		}
	})

	It("skips servers that drain, are removed, change their stage or are another instance", func() {
		p := newPool(instances(5, ""))
		list := instances(5, "")
		list[0].Draining = true
		p.UpdateInstances(1, list[:4])
		p.UpdateInstances(2, instances(5, "")) // an older reading
		p.ApplyStagePlan(0, message.StagePlan{Stages: map[string]message.Stage{"i-001": message.Prefill}})
		p.endpoints["i-002"].RecordIdentity("i-other")
		for range 100 {
			Expect(p.Pick(2, nil).ID).To(Equal("i-003"))
		}
	})

	It("replaces servers in the subset that change their stage", func() {
		p := newPool(instances(60, ""))
		p.SetRank(0, 60)
		stages := map[string]message.Stage{}
		for _, e := range p.members {
			stages[e.ID] = message.Prefill
		}
		p.ApplyStagePlan(0, message.StagePlan{Stages: stages})
		Expect(p.Pick(0, nil)).NotTo(BeNil())
		Expect(stages).NotTo(HaveKey(p.Pick(0, nil).ID))
	})

	It("ejects a server after consecutive failures until it succeeds or the time is over", func() {
		p := newPool(instances(2, ""))
		bad := p.endpoints["i-000"]
		bad.RecordFailure(1, false)
		Expect(p.isUsable(bad, 1)).To(BeTrue(), "one failure is not enough")
		bad.RecordFailure(1, false)
		Expect(p.isUsable(bad, 1.1)).To(BeFalse())
		Expect(p.isUsable(bad, 1+maxEjectionSeconds)).To(BeTrue())
		bad.RecordFailure(2, true)
		bad.RecordSuccess()
		Expect(p.isUsable(bad, 2)).To(BeTrue())
	})

	It("keeps the limit of connections", func() {
		p := newPool(instances(1, ""))
		p.SetRank(0, 10)
		p.SetMaxConnections(50)
		only := p.endpoints["i-000"]
		only.InFlight = 3
		Expect(p.Pick(0, nil)).NotTo(BeNil())
		only.InFlight = 4 // a tenth of the fraction of 50 that is used
		Expect(p.candidates(0, "", nil)).To(BeEmpty())
	})
})

var _ = Describe("a proxy whose subset is full", func() {
	It("uses servers outside the subset, each within its connections", func() {
		p := newPool(instances(20, ""))
		p.SetRank(3, 50)
		p.SetMaxConnections(200)
		subsetSize := len(p.members)
		Expect(subsetSize).To(BeNumerically("<", 20))
		started := map[string]int{}
		for {
			e := p.Pick(0, nil)
			if e == nil {
				break
			}
			e.StartRequest()
			if started[e.ID]++; len(started) > subsetSize {
				for _, member := range p.members {
					Expect(member.InFlight).To(Equal(p.maxConnections), "members first")
				}
			}
		}
		Expect(started).To(HaveLen(20))
		for id, count := range started {
			Expect(count).To(Equal(p.maxConnections), id)
		}
	})

	It("skips servers outside that drain, change their stage, are ejected or have failed the request", func() {
		p := newPool(instances(8, message.Decode))
		p.SetRank(0, 100)
		p.SetMaxConnections(100)
		l := NewPlanner(p, 60)
		for _, member := range p.members {
			member.InFlight = p.maxConnections
		}
		outside := p.outsideSubset(0, message.Decode, nil)
		Expect(len(outside)).To(Equal(8 - len(p.members)))
		outside[0].Draining = true
		outside[1].RecordFailure(0, true)
		Expect(p.outsideSubset(0, message.Decode, nil)).To(Equal(outside[2:]))
		Expect(l.decodeCandidates(0, outside[3:])).To(Equal(outside[2:3]))
		Expect(p.outsideSubset(0, message.Prefill, nil)).To(BeEmpty())
	})
})

var _ = Describe("the retry budget", func() {
	It("is kept by all proxies together in every window", func() {
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 5))
			proxies := 4 + rng.IntN(30)
			budgets := make([]RetryBudget, proxies)
			for i := range budgets {
				budgets[i] = RetryBudget{WindowSeconds: 10, Ratio: 0.2, Slack: 58}
			}
			var requests, retries []float64
			for now := 0.0; now < 60; now += rng.ExpFloat64() / 200 {
				b := &budgets[rng.IntN(rng.IntN(proxies)+1)] // uneven shares
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

var _ = Describe("the plan of a prompt", func() {
	prompt := &Prompt{Tokens: 12000, MaxOutputTokens: 100, Chunks: []Chunk{{"aa", 500}, {"bb", 4900}, {"cc", 6600}}}
	list := append(instances(4, message.Prefill), instances(4, message.Decode)...)
	engine := Engine{IsPresent: true, KVTokenBytes: 35000, KVTokens: 900e3, LinkMbps: 1e6}

	It("uses the same prefill server for a shared prefix at every proxy", func() {
		var first *Endpoint
		for rank := range 6 {
			p := newPool(list)
			p.Engine = engine
			p.SetRank(rank, 6)
			plan, ok := NewPlanner(p, 8).PlanPrompt(0, prompt, nil, true)
			Expect(ok).To(BeTrue())
			Expect(plan.PrefillServer).NotTo(BeNil())
			if first == nil {
				first = plan.PrefillServer
			}
			Expect(plan.PrefillServer.ID).To(Equal(first.ID))
		}
	})

	It("leaves the home when it has a long queue", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		plan, _ := l.PlanPrompt(0, prompt, nil, true)
		for range 20 {
			l.StartPrefill(0, plan.PrefillServer, prompt)
		}
		next, _ := l.PlanPrompt(0.01, prompt, nil, true)
		Expect(next.PrefillServer).NotTo(Equal(plan.PrefillServer))
	})

	It("leaves the home when a prefill there is overdue", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		plan, _ := l.PlanPrompt(0, prompt, nil, true)
		l.StartPrefill(0, plan.PrefillServer, prompt)
		Expect(plan.PrefillServer.engine.expectedWait(2)).To(BeNumerically(">", 1))
		next, _ := l.PlanPrompt(2, prompt, nil, true)
		Expect(next.PrefillServer).NotTo(Equal(plan.PrefillServer))
	})

	It("leaves the home when it would miss the latency target there", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		l.paces.prefill = prefillPace{latencySeconds: 0.05, secondsPerToken: 1e-5}
		inTime := &Prompt{Tokens: 12000, Chunks: prompt.Chunks, LatencyTargetSeconds: 0.5}
		home, _ := l.PlanPrompt(0, inTime, nil, true)
		r := l.StartPrefill(0, home.PrefillServer, inTime)
		l.FinishPrefill(0.7, home.PrefillServer, r, true) // 0.5 s longer than alone: less than the cost of reading the prefix again
		next, _ := l.PlanPrompt(0.7, inTime, nil, true)
		Expect(next.PrefillServer).To(Equal(home.PrefillServer))
		r = l.StartPrefill(0.7, home.PrefillServer, inTime)
		l.FinishPrefill(3.1, home.PrefillServer, r, true)
		next, _ = l.PlanPrompt(3.1, inTime, nil, true)
		Expect(next.PrefillServer).NotTo(Equal(home.PrefillServer))
	})

	It("is not colocated for what other proxies may have cached at a decode server", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		l.paces.prefill = prefillPace{latencySeconds: 0.05, secondsPerToken: 1e-5}
		l.paces.decode = prefillPace{latencySeconds: 0.05, secondsPerToken: 2e-5}
		plan, _ := l.PlanPrompt(0, prompt, nil, true)
		r := l.StartPrefill(0, plan.PrefillServer, prompt)
		l.FinishPrefill(0.8, plan.PrefillServer, r, true) // an observed wait of 0.3 s at the home
		for range 20 {
			plan, _ = l.PlanPrompt(0.8, prompt, nil, true)
			Expect(plan.PrefillServer).NotTo(BeNil())
		}
	})

	DescribeTable("is colocated only where the gaps in other answers stay short", func(tokens, running int, gapTarget float64, isColocated bool) {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		l.paces.prefill = prefillPace{latencySeconds: 0.05, secondsPerToken: 1e-5}
		l.paces.decode = prefillPace{latencySeconds: 0.01, secondsPerToken: 2e-5}
		for _, e := range p.members {
			e.engine.running = running
			if e.Stage == message.Prefill {
				e.engine.waitSeconds, e.engine.waitObservedAt = 0.6, 0 // all prefill servers have a queue
			}
		}
		plan, ok := l.PlanPrompt(0, &Prompt{Tokens: tokens, Chunks: []Chunk{{"x", tokens}}, LatencyTargetSeconds: 0.5, GapTargetSeconds: gapTarget}, nil, true)
		Expect(ok).To(BeTrue())
		Expect(plan.PrefillServer == nil).To(Equal(isColocated))
	}, Entry("a short prompt", 1000, 4, 0.2, true), Entry("a long prompt without other answers", 9000, 0, 0.2, true),
		Entry("a long prompt with a few other answers", 9000, 3, 0.2, false), Entry("a long prompt without a gap target", 9000, 3, 0.0, true))

	It("uses the youngest load of a server, in any order", func() {
		p := newPool(list)
		p.Engine = engine
		e := p.endpoints["i-decode001"]
		e.RecordLoad(10, 3, 1)
		p.MergeLoads(10.5, []message.Load{{InstanceKey: e.loadKey, Running: 9, Waiting: 2, AgeMs: 100}})
		p.MergeLoads(10.6, []message.Load{{InstanceKey: e.loadKey, Running: 1, Waiting: 0, AgeMs: 900}})
		Expect(e.engine.running).To(Equal(9))
		Expect(p.TakeNewLoads(10.6)).To(HaveLen(1), "a reported load is sent on once")
		Expect(p.TakeNewLoads(10.7)).To(BeEmpty())
	})

	It("is colocated without prefill servers", func() {
		p := newPool(instances(3, message.Decode))
		plan, ok := NewPlanner(p, 8).PlanPrompt(0, prompt, nil, true)
		Expect(ok).To(BeTrue())
		Expect(plan.PrefillServer).To(BeNil())
		Expect(plan.DecodeServer).NotTo(BeNil())
	})

	It("returns to zero load once all has ended", func() {
		p := newPool(list)
		l := NewPlanner(p, 8)
		e := p.endpoints["i-prefill000"]
		for i := range 30 {
			r := l.StartPrefill(float64(i), e, prompt)
			e.StartDecode(prompt)
			l.FinishPrefill(float64(i)+0.2, e, r, i%2 == 0)
			e.FinishDecode(prompt)
		}
		Expect(e.engine.prefillTokens).To(BeNumerically("~", 0, 1e-6))
		Expect(e.engine.prefills).To(BeEmpty())
		Expect(e.engine.kvTokens).To(BeZero())
	})

	It("learns latency and speed from the fast ones among delayed prefills", func() {
		l := newStagePaces()
		rng := rand.New(rand.NewPCG(9, 9))
		for range 3000 {
			tokens := 500 + rng.Float64()*12000
			seconds := 0.047 + tokens/112_000
			if rng.IntN(2) == 0 {
				seconds += rng.ExpFloat64() * 0.2
			}
			l.prefill.observe(tokens, seconds)
		}
		for _, tokens := range []float64{1000, 4000, 12000} {
			alone := 0.047 + tokens/112_000
			Expect(l.prefill.latencySeconds+tokens*l.prefill.secondsPerToken).To(BeNumerically("~", alone, 0.06), "%v tokens", tokens)
		}
	})

	It("starts with finite speeds", func() {
		l := newStagePaces()
		Expect(l.prefill.secondsPerToken).To(BeNumerically("~", 1/initialTokensPerSecond, 1e-9))
		Expect(l.decode.secondsPerToken).To(BeNumerically(">", l.prefill.secondsPerToken))
	})

	DescribeTable("is made from the chunks that a client sends", func(field string, want int) {
		Expect(ParseChunks(field)).To(HaveLen(want))
	}, Entry("three chunks", "5c1e07a2:800,91bd3f06:410, e4402b7d:250", 3), Entry("none", "", 0), Entry("no size", "aa,bb:0,cc:-4,dd:x", 0))
})

var _ = Describe("the status of a pool", func() {
	It("counts each member once, by why it can't be picked", func() {
		p := newPool(instances(6, ""))
		p.SetRank(0, 1)
		answerProbes(p, 0, 60)
		p.SetMaxConnections(100)
		p.endpoints["i-000"].RecordIdentity("i-other")
		p.endpoints["i-001"].RecordFailure(60, true)
		for range p.maxConnections {
			p.endpoints["i-002"].StartRequest()
		}
		Expect(p.Status(60.1)).To(Equal(Status{Listed: 6, Members: 6, Available: 3, WrongInstance: 1, Ejected: 1, Full: 1}))
		Expect(p.Status(90)).To(Equal(Status{Listed: 6, Members: 6, WrongInstance: 1, Full: 1, Suspected: 4}))
	})
})
