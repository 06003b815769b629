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
	// runBusy is the part of their slots and memory that servers are to have in use which make answers, where nothing tells how busy
	// those are that read.
	runBusy = 0.42
	// readFull and runFull are the parts of their time, and of their slots and memory, at which servers that read and servers that make
	// answers are as short of room as each other: beyond them waits grow fast.
	readFull = 0.75
	runFull  = 0.6
	// pressedAt is how near to that a stage must be for a change of an even split, and hurriedAt for a change at once.
	pressedAt = 0.5
	hurriedAt = 0.9
	// halfBusy is how many prompts are at a server on the average that reads for half of its time.
	halfBusy = 0.5
	// backlogPart is what a prompt counts for, in servers, that waits behind another one: what has come to wait is to be read soon.
	backlogPart = 0.05
	// busyTau is the time over which what servers tell is averaged, in seconds.
	busyTau = 1.0
	// leastEach is the number of servers that each stage keeps, where there are twice as many.
	leastEach = 2
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
	// idleReaders is the part of the servers that read prompts where nothing was asked yet. What comes first has to be read whole, since
	// nothing is held anywhere, while answers under way are as few as prompts that were read; and who makes answers can read too.
	idleReaders = 0.65
	// idleFor is how long nothing must have been asked until that split is ordered, in seconds.
	idleFor = 1.5
)

// Demand is what all proxies together ask of a service.
type Demand struct {
	ReadPerS float64 // prompt tokens to be read a second
	Streams  float64 // answers under way
	Held     float64 // tokens that they hold in memory
	Reports  int     // of proxies that it sums up; 0: nothing is known
	Busy     Busy
}

// Busy is what servers that read prompts tell of themselves.
type Busy struct {
	Told    int     // servers that have told lately; 0: nothing is known
	Servers float64 // how many servers' time is taken
}

// Add takes the word of one server: how many prompts it reads and how many wait there. One by one they keep it busy for as much of its
// time as leaves that many of them there on the average.
func (b *Busy) Add(running, waiting int) {
	present := float64(running + waiting)
	b.Told++
	b.Servers += present/(present+halfBusy) + backlogPart*float64(max(waiting-1, 0))
}

func (d *Demand) none() bool { return d.ReadPerS < 1 && d.Streams == 0 }

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
	run := demand.used(slots, memory) / runBusy
	return bounded(n, n-int(math.Ceil(run)))
}

// bounded keeps some servers to each stage.
func bounded(n, readers int) int {
	least := min(leastEach, n/2)
	return min(max(readers, least), n-least)
}

// pressure says how short of room each stage is, 1 where waits begin to grow.
type pressure struct {
	read, run float64
}

func (p pressure) most() float64 { return max(p.read, p.run) }

// Balanced returns the number of n servers that are to read prompts so that both stages are as short of room as each other.
func Balanced(n int, busy, used float64) int {
	read, run := busy/readFull, used/runFull
	return bounded(n, int(math.Round(float64(n)*read/(read+run))))
}

// average forgets what it was told in busyTau seconds.
type average struct {
	value, at float64
}

func (a *average) add(now, value float64) float64 {
	a.value += (value - a.value) * (1 - math.Exp(-(now-a.at)/busyTau))
	a.at = now
	return a.value
}

// used is the number of servers whose slots, or memory in tokens, answers would fill.
func (d *Demand) used(slots, memory float64) float64 {
	used := d.Streams / slots
	if memory > 0 {
		used = max(used, d.Held/memory)
	}
	return used
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

// idle tells whether proxies have told for a while that nothing is asked of a service, and nothing ever was. Danger: where no proxy is
// heard, requests may well be under way.
func (p *Planner) idle(now float64, service string, demand *Demand) bool {
	if !demand.none() {
		p.asked[service] = true
	}
	if p.asked[service] || demand.Reports == 0 {
		delete(p.idleSince, service)
		return false
	}
	since, known := p.idleSince[service]
	if !known {
		p.idleSince[service] = now
		return false
	}
	return now-since >= idleFor
}

// wanted returns the number of servers that are to read prompts, -1 where the split is left alone, and whether that can't wait.
func (p *Planner) wanted(now float64, service *Service, demand *Demand, slots float64, readers, runners int) (int, bool) {
	n := readers + runners
	if p.idle(now, service.Name, demand) {
		return int(math.Round(idleReaders * float64(n))), true
	}
	if demand.Busy.Told == 0 || slots <= 0 || n == 0 {
		wanted := Wanted(n, slots, service.Memory, *demand)
		return wanted, wanted > readers
	}
	mean := p.reading[service.Name]
	if mean == nil {
		mean = &average{at: now, value: demand.Busy.Servers}
		p.reading[service.Name] = mean
	}
	busy, used := mean.add(now, demand.Busy.Servers), demand.used(slots, service.Memory)
	short := pressure{read: busy / readFull / float64(max(readers, 1)), run: used / runFull / float64(max(runners, 1))}
	if short.most() < pressedAt {
		return -1, false
	}
	return Balanced(n, busy, used), short.most() > hurriedAt
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
