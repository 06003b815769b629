package maintenance

import (
	"math"
	"slices"
)

// Settings configure a Coordinator.
type Settings struct {
	WarmUpSeconds float64 // slow start of a server, where a plan sets none; 5 at least
	Order         Order   // which pending server drains next
}

// Times of a Coordinator, in seconds of its clock.
const (
	snapshotMaxAgeSeconds = 3.0   // after which a snapshot proves nothing
	submitTimeoutSeconds  = 10.0  // for which SubmitPlan waits for a fresh snapshot to be checked against
	steadySeconds         = 2.0   // without a fault before a server drains,
	cautiousSeconds       = 10.0  // and after a server was put back in service
	faultGraceSeconds     = 2.5   // a fault must last before servers are put back in service
	lostSeconds           = 600.0 // for which a site counts as lost, and a server that no list has any more as unavailable
	leftMemberSeconds     = 60.0  // after which a sidecar that left need not report any more
)

const (
	maxQueued        = 256 // commands that wait
	maxRecentReplies = 64  // replies that are kept for repeated commands
)

// Coordinator carries out the plans of a fleet at the lease holder. It is not safe for concurrent use; all calls pass the current
// time in seconds, and a time that goes back is ignored. Beside the committed State it holds only what it has observed since Start:
// losing that delays plans and has no other effect.
type Coordinator struct {
	settings      Settings
	now           float64
	committed     Committed
	proposed      *State            // what is being committed in place of committed; nil: nothing is
	unconfirmed   []executedCommand // commands whose effects are in proposed
	queue         []queuedCommand
	replies       []Reply // not returned by Replies yet
	recentReplies []Reply // for commands that are submitted again

	snapshot    *FleetSnapshot
	snapshotAt  float64
	fleet       fleetModel
	servers     []serverProgress
	plans       []planProgress
	lastDrainAt float64 // when a server last became Draining
}

// queuedCommand is a command that waits for Step. After its deadline it is executed even if what it waits for is missing.
type queuedCommand struct {
	Command
	deadline float64
}

// executedCommand is a command with its reply, which holds once the proposed State is committed.
type executedCommand struct {
	queued queuedCommand
	reply  Reply
}

// New returns a Coordinator that coordinates nothing until Start.
func New(settings Settings) *Coordinator { return &Coordinator{settings: settings} }

// Start begins a new lease: committed is what a quorum has confirmed since the lease was granted. Everything of an earlier lease is
// discarded, commands that wait included.
func (c *Coordinator) Start(now float64, committed Committed) {
	*c = Coordinator{settings: c.settings, now: now, lastDrainAt: math.Inf(-1)}
	c.committed = committed
	c.updateProgress()
}

// Version returns the version that the State returned by Step replaces. Danger: the caller may know of a newer version before
// ApplyCommitted; a State written in that one's place would undo what this Coordinator does not know.
func (c *Coordinator) Version() uint64 { return c.committed.Version }

// nextVersion is the version that the proposed State will have.
func (c *Coordinator) nextVersion() uint64 { return c.committed.Version + 1 }

func (c *Coordinator) advanceClock(now float64) { c.now = max(c.now, now) }

// ApplyCommitted takes a newer committed State: the proposed one, or one of an earlier lease holder that was committed late. Older
// ones are ignored.
func (c *Coordinator) ApplyCommitted(now float64, committed Committed) {
	c.advanceClock(now)
	if committed.Epoch < c.committed.Epoch || committed.Epoch == c.committed.Epoch && committed.Version <= c.committed.Version {
		return
	}
	isOwn := c.proposed != nil && committed.Epoch == c.committed.Epoch && committed.Version == c.committed.Version+1 && sameState(&committed.State, c.proposed)
	c.committed = committed
	if isOwn {
		c.confirm()
	} else {
		c.requeueUnconfirmed()
	}
	c.proposed, c.unconfirmed = nil, nil
	c.updateProgress()
}

// confirm releases the replies whose effects are committed, or that had none.
func (c *Coordinator) confirm() {
	for _, executed := range c.unconfirmed {
		c.reply(executed.reply)
	}
}

// requeueUnconfirmed has the commands of the proposed State executed again on the committed one, before all others. Danger: their
// effects were not committed, or it is not known that they were; a command that finds its effect in the State replies so.
func (c *Coordinator) requeueUnconfirmed() {
	c.fleet.baseline = rejectionBaseline{} // servers may have been out of service without being known here
	var again []queuedCommand
	for _, executed := range c.unconfirmed {
		again = append(again, executed.queued)
	}
	c.queue = append(again, c.queue...)
}

// Observe takes a snapshot of the fleet in place of the one before.
func (c *Coordinator) Observe(now float64, snapshot FleetSnapshot) {
	c.advanceClock(now)
	elapsed := c.now - c.snapshotAt
	if c.snapshot == nil {
		elapsed = 0
	}
	c.snapshot, c.snapshotAt = &snapshot, c.now
	c.fleet.observe(c.now, elapsed, &snapshot, c.committed.State.hasServerOut())
	for i := range c.committed.State.Plans {
		if p := &c.committed.State.Plans[i]; !p.Ended {
			c.assessPlan(p)
		}
	}
}

