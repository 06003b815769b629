package maintenance

import (
	"bytes"
	"fmt"
	"math"
	"slices"
)

// Settings are what a Coordinator is told at its start.
type Settings struct {
	WarmUpSeconds float64 // a box takes to warm up, by the settings
	Order         Order   // which box of a plan leaves next
}

// Times of a coordinator, in seconds of its own clock.
const (
	freshS  = 3.0   // a round older than that says nothing
	giveS   = 10.0  // a plan waits so long for a round that it can be checked against
	steadyS = 2.0   // all must be well for so long before a box leaves,
	shyS    = 10.0  // and after something was given back for so long
	badS    = 2.5   // what is wrong for so long is no chance: what can be given back is
	lostS   = 600.0 // a site is held for lost, a box that nobody lists any more for missing, no longer than that
	leftS   = 60.0  // who said that it leaves is heard no more after that
)

// mostQueued bounds commands that wait, mostReplies answers that are kept for who asks again.
const (
	mostQueued  = 256
	mostReplies = 64
)

// Coordinator carries plans out for all sidecars, at the owner of the job. It says what is to be agreed; all that it remembers
// beside what is agreed is what it has seen since the job came to it, and losing that costs time alone.
type Coordinator struct {
	set     Settings
	now     float64
	agreed  Committed
	pending *State // is being agreed in place of what is
	owed    []done // what was done in it
	queue   []queued
	replies []Reply
	given   []Reply // the last ones, for who asks again

	round   *FleetSnapshot
	heardAt float64
	fleet   fleet
	boxes   []boxTime
	plans   []planTime
	leftAt  float64 // when the last box left
}

// queued is a command that waits, a plan for a round to be checked against until its time is over.
type queued struct {
	Command
	until float64
}

// done is a command with its answer, which holds if what is pending is agreed.
type done struct {
	q queued
	r Reply
}

// boxTime is since when this coordinator has known of a box's stage.
type boxTime struct {
	plan   uint64
	box    string
	stage  Stage
	since  uint64
	banned uint64 // the version since which it has been out without a break, as far as it is known here
	at     float64
}

// planTime is what this coordinator has seen of a plan.
type planTime struct {
	number  uint64
	ageS    float64 // when it came to know of it
	at      float64
	badAt   float64 // since when something is wrong; 0: nothing is
	calmAt  float64 // since when all has been well; 0: it is not
	shy     bool    // something was given back since a box left
	holding string  // why nothing leaves
}

// New returns a coordinator that owns nothing yet.
func New(set Settings) *Coordinator { return &Coordinator{set: set} }

func (c *Coordinator) enter(now float64) { c.now = max(c.now, now) }

// Begin takes that the job is this owner's from now on, and what a quorum has confirmed. What an earlier grant left is void.
func (c *Coordinator) Start(now float64, a Committed) {
	*c = Coordinator{set: c.set, now: now, leftAt: math.Inf(-1)}
	c.agreed = a
	c.remember()
}

// Version returns the one in whose place what Step returns is to be agreed. Danger: a newer one may be known around the
// coordinator before it has learned of it; in that one's place its state would undo what it does not know.
func (c *Coordinator) Version() uint64 { return c.agreed.Version }

// Learn takes a newer version of what is agreed: its own, or one of an owner before it that came late.
func (c *Coordinator) ApplyCommitted(now float64, a Committed) {
	c.enter(now)
	if a.Epoch < c.agreed.Epoch || a.Epoch == c.agreed.Epoch && a.Version <= c.agreed.Version {
		return
	}
	own := c.pending != nil && a.Epoch == c.agreed.Epoch && a.Version == c.agreed.Version+1 && same(&a.State, c.pending)
	c.agreed = a
	if own {
		for _, d := range c.owed {
			c.answer(d.r)
		}
	} else {
		// Danger: what was done was not agreed, or it is not known to be. It is done again on what is; a command that finds its
		// effect there says so.
		c.fleet.alone = alone{} // and boxes may have been out unknown
		var again []queued
		for _, d := range c.owed {
			again = append(again, d.q)
		}
		c.queue = append(again, c.queue...)
	}
	c.pending, c.owed = nil, nil
	c.remember()
}

// same tells whether two states say the same; ages may differ, which clocks add to.
func same(a, b *State) bool {
	x, err := a.ageless().Encode()
	y, fault := b.ageless().Encode()
	return err == nil && fault == nil && bytes.Equal(x, y)
}

