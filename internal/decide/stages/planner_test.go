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

func servers(readers, runners int) stages.Service {
	service := stages.Service{Name: "s", SwitchSeconds: 2}
	for i := range readers + runners {
		stage := message.Prefill
		if i >= readers {
			stage = message.Decode
		}
		service.Instances = append(service.Instances, message.Instance{ID: fmt.Sprintf("i%02d", i), Zone: fmt.Sprint("z", i%3),
			Slots: 100, Stage: stage})
	}
	return service
}

// play asks every 0.3 s with the same demand and carries each order out at once.
func play(p *stages.Planner, service stages.Service, demand stages.Demand, from, to float64) (orders int) {
	for now := from; now < to; now += 0.3 {
		for _, order := range p.PlanChanges(now, service, demand) {
			orders++
			for i := range service.Instances {
				if service.Instances[i].ID == order.Instance.ID {
					service.Instances[i].Stage = order.Stage
				}
			}
		}
	}
	return orders
}

func readers(service stages.Service) (count int) {
	for _, instance := range service.Instances {
		if instance.Stage == message.Prefill {
			count++
		}
	}
	return count
}

var _ = Describe("the split of servers", func() {
	heavy := stages.Demand{PrefillTokensPerSecond: 900e3, DecodeStreams: 100}

	It("is left alone while nothing is known", func() {
		Expect(play(stages.New(), servers(7, 11), stages.Demand{}, 0, 60)).To(BeZero())
	})

	It("moves to what is asked, and then rests", func() {
		service := servers(7, 11)
		p := stages.New()
		Expect(play(p, service, heavy, 0, 30)).To(BeNumerically(">", 0))
		Expect(readers(service)).To(BeNumerically("~", stages.DesiredPrefillServers(18, 100, 0, heavy), 1))
		Expect(play(p, service, heavy, 30, 120)).To(BeZero())
	})

	It("never takes a stage's last servers", func() {
		service := servers(4, 4)
		play(stages.New(), service, stages.Demand{PrefillTokensPerSecond: 1e9, DecodeStreams: 1}, 0, 120)
		Expect(readers(service)).To(Equal(6))
	})

	It("moves only a part of a stage at once", func() {
		p := stages.New()
		p.PlanChanges(0, servers(7, 11), heavy)
		Expect(len(p.PlanChanges(1, servers(7, 11), heavy))).To(BeNumerically("<=", 4))
	})

	It("does not follow what passes within a moment", func() {
		p := stages.New()
		for now := 0.0; now < 60; now += 0.3 {
			demand := heavy
			if int(now/0.6)%2 == 0 {
				demand = stages.Demand{PrefillTokensPerSecond: 320e3, DecodeStreams: 600}
			}
			Expect(p.PlanChanges(now, servers(7, 11), demand)).To(BeEmpty())
		}
	})

	It("orders no server twice while an order is under way, and takes a refused one back", func() {
		p := stages.New()
		service := servers(7, 11)
		p.PlanChanges(0, service, heavy)
		first := p.PlanChanges(1, service, heavy)
		Expect(first).NotTo(BeEmpty())
		for now := 1.3; now < 6; now += 0.3 {
			for _, again := range p.PlanChanges(now, service, heavy) {
				for _, order := range first {
					Expect(again.Instance.ID).NotTo(Equal(order.Instance.ID))
				}
			}
		}
		p.HandleRejected(first[0])
		Expect(p.Pending(6)).NotTo(HaveKey(first[0].Instance.ID))
	})

	It("counts memory where answers fill it before the slots", func() {
		demand := stages.Demand{PrefillTokensPerSecond: 600e3, DecodeStreams: 100, KVTokens: 1.2e6}
		Expect(stages.DesiredPrefillServers(18, 100, 300e3, demand)).To(BeNumerically("<", stages.DesiredPrefillServers(18, 100, 0, demand)))
	})

	It("passes over servers that are leaving", func() {
		service := servers(7, 11)
		for i := range service.Instances {
			service.Instances[i].Draining = true
		}
		Expect(play(stages.New(), service, heavy, 0, 30)).To(BeZero())
	})
})

// told returns a demand of which readers tell that so many servers' time is taken.
func told(busy, streams float64) stages.Demand {
	return stages.Demand{PrefillTokensPerSecond: 1, DecodeStreams: streams, Reports: 1, PrefillLoad: stages.PrefillLoad{Reporting: 1, BusyServers: busy}}
}

