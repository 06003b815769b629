package coordination

import (
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// listRole is one of the three jobs.
type listRole struct {
	relay         *listRelay
	name          string
	heldToken     uint64 // under which it is owned here; 0: it is not
	lapsedToken   uint64 // under which it was, whose lease was not renewed; 0: none
	lapseDeadline float64
	startedAt     float64
	stepDownAt    float64 // when it was asked to go to another
	sourceToken   uint64  // the token of the words that come
	freshAt       float64 // when the last good news was made; 0: there is none
	clockOffset   float64 // what a word that was not held up shows between its owner's clock and this one's
	clockOffsetAt float64
}

func (j *listRole) Name() string { return j.name }

// Start has the sidecar watch for all.
func (j *listRole) Start(token uint64) {
	j.heldToken, j.lapsedToken, j.startedAt = token, 0, j.relay.roles.node.net.Now()
	j.relay.triesOwnWatch = false
	j.relay.lists.WatchOwn(true)
}

// Stop leaves the watch up until what others pass on takes its place.
func (j *listRole) Stop() {
	j.heldToken = 0
	j.relay.releaseOwnWatch()
}

// HandleLapse has it go on: where the leader of the electors is lost, all leases end at once, and nobody would pass anything on. What
// discovery has written is so whoever says it.
func (j *listRole) HandleLapse(token uint64) {
	j.lapsedToken, j.lapseDeadline = token, j.relay.roles.node.net.Now()+lapseGraceSeconds
	j.relay.lists.WatchOwn(true)
}

// continuesAfterLapse tells whether a job goes on whose lease was not renewed: for a while, unless another is known to have been granted it.
func (j *listRole) continuesAfterLapse() bool {
	if j.lapsedToken == 0 {
		return false
	}
	ok, _ := j.relay.roles.fence.Admit(j.name, j.lapsedToken)
	if !ok || j.relay.roles.node.net.Now() > j.lapseDeadline || j.relay.roles.ineligibleReason != "" {
		j.lapsedToken = 0
	}
	return j.lapsedToken != 0
}

// HandleMessage takes a word, a call for the whole list, or a part of that.
func (j *listRole) HandleMessage(from *peers.Link, e *frames.RoleMessage) {
	f := j.relay
	switch e.Kind {
	case kindListUpdate:
		var w listUpdate
		if frames.Unmarshal(e.Body, &w) != nil || f.handleUpdate(from, j, e, &w) != nil {
			f.roles.countMalformed(j.name)
		}
	case kindListRequest:
		var n listRequest
		f.serveWaiters() // which forgets who has waited too long
		if frames.Unmarshal(e.Body, &n) != nil {
			f.roles.countMalformed(j.name)
		} else if n.Discovery == f.lists.Discovery() && len(f.waiters) < maxWaiters {
			f.waiters = append(f.waiters, listWaiter{from.Number, e.Token, j, n.Index, f.roles.node.net.Now() + listRequestRetrySeconds})
			f.serveWaiters()
		}
	case kindListChunk:
		var w listChunk
		if frames.Unmarshal(e.Body, &w) != nil || f.handleChunk(from, &w) != nil {
			f.roles.countMalformed(j.name)
		}
	}
}

// Tick looks at the age of the news, in one of the three.
func (j *listRole) Tick(now float64) (next float64) {
	if j != j.relay.sources[0] {
		return now + 60
	}
	return j.relay.checkFreshness(now)
}

var _ singletonRole = (*listRole)(nil)
