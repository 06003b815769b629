// Package stages decides how many model servers of a service read prompts and how many make answers, and which of them change
// their stage. It is pure; time comes as seconds.
package stages

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// runBusy is the part of their slots and memory that servers are to have in use which make answers.
	runBusy = 0.42
	// leastEach is the number of servers that each stage keeps, where there are twice as many.
	leastEach = 2
	// smallMove is the part of the servers below which a difference is left alone.
	smallMove = 0.06
	// growFor and shrinkFor are how long more or fewer servers must have been wanted for reading, in seconds.
	growFor   = 0.8
	shrinkFor = 6.0
	// mostAtOnce is the part of a stage's servers that change together.
	mostAtOnce = 0.34
	// settleMargin is added to the time that a change takes, for answers under way to end and the list to show it, in seconds.
	settleMargin = 10
	// restFor is the time between two rounds of orders to a service, in seconds: answers take seconds, so that fewer servers for them
	// show late.
	restFor = 2.5
)

// Demand is what all proxies together ask of a service.
type Demand struct {
	ReadPerS float64 // prompt tokens to be read a second
	Streams  float64 // answers under way
	Held     float64 // tokens that they hold in memory
}

// Service is a service with its servers as they are listed.
type Service struct {
	Name      string
	SwitchS   float64 // what a change takes, in seconds
	Memory    float64 // tokens that one server holds, 0: not known
	Instances []message.Instance
}

// Order is a change of one server's stage.
type Order struct {
	Instance message.Instance
	Stage    message.Stage
}

type pending struct {
	stage message.Stage
	until float64
}

// Planner keeps what was ordered and for how long something else was wanted.
type Planner struct {
	pending   map[string]pending // by instance
	wantSince map[string]want    // by service
	ordered   map[string]float64 // when a service was given orders last
}

type want struct {
	more  bool
	since float64
}

// New returns a planner that has ordered nothing.
func New() *Planner {
	return &Planner{pending: map[string]pending{}, wantSince: map[string]want{}, ordered: map[string]float64{}}
}

// Adopt takes over what the holder of the role before has ordered, so that it is not ordered again while it is being done.
func (p *Planner) Adopt(now float64, ordered map[string]message.Stage) {
	for id, stage := range ordered {
		if _, known := p.pending[id]; !known {
			p.pending[id] = pending{stage, now + settleMargin}
		}
	}
}

// Wanted returns the number of n servers that are to read prompts, -1 if nothing is asked: all that answers leave. Answers
// need slots and memory, which are known; how fast servers read is not, and more readers only read sooner and hold more.
func Wanted(n int, slots, memory float64, demand Demand) int {
	if demand.ReadPerS < 1 || slots <= 0 {
		return -1
	}
	run := demand.Streams / (slots * runBusy)
	if memory > 0 {
		run = max(run, demand.Held/(memory*runBusy))
	}
	least := min(leastEach, n/2)
	return min(max(n-int(math.Ceil(run)), least), n-least)
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

// Plan returns the orders to give now.
func (p *Planner) Plan(now float64, service Service, demand Demand) []Order {
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
	wanted := Wanted(n, slots, service.Memory, demand)
	missing := wanted - len(readers)
	if wanted < 0 || math.Abs(float64(missing)) < max(1, smallMove*float64(n)) {
		delete(p.wantSince, service.Name)
		return nil
	}
	last, before := p.ordered[service.Name]
	if !p.persists(now, service.Name, missing > 0) || before && now-last < restFor {
		return nil
	}
	p.ordered[service.Name] = now
	if missing > 0 {
		return p.order(now, service, runners, readers, missing, message.Prefill)
	}
	// A rush may come back: half of the way is enough, and the rest follows if it doesn't.
	return p.order(now, service, readers, runners, (1-missing)/2, message.Decode)
}

// persists tells whether the same has been wanted for long enough.
func (p *Planner) persists(now float64, service string, more bool) bool {
	wanted, ok := p.wantSince[service]
	if !ok || wanted.more != more {
		p.wantSince[service] = want{more, now}
		return false
	}
	if more {
		return now-wanted.since >= growFor
	}
	return now-wanted.since >= shrinkFor
}

// order chooses servers to change, from the zones in which the other stage has the fewest.
func (p *Planner) order(now float64, service Service, from, to []message.Instance, count int, stage message.Stage) (orders []Order) {
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
		p.pending[best.ID] = pending{stage, now + service.SwitchS + settleMargin}
		orders = append(orders, Order{best, stage})
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

// Refused takes back an order that a server did not take.
func (p *Planner) Refused(order Order) { delete(p.pending, order.Instance.ID) }

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
