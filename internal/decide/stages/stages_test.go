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
	service := stages.Service{Name: "s", SwitchS: 2}
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
		for _, order := range p.Plan(now, service, demand) {
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
	heavy := stages.Demand{ReadPerS: 900e3, Streams: 100}

	It("is left alone while nothing is known", func() {
		Expect(play(stages.New(), servers(7, 11), stages.Demand{}, 0, 60)).To(BeZero())
	})

	It("moves to what is asked, and then rests", func() {
		service := servers(7, 11)
		p := stages.New()
		Expect(play(p, service, heavy, 0, 30)).To(BeNumerically(">", 0))
		Expect(readers(service)).To(BeNumerically("~", stages.Wanted(18, 100, 0, heavy), 1))
		Expect(play(p, service, heavy, 30, 120)).To(BeZero())
	})

	It("never takes a stage's last servers", func() {
		service := servers(4, 4)
		play(stages.New(), service, stages.Demand{ReadPerS: 1e9, Streams: 1}, 0, 120)
		Expect(readers(service)).To(Equal(6))
	})

	It("moves only a part of a stage at once", func() {
		p := stages.New()
		p.Plan(0, servers(7, 11), heavy)
		Expect(len(p.Plan(1, servers(7, 11), heavy))).To(BeNumerically("<=", 4))
	})

	It("does not follow what passes within a moment", func() {
		p := stages.New()
		for now := 0.0; now < 60; now += 0.3 {
			demand := heavy
			if int(now/0.6)%2 == 0 {
				demand = stages.Demand{ReadPerS: 320e3, Streams: 600}
			}
			Expect(p.Plan(now, servers(7, 11), demand)).To(BeEmpty())
		}
	})

	It("orders no server twice while an order is under way, and takes a refused one back", func() {
		p := stages.New()
		service := servers(7, 11)
		p.Plan(0, service, heavy)
		first := p.Plan(1, service, heavy)
		Expect(first).NotTo(BeEmpty())
		for now := 1.3; now < 6; now += 0.3 {
			for _, again := range p.Plan(now, service, heavy) {
				for _, order := range first {
					Expect(again.Instance.ID).NotTo(Equal(order.Instance.ID))
				}
			}
		}
		p.Refused(first[0])
		Expect(p.Pending(6)).NotTo(HaveKey(first[0].Instance.ID))
	})

	It("counts memory where answers fill it before the slots", func() {
		demand := stages.Demand{ReadPerS: 600e3, Streams: 100, Held: 1.2e6}
		Expect(stages.Wanted(18, 100, 300e3, demand)).To(BeNumerically("<", stages.Wanted(18, 100, 0, demand)))
	})

	It("passes over servers that are leaving", func() {
		service := servers(7, 11)
		for i := range service.Instances {
			service.Instances[i].Draining = true
		}
		Expect(play(stages.New(), service, heavy, 0, 30)).To(BeZero())
	})
})

var _ = Describe("a new holder of the role", func() {
	It("does not order again what the holder before has under way, and tells it", func() {
		heavy := stages.Demand{ReadPerS: 900e3, Streams: 100}
		before, service := stages.New(), servers(7, 11)
		var ordered []stages.Order
		for now := 0.0; len(ordered) == 0; now += 0.3 {
			Expect(now).To(BeNumerically("<", 60))
			ordered = before.Plan(now, service, heavy)
		}
		under := before.Pending(0)
		after := stages.New()
		after.Adopt(0, under)
		Expect(after.Pending(0)).To(Equal(under))
		for now := 0.0; now < 8; now += 0.3 {
			for _, order := range after.Plan(now, service, heavy) {
				Expect(under).NotTo(HaveKey(order.Instance.ID))
			}
		}
	})
})