// assessPlan records since when a fault of the fleet has lasted for a plan, and since when there has been none.
func (c *Coordinator) assessPlan(p *Plan) {
	progress := c.planProgress(p.Number)
	if c.giveBackReason(p) != "" {
		if progress.unhealthySince == 0 {
			progress.unhealthySince = c.now
		}
	} else {
		progress.unhealthySince = 0
	}
	if progress.holdReason = c.holdReason(p); progress.holdReason != "" {
		progress.calmSince = 0
	} else if progress.calmSince == 0 {
		progress.calmSince = c.now
	}
}

// freshSnapshot returns the last snapshot, or nil if it is too old to prove anything.
func (c *Coordinator) freshSnapshot() *FleetSnapshot {
	if c.snapshot == nil || c.now-c.snapshotAt > snapshotMaxAgeSeconds {
		return nil
	}
	return c.snapshot
}

// NeedsSnapshot reports whether the caller should query the fleet and call Observe: a plan goes on, or one waits to be checked.
func (c *Coordinator) NeedsSnapshot() bool {
	return slices.ContainsFunc(c.committed.State.Plans, func(p Plan) bool { return !p.Ended }) ||
		slices.ContainsFunc(c.queue, func(q queuedCommand) bool { return q.Kind == SubmitPlan })
}

// Step executes waiting commands, advances all plans and returns the State to commit in place of Version; nil if there is none. The
// same State is returned until ApplyCommitted replaces it. The caller must not change it.
func (c *Coordinator) Step(now float64) *State {
	c.advanceClock(now)
	if c.proposed != nil {
		return c.proposed
	}
	next := c.committed.State.clone()
	changedByCommands := c.executeQueue(next)
	changedByPlans := c.advancePlans(next)
	if !changedByCommands && !changedByPlans {
		c.confirm()
		c.unconfirmed = nil
		return nil
	}
	c.updateAges(next)
	if _, err := next.Encode(); err != nil && !next.trimToSize() { // names and reasons exceed the bounds
		for _, executed := range c.unconfirmed {
			c.reply(Reply{Nonce: executed.reply.Nonce, Err: err.Error()})
		}
		c.unconfirmed = nil
		return nil
	}
	c.proposed = next
	return next
}

// executeQueue executes the waiting commands that can be, at most one AcquireServer with an effect, and reports whether any changed
// the State.
func (c *Coordinator) executeQueue(next *State) (changed bool) {
	acquired := false
	var later []queuedCommand
	for _, q := range c.queue {
		if q.Kind == AcquireServer && acquired || c.mustWait(&q) && c.now < q.deadline {
			later = append(later, q)
			continue
		}
		reply, hadEffect := c.execute(next, &q.Command)
		changed = changed || hadEffect
		acquired = acquired || q.Kind == AcquireServer && hadEffect
		c.unconfirmed = append(c.unconfirmed, executedCommand{q, reply})
	}
	c.queue = later
	return changed
}

// advancePlans advances all plans that go on. At most one server of the fleet becomes Draining, so that its effect is observed before
// the next one.
func (c *Coordinator) advancePlans(next *State) (changed bool) {
	mayDrain := true
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			planChanged, drained := c.advancePlan(next, p, mayDrain)
			changed, mayDrain = changed || planChanged, mayDrain && !drained
		}
	}
	return changed
}

// updateAges brings the ages of plans that go on up to now, to a tenth of a second. They never go back.
func (c *Coordinator) updateAges(next *State) {
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			if progress := c.planProgress(p.Number); progress != nil {
				p.AgeSeconds = max(p.AgeSeconds, math.Round(10*progress.age(c.now))/10)
			}
		}
	}
}

// mustWait reports whether a command can't be decided yet: a plan without a fresh snapshot, or a token of a later version than the
// committed one. Danger: a lease holder that does not know what a later one has handed out must not reply that nobody works on the
// server.
func (c *Coordinator) mustWait(q *queuedCommand) bool {
	switch q.Kind {
	case SubmitPlan:
		return c.freshSnapshot() == nil
	case CompleteServer, FailServer:
		return q.Token > c.committed.Epoch<<40|c.committed.Version
	}
	return false
}

// StepDeadline returns the time at which Step must be called at the latest, if nothing else happens.
func (c *Coordinator) StepDeadline(now float64) float64 {
	c.advanceClock(now)
	if c.proposed != nil {
		return c.now + 1
	}
	deadline := math.Inf(1)
	for _, q := range c.queue {
		if !c.mustWait(&q) {
			return c.now
		}
		deadline = min(deadline, q.deadline)
	}
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		if p.Ended {
			continue
		}
		deadline = min(deadline, c.now+1)
		for _, server := range p.Servers {
			if server.Stage == WarmingUp {
				deadline = min(deadline, c.serverProgress(p.Number, server.Name).reachedAt+p.Spec.warmUpSeconds(c.settings.WarmUpSeconds))
			}
		}
	}
	return max(deadline, c.now)
}
