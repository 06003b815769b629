package checker

import (
	"fmt"
	"math"
	"slices"
)

// Judge checks the rules event by event. It is not safe for concurrent use.
type Checker struct {
	rules          Rules
	violations     []Violation
	violationCount int // rules broken, also beyond the findings that are kept
	recent         []Event
	seen           int

	tries    map[uint64]*record
	links    map[uint64]*linkState
	hostile  map[uint64]*hostile
	stations []station
	parties  []party
	copies   []copies
	cuts     []cut
	downAt   float64 // since when discovery is down; 0: it is up
	upAt     float64
	outages  []span // of discovery, oldest first
	lines    []span // times in which calls waited there, oldest first

	classes []ClassService
	prices  Costs
	now     float64
}

// linkState is a connection at a box with the attempt that came over it last.
type linkState struct {
	try   *record
	index int
}

// hostile is a client that may not be served.
type hostile struct {
	until   float64
	settled bool
	try     *record // whose id it uses
}

// copies are two attempts of a try of which the first had no end when the second came. Whether it had one when the
// second was sent shows when its connection's end arrives.
type copies struct {
	try           *record
	first, second int
	until         float64
}

// span is a time between two.
type span struct{ from, until float64 } // +Inf: it goes on

// cut is a way that is in trouble.
type cut struct {
	sidecar, box int32
	from, until  float64 // +Inf: it still is
}

const (
	maxViolations      = 100
	maxRecentEvents    = 1 << 14
	maxViolationEvents = 30
	// catchUpS is how long a process that stood still may take to come to what has come meanwhile.
	catchUpS = 0.25
	// copyWaitS is how long the end of a first attempt may be under way.
	copyWaitS = 1.0
	// exactS is what rounding takes of times that are known exactly.
	exactS = 1e-4
)

var _ Observer = (*Checker)(nil)

// New returns a judge that has seen nothing.
func New(rules Rules) *Checker {
	j := &Checker{rules: rules, tries: map[uint64]*record{}, links: map[uint64]*linkState{}, hostile: map[uint64]*hostile{},
		recent: make([]Event, 0, maxRecentEvents), parties: make([]party, rules.Sidecars)}
	for _, c := range rules.Classes {
		j.classes = append(j.classes, ClassService{Name: c.Name})
	}
	return j
}

// Findings returns the first breaks found, oldest first.
func (j *Checker) Violations() []Violation { return j.violations }

// Broken returns how many breaks there were, also those beyond Findings.
func (j *Checker) ViolationCount() int { return j.violationCount }

// See takes one event. Events come in the order of At.
func (j *Checker) Observe(e Event) {
	j.now = e.At
	if len(j.recent) < maxRecentEvents {
		j.recent = append(j.recent, e)
	} else {
		j.recent[j.seen%maxRecentEvents] = e
	}
	j.seen++
	for len(j.copies) > 0 && j.copies[0].until <= e.At {
		j.decideCopies()
	}
	switch {
	case e.Kind < ServerStarted:
		j.seeClient(&e)
	case e.Kind < ListChanged:
		j.seeBox(&e)
	default:
		j.seeRest(&e)
	}
}

// End tells that the day is over: what waits for more time is decided.
func (j *Checker) Finish(now float64) {
	j.now = now
	for len(j.copies) > 0 {
		j.decideCopies()
	}
	for i := range j.parties {
		for _, r := range slices.Clone(j.parties[i].open) {
			if now > r.until+j.rules.AnswerSlackSeconds+j.rules.SocketSlackSeconds {
				j.end(r, left, now)
			}
		}
		j.checkAsked(int32(i), now)
	}
}

