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
	snapshotMaxAgeSeconds = 3.0   // a round older than that says nothing
	submitTimeoutSeconds  = 10.0  // a plan waits so long for a round that it can be checked against
	steadySeconds         = 2.0   // all must be well for so long before a box leaves,
	cautiousSeconds       = 10.0  // and after something was given back for so long
	faultGraceSeconds     = 2.5   // what is wrong for so long is no chance: what can be given back is
	lostSeconds           = 600.0 // a site is held for lost, a box that nobody lists any more for missing, no longer than that
	leftMemberSeconds     = 60.0  // who said that it leaves is heard no more after that
)

// mostQueued bounds commands that wait, mostReplies answers that are kept for who asks again.
const (
	maxQueued        = 256
	maxRecentReplies = 64
)

// Coordinator carries plans out for all sidecars, at the owner of the job. It says what is to be agreed; all that it remembers
// beside what is agreed is what it has seen since the job came to it, and losing that costs time alone.
type Coordinator struct {
	settings      Settings
	now           float64
	committed     Committed
	proposed      *State            // is being agreed in place of what is
	unconfirmed   []executedCommand // what was done in it
	queue         []queuedCommand
	replies       []Reply
	recentReplies []Reply // the last ones, for who asks again

	snapshot    *FleetSnapshot
	snapshotAt  float64
	fleet       fleetModel
	servers     []serverProgress
	plans       []planProgress
	lastDrainAt float64 // when the last box left
}

// queued is a command that waits, a plan for a round to be checked against until its time is over.
type queuedCommand struct {
	Command
	deadline float64
}

// done is a command with its answer, which holds if what is pending is agreed.
type executedCommand struct {
	queued queuedCommand
	reply  Reply
}

// boxTime is since when this coordinator has known of a box's stage.
type serverProgress struct {
	plan            uint64
	server          string
	stage           Stage
	sinceVersion    uint64
	cordonedVersion uint64 // the version since which it has been out without a break, as far as it is known here
	reachedAt       float64
}

// planTime is what this coordinator has seen of a plan.
type planProgress struct {
	number         uint64
	ageSeconds     float64 // when it came to know of it
	learnedAt      float64
	unhealthySince float64 // since when something is wrong; 0: nothing is
	calmSince      float64 // since when all has been well; 0: it is not
	isCautious     bool    // something was given back since a box left
	holdReason     string  // why nothing leaves
}

// New returns a coordinator that owns nothing yet.
func New(set Settings) *Coordinator { return &Coordinator{settings: set} }

func (c *Coordinator) advanceClock(now float64) { c.now = max(c.now, now) }

// Begin takes that the job is this owner's from now on, and what a quorum has confirmed. What an earlier grant left is void.
func (c *Coordinator) Start(now float64, a Committed) {
	*c = Coordinator{settings: c.settings, now: now, lastDrainAt: math.Inf(-1)}
	c.committed = a
	c.updateProgress()
}

// Version returns the one in whose place what Step returns is to be agreed. Danger: a newer one may be known around the
// coordinator before it has learned of it; in that one's place its state would undo what it does not know.
func (c *Coordinator) Version() uint64 { return c.committed.Version }

// Learn takes a newer version of what is agreed: its own, or one of an owner before it that came late.
func (c *Coordinator) ApplyCommitted(now float64, a Committed) {
	c.advanceClock(now)
	if a.Epoch < c.committed.Epoch || a.Epoch == c.committed.Epoch && a.Version <= c.committed.Version {
		return
	}
	own := c.proposed != nil && a.Epoch == c.committed.Epoch && a.Version == c.committed.Version+1 && sameState(&a.State, c.proposed)
	c.committed = a
	if own {
		for _, d := range c.unconfirmed {
			c.reply(d.reply)
		}
	} else {
		// Danger: what was done was not agreed, or it is not known to be. It is done again on what is; a command that finds its
		// effect there says so.
		c.fleet.baseline = rejectionBaseline{} // and boxes may have been out unknown
		var again []queuedCommand
		for _, d := range c.unconfirmed {
			again = append(again, d.queued)
		}
		c.queue = append(again, c.queue...)
	}
	c.proposed, c.unconfirmed = nil, nil
	c.updateProgress()
}

