package control

import (
	"context"
	"sync"
	"time"

	"hazelwheel/internal/decide/election"
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/nodeconfig"
)

// forever is longer than any lease, in seconds.
const forever = 1e9

// acquireDelay is the minimum time for which a process waits before it acquires a role that another process has held.
const acquireDelay = 50 * time.Millisecond

// roleLease acquires and keeps the lease of one singleton role, as election.Candidate decides. It is safe for concurrent use.
type roleLease struct {
	control   *Control
	role      string
	startedAt time.Time
	// spacing is added to acquireDelay once for each process that comes earlier in the order of preference. So most processes find the role
	// granted already.
	spacing time.Duration
	// announcesRelease is whether the token of a released lease is published in this process's membership record, so that others needn't wait
	// until it expires. Danger: a record holds one token, without the name of its role, so only one role may set this.
	announcesRelease bool

	mu        sync.Mutex // guards the fields below
	candidate *election.Candidate
	idleSince float64 // see idleStart
	hasHeld   bool    // this process has held the role since it started
}

// newRoleLease returns the lease of a role that this process doesn't hold yet.
func newRoleLease(c *Control, role string, spacing time.Duration, announcesRelease bool) *roleLease {
	r := &roleLease{control: c, role: role, startedAt: time.Now(), spacing: spacing, announcesRelease: announcesRelease}
	r.candidate = election.NewCandidate(role, c.settings.NodeID, nodeconfig.FromMillis(c.settings.Bounds.LeaseMs).Seconds(), r.now())
	return r
}

// now returns the time on the lease's clock, in seconds since the start.
func (r *roleLease) now() float64 { return time.Since(r.startedAt).Seconds() }

// token returns the fencing token to act with, 0 without a grant.
func (r *roleLease) token() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidate.Token()
}

// canAct reports whether this process may act in the role. Callers check it right before and right after each action.
func (r *roleLease) canAct() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidate.CanAct(r.now())
}

// idleStart returns the time, on the clock of now, from which no process acted in the role until the current lease was acquired.
func (r *roleLease) idleStart() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleSince
}

// resign gives the role up at once.
func (r *roleLease) resign() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate.Resign()
}

// advance releases an expired lease, and acquires or confirms the lease if that is due. It returns whether this process may act. One goroutine
// calls it several times a second. preference is this process's position among those that may acquire the role, from 0.
func (r *roleLease) advance(ctx context.Context, preference int) bool {
	gossipState, _ := r.control.node.State()
	grant := (&register.Value{Grants: gossipState.Grants}).GrantFor(r.role)
	heartbeatAge := r.lastHeartbeatAge(grant)
	quorum := election.QuorumContact{IsReachable: r.control.reachesMajority(), ReplyAgeSeconds: r.control.quorumReplyAge().Seconds()}
	r.mu.Lock()
	released := r.candidate.ReleaseIfUnconfirmed(r.now())
	action := r.candidate.NextAction(r.now(), grant, heartbeatAge, quorum)
	r.mu.Unlock()
	if released != 0 {
		r.control.log.WithField("token", released).Info("role given up: " + r.role)
		if r.announcesRelease {
			r.control.node.SetReleasedToken(released)
		}
	}
	switch action {
	case election.Acquire:
		r.acquire(ctx, grant, preference)
	case election.Confirm:
		r.confirm(ctx)
	case election.Act, election.Wait:
	}
	return action == election.Act
}

// lastHeartbeatAge returns the seconds since the last heartbeat of a grant's holder. It is forever if the holder has
// released the grant or is not a known member.
func (r *roleLease) lastHeartbeatAge(grant register.Grant) float64 {
	for _, member := range r.control.node.Members() {
		isHolder := member.Kind == membership.Control && member.Name == grant.Holder+"/"+string(membership.Control)
		if isHolder && (!r.announcesRelease || member.ReleasedToken != grant.Token) {
			return member.HeartbeatAgeSeconds
		}
	}
	return forever
}

// acquire proposes a grant to this process with the token after the known one. If the register holds a newer token already, or no majority is
// reached, the lease stays as it is.
func (r *roleLease) acquire(ctx context.Context, grant register.Grant, preference int) {
	if grant.Holder != r.control.settings.NodeID && sleep(ctx, acquireDelay+time.Duration(preference)*r.spacing) != nil {
		return
	}
	if gossipState, _ := r.control.node.State(); (&register.Value{Grants: gossipState.Grants}).GrantFor(r.role).Token != grant.Token {
		return // another process was faster
	}
	startedAt := r.now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	acquisition := register.NewRoleAcquisition(r.role, r.control.settings.NodeID, grant.Token)
	value, _, err := r.control.proposer.propose(ctx, acquisition.Apply, nil)
	if err != nil {
		return
	}
	token := acquisition.GrantedToken(&value.Value)
	if token == 0 {
		return
	}
	r.mu.Lock()
	r.idleSince = r.idleStartFor(grant, startedAt)
	r.candidate.HandleAcquired(startedAt, token)
	r.hasHeld = true
	r.mu.Unlock()
	r.control.log.WithField("token", token).Info("role taken: " + r.role)
}

// idleStartFor returns the idleStart of a lease whose acquisition began at startedAt. grant is the last known grant of the role. The caller
// holds mu.
func (r *roleLease) idleStartFor(grant register.Grant, startedAt float64) float64 {
	switch {
	case grant.Token == 0, grant.Holder == r.control.settings.NodeID && !r.hasHeld:
		return 0 // idle since this process started: the role was never held, or last by this process before its restart
	case grant.Holder == r.control.settings.NodeID:
		return startedAt
	default:
		return startedAt - r.candidate.LeaseSeconds // the other process has sent no heartbeat for longer than a lease
	}
}

// confirm reads the grant from a majority, which extends the time for which this process may act.
func (r *roleLease) confirm(ctx context.Context) {
	startedAt := r.now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := r.control.proposer.read(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate.HandleConfirmation(startedAt, value.GrantFor(r.role))
}