// find notes a break of a rule, with the events that show it.
func (j *Checker) addViolation(rule Rule, sidecar, box int32, request uint64, more []Event, why string, args ...any) {
	if j.violationCount++; len(j.violations) >= maxViolations {
		return
	}
	f := Violation{Rule: rule, At: j.now, Sidecar: sidecar, Server: box, Request: request, Reason: fmt.Sprintf(why, args...)}
	f.Events = append(f.Events, more...)
	first := max(0, j.seen-len(j.recent))
	for i := first; i < j.seen; i++ {
		e := &j.recent[i%maxRecentEvents]
		if request != 0 && e.Request == request || request == 0 && box >= 0 && e.Server == box && e.At >= j.now-j.rules.OverloadWindowSeconds ||
			request == 0 && box < 0 && e.Sidecar == sidecar && i >= j.seen-4 {
			f.Events = append(f.Events, *e)
		}
	}
	if n := len(f.Events); n > maxViolationEvents {
		f.Events = f.Events[n-maxViolationEvents:]
	}
	j.violations = append(j.violations, f)
}

// party returns what is known of a sidecar; nil: there is none such.
func (j *Checker) party(sidecar int32) *party {
	if sidecar < 0 || int(sidecar) >= len(j.parties) {
		return nil
	}
	return &j.parties[sidecar]
}

// station returns what is known of a box.
func (j *Checker) station(box int32) *station {
	for int(box) >= len(j.stations) {
		j.stations = append(j.stations, station{})
	}
	return &j.stations[box]
}

// knows returns what a sidecar was told of a box.
func (p *party) knows(box int32) *knowledge {
	for int(box) >= len(p.told) {
		p.told = append(p.told, knowledge{})
	}
	return &p.told[box]
}

// class returns a request's class; nil: there is none such.
func (j *Checker) class(n int32) *Class {
	if n < 0 || int(n) >= len(j.rules.Classes) {
		return nil
	}
	return &j.rules.Classes[n]
}

// troubled tells whether a way was in trouble between two times, or shortly before: what the trouble has held back comes
// later.
func (j *Checker) troubled(sidecar, box int32, from, until float64) bool {
	const after = 11 // seconds until lost bytes are sent again
	for i := range j.cuts {
		c := &j.cuts[i]
		on := (c.sidecar == sidecar || c.sidecar < 0) && c.box == box
		if on && c.from <= until && c.until+after >= from {
			return true
		}
	}
	return false
}

