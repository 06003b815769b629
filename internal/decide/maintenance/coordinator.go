package maintenance

import (
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

func (c *Coordinator) nextVersion() uint64 { return c.committed.Version + 1 }

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
