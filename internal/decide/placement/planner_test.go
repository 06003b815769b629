package placement

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

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

	It("avoids the home server when it has a long queue", func() {
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

	It("avoids the home server when a prefill there is overdue", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		plan, _ := l.PlanPrompt(0, prompt, nil, true)
		l.StartPrefill(0, plan.PrefillServer, prompt)
		Expect(plan.PrefillServer.engine.expectedWait(2)).To(BeNumerically(">", 1))
		next, _ := l.PlanPrompt(2, prompt, nil, true)
		Expect(next.PrefillServer).NotTo(Equal(plan.PrefillServer))
	})

	It("avoids the home server when the prompt would miss the latency target there", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		l.speeds.prefill = prefillModel{latencySeconds: 0.05, secondsPerToken: 1e-5}
		inTime := &Prompt{Tokens: 12000, Chunks: prompt.Chunks, LatencyTargetSeconds: 0.5}
		home, _ := l.PlanPrompt(0, inTime, nil, true)
		r := l.StartPrefill(0, home.PrefillServer, inTime)
		l.FinishPrefill(0.7, home.PrefillServer, r, true) // 0.5 s longer than without a wait, which costs less than processing the prefix again
		next, _ := l.PlanPrompt(0.7, inTime, nil, true)
		Expect(next.PrefillServer).To(Equal(home.PrefillServer))
		r = l.StartPrefill(0.7, home.PrefillServer, inTime)
		l.FinishPrefill(3.1, home.PrefillServer, r, true)
		next, _ = l.PlanPrompt(3.1, inTime, nil, true)
		Expect(next.PrefillServer).NotTo(Equal(home.PrefillServer))
	})

	It("does not assume that other proxies have cached the prefix at a decode server", func() {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		l.speeds.prefill = prefillModel{latencySeconds: 0.05, secondsPerToken: 1e-5}
		l.speeds.decode = prefillModel{latencySeconds: 0.05, secondsPerToken: 2e-5}
		plan, _ := l.PlanPrompt(0, prompt, nil, true)
		r := l.StartPrefill(0, plan.PrefillServer, prompt)
		l.FinishPrefill(0.8, plan.PrefillServer, r, true) // an observed wait of 0.3 s at the home server
		for range 20 {
			plan, _ = l.PlanPrompt(0.8, prompt, nil, true)
			Expect(plan.PrefillServer).NotTo(BeNil())
		}
	})

	DescribeTable("is colocated only where the gaps in other answers stay short", func(tokens, running int, gapTarget float64, isColocated bool) {
		p := newPool(list)
		p.Engine = engine
		l := NewPlanner(p, 8)
		l.speeds.prefill = prefillModel{latencySeconds: 0.05, secondsPerToken: 1e-5}
		l.speeds.decode = prefillModel{latencySeconds: 0.01, secondsPerToken: 2e-5}
		for _, e := range p.members {
			e.engine.running = running
			if e.Stage == message.Prefill {
				e.engine.waitSeconds, e.engine.waitObservedAt = 0.6, 0 // a queue at all prefill servers
			}
		}
		plan, ok := l.PlanPrompt(0, &Prompt{Tokens: tokens, Chunks: []Chunk{{"x", tokens}}, LatencyTargetSeconds: 0.5, GapTargetSeconds: gapTarget}, nil, true)
		Expect(ok).To(BeTrue())
		Expect(plan.PrefillServer == nil).To(Equal(isColocated))
	}, Entry("a short prompt", 1000, 4, 0.2, true), Entry("a long prompt without other answers", 9000, 0, 0.2, true),
		Entry("a long prompt with a few other answers", 9000, 3, 0.2, false), Entry("a long prompt without a gap target", 9000, 3, 0.0, true))

	It("uses the latest load of a server, whatever the order of arrival", func() {
		p := newPool(list)
		p.Engine = engine
		e := p.endpoints["i-decode001"]
		e.RecordLoad(10, 3, 1)
		p.MergeLoads(10.5, []message.Load{{InstanceKey: e.loadKey, Running: 9, Waiting: 2, AgeMs: 100}})
		p.MergeLoads(10.6, []message.Load{{InstanceKey: e.loadKey, Running: 1, Waiting: 0, AgeMs: 900}})
		Expect(e.engine.running).To(Equal(9))
		Expect(p.TakeNewLoads(10.6)).To(HaveLen(1), "a reported load is forwarded once")
		Expect(p.TakeNewLoads(10.7)).To(BeEmpty())
	})

	It("is colocated without prefill servers", func() {
		p := newPool(instances(3, message.Decode))
		plan, ok := NewPlanner(p, 8).PlanPrompt(0, prompt, nil, true)
		Expect(ok).To(BeTrue())
		Expect(plan.PrefillServer).To(BeNil())
		Expect(plan.DecodeServer).NotTo(BeNil())
	})

	It("returns to zero load when all prefills and answers have ended", func() {
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

	It("learns latency and speed of prefill although half of the prefills are delayed", func() {
		l := newStageSpeeds()
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

	It("starts with the assumed speeds", func() {
		l := newStageSpeeds()
		Expect(l.prefill.secondsPerToken).To(BeNumerically("~", 1/initialTokensPerSecond, 1e-9))
		Expect(l.decode.secondsPerToken).To(BeNumerically(">", l.prefill.secondsPerToken))
	})

	DescribeTable("is made from the chunks that a client sends", func(field string, want int) {
		Expect(ParseChunks(field)).To(HaveLen(want))
	}, Entry("three chunks", "5c1e07a2:800,91bd3f06:410, e4402b7d:250", 3), Entry("no chunks", "", 0), Entry("no valid sizes", "aa,bb:0,cc:-4,dd:x", 0))
})