// seeRest takes what discovery, the network and the processes tell.
func (j *Checker) seeRest(e *Event) {
	p := j.party(e.Sidecar)
	switch e.Kind {
	case ListChanged:
		s := j.station(e.Server)
		s.listed = append(s.listed, *e)
	case DiscoveryDown:
		j.downAt = e.At
		j.outages = append(j.outages, span{e.At, math.Inf(1)})
		for i := range j.parties { // all watches end, which their sidecars are told
			j.parties[i].silentAt = 0
		}
	case DiscoveryUp:
		j.downAt, j.upAt = 0, e.At
		endSpan(j.outages, e.At)
	case DiscoveryQueueFormed:
		j.lines = append(j.lines, span{e.At, math.Inf(1)})
	case DiscoveryQueueDrained:
		endSpan(j.lines, e.At)
	case PathFaultStarted:
		j.cuts = append(j.cuts, cut{e.Sidecar, e.Server, e.At, math.Inf(1)})
	case PathFaultEnded:
		for i := range j.cuts {
			c := &j.cuts[i]
			if c.sidecar == e.Sidecar && c.box == e.Server && math.IsInf(c.until, 1) {
				c.until = e.At
				break
			}
		}
	}
	if p == nil {
		return
	}
	switch e.Kind {
	case EntryDelivered, EntryRelayed:
		// Danger: an old list that was passed on would excuse a sidecar that goes by it.
		k := p.knows(e.Server)
		if e.Kind == EntryRelayed && (e.ListIndex < p.index || e.Status == Deleted && k.status == 0) {
			return
		}
		p.index = max(p.index, e.ListIndex)
		if e.Kind == EntryRelayed { // others take the place of a watch that fell silent; what they pass on comes later than a watch would bring it
			p.silentAt = 0
		}
		if e.Status == Serving {
			*k = knowledge{status: Serving, at: e.At, since: e.ServingSince, said: *e}
		} else if k.status == Serving || k.status == 0 { // from the first word on it counts
			*k = knowledge{status: e.Status, at: e.At, since: k.since, said: *e}
		} else {
			k.status = e.Status
		}
	case DiscoveryCalled:
		p.askedAt, p.called = e.At, true
	case DiscoveryCallFailed:
		p.askFailed = true
	case WatchOpened:
		p.watches++
		p.askFailed, p.silentAt = false, 0
	case WatchStalled:
		p.silent = append(p.silent, e.Connection)
		p.fellSilent(e.At)
	case WatchClosed:
		p.watches--
		p.silent = slices.DeleteFunc(p.silent, func(link uint64) bool { return link == e.Connection })
		if j.downAt == 0 {
			p.fellSilent(e.At)
		}
		p.askedAt, p.called = e.At, false
	case SidecarStarted:
		*p = party{life: p.life + 1, startedAt: e.At, askedAt: e.At, watches: p.watches, silent: p.silent, killedAt: p.killedAt, open: p.open, told: p.told[:0],
			askFailed: j.downAt > 0} // its first call is refused, which nobody sees
	case SidecarKilled:
		j.killed(p, e)
	case SidecarTerminating:
		p.termedAt = e.At
	case SidecarExited:
		if p.termedAt == 0 {
			j.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "the process ended unasked with status %d", e.Status)
		} else if e.Status != 0 {
			j.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "the process ended with status %d", e.Status)
		}
	case SidecarPanicked:
		j.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "panic: %s", e.Text)
	case SidecarSuspended:
		p.frozenAt, p.thawedAt = e.At, math.Inf(1)
	case SidecarResumed:
		p.thawedAt, p.askedAt = e.At, max(p.askedAt, e.At)
		for i := range p.told { // what was said to it meanwhile it hears now
			if k := &p.told[i]; k.at >= p.frozenAt {
				k.at = e.At
			}
		}
	case FleetInvariantBroken:
		j.addViolation([...]Rule{ViewInvariant: FleetView, DeathInvariant: FalseDeath, RankInvariant: FleetRank, IncarnationInvariant: FleetIncarnation, QueueInvariant: FleetQueue, TokenInvariant: StaleOwner,
			OccupiedInvariant: MaintenanceOccupied, BudgetInvariant: MaintenanceBudget, RepeatInvariant: MaintenanceRepeated, RecordInvariant: MaintenanceRecorded}[e.Status], e.Sidecar, -1, 0, nil, "%s", e.Text)
	case SidecarReloaded:
		p.reloadedAt = e.At
	case ServerCordoned:
		if p.out == nil {
			p.out = map[int32]float64{}
		}
		if p.out[e.Server] == 0 {
			p.out[e.Server] = e.At
		}
	case ServerUncordoned:
		delete(p.out, e.Server)
	case DescriptorsCounted:
		if int(e.Count) > j.rules.MaxDescriptors {
			j.addViolation(DescriptorLimit, e.Sidecar, -1, 0, nil, "%d descriptors of %d", e.Count, j.rules.MaxDescriptors)
		}
	case LeftoversCounted:
		if e.Count > 0 {
			j.addViolation(NoLeftovers, e.Sidecar, -1, 0, nil, "%d %s left when the day was over", e.Count, e.Text)
		}
	}
}

// endSpan ends the last of some times, if it goes on.
func endSpan(all []span, at float64) {
	if n := len(all); n > 0 && math.IsInf(all[n-1].until, 1) {
		all[n-1].until = at
	}
}

// killed excuses what a killed sidecar had open, unless it had been told to end and took more.
func (j *Checker) killed(p *party, e *Event) {
	p.killedAt = e.At
	for len(p.open) > 0 {
		r := p.open[0]
		if late := p.termedAt > 0 && r.takenAt > p.termedAt+j.rules.TermGraceSeconds+j.rules.SocketSlackSeconds && e.At < r.until; late {
			j.addViolation(OneAnswer, r.sidecar, -1, r.id, nil, "taken %.3f s after the order to end and not answered when killed", r.takenAt-p.termedAt)
		}
		j.end(r, excused, e.At)
	}
	p.life++
}