// same tells whether two states say the same; ages may differ, which clocks add to.
func sameState(a, b *State) bool {
	x, err := a.withoutAges().Encode()
	y, fault := b.withoutAges().Encode()
	return err == nil && fault == nil && bytes.Equal(x, y)
}

func (s *State) withoutAges() *State {
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
func (c *Coordinator) updateProgress() {
	var boxes []serverProgress
	var plans []planProgress
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		t := planProgress{number: p.Number, ageSeconds: p.AgeSeconds, learnedAt: c.now}
		if known := c.planProgress(p.Number); known != nil {
			t = *known
		}
		plans = append(plans, t)
		for _, b := range p.Servers {
			n := serverProgress{plan: p.Number, server: b.Name, stage: b.Stage, sinceVersion: b.SinceVersion, cordonedVersion: b.SinceVersion, reachedAt: c.now}
			if k := c.serverProgress(p.Number, b.Name); k != nil {
				if k.stage == b.Stage && k.sinceVersion == b.SinceVersion {
					n = *k
				} else if k.stage.IsCordoned() && b.Stage.IsCordoned() && k.stage < b.Stage {
					n.cordonedVersion = k.cordonedVersion
				}
			}
			boxes = append(boxes, n)
			if b.Stage == Draining && n.reachedAt == c.now {
				c.lastDrainAt = c.now
			}
		}
	}
	c.servers, c.plans = boxes, plans
}

func (c *Coordinator) serverProgress(plan uint64, box string) *serverProgress {
	for i := range c.servers {
		if c.servers[i].server == box && c.servers[i].plan == plan {
			return &c.servers[i]
		}
	}
	return nil
}

func (c *Coordinator) planProgress(number uint64) *planProgress {
	for i := range c.plans {
		if c.plans[i].number == number {
			return &c.plans[i]
		}
	}
	return nil
}

// ageS is for how long a plan has been given, as far as any owner's clock has told.
func (t *planProgress) age(now float64) float64 { return t.ageSeconds + now - t.learnedAt }

// Hear takes what all say, in place of what they said before.
func (c *Coordinator) Observe(now float64, r FleetSnapshot) {
	c.advanceClock(now)
	dt := c.now - c.snapshotAt
	if c.snapshot == nil {
		dt = 0
	}
	c.snapshot, c.snapshotAt = &r, c.now
	c.fleet.observe(c.now, dt, &r, c.committed.State.hasServerOut())
	for i := range c.committed.State.Plans {
		if p := &c.committed.State.Plans[i]; !p.Ended {
			c.assessPlan(p)
		}
	}
}

// watch sees whether anything is wrong for a plan.
func (c *Coordinator) assessPlan(p *Plan) {
	t := c.planProgress(p.Number)
	if c.giveBackReason(p) != "" {
		if t.unhealthySince == 0 {
			t.unhealthySince = c.now
		}
	} else {
		t.unhealthySince = 0
	}
	if t.holdReason = c.holdReason(p); t.holdReason != "" {
		t.calmSince = 0
	} else if t.calmSince == 0 {
		t.calmSince = c.now
	}
}

// fresh returns the last round, if it is young enough to say anything.
func (c *Coordinator) freshSnapshot() *FleetSnapshot {
	if c.snapshot == nil || c.now-c.snapshotAt > snapshotMaxAgeSeconds {
		return nil
	}
	return c.snapshot
}

// Asking tells whether rounds are needed.
func (c *Coordinator) NeedsSnapshot() bool {
	return slices.ContainsFunc(c.committed.State.Plans, func(p Plan) bool { return !p.Ended }) ||
		slices.ContainsFunc(c.queue, func(q queuedCommand) bool { return q.Kind == SubmitPlan })
}

