package stages_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/message"
)

func TestStages(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stages")
}

func servers(prefill, decode int) stages.Service {
	service := stages.Service{Name: "s", SwitchSeconds: 2}
	for i := range prefill + decode {
		stage := message.Prefill
		if i >= prefill {
			stage = message.Decode
		}
		service.Instances = append(service.Instances, message.Instance{ID: fmt.Sprintf("i%02d", i), Zone: fmt.Sprint("z", i%3),
			Slots: 100, Stage: stage})
	}
	return service
}

// simulate calls PlanChanges every 0.3 s with the same demand and executes each change at once.
func simulate(p *stages.Planner, service stages.Service, demand stages.Demand, from, to float64) (changes int) {
	for now := from; now < to; now += 0.3 {
		for _, change := range p.PlanChanges(now, service, demand) {
			changes++
			for i := range service.Instances {
				if service.Instances[i].ID == change.Instance.ID {
					service.Instances[i].Stage = change.Stage
				}
			}
		}
	}
	return changes
}

func countPrefill(service stages.Service) (count int) {
	for _, instance := range service.Instances {
		if instance.Stage == message.Prefill {
			count++
		}
	}
	return count
}

var _ = Describe("the split of servers", func() {
	heavy := stages.Demand{PrefillTokensPerSecond: 900e3, DecodeStreams: 100}

	It("does not change without reports", func() {
		Expect(simulate(stages.New(), servers(7, 11), stages.Demand{}, 0, 60)).To(BeZero())
	})

	It("reaches the desired numbers and stays there", func() {
		service := servers(7, 11)
		p := stages.New()
		Expect(simulate(p, service, heavy, 0, 30)).To(BeNumerically(">", 0))
		Expect(countPrefill(service)).To(BeNumerically("~", stages.DesiredPrefillServers(18, 100, 0, heavy), 1))
		Expect(simulate(p, service, heavy, 30, 120)).To(BeZero())
	})

	It("keeps a stage's last servers", func() {
		service := servers(4, 4)
		simulate(stages.New(), service, stages.Demand{PrefillTokensPerSecond: 1e9, DecodeStreams: 1}, 0, 120)
		Expect(countPrefill(service)).To(Equal(6))
	})

	It("changes only a part of a stage's servers at once", func() {
		p := stages.New()
		p.PlanChanges(0, servers(7, 11), heavy)
		Expect(len(p.PlanChanges(1, servers(7, 11), heavy))).To(BeNumerically("<=", 4))
	})

	It("ignores short peaks", func() {
		p := stages.New()
		for now := 0.0; now < 60; now += 0.3 {
			demand := heavy
			if int(now/0.6)%2 == 0 {
				demand = stages.Demand{PrefillTokensPerSecond: 320e3, DecodeStreams: 600}
			}
			Expect(p.PlanChanges(now, servers(7, 11), demand)).To(BeEmpty())
		}
	})

	It("doesn't change a server with a pending change, and withdraws a rejected one", func() {
		p := stages.New()
		service := servers(7, 11)
		p.PlanChanges(0, service, heavy)
		first := p.PlanChanges(1, service, heavy)
		Expect(first).NotTo(BeEmpty())
		for now := 1.3; now < 6; now += 0.3 {
			for _, repeated := range p.PlanChanges(now, service, heavy) {
				for _, change := range first {
					Expect(repeated.Instance.ID).NotTo(Equal(change.Instance.ID))
				}
			}
		}
		p.HandleRejected(first[0])
		Expect(p.Pending(6)).NotTo(HaveKey(first[0].Instance.ID))
	})

	It("considers the KV cache if answers fill it before the slots", func() {
		demand := stages.Demand{PrefillTokensPerSecond: 600e3, DecodeStreams: 100, KVTokens: 1.2e6}
		Expect(stages.DesiredPrefillServers(18, 100, 300e3, demand)).To(BeNumerically("<", stages.DesiredPrefillServers(18, 100, 0, demand)))
	})

	It("skips draining servers", func() {
		service := servers(7, 11)
		for i := range service.Instances {
			service.Instances[i].Draining = true
		}
		Expect(simulate(stages.New(), service, heavy, 0, 30)).To(BeZero())
	})
})

// reported returns a demand that includes a report of the prefill load.
func reported(busy, streams float64) stages.Demand {
	return stages.Demand{PrefillTokensPerSecond: 1, DecodeStreams: streams, Reports: 1, PrefillLoad: stages.PrefillLoad{Reporting: 1, BusyServers: busy}}
}

