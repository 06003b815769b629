package coordination

import (
	"hazelwheel/internal/peers"
	"hazelwheel/internal/sidecar"
)

const (
	// directWatchDelaySeconds after the last confirmation of the list a sidecar starts a direct watch, with a random delay of up to
	// directWatchJitterSeconds; discovery sends something every 2 s. staleSeconds after the last confirmation the list counts as stale,
	// as if a direct watch had broken.
	directWatchDelaySeconds, directWatchJitterSeconds, staleSeconds = 3.0, 1.0, 5.0
	// distrustSeconds is how long a sidecar ignores updates after one that contradicted its list.
	distrustSeconds = 30.0
	// discoverySilenceSeconds is how long a holder's watch may be silent while other holders send updates, before it gives up the role.
	discoverySilenceSeconds = 10.0
	// clockDriftRate is by how much the clock offset may grow per second without the updates being delayed, since the rates of clocks
	// differ by up to 5 %.
	clockDriftRate = 0.1
)

// listRelay relays the list, so that only a few sidecars watch discovery: the holders of listRoleNames send each object and each
// keep-alive of discovery to all, and the others apply these in place of a watch of their own. A sidecar has one listRelay for all of
// these roles.
type listRelay struct {
	roles   *roleManager
	lists   sidecar.ListReceiver
	sources [len(listRoleNames)]*listRole

	relayed              bool    // updates of others replace this sidecar's watch
	startedDirectWatch   bool    // a direct watch was started because updates are missing
	directWatchAt        float64 // when to start a direct watch; 0: not drawn
	directWatchUpdatedAt float64 // when this sidecar's watch last received something
	distrustUntil        float64 // updates are ignored until then
	announcedIndex       uint64  // highest version whose delta was sent to all, by this sidecar or another

	// The transfer of a list that was requested, see list_transfer.go.
	request          listRequest
	requestedAt      float64 // 0: no list is requested
	requestedFreshAt float64 // when the update that led to the request was sent
	requestLink      int     // number of the link over which the request was sent
	chunks           [][]byte
	waiters          []listWaiter // requests of other sidecars

	stats ListStats
}

// ListStats are statistics of the relay. Operators' tools read the JSON keys.
type ListStats struct {
	Relayed            bool    `json:"fed"`             // updates of others replace this sidecar's watch
	AgeSeconds         float64 `json:"age_s,omitempty"` // since the last confirmation of the list
	Index              uint64  `json:"index"`           // version of the list here
	UpdatesReceived    uint64  `json:"words"`
	Applied            uint64  `json:"taken"`             // applied lists and deltas
	UpdatesSent        uint64  `json:"passed"`            // as a holder
	SnapshotsRequested uint64  `json:"asked"`             // requests for the whole list
	SnapshotsServed    uint64  `json:"answered"`          // whole lists sent to other sidecars
	Mismatches         uint64  `json:"disagreed"`         // updates that contradicted the list here
	Stale              uint64  `json:"starved"`           // how often the list became stale
	ForeignUpdates     uint64  `json:"foreign,omitempty"` // of another discovery service
}

var _ sidecar.ListObserver = (*Node)(nil)

func newListRelay(m *roleManager) *listRelay {
	l := &listRelay{roles: m, lists: m.node.options.Lists}
	for i, name := range listRoleNames {
		l.sources[i] = &listRole{relay: l, name: name}
	}
	return l
}

// ListRead implements sidecar.ListObserver: it relays an object that this sidecar's watch has received from discovery.
func (n *Node) ListRead(previousIndex uint64, held bool, raw []byte) {
	n.run(func() {
		if n.roles != nil && n.roles.listRelay != nil {
			n.roles.listRelay.handleDiscoveryUpdate(previousIndex, held, raw)
		}
	})
}

// WatchEnded implements sidecar.ListObserver: it relays the end of the watch.
func (n *Node) WatchEnded() {
	n.run(func() {
		if n.roles != nil && n.roles.listRelay != nil {
			n.roles.listRelay.handleWatchEnd()
		}
	})
}

