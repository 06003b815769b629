package coordination

import (
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// listRoleName is the name that stands for all of listRoleNames in the settings.
const listRoleName = "list"

// listRoleNames are the roles of the relay. All their holders watch discovery, so that lists do not become stale when one holder is
// lost. It does no harm if two roles have the same holder or announce the same version.
var listRoleNames = [...]string{listRoleName, listRoleName + "-2", listRoleName + "-3"}

const (
	// lapseGraceSeconds limits how long a holder whose lease was not renewed continues while no later holder is known.
	lapseGraceSeconds = 60.0
	// otherSourceTickSeconds is the time between two ticks of those list roles whose Tick does nothing: all but the first one.
	otherSourceTickSeconds = 60.0
)

// listRole is one of the roles of a listRelay. Its holder watches discovery and sends the updates to all; for other members it is a
// source of updates.
type listRole struct {
	relay *listRelay
	name  string

	// At the holder.
	heldToken     uint64 // 0: this sidecar is not the holder
	lapsedToken   uint64 // of a lease that was not renewed and under which this sidecar continues; 0: none
	lapseDeadline float64
	startedAt     float64 // when the lease started
	stepDownAt    float64 // when the voters were last asked to move the role

	// At receivers.
	sourceToken uint64  // token of the last update
	freshAt     float64 // when the last update that confirmed the list here was sent, by this sidecar's clock; 0: none
	// clockOffset is the smallest difference seen between the time of receipt of an update, by this sidecar's clock, and its AtSeconds:
	// the difference of an update that was not delayed.
	clockOffset   float64
	clockOffsetAt float64 // when clockOffset was last updated
}

var (
	_ singletonRole = (*listRole)(nil)
	_ lapseHandler  = (*listRole)(nil)
)

// expandListRoles returns roles with listRoleNames in place of listRoleName.
func expandListRoles(roles []string) (all []string) {
	for _, name := range roles {
		if name == listRoleName {
			all = append(all, listRoleNames[:]...)
		} else {
			all = append(all, name)
		}
	}
	return all
}

// Name implements singletonRole.
func (r *listRole) Name() string { return r.name }

// Start implements singletonRole: the holder watches discovery.
func (r *listRole) Start(token uint64) {
	r.heldToken, r.lapsedToken, r.startedAt = token, 0, r.relay.now()
	r.relay.startedDirectWatch = false
	r.relay.lists.SetDirectWatch(true)
}

// Stop implements singletonRole. The direct watch is no longer needed, unless this sidecar holds another list role, but continues until
// updates of others replace it.
func (r *listRole) Stop() {
	r.heldToken = 0
	r.relay.releaseDirectWatch()
}

// HandleLapse implements lapseHandler. When the leader of the voters is lost, all leases end at once, and no updates would be sent
// until there is a new leader. So the holder continues, since an update of discovery is valid whichever sidecar sends it.
func (r *listRole) HandleLapse(token uint64) {
	r.lapsedToken, r.lapseDeadline = token, r.relay.now()+lapseGraceSeconds
	r.relay.lists.SetDirectWatch(true)
}

// continuesAfterLapse reports whether this sidecar continues under a lease that was not renewed: for a limited time, unless a later
// grant is known or this sidecar is not fit to hold roles.
func (r *listRole) continuesAfterLapse() bool {
	if r.lapsedToken == 0 {
		return false
	}
	ok, _ := r.relay.roles.fence.Admit(r.name, r.lapsedToken)
	if !ok || r.relay.now() > r.lapseDeadline || r.relay.roles.ineligibleReason != "" {
		r.lapsedToken = 0
	}
	return r.lapsedToken != 0
}

// HandleMessage implements singletonRole.
func (r *listRole) HandleMessage(from *peers.Link, m *frames.RoleMessage) {
	l := r.relay
	switch m.Kind {
	case kindListUpdate:
		var u listUpdate
		if frames.Unmarshal(m.Body, &u) != nil || l.handleUpdate(from, r, m.Token, &u) != nil {
			l.roles.countMalformed(r.name)
		}
	case kindListRequest:
		var request listRequest
		l.serveWaiters() // removes requests that have waited too long
		if frames.Unmarshal(m.Body, &request) != nil {
			l.roles.countMalformed(r.name)
		} else if request.Discovery == l.lists.DiscoveryAddress() && len(l.waiters) < maxWaiters {
			l.waiters = append(l.waiters, listWaiter{from.Number, m.Token, r, request.Index, l.now() + listRequestRetrySeconds})
			l.serveWaiters()
		}
	case kindListChunk:
		var c listChunk
		if frames.Unmarshal(m.Body, &c) != nil || l.handleChunk(from, &c) != nil {
			l.roles.countMalformed(r.name)
		}
	}
}

// Tick implements singletonRole. The first of the roles checks the age of the list for all.
func (r *listRole) Tick(now float64) (next float64) {
	if r != r.relay.sources[0] {
		return now + otherSourceTickSeconds
	}
	return r.relay.checkFreshness(now)
}