// Step returns what is to be agreed in place of the version that there is; nil: nothing. While that is being agreed it is
// returned again.
func (c *Coordinator) Step(now float64) *State {
	c.advanceClock(now)
	if c.proposed != nil {
		return c.proposed
	}
	next := c.committed.State.clone()
	changed, handed := false, false
	var later []queuedCommand
	for _, q := range c.queue {
		if q.Kind == AcquireServer && handed || c.mustWait(&q) && c.now < q.deadline {
			later = append(later, q)
			continue
		}
		r, did := c.execute(next, &q.Command)
		changed = changed || did
		handed = handed || q.Kind == AcquireServer && did
		c.unconfirmed = append(c.unconfirmed, executedCommand{q, r})
	}
	c.queue = later
	leave := true // one box at a time, so that it is seen what that does
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			did, left := c.advancePlan(next, p, leave)
			changed, leave = changed || did, leave && !left
		}
	}
	if !changed {
		for _, d := range c.unconfirmed {
			c.reply(d.reply)
		}
		c.unconfirmed = nil
		return nil
	}
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			if t := c.planProgress(p.Number); t != nil {
				p.AgeSeconds = max(p.AgeSeconds, math.Round(10*t.age(c.now))/10)
			}
		}
	}
	if _, err := next.Encode(); err != nil && !next.trimToSize() { // names and causes are more than there is room for
		for _, d := range c.unconfirmed {
			c.reply(Reply{Nonce: d.reply.Nonce, Err: err.Error()})
		}
		c.unconfirmed = nil
		return nil
	}
	c.proposed = next
	return next
}

// tooSoon tells whether a command can't be judged yet. Danger: who was handed a box over by a later owner must not hear from an
// earlier one that it has none.
func (c *Coordinator) mustWait(q *queuedCommand) bool {
	switch q.Kind {
	case SubmitPlan:
		return c.freshSnapshot() == nil
	case CompleteServer, FailServer:
		return q.Token > c.committed.Epoch<<40|c.committed.Version
	}
	return false
}

func (c *Coordinator) nextVersion() uint64 { return c.committed.Version + 1 }

// move has a box come to a stage. Past whom it was forced stays on record, unless it is given back and has its turn again.
func (c *Coordinator) setStage(b *Server, to Stage, why string) {
	b.Stage, b.SinceVersion, b.Reason = to, c.nextVersion(), truncate(why, maxTextLen)
	if to == Pending {
		b.ForcedPast = nil
	}
}

// advance has a plan go on as far as time and the fleet let it, and tells whether anything changed, and whether a box leaves.
func (c *Coordinator) advancePlan(s *State, p *Plan, leave bool) (changed, left bool) {
	t := c.planProgress(p.Number)
	if t == nil { // it was given just now
		return false, false
	}
	over := p.Spec.EndAfterSeconds > 0 && t.age(c.now) > p.Spec.EndAfterSeconds
	bad := t.unhealthySince != 0 && c.now-t.unhealthySince >= faultGraceSeconds && c.freshSnapshot() != nil
	out, backed := false, false
	for i := range p.Servers {
		b := &p.Servers[i]
		known := c.serverProgress(p.Number, b.Name)
		fresh := known != nil && known.stage == b.Stage && known.sinceVersion == b.SinceVersion // it was not changed by a command just now
		was := b.Stage
		switch {
		case !fresh:
		case (b.Stage == Draining || b.Stage == Drained) && bad && !c.fleet.isUnavailable(b.Name):
			c.setStage(b, Pending, "")
			backed = true
		case b.Stage == Draining:
			if _, why := c.inUse(p, b); why == "" {
				c.setStage(b, Drained, "")
			}
		case b.Stage == InMaintenance && !b.Overdue && c.now-known.reachedAt > p.Spec.overdueSeconds():
			if changed, b.Overdue = true, true; p.Spec.AbandonOverdue {
				c.setStage(b, Lost, fmt.Sprintf("%s had it for longer than %g s", b.Agent, p.Spec.overdueSeconds()))
			}
		case b.Stage == WarmingUp && c.now-known.reachedAt >= p.Spec.warmUpSeconds(c.settings.WarmUpSeconds) && !c.fleet.isUnresponsive(b.Name):
			c.setStage(b, Done, b.Reason)
		}
		changed = changed || b.Stage != was
		out = out || b.Stage >= Draining && b.Stage <= WarmingUp
	}
	if backed {
		t.isCautious, t.calmSince = true, 0
	}
	if !out && over {
		for i := range p.Servers {
			if b := &p.Servers[i]; b.Stage == Pending {
				c.setStage(b, Skipped, "the plan's time was over before it was its turn")
				changed = true
			}
		}
	}
	if !slices.ContainsFunc(p.Servers, func(b Server) bool { return b.Stage < Done }) {
		p.Ended = true
		return true, false
	}
	if leave && !changed && c.drainBlocker(p, t) == "" {
		if b := c.chooseNext(s, p); b != nil {
			c.releaseLost(s, p, b.Name)
			c.setStage(b, Draining, "")
			if p.BaselineRejection == 0 {
				p.BaselineRejection = max(c.baselineRejection(p), minBaseline)
			}
			t.isCautious = false
			return true, true
		}
	}
	return changed, false
}