func (l *listRelay) now() float64 { return l.roles.node.loop.Now() }

// activeSource returns a role for which this sidecar sends updates as the holder, nil if there is none.
func (l *listRelay) activeSource() *listRole {
	for _, r := range l.sources {
		if r.heldToken != 0 || r.continuesAfterLapse() {
			return r
		}
	}
	return nil
}

// releaseDirectWatch ends the watch unless this sidecar is a holder.
func (l *listRelay) releaseDirectWatch() {
	if l.activeSource() == nil {
		l.lists.SetDirectWatch(false)
	}
}

// --- holder ---

// handleDiscoveryUpdate sends an update of this sidecar's watch to all if this sidecar is a holder. The arguments are those of
// sidecar.ListObserver.ListRead.
func (l *listRelay) handleDiscoveryUpdate(previousIndex uint64, held bool, raw []byte) {
	defer l.serveWaiters()
	l.directWatchUpdatedAt = l.now()
	r := l.activeSource()
	v, ok := l.lists.ListVersion()
	if r == nil || !ok {
		return
	}
	u := listUpdate{Discovery: v.DiscoveryAddress, Index: v.Index, Checksum: v.Checksum}
	if raw != nil && held && v.Index > l.announcedIndex { // otherwise the others have the delta already, or will request the list
		if delta := compress(raw); len(delta) <= maxDeltaBytes {
			u.BaseIndex, u.Delta = previousIndex, delta
		}
	}
	l.publish(r, u)
}

// handleWatchEnd tells all members that this sidecar sends no updates for now, if it is a holder.
func (l *listRelay) handleWatchEnd() {
	if r := l.activeSource(); r != nil {
		l.publish(r, listUpdate{Discovery: l.lists.DiscoveryAddress(), WatchEnded: true})
	}
}

// publish sends an update to all as the holder of a role.
func (l *listRelay) publish(r *listRole, u listUpdate) {
	u.AtSeconds = l.now() - r.startedAt
	sent := false
	if r.heldToken != 0 {
		sent = l.roles.broadcast(r.name, kindListUpdate, mustMarshal(u))
	} else {
		sent = l.roles.broadcastLapsed(r.name, r.lapsedToken, kindListUpdate, mustMarshal(u))
	}
	if sent {
		l.stats.UpdatesSent++
		l.announcedIndex = max(l.announcedIndex, u.Index)
	}
}

// stepDownIfPartitioned asks the voters to move the roles that this sidecar holds if its watch has received nothing for
// discoverySilenceSeconds. It is called while updates of other holders arrive.
func (l *listRelay) stepDownIfPartitioned(now float64) {
	for _, r := range l.sources {
		if r.heldToken != 0 && now > max(r.startedAt, l.directWatchUpdatedAt, r.stepDownAt)+discoverySilenceSeconds {
			r.stepDownAt = now
			l.roles.logInfo("discovery unreachable: stepping down", "role", r.name)
			l.roles.lease.RequestStepDown(now, r.name)
		}
	}
}

// --- receivers ---

// handleUpdate handles an update of a holder. An error means that the update is malformed. Danger: a list must never be replaced by an
// earlier version, whichever sidecar sends that.
func (l *listRelay) handleUpdate(from *peers.Link, r *listRole, token uint64, u *listUpdate) error {
	now := l.now()
	l.stats.UpdatesReceived++
	if token != r.sourceToken {
		r.sourceToken, r.clockOffset, r.clockOffsetAt = token, now-u.AtSeconds, now
	}
	if u.Discovery != l.lists.DiscoveryAddress() {
		l.stats.ForeignUpdates++
		return nil
	}
	if u.WatchEnded {
		r.freshAt = 0
		l.checkFreshness(now)
		return nil
	}
	// Estimate the age of the update by the clock offset. Otherwise an update that was delayed in a queue would confirm the list as
	// current.
	r.clockOffset, r.clockOffsetAt = min(r.clockOffset+clockDriftRate*(now-r.clockOffsetAt), now-u.AtSeconds), now
	age := max(now-u.AtSeconds-r.clockOffset, 0)
	if now < l.distrustUntil || age > staleSeconds {
		return nil
	}
	v, held := l.lists.ListVersion()
	switch {
	case held && u.Index < v.Index:
		return nil
	case held && u.Index == v.Index:
	case held && len(u.Delta) > 0 && u.BaseIndex <= v.Index:
		raw, err := decompress(u.Delta)
		if err == nil {
			err = l.applyList(raw, u.Index)
		}
		if err != nil {
			return err
		}
		l.announcedIndex = max(l.announcedIndex, u.Index)
	default:
		l.requestList(from, r, token, u, now, now-age)
		return nil
	}
	if v, held = l.lists.ListVersion(); !held || v.Checksum != u.Checksum {
		l.handleMismatch(now, u.Index)
		return nil
	}
	r.freshAt = now - age
	l.confirmRelayed()
	return nil
}

