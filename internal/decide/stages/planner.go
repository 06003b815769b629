package stages

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// smallMove is the part of the servers below which a difference is left alone.
	smallMove = 0.06
	// hurryFor and changeFor are how long more or fewer servers must have been wanted for reading, in seconds, where a stage is short of
	// room and where none is.
	hurryFor  = 0.8
	changeFor = 6.0
	// hurriedStep and unhurriedStep are the parts of the way to the wanted split that are gone at once.
	hurriedStep   = 0.7
	unhurriedStep = 0.5
	// mostAtOnce is the part of a stage's servers that change together.
	mostAtOnce = 0.34
	// settleMargin is added to the time that a change takes, for answers under way to end and the list to show it, in seconds.
	settleMargin = 10
	// restFor is the time between two rounds of orders to a service, in seconds: answers take seconds, so that fewer servers for them
	// show late.
	restFor = 2.5
)

// Service is a service with its servers as they are listed.
type Service struct {
	Name              string
	SwitchSeconds     float64 // what a change takes, in seconds
	KVTokensPerServer float64 // tokens that one server holds, 0: not known
	Instances         []message.Instance
}

// StageChange is a change of one server's stage.
type StageChange struct {
	Instance message.Instance
	Stage    message.Stage
}

type pending struct {
	stage message.Stage
	until float64
}

// Planner keeps what was ordered and for how long something else was wanted.
type Planner struct {
	pending   map[string]pending  // by instance
	wantSince map[string]want     // by service
	ordered   map[string]float64  // when a service was given orders last
	reading   map[string]*average // servers' worth of reading, by service
	idleSince map[string]float64  // when a service was first seen without demand; it is dropped for good with the first demand
	asked     map[string]bool     // of which services anything was ever asked
}

type want struct {
	more  bool
	since float64
}

// New returns a planner that has ordered nothing.
func New() *Planner {
	return &Planner{pending: map[string]pending{}, wantSince: map[string]want{}, ordered: map[string]float64{},
		reading: map[string]*average{}, idleSince: map[string]float64{}, asked: map[string]bool{}}
}

// AdoptPending takes over what the holder of the role before has ordered, so that it is not ordered again while it is being done.
func (p *Planner) AdoptPending(now float64, ordered map[string]message.Stage) {
	for id, stage := range ordered {
		if _, known := p.pending[id]; !known {
			p.pending[id] = pending{stage, now + settleMargin}
		}
	}
}

// stageOf is the stage that a server has or will have once its order is carried out.
func (p *Planner) stageOf(now float64, instance *message.Instance) message.Stage {
	ordered, ok := p.pending[instance.ID]
	if !ok {
		return instance.Stage
	}
	if now > ordered.until || ordered.stage == instance.Stage {
		delete(p.pending, instance.ID)
		return instance.Stage
	}
	return ordered.stage
}

// PlanChanges returns the orders to give now.
func (p *Planner) PlanChanges(now float64, service Service, demand Demand) []StageChange {
	var readers, runners []message.Instance
	slots := 0.0
	for _, instance := range service.Instances {
		if instance.Draining {
			continue
		}
		slots = max(slots, float64(instance.Slots))
		switch p.stageOf(now, &instance) {
		case message.Prefill:
			readers = append(readers, instance)
		case message.Decode:
			runners = append(runners, instance)
		}
	}
	n := len(readers) + len(runners)
	wanted, hurried := p.wanted(now, &service, &demand, slots, len(readers), len(runners))
	missing := wanted - len(readers)
	if wanted < 0 || math.Abs(float64(missing)) < max(1, smallMove*float64(n)) {
		delete(p.wantSince, service.Name)
		return nil
	}
	last, before := p.ordered[service.Name]
	if !p.persists(now, service.Name, missing > 0, hurried) || before && now-last < restFor {
		return nil
	}
	p.ordered[service.Name] = now
	// What is asked shows late, and a rush may pass: a part of the way is enough, and the rest follows if it doesn't.
	step := unhurriedStep
	if hurried {
		step = hurriedStep
	}
	count := int(math.Ceil(step * math.Abs(float64(missing))))
	if missing > 0 {
		return p.order(now, service, runners, readers, count, message.Prefill)
	}
	return p.order(now, service, readers, runners, count, message.Decode)
}

// persists tells whether the same has been wanted for long enough: not for long where a stage is short of room.
func (p *Planner) persists(now float64, service string, more, hurried bool) bool {
	wanted, ok := p.wantSince[service]
	if !ok || wanted.more != more {
		p.wantSince[service] = want{more, now}
		return false
	}
	if hurried {
		return now-wanted.since >= hurryFor
	}
	return now-wanted.since >= changeFor
}

// order chooses servers to change, from the zones in which the other stage has the fewest.
func (p *Planner) order(now float64, service Service, from, to []message.Instance, count int, stage message.Stage) (orders []StageChange) {
	count = min(count, max(int(mostAtOnce*float64(len(from))), 1), len(from)-min(leastEach, len(from)))
	perZone := map[string]int{}
	for _, instance := range to {
		perZone[instance.Zone]++
	}
	from = slices.Clone(from)
	for range count {
		best := slices.MinFunc(from, func(a, b message.Instance) int {
			return cmp.Or(cmp.Compare(p.busy(now, &a), p.busy(now, &b)), cmp.Compare(perZone[a.Zone], perZone[b.Zone]),
				cmp.Compare(scattered(a.ID), scattered(b.ID)))
		})
		if p.busy(now, &best) > 0 {
			return orders
		}
		from = slices.DeleteFunc(from, func(i message.Instance) bool { return i.ID == best.ID })
		perZone[best.Zone]++
		p.pending[best.ID] = pending{stage, now + service.SwitchSeconds + settleMargin}
		orders = append(orders, StageChange{best, stage})
	}
	return orders
}

// scattered orders servers so that those that change together are not neighbours in the subsets of proxies.
func scattered(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// busy is 1 for a server that is under an order.
func (p *Planner) busy(now float64, instance *message.Instance) int {
	if ordered, ok := p.pending[instance.ID]; ok && now <= ordered.until {
		return 1
	}
	return 0
}

// HandleRejected takes back an order that a server did not take.
func (p *Planner) HandleRejected(order StageChange) { delete(p.pending, order.Instance.ID) }

// Pending returns the stages of servers whose orders are under way.
func (p *Planner) Pending(now float64) map[string]message.Stage {
	out := map[string]message.Stage{}
	for id, ordered := range p.pending {
		if now <= ordered.until {
			out[id] = ordered.stage
		}
	}
	return out
}