func (s *State) ageless() *State {
	s = s.clone()
	for i := range s.Plans {
		s.Plans[i].AgeSeconds = 0
	}
	return s
}

func (s *State) clone() *State {
	n := &State{LastNumber: s.LastNumber, Plans: slices.Clone(s.Plans)}
	for i := range n.Plans {
		n.Plans[i].Servers = slices.Clone(n.Plans[i].Servers)
	}
	return n
}

// remember brings what is known of stages and plans up to what is agreed.
func (c *Coordinator) remember() {
	var boxes []boxTime
	var plans []planTime
	for i := range c.agreed.State.Plans {
		p := &c.agreed.State.Plans[i]
		t := planTime{number: p.Number, ageS: p.AgeSeconds, at: c.now}
		if known := c.planTime(p.Number); known != nil {
			t = *known
		}
		plans = append(plans, t)
		for _, b := range p.Servers {
			n := boxTime{plan: p.Number, box: b.Name, stage: b.Stage, since: b.SinceVersion, banned: b.SinceVersion, at: c.now}
			if k := c.boxTime(p.Number, b.Name); k != nil {
				if k.stage == b.Stage && k.since == b.SinceVersion {
					n = *k
				} else if k.stage.IsCordoned() && b.Stage.IsCordoned() && k.stage < b.Stage {
					n.banned = k.banned
				}
			}
			boxes = append(boxes, n)
			if b.Stage == Draining && n.at == c.now {
				c.leftAt = c.now
			}
		}
	}
	c.boxes, c.plans = boxes, plans
}

func (c *Coordinator) boxTime(plan uint64, box string) *boxTime {
	for i := range c.boxes {
		if c.boxes[i].box == box && c.boxes[i].plan == plan {
			return &c.boxes[i]
		}
	}
	return nil
}

func (c *Coordinator) planTime(number uint64) *planTime {
	for i := range c.plans {
		if c.plans[i].number == number {
			return &c.plans[i]
		}
	}
	return nil
}

// ageS is for how long a plan has been given, as far as any owner's clock has told.
func (t *planTime) age(now float64) float64 { return t.ageS + now - t.at }

// Hear takes what all say, in place of what they said before.
func (c *Coordinator) Observe(now float64, r FleetSnapshot) {
	c.enter(now)
	dt := c.now - c.heardAt
	if c.round == nil {
		dt = 0
	}
	c.round, c.heardAt = &r, c.now
	c.fleet.hear(c.now, dt, &r, c.agreed.State.busy())
	for i := range c.agreed.State.Plans {
		if p := &c.agreed.State.Plans[i]; !p.Ended {
			c.watch(p)
		}
	}
}

// watch sees whether anything is wrong for a plan.
func (c *Coordinator) watch(p *Plan) {
	t := c.planTime(p.Number)
	if c.wrong(p) != "" {
		if t.badAt == 0 {
			t.badAt = c.now
		}
	} else {
		t.badAt = 0
	}
	if t.holding = c.holds(p); t.holding != "" {
		t.calmAt = 0
	} else if t.calmAt == 0 {
		t.calmAt = c.now
	}
}

// fresh returns the last round, if it is young enough to say anything.
func (c *Coordinator) fresh() *FleetSnapshot {
	if c.round == nil || c.now-c.heardAt > freshS {
		return nil
	}
	return c.round
}

// Asking tells whether rounds are needed.
func (c *Coordinator) NeedsSnapshot() bool {
	return slices.ContainsFunc(c.agreed.State.Plans, func(p Plan) bool { return !p.Ended }) ||
		slices.ContainsFunc(c.queue, func(q queued) bool { return q.Kind == SubmitPlan })
}