// freeLost has a plan take a box over that an earlier one has lost.
func (c *Coordinator) releaseLost(s *State, by *Plan, box string) {
	for i := range s.Plans {
		if p := &s.Plans[i]; p.Number != by.Number {
			for j := range p.Servers {
				if b := &p.Servers[j]; b.Name == box && b.Stage == Lost {
					c.setStage(b, Skipped, truncate(fmt.Sprintf("plan %d has it; %s", by.Number, b.Reason), maxTextLen))
				}
			}
		}
	}
}

// mayLeave tells why nothing of a plan leaves now; empty: a box may, if there is room for one more.
func (c *Coordinator) drainBlocker(p *Plan, t *planProgress) string {
	age := t.age(c.now)
	wait := steadySeconds
	if t.isCautious {
		wait = cautiousSeconds
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
	case c.freshSnapshot() == nil:
		return reasonNoReports
	case t.holdReason != "":
		return t.holdReason
	case c.isDegraded(p) && c.committed.State.hasServerOut():
		return fmt.Sprintf("one box alone may be out or cold while the fleet refuses %.3f by itself", c.baselineRejection(p))
	case c.needsBaseline(p), c.isDegraded(p) && !c.fleet.baseline.isMeasured():
		return "it is measured what the fleet refuses by itself"
	case t.calmSince == 0 || c.now-t.calmSince < wait || c.snapshotAt-c.lastDrainAt < steadySeconds:
		return "it is seen how the fleet does"
	}
	return ""
}

// Next returns when Step is to be called at the latest.
func (c *Coordinator) StepDeadline(now float64) float64 {
	c.advanceClock(now)
	if c.proposed != nil {
		return c.now + 1
	}
	at := math.Inf(1)
	for _, q := range c.queue {
		if !c.mustWait(&q) {
			return c.now
		}
		at = min(at, q.deadline)
	}
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		if p.Ended {
			continue
		}
		at = min(at, c.now+1)
		for _, b := range p.Servers {
			if b.Stage == WarmingUp {
				at = min(at, c.serverProgress(p.Number, b.Name).reachedAt+p.Spec.warmUpSeconds(c.settings.WarmUpSeconds))
			}
		}
	}
	return max(at, c.now)
}

// Waits tells what plans and boxes wait for, by plan and box.
func (c *Coordinator) Blockers() (all []Blocker) {
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		if p.Ended {
			continue
		}
		t := c.planProgress(p.Number)
		waiting := false
		for j := range p.Servers {
			b := &p.Servers[j]
			w := Blocker{Plan: p.Number, Server: b.Name}
			switch b.Stage {
			case Pending:
				waiting = true
			case Draining:
				w.Members, w.Reason = c.inUse(p, b)
			case Drained:
				if w.Members, w.Reason = c.inUse(p, b); w.Reason == "" || len(b.ForcedPast) > 0 {
					w.Members, w.Reason = nil, "a mechanic is to take it"
				}
			case InMaintenance:
				if w.Reason = b.Agent + " works on it"; b.Overdue {
					w.Reason = b.Agent + " is late with it"
				}
				if w.Members = c.uncordonedBy(b.Name); len(w.Members) > 0 {
					w.Reason += "; " + reasonUncordoned
				}
			case WarmingUp:
				if w.Reason = "it warms up"; c.fleet.isUnresponsive(b.Name) {
					w.Reason = "it was given back and does not answer"
				}
			}
			if w.Reason != "" {
				w.Members = w.Members[:min(len(w.Members), maxNamedMembers)]
				all = append(all, w)
			}
		}
		if waiting {
			why := c.drainBlocker(p, t)
			if why == "" && c.chooseNext(&c.committed.State, p) == nil {
				why = c.noRoomReason(&c.committed.State, p)
			}
			if why != "" {
				w := Blocker{Plan: p.Number, Reason: why}
				if t.holdReason == why {
					w.Members = c.unreachableMembers(p)
				}
				all = append(all, w)
			}
		}
	}
	return all
}

func truncate(s string, most int) string { return s[:min(len(s), most)] }