// applyList applies an object of discovery that must lead to a version.
func (l *listRelay) applyList(raw []byte, index uint64) error {
	if err := l.lists.ApplyList(raw); err != nil {
		return err
	}
	l.stats.Applied++
	if v, held := l.lists.ListVersion(); !held || v.Index != index {
		l.handleMismatch(l.now(), index)
		return errListMismatch
	}
	l.serveWaiters()
	return nil
}

// confirmRelayed records that an update has confirmed the list here, so that no direct watch is needed.
func (l *listRelay) confirmRelayed() {
	l.relayed, l.directWatchAt = true, 0
	l.startedDirectWatch = false
	l.releaseDirectWatch()
	l.lists.ConfirmList()
}

// handleMismatch handles an update that contradicts the list here. One of the two is not what discovery has sent, so the sidecar
// requests the whole list from discovery and ignores updates for distrustSeconds.
func (l *listRelay) handleMismatch(now float64, index uint64) {
	l.stats.Mismatches++
	l.roles.logInfo("relayed list mismatch: watching discovery", "index", index)
	l.stopRelaying()
	l.distrustUntil = now + distrustSeconds
	l.lists.InvalidateList()
}

// stopRelaying discards all confirmations, so that the sidecar uses a direct watch.
func (l *listRelay) stopRelaying() {
	l.relayed, l.directWatchAt, l.requestedAt, l.chunks = false, 0, 0, nil
	for _, r := range l.sources {
		r.freshAt = 0
	}
	l.startedDirectWatch = false
	l.releaseDirectWatch()
}

// newestFreshAt returns when the list here was last confirmed, 0 if it was not.
func (l *listRelay) newestFreshAt() (at float64) {
	for _, r := range l.sources {
		at = max(at, r.freshAt)
	}
	return at
}

// checkFreshness starts a direct watch if confirmations are missing, and stops relaying if the list is stale. It returns when to check
// again.
func (l *listRelay) checkFreshness(now float64) (next float64) {
	if !l.relayed {
		return now + staleSeconds
	}
	newest := l.newestFreshAt()
	switch {
	case newest == 0 || now >= newest+staleSeconds:
		l.stats.Stale++
		l.stopRelaying()
		l.lists.ExpireList()
		return now + staleSeconds
	case now < newest+directWatchDelaySeconds:
		l.stepDownIfPartitioned(now)
		return newest + directWatchDelaySeconds
	case l.directWatchAt == 0:
		l.directWatchAt = now + directWatchJitterSeconds*l.roles.node.options.Rand.Float64()
	}
	if !l.startedDirectWatch && now >= l.directWatchAt && l.activeSource() == nil {
		l.startedDirectWatch = true
		l.lists.SetDirectWatch(true)
	}
	if l.startedDirectWatch || l.activeSource() != nil {
		return newest + staleSeconds
	}
	return min(l.directWatchAt, newest+staleSeconds)
}

func (l *listRelay) snapshotStats() *ListStats {
	s := l.stats
	if v, held := l.lists.ListVersion(); held {
		s.Index = v.Index
	}
	if s.Relayed = l.relayed; l.relayed {
		s.AgeSeconds = l.now() - l.newestFreshAt()
	}
	return &s
}