// Step returns what is to be agreed in place of the version that there is; nil: nothing. While that is being agreed it is
// returned again.
func (c *Coordinator) Step(now float64) *State {
	c.enter(now)
	if c.pending != nil {
		return c.pending
	}
	next := c.agreed.State.clone()
	changed, handed := false, false
	var later []queued
	for _, q := range c.queue {
		if q.Kind == AcquireServer && handed || c.tooSoon(&q) && c.now < q.until {
			later = append(later, q)
			continue
		}
		r, did := c.carry(next, &q.Command)
		changed = changed || did
		handed = handed || q.Kind == AcquireServer && did
		c.owed = append(c.owed, done{q, r})
	}
	c.queue = later
	leave := true // one box at a time, so that it is seen what that does
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			did, left := c.advance(next, p, leave)
			changed, leave = changed || did, leave && !left
		}
	}
	if !changed {
		for _, d := range c.owed {
			c.answer(d.r)
		}
		c.owed = nil
		return nil
	}
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			if t := c.planTime(p.Number); t != nil {
				p.AgeSeconds = max(p.AgeSeconds, math.Round(10*t.age(c.now))/10)
			}
		}
	}
	if _, err := next.Encode(); err != nil && !next.trim() { // names and causes are more than there is room for
		for _, d := range c.owed {
			c.answer(Reply{Nonce: d.r.Nonce, Err: err.Error()})
		}
		c.owed = nil
		return nil
	}
	c.pending = next
	return next
}

// tooSoon tells whether a command can't be judged yet. Danger: who was handed a box over by a later owner must not hear from an
// earlier one that it has none.
func (c *Coordinator) tooSoon(q *queued) bool {
	switch q.Kind {
	case SubmitPlan:
		return c.fresh() == nil
	case CompleteServer, FailServer:
		return q.Token > c.agreed.Epoch<<40|c.agreed.Version
	}
	return false
}

func (c *Coordinator) version() uint64 { return c.agreed.Version + 1 }

// move has a box come to a stage. Past whom it was forced stays on record, unless it is given back and has its turn again.
func (c *Coordinator) move(b *Server, to Stage, why string) {
	b.Stage, b.SinceVersion, b.Reason = to, c.version(), clip(why, mostTextLen)
	if to == Pending {
		b.ForcedPast = nil
	}
}

// advance has a plan go on as far as time and the fleet let it, and tells whether anything changed, and whether a box leaves.
func (c *Coordinator) advance(s *State, p *Plan, leave bool) (changed, left bool) {
	t := c.planTime(p.Number)
	if t == nil { // it was given just now
		return false, false
	}
	over := p.Spec.EndAfterSeconds > 0 && t.age(c.now) > p.Spec.EndAfterSeconds
	bad := t.badAt != 0 && c.now-t.badAt >= badS && c.fresh() != nil
	out, backed := false, false
	for i := range p.Servers {
		b := &p.Servers[i]
		known := c.boxTime(p.Number, b.Name)
		fresh := known != nil && known.stage == b.Stage && known.since == b.SinceVersion // it was not changed by a command just now
		was := b.Stage
		switch {
		case !fresh:
		case (b.Stage == Draining || b.Stage == Drained) && bad && !c.fleet.missing(b.Name):
			c.move(b, Pending, "")
			backed = true
		case b.Stage == Draining:
			if _, why := c.occupied(p, b); why == "" {
				c.move(b, Drained, "")
			}
		case b.Stage == InMaintenance && !b.Overdue && c.now-known.at > p.Spec.lateS():
			if changed, b.Overdue = true, true; p.Spec.AbandonOverdue {
				c.move(b, Lost, fmt.Sprintf("%s had it for longer than %g s", b.Agent, p.Spec.lateS()))
			}
		case b.Stage == WarmingUp && c.now-known.at >= p.Spec.coldS(c.set.WarmUpSeconds) && !c.fleet.dumb(b.Name):
			c.move(b, Done, b.Reason)
		}
		changed = changed || b.Stage != was
		out = out || b.Stage >= Draining && b.Stage <= WarmingUp
	}
	if backed {
		t.shy, t.calmAt = true, 0
	}
	if !out && over {
		for i := range p.Servers {
			if b := &p.Servers[i]; b.Stage == Pending {
				c.move(b, Skipped, "the plan's time was over before it was its turn")
				changed = true
			}
		}
	}
	if !slices.ContainsFunc(p.Servers, func(b Server) bool { return b.Stage < Done }) {
		p.Ended = true
		return true, false
	}
	if leave && !changed && c.mayLeave(p, t) == "" {
		if b := c.choose(s, p); b != nil {
			c.freeLost(s, p, b.Name)
			c.move(b, Draining, "")
			if p.BaselineRejection == 0 {
				p.BaselineRejection = max(c.byItself(p), leastOwn)
			}
			t.shy = false
			return true, true
		}
	}
	return changed, false
}