var _ = Describe("the split with reports of the prefill load", func() {
	It("brings both stages equally close to saturation", func() {
		for _, c := range []struct{ busy, streams float64 }{{6, 300}, {3, 900}, {10, 100}} {
			service := servers(9, 9)
			p := stages.New()
			simulate(p, service, reported(c.busy, c.streams), 0, 60)
			Expect(countPrefill(service)).To(BeNumerically("~", stages.BalancedPrefillServers(18, c.busy, c.streams/100), 1))
			Expect(simulate(p, service, reported(c.busy, c.streams), 60, 120)).To(BeZero(), "the split does not change any more")
		}
	})

	It("does not change at low utilization", func() {
		Expect(simulate(stages.New(), servers(4, 14), reported(1, 100), 0, 60)).To(BeZero())
	})

	It("changes soon near saturation, and otherwise after a while", func() {
		first := func(demand stages.Demand) (at float64) {
			p := stages.New()
			for now := 0.0; now < 30; now += 0.3 {
				if len(p.PlanChanges(now, servers(9, 9), demand)) > 0 {
					return now
				}
			}
			return 30
		}
		Expect(first(reported(3, 900))).To(BeNumerically("<", 1.5), "decode is saturated")
		Expect(first(reported(6.9, 100))).To(BeNumerically("<", 1.5), "prefill is saturated")
		Expect(first(reported(5, 100))).To(BeNumerically(">", 5))
	})

	It("keeps a stage's last servers, whatever is reported", func() {
		for _, demand := range []stages.Demand{reported(1e6, 1), reported(0.001, 1e6)} {
			service := servers(4, 4)
			simulate(stages.New(), service, demand, 0, 120)
			Expect(countPrefill(service)).To(BeNumerically(">=", 2))
			Expect(countPrefill(service)).To(BeNumerically("<=", 6))
		}
	})

	It("moves only a part of the difference in one round", func() {
		p := stages.New()
		p.PlanChanges(0, servers(30, 60), reported(30, 1000))
		changes := p.PlanChanges(1, servers(30, 60), reported(30, 1000))
		missing := stages.BalancedPrefillServers(90, 30, 10) - 30
		Expect(len(changes)).To(BeNumerically(">", missing/2))
		Expect(len(changes)).To(BeNumerically("<", missing))
	})
})

var _ = Describe("the prefill load", func() {
	It("grows less than proportionally with the prompts at a server, and grows with backlogs", func() {
		var idle, one, two, backlog stages.PrefillLoad
		idle.Add(0, 0)
		one.Add(1, 0)
		two.Add(1, 1)
		backlog.Add(1, 9)
		Expect(idle.BusyServers).To(BeZero())
		Expect(one.BusyServers).To(BeNumerically(">", 0.5))
		Expect(two.BusyServers).To(BeNumerically(">", one.BusyServers))
		Expect(two.BusyServers).To(BeNumerically("<", 1))
		Expect(backlog.BusyServers).To(BeNumerically(">", 1), "a single server is not enough for the backlog")
	})
})

var _ = Describe("a service without demand so far", func() {
	nothing := stages.Demand{Reports: 3}

	It("is split once, with most servers in prefill", func() {
		service, p := servers(7, 11), stages.New()
		Expect(simulate(p, service, nothing, 0, 30)).To(BeNumerically(">", 0))
		Expect(countPrefill(service)).To(Equal(12))
		Expect(simulate(p, service, nothing, 30, 60)).To(BeZero())
	})

	It("is not split without reports, or after it had demand", func() {
		Expect(simulate(stages.New(), servers(7, 11), stages.Demand{}, 0, 60)).To(BeZero())
		p := stages.New()
		p.PlanChanges(0, servers(7, 11), stages.Demand{PrefillTokensPerSecond: 10, DecodeStreams: 3, Reports: 3})
		Expect(simulate(p, servers(7, 11), nothing, 0.3, 60)).To(BeZero())
	})
})

var _ = Describe("a new lease holder", func() {
	It("takes over the pending changes of the previous holder", func() {
		heavy := stages.Demand{PrefillTokensPerSecond: 900e3, DecodeStreams: 100}
		before, service := stages.New(), servers(7, 11)
		var ordered []stages.StageChange
		for now := 0.0; len(ordered) == 0; now += 0.3 {
			Expect(now).To(BeNumerically("<", 60))
			ordered = before.PlanChanges(now, service, heavy)
		}
		pending := before.Pending(0)
		after := stages.New()
		after.AdoptPending(0, pending)
		Expect(after.Pending(0)).To(Equal(pending))
		for now := 0.0; now < 8; now += 0.3 {
			for _, change := range after.PlanChanges(now, service, heavy) {
				Expect(pending).NotTo(HaveKey(change.Instance.ID))
			}
		}
	})
})
