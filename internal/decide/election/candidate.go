// Package election decides when a process acquires a singleton role and when it may act in it. The register stores the lease
// grant with its fencing token. A process acts only while it has confirmed its grant recently, and another process acquires
// the role only after the lease holder has been silent for longer than the lease.
//
// The package does no input or output and is not safe for concurrent use. Times are seconds on the process's monotonic clock.
package election

import "hazelwheel/internal/decide/register"

const (
	// confirmFraction is the fraction of the lease for which the holder may act before it has to confirm its grant at a quorum
	// again.
	confirmFraction = 0.33
	// vacancyMarginSeconds is added to the lease before the role of a silent holder counts as vacant. It covers the time
	// between the holder's last check and its last action, and the delay of its last heartbeat.
	vacancyMarginSeconds = 1.5
	// maxQuorumSilenceSeconds is how long a holder may act after the last heartbeats to which a quorum has replied. It is less
	// than vacancyMarginSeconds by the possible clock drift during a lease.
	//
	// Danger: a partitioned holder may confirm its grant during a short gap in the partition in which it sends no heartbeat. The
	// others measure its silence from its last heartbeat, so without this limit it might still act when they acquire the role.
	maxQuorumSilenceSeconds = 1.4
	// stallSeconds is the time between two calls of NextAction above which the process counts as stalled in between.
	stallSeconds = 1.0
)

// Candidate is the state of a process as a candidate for one role, whether it holds the role or not.
type Candidate struct {
	Role         string
	Name         string // name of the process, as in register.Grant.Holder
	LeaseSeconds float64

	startedAt     float64
	token         uint64  // fencing token of the local grant; 0 without one
	confirmedAt   float64 // start of the last acquisition or successful confirmation
	holderSeenAt  float64 // when the lease holder was last known to be alive
	observedToken uint64  // token of the grant that holderSeenAt refers to
	checkedAt     float64 // last call of NextAction
	quorumAt      float64 // time of the last heartbeats to which a quorum has replied
}

// QuorumContact is a process's contact with the voters.
type QuorumContact struct {
	IsReachable     bool    // a quorum of the voters is reachable
	ReplyAgeSeconds float64 // age of the heartbeats to which a quorum has replied
}

// NewCandidate returns a candidate that starts at now without a grant.
func NewCandidate(role, name string, leaseSeconds, now float64) *Candidate {
	return &Candidate{Role: role, Name: name, LeaseSeconds: leaseSeconds, startedAt: now, holderSeenAt: now, checkedAt: now}
}

// Action is what the process has to do next.
type Action int

// The actions.
const (
	Wait    Action = iota // another process holds the role, or this one holds it and a quorum has not replied to its heartbeats recently
	Act                   // this process holds the role and may act
	Confirm               // this process has to read its grant at a quorum, and report it to HandleConfirmation
	Acquire               // this process has to propose a register.RoleAcquisition, and report the granted token to HandleAcquired
)

// NextAction returns what the process has to do now. The host calls it several times a second. grant is the newest known
// grant of the role, silentSeconds the age of its holder's last heartbeat, and quorum this process's contact with the voters.
func (c *Candidate) NextAction(now float64, grant register.Grant, silentSeconds float64, quorum QuorumContact) Action {
	hasStalled := now-c.checkedAt > stallSeconds
	c.checkedAt = now
	c.quorumAt = max(c.quorumAt, now-quorum.ReplyAgeSeconds)
	if c.token > 0 && grant.Token > c.token {
		c.token = 0
	}
	if c.token > 0 {
		switch {
		case c.CanAct(now):
			return Act
		case c.isConfirmed(now):
			return Wait // for replies to its heartbeats
		case c.isLeaseExpired(now):
			return Acquire
		}
		return Confirm
	}
	if grant.Token != c.observedToken {
		c.observedToken, c.holderSeenAt = grant.Token, now
	}
	// A grant of an earlier run of this process is acquired again without waiting: the holder stays the same.
	if grant.Token == 0 || grant.Holder == c.Name {
		return Acquire
	}
	c.holderSeenAt = max(c.holderSeenAt, now-silentSeconds)
	if !quorum.IsReachable || hasStalled {
		// Danger: a process that was partitioned or stalled has received no heartbeats. Without this it would afterwards
		// acquire the role of a holder that is still acting.
		c.holderSeenAt = now
	}
	// Danger: a process that has just started doesn't know when the holder acted last.
	if now-c.holderSeenAt > c.LeaseSeconds+vacancyMarginSeconds && now-c.startedAt > c.LeaseSeconds+vacancyMarginSeconds {
		return Acquire
	}
	return Wait
}

// isLeaseExpired reports whether the local grant was not confirmed for a whole lease. Danger: another process may be about to
// acquire the role then, even if a read still returns the local grant. The role must be acquired again, so that the register
// decides between the two.
func (c *Candidate) isLeaseExpired(now float64) bool { return now-c.confirmedAt > c.LeaseSeconds }

// HandleConfirmation handles the grant that a quorum read returned; the read started at startedAt. It confirms nothing if the
// lease had expired by then or the grant was released or resigned meanwhile.
func (c *Candidate) HandleConfirmation(startedAt float64, grant register.Grant) {
	if grant.Holder != c.Name || grant.Token < c.token {
		c.token = 0
		return
	}
	if c.token == 0 || c.isLeaseExpired(startedAt) {
		return
	}
	c.token, c.confirmedAt = grant.Token, startedAt
}

// HandleAcquired handles a successful acquisition that started at startedAt and was granted the given token. This run holds
// the grant from then on.
func (c *Candidate) HandleAcquired(startedAt float64, token uint64) {
	c.token, c.confirmedAt = token, startedAt
}

// ReleaseIfUnconfirmed gives the role up if this process has not been allowed to act for a whole lease. It returns the
// released token, or 0 if none was released. The host sends it to the peers, for which the role is then vacant at once.
func (c *Candidate) ReleaseIfUnconfirmed(now float64) uint64 {
	if c.token == 0 || now-c.confirmedAt <= (1+confirmFraction)*c.LeaseSeconds {
		return 0
	}
	token := c.token
	c.token = 0
	return token
}

// Resign gives the role up without a notice to the peers, which learn of it from the next grant.
func (c *Candidate) Resign() { c.token = 0 }

// Token returns the fencing token of the local grant, or 0 without one.
func (c *Candidate) Token() uint64 { return c.token }

// CanAct reports whether the grant was confirmed, and a quorum has replied to heartbeats, recently enough to act. The host calls
// it right before and after each action.
func (c *Candidate) CanAct(now float64) bool {
	return c.token > 0 && c.isConfirmed(now) && now-c.quorumAt <= maxQuorumSilenceSeconds
}

// isConfirmed reports whether the grant was confirmed recently enough to act.
func (c *Candidate) isConfirmed(now float64) bool {
	return now-c.confirmedAt <= confirmFraction*c.LeaseSeconds
}