// freeLost has a plan take a box over that an earlier one has lost.
func (c *Coordinator) freeLost(s *State, by *Plan, box string) {
	for i := range s.Plans {
		if p := &s.Plans[i]; p.Number != by.Number {
			for j := range p.Servers {
				if b := &p.Servers[j]; b.Name == box && b.Stage == Lost {
					c.move(b, Skipped, clip(fmt.Sprintf("plan %d has it; %s", by.Number, b.Reason), mostTextLen))
				}
			}
		}
	}
}

// mayLeave tells why nothing of a plan leaves now; empty: a box may, if there is room for one more.
func (c *Coordinator) mayLeave(p *Plan, t *planTime) string {
	age := t.age(c.now)
	wait := steadyS
	if t.shy {
		wait = shyS
	}
	switch {
	case p.Aborted:
		return "it is aborted"
	case p.PausedBy != "":
		return "paused by " + p.PausedBy
	case age < p.Spec.StartAfterSeconds:
		return fmt.Sprintf("it begins in %.0f s", p.Spec.StartAfterSeconds-age)
	case p.Spec.EndAfterSeconds > 0 && age > p.Spec.EndAfterSeconds:
		return "its time is over"
	case c.fresh() == nil:
		return notHeard
	case t.holding != "":
		return t.holding
	case c.edge(p) && c.agreed.State.busy():
		return fmt.Sprintf("one box alone may be out or cold while the fleet refuses %.3f by itself", c.byItself(p))
	case c.blank(p), c.edge(p) && !c.fleet.alone.measured():
		return "it is measured what the fleet refuses by itself"
	case t.calmAt == 0 || c.now-t.calmAt < wait || c.heardAt-c.leftAt < steadyS:
		return "it is seen how the fleet does"
	}
	return ""
}

// Next returns when Step is to be called at the latest.
func (c *Coordinator) StepDeadline(now float64) float64 {
	c.enter(now)
	if c.pending != nil {
		return c.now + 1
	}
	at := math.Inf(1)
	for _, q := range c.queue {
		if !c.tooSoon(&q) {
			return c.now
		}
		at = min(at, q.until)
	}
	for i := range c.agreed.State.Plans {
		p := &c.agreed.State.Plans[i]
		if p.Ended {
			continue
		}
		at = min(at, c.now+1)
		for _, b := range p.Servers {
			if b.Stage == WarmingUp {
				at = min(at, c.boxTime(p.Number, b.Name).at+p.Spec.coldS(c.set.WarmUpSeconds))
			}
		}
	}
	return max(at, c.now)
}

// Waits tells what plans and boxes wait for, by plan and box.
func (c *Coordinator) Blockers() (all []Blocker) {
	for i := range c.agreed.State.Plans {
		p := &c.agreed.State.Plans[i]
		if p.Ended {
			continue
		}
		t := c.planTime(p.Number)
		waiting := false
		for j := range p.Servers {
			b := &p.Servers[j]
			w := Blocker{Plan: p.Number, Server: b.Name}
			switch b.Stage {
			case Pending:
				waiting = true
			case Draining:
				w.Members, w.Reason = c.occupied(p, b)
			case Drained:
				if w.Members, w.Reason = c.occupied(p, b); w.Reason == "" || len(b.ForcedPast) > 0 {
					w.Members, w.Reason = nil, "a mechanic is to take it"
				}
			case InMaintenance:
				if w.Reason = b.Agent + " works on it"; b.Overdue {
					w.Reason = b.Agent + " is late with it"
				}
				if w.Members = c.usedByHand(b.Name); len(w.Members) > 0 {
					w.Reason += "; " + byHand
				}
			case WarmingUp:
				if w.Reason = "it warms up"; c.fleet.dumb(b.Name) {
					w.Reason = "it was given back and does not answer"
				}
			}
			if w.Reason != "" {
				w.Members = w.Members[:min(len(w.Members), mostWho)]
				all = append(all, w)
			}
		}
		if waiting {
			why := c.mayLeave(p, t)
			if why == "" && c.choose(&c.agreed.State, p) == nil {
				why = c.full(&c.agreed.State, p)
			}
			if why != "" {
				w := Blocker{Plan: p.Number, Reason: why}
				if t.holding == why {
					w.Members = c.unheard(p)
				}
				all = append(all, w)
			}
		}
	}
	return all
}

func clip(s string, most int) string { return s[:min(len(s), most)] }
