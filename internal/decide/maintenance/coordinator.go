package maintenance

import (
	"math"
	"slices"
)

// Settings configure a Coordinator.
type Settings struct {
	WarmUpSeconds float64 // duration of a server's slow start if the plan sets none; at least 5
	Order         Order   // by which the next server to drain is chosen
}

// Times of a Coordinator, in seconds of its clock.
const (
	snapshotMaxAgeSeconds = 3.0   // older snapshots are not used for decisions
	submitTimeoutSeconds  = 10.0  // how long SubmitPlan waits for a fresh snapshot to be checked against
	steadySeconds         = 2.0   // how long the fleet must be without a fault before a server drains
	cautiousSeconds       = 10.0  // the same after a server was put back in service
	faultGraceSeconds     = 2.5   // how long a fault must last before servers are put back in service
	lostSeconds           = 600.0 // how long a site counts as lost, and a server that is on no list any more as unavailable
	leftMemberSeconds     = 60.0  // after this time a sidecar that left need not report any more
)

const (
	maxQueued        = 256 // commands in the queue
	maxRecentReplies = 64  // replies that are kept for commands that are submitted again
)

// Coordinator carries out the plans of a fleet at the lease holder. It is not safe for concurrent use. All calls pass the current
// time in seconds; a time before that of an earlier call counts as the latter. Beside the committed State it holds only what it has
// observed since Start: losing that delays plans and has no other effect.
type Coordinator struct {
	settings      Settings
	now           float64
	committed     Committed
	proposed      *State            // the successor of committed that is being committed; nil: none
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

// queuedCommand is a command that waits for Step. After its deadline it is executed even if mustWait still holds.
type queuedCommand struct {
	Command
	deadline float64
}

// executedCommand is a command with its reply, which is valid once the proposed State is committed.
type executedCommand struct {
	queued queuedCommand
	reply  Reply
}

// New returns a Coordinator that does nothing until Start.
func New(settings Settings) *Coordinator { return &Coordinator{settings: settings} }

// Start begins a new lease: committed is the State that a quorum has confirmed since the lease was granted. Everything of an earlier
// lease is discarded, including queued commands.
func (c *Coordinator) Start(now float64, committed Committed) {
	*c = Coordinator{settings: c.settings, now: now, lastDrainAt: math.Inf(-1)}
	c.committed = committed
	c.updateProgress()
}

// Version returns the version that the State returned by Step replaces. Danger: the caller may know of a newer version before it calls
// ApplyCommitted. It must not replace that one: the State would undo changes that this Coordinator does not know of.
func (c *Coordinator) Version() uint64 { return c.committed.Version }

// nextVersion is the version that the proposed State will have.
func (c *Coordinator) nextVersion() uint64 { return c.committed.Version + 1 }

func (c *Coordinator) advanceClock(now float64) { c.now = max(c.now, now) }

// ApplyCommitted replaces the committed State by a newer one: the proposed one, or one of an earlier lease holder that was committed
// late. Older ones are ignored.
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

// confirm makes the replies to the unconfirmed commands final, whose effects are committed or which had none.
func (c *Coordinator) confirm() {
	for _, executed := range c.unconfirmed {
		c.reply(executed.reply)
	}
}

// requeueUnconfirmed queues the commands of the proposed State again, before all others, to be executed on the committed one. Their
// effects may or may not have been committed; a command that finds its effect in the State replies so.
func (c *Coordinator) requeueUnconfirmed() {
	c.fleet.baseline = rejectionBaseline{} // servers may have been out of service without this Coordinator knowing
	var requeued []queuedCommand
	for _, executed := range c.unconfirmed {
		requeued = append(requeued, executed.queued)
	}
	c.queue = append(requeued, c.queue...)
}

// Observe replaces the snapshot of the fleet by a newer one.
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

// assessPlan records for a plan since when there has been a giveBackReason, and since when there has been no holdReason.
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
		progress.steadySince = 0
	} else if progress.steadySince == 0 {
		progress.steadySince = c.now
	}
}

// freshSnapshot returns the last snapshot, or nil if it is older than snapshotMaxAgeSeconds.
func (c *Coordinator) freshSnapshot() *FleetSnapshot {
	if c.snapshot == nil || c.now-c.snapshotAt > snapshotMaxAgeSeconds {
		return nil
	}
	return c.snapshot
}

// NeedsSnapshot reports whether the caller should query the fleet and call Observe: a plan has not ended, or a submitted one waits to
// be checked.
func (c *Coordinator) NeedsSnapshot() bool {
	return slices.ContainsFunc(c.committed.State.Plans, func(p Plan) bool { return !p.Ended }) ||
		slices.ContainsFunc(c.queue, func(q queuedCommand) bool { return q.Kind == SubmitPlan })
}

// Step executes queued commands, advances all plans and returns the State to commit as the successor of Version, or nil if nothing
// changed. The same State is returned until ApplyCommitted is called with a newer one. The caller must not change it.
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
	if _, err := next.Encode(); err != nil && !next.trimToSize() { // names and reasons made the State too large
		for _, executed := range c.unconfirmed {
			c.reply(Reply{Nonce: executed.reply.Nonce, Err: err.Error()})
		}
		c.unconfirmed = nil
		return nil
	}
	c.proposed = next
	return next
}

// executeQueue executes the queued commands that need not wait, among them at most one AcquireServer that changes the State. It
// reports whether any command changed the State.
func (c *Coordinator) executeQueue(next *State) (changed bool) {
	acquired := false
	var waiting []queuedCommand
	for _, q := range c.queue {
		if q.Kind == AcquireServer && acquired || c.mustWait(&q) && c.now < q.deadline {
			waiting = append(waiting, q)
			continue
		}
		reply, hadEffect := c.execute(next, &q.Command)
		changed = changed || hadEffect
		acquired = acquired || q.Kind == AcquireServer && hadEffect
		c.unconfirmed = append(c.unconfirmed, executedCommand{q, reply})
	}
	c.queue = waiting
	return changed
}

// advancePlans advances all plans that have not ended. At most one server of the fleet becomes Draining in a step, so that its effect
// is observed before the next one drains.
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

// updateAges updates the ages of plans that have not ended, rounded to a tenth of a second. Ages never decrease.
func (c *Coordinator) updateAges(next *State) {
	for i := range next.Plans {
		if p := &next.Plans[i]; !p.Ended {
			if progress := c.planProgress(p.Number); progress != nil {
				p.AgeSeconds = max(p.AgeSeconds, math.Round(10*progress.age(c.now))/10)
			}
		}
	}
}

// mustWait reports whether a command can't be executed yet: SubmitPlan without a fresh snapshot, or a token that contains a later
// version than the committed one. A lease holder that does not know what a later one has handed out must not reply that nobody works
// on the server.
func (c *Coordinator) mustWait(q *queuedCommand) bool {
	switch q.Kind {
	case SubmitPlan:
		return c.freshSnapshot() == nil
	case CompleteServer, FailServer:
		return q.Token > c.committed.Epoch<<40|c.committed.Version
	}
	return false
}

// StepDeadline returns the time by which Step must be called if nothing else happens before.
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
