package stages

import "math"

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
	// idleReaders is the part of the servers that read prompts where nothing was asked yet. What comes first has to be read whole, since
	// nothing is held anywhere, while answers under way are as few as prompts that were read; and who makes answers can read too.
	idleReaders = 0.65
	// idleFor is how long nothing must have been asked until that split is ordered, in seconds.
	idleFor = 1.5
)

// Demand is what all proxies together ask of a service.
type Demand struct {
	PrefillTokensPerSecond float64 // prompt tokens to be read a second
	DecodeStreams          float64 // answers under way
	KVTokens               float64 // tokens that they hold in memory
	Reports                int     // of proxies that it sums up; 0: nothing is known
	PrefillLoad            PrefillLoad
}

// PrefillLoad is what servers that read prompts tell of themselves.
type PrefillLoad struct {
	Reporting   int     // servers that have told lately; 0: nothing is known
	BusyServers float64 // how many servers' time is taken
}

// Add takes the word of one server: how many prompts it reads and how many wait there. One by one they keep it busy for as much of its
// time as leaves that many of them there on the average.
func (b *PrefillLoad) Add(running, waiting int) {
	present := float64(running + waiting)
	b.Reporting++
	b.BusyServers += present/(present+halfBusy) + backlogPart*float64(max(waiting-1, 0))
}

func (d *Demand) none() bool { return d.PrefillTokensPerSecond < 1 && d.DecodeStreams == 0 }

// DesiredPrefillServers returns the number of n servers that are to read prompts, -1 if nothing is asked: all that answers leave. Answers
// need slots and memory, which are known; how fast servers read is not, and more readers only read sooner and hold more.
func DesiredPrefillServers(n int, slots, memory float64, demand Demand) int {
	if demand.PrefillTokensPerSecond < 1 || slots <= 0 {
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

// BalancedPrefillServers returns the number of n servers that are to read prompts so that both stages are as short of room as each other.
func BalancedPrefillServers(n int, busy, used float64) int {
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
	used := d.DecodeStreams / slots
	if memory > 0 {
		used = max(used, d.KVTokens/memory)
	}
	return used
}

// wanted returns the number of servers that are to read prompts, -1 where the split is left alone, and whether that can't wait.
func (p *Planner) wanted(now float64, service *Service, demand *Demand, slots float64, readers, runners int) (int, bool) {
	n := readers + runners
	if p.idle(now, service.Name, demand) {
		return int(math.Round(idleReaders * float64(n))), true
	}
	if demand.PrefillLoad.Reporting == 0 || slots <= 0 || n == 0 {
		wanted := DesiredPrefillServers(n, slots, service.KVTokensPerServer, *demand)
		return wanted, wanted > readers
	}
	mean := p.reading[service.Name]
	if mean == nil {
		mean = &average{at: now, value: demand.PrefillLoad.BusyServers}
		p.reading[service.Name] = mean
	}
	busy, used := mean.add(now, demand.PrefillLoad.BusyServers), demand.used(slots, service.KVTokensPerServer)
	short := pressure{read: busy / readFull / float64(max(readers, 1)), run: used / runFull / float64(max(runners, 1))}
	if short.most() < pressedAt {
		return -1, false
	}
	return BalancedPrefillServers(n, busy, used), short.most() > hurriedAt
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