var _ = Describe("the split where readers tell how busy they are", func() {
	It("leaves both stages as short of room as each other", func() {
		for _, c := range []struct{ busy, streams float64 }{{6, 300}, {3, 900}, {10, 100}} {
			service := servers(9, 9)
			p := stages.New()
			play(p, service, told(c.busy, c.streams), 0, 60)
			Expect(readers(service)).To(BeNumerically("~", stages.BalancedPrefillServers(18, c.busy, c.streams/100), 1))
			Expect(play(p, service, told(c.busy, c.streams), 60, 120)).To(BeZero(), "then it rests")
		}
	})

	It("is left alone while neither is near that", func() {
		Expect(play(stages.New(), servers(4, 14), told(1, 100), 0, 60)).To(BeZero())
	})

	It("changes at once where a stage is short, and after a while where none is", func() {
		first := func(demand stages.Demand) (at float64) {
			p := stages.New()
			for now := 0.0; now < 30; now += 0.3 {
				if len(p.PlanChanges(now, servers(9, 9), demand)) > 0 {
					return now
				}
			}
			return 30
		}
		Expect(first(told(3, 900))).To(BeNumerically("<", 1.5), "answers need more than there is")
		Expect(first(told(6.9, 100))).To(BeNumerically("<", 1.5), "readers do")
		Expect(first(told(5, 100))).To(BeNumerically(">", 5))
	})

	It("never takes a stage's last servers, whatever is told", func() {
		for _, demand := range []stages.Demand{told(1e6, 1), told(0.001, 1e6)} {
			service := servers(4, 4)
			play(stages.New(), service, demand, 0, 120)
			Expect(readers(service)).To(BeNumerically(">=", 2))
			Expect(readers(service)).To(BeNumerically("<=", 6))
		}
	})

	It("goes a part of the way at once", func() {
		p := stages.New()
		p.PlanChanges(0, servers(30, 60), told(30, 1000))
		orders := p.PlanChanges(1, servers(30, 60), told(30, 1000))
		missing := stages.BalancedPrefillServers(90, 30, 10) - 30
		Expect(len(orders)).To(BeNumerically(">", missing/2))
		Expect(len(orders)).To(BeNumerically("<", missing))
	})
})

var _ = Describe("how busy readers are", func() {
	It("grows with the prompts there, by less and less for each server, and with lines", func() {
		var idle, one, two, line stages.PrefillLoad
		idle.Add(0, 0)
		one.Add(1, 0)
		two.Add(1, 1)
		line.Add(1, 9)
		Expect(idle.BusyServers).To(BeZero())
		Expect(one.BusyServers).To(BeNumerically(">", 0.5))
		Expect(two.BusyServers).To(BeNumerically(">", one.BusyServers))
		Expect(two.BusyServers).To(BeNumerically("<", 1))
		Expect(line.BusyServers).To(BeNumerically(">", 1), "one server is not enough for them")
	})
})

var _ = Describe("a service of which nothing was asked yet", func() {
	nothing := stages.Demand{Reports: 3}

	It("is split for prompts that all have to be read, once", func() {
		service, p := servers(7, 11), stages.New()
		Expect(play(p, service, nothing, 0, 30)).To(BeNumerically(">", 0))
		Expect(readers(service)).To(Equal(12))
		Expect(play(p, service, nothing, 30, 60)).To(BeZero())
	})

	It("is left alone where no proxy is heard, and once something was asked", func() {
		Expect(play(stages.New(), servers(7, 11), stages.Demand{}, 0, 60)).To(BeZero())
		p := stages.New()
		p.PlanChanges(0, servers(7, 11), stages.Demand{PrefillTokensPerSecond: 10, DecodeStreams: 3, Reports: 3})
		Expect(play(p, servers(7, 11), nothing, 0.3, 60)).To(BeZero())
	})
})

var _ = Describe("a new holder of the role", func() {
	It("does not order again what the holder before has under way, and tells it", func() {
		heavy := stages.Demand{PrefillTokensPerSecond: 900e3, DecodeStreams: 100}
		before, service := stages.New(), servers(7, 11)
		var ordered []stages.StageChange
		for now := 0.0; len(ordered) == 0; now += 0.3 {
			Expect(now).To(BeNumerically("<", 60))
			ordered = before.PlanChanges(now, service, heavy)
		}
		under := before.Pending(0)
		after := stages.New()
		after.AdoptPending(0, under)
		Expect(after.Pending(0)).To(Equal(under))
		for now := 0.0; now < 8; now += 0.3 {
			for _, order := range after.PlanChanges(now, service, heavy) {
				Expect(under).NotTo(HaveKey(order.Instance.ID))
			}
		}
	})
})
