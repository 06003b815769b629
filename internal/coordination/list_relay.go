package coordination

import (
	"errors"

	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// listRelay is a sidecar's part in the three jobs.
type listRelay struct {
	roles            *roleManager
	lists            sidecar.Lists
	sources          [len(listRoleNames)]*listRole
	relayed          bool    // what others pass on takes the place of a watch
	triesOwnWatch    bool    // a watch of its own was begun for want of news
	ownWatchAt       float64 // when
	distrustUntil    float64 // until when nothing that is passed on counts
	announcedIndex   uint64  // the greatest version of which changes have come
	request          listRequest
	requestedAt      float64 // 0: nothing is wanted
	requestedFreshAt float64 // when what is wanted was news
	ownWatchHeardAt  float64 // when its own watch brought anything last
	requestLink      int     // that it was asked of
	chunks           [][]byte
	waiters          []listWaiter

	stats ListStats
}

// listWaiter is who waits for a whole list.
type listWaiter struct {
	link   int
	token  uint64
	source *listRole
	index  uint64
	until  float64
}

// ListStats say how the lists fare that are passed on.
type ListStats struct {
	Relayed            bool    `json:"fed"`               // what others pass on takes the place of a watch
	AgeSeconds         float64 `json:"age_s,omitempty"`   // since the last good news
	Index              uint64  `json:"index"`             // of the list that is held
	UpdatesReceived    uint64  `json:"words"`             // heard
	Applied            uint64  `json:"taken"`             // lists and changes that were applied
	UpdatesSent        uint64  `json:"passed"`            // words said as an owner
	SnapshotsRequested uint64  `json:"asked"`             // for the whole list
	SnapshotsServed    uint64  `json:"answered"`          // such calls
	Mismatches         uint64  `json:"disagreed"`         // with what was held
	Stale              uint64  `json:"starved"`           // times that the news was too old
	ForeignUpdates     uint64  `json:"foreign,omitempty"` // words of another discovery service
}

func newListRelay(o *roleManager) *listRelay {
	f := &listRelay{roles: o, lists: o.node.options.Lists}
	for i, name := range listRoleNames {
		f.sources[i] = &listRole{relay: f, name: name}
	}
	return f
}

// releaseOwnWatch ends the watch that is held for others where none is owned.
func (f *listRelay) releaseOwnWatch() {
	if f.activeSource() == nil {
		f.lists.WatchOwn(false)
	}
}

// activeSource returns the job under which this sidecar speaks, nil: none.
func (f *listRelay) activeSource() *listRole {
	for _, j := range f.sources {
		if j.heldToken != 0 || j.continuesAfterLapse() {
			return j
		}
	}
	return nil
}

// Listed passes on what discovery has written.
func (f *Node) Listed(before uint64, held bool, raw []byte) {
	f.run(func() {
		if f.roles != nil && f.roles.listRelay != nil {
			f.roles.listRelay.handleDiscoveryUpdate(before, held, raw)
		}
	})
}

// Unlisted passes on that it says no more.
func (f *Node) Unlisted() {
	f.run(func() {
		if f.roles != nil && f.roles.listRelay != nil {
			f.roles.listRelay.handleWatchEnd()
		}
	})
}

func (f *listRelay) handleDiscoveryUpdate(before uint64, held bool, raw []byte) {
	defer f.serveWaiters()
	f.ownWatchHeardAt = f.roles.node.net.Now()
	j := f.activeSource()
	v, ok := f.lists.ListVersion()
	if j == nil || !ok {
		return
	}
	w := listUpdate{Discovery: v.Discovery, Index: v.Index, Checksum: v.Sum}
	if raw != nil && held && v.Index > f.announcedIndex { // else all have it, or have been told of it
		if packed := compress(raw); len(packed) <= maxDeltaBytes {
			w.BaseIndex, w.Delta = before, packed
		}
	}
	f.publish(j, w)
}

func (f *listRelay) handleWatchEnd() {
	if j := f.activeSource(); j != nil {
		f.publish(j, listUpdate{Discovery: f.lists.Discovery(), WatchEnded: true})
	}
}

func (f *listRelay) publish(j *listRole, w listUpdate) {
	w.AtSeconds = f.roles.node.net.Now() - j.startedAt
	said := false
	if j.heldToken != 0 {
		said = f.roles.broadcast(j.name, kindListUpdate, mustMarshal(w))
	} else {
		said = f.roles.broadcastLapsed(j.name, j.lapsedToken, kindListUpdate, mustMarshal(w))
	}
	if said {
		f.stats.UpdatesSent++
		f.announcedIndex = max(f.announcedIndex, w.Index)
	}
}

// handleUpdate takes a word. Danger: a list of a lower version never takes the place of a later one, whoever passes it on.
func (f *listRelay) handleUpdate(from *peers.Link, j *listRole, e *frames.RoleMessage, w *listUpdate) error {
	now := f.roles.node.net.Now()
	f.stats.UpdatesReceived++
	if e.Token != j.sourceToken {
		j.sourceToken, j.clockOffset, j.clockOffsetAt = e.Token, now-w.AtSeconds, now
	}
	if w.Discovery != f.lists.Discovery() {
		f.stats.ForeignUpdates++
		return nil
	}
	if w.WatchEnded {
		j.freshAt = 0
		f.checkFreshness(now)
		return nil
	}
	// Danger: what waits in a queue is as old as the queue is long, and it would count as news.
	j.clockOffset, j.clockOffsetAt = min(j.clockOffset+clockDriftRate*(now-j.clockOffsetAt), now-w.AtSeconds), now
	age := max(now-w.AtSeconds-j.clockOffset, 0)
	if now < f.distrustUntil || age > staleSeconds {
		return nil
	}
	v, held := f.lists.ListVersion()
	switch {
	case held && w.Index < v.Index:
		return nil
	case held && w.Index == v.Index:
	case held && len(w.Delta) > 0 && w.BaseIndex <= v.Index:
		raw, err := decompress(w.Delta)
		if err == nil {
			err = f.applyList(raw, w.Index)
		}
		if err != nil {
			return err
		}
		f.announcedIndex = max(f.announcedIndex, w.Index)
	default:
		f.requestList(from, j, e.Token, w, now, now-age)
		return nil
	}
	if v, held = f.lists.ListVersion(); !held || v.Sum != w.Checksum {
		f.handleMismatch(now, w.Index)
		return nil
	}
	j.freshAt = now - age
	f.confirmRelayed(now)
	return nil
}

var errListMismatch = errors.New("what was passed on is not the version that it is said to be")

// applyList applies what discovery has written.
func (f *listRelay) applyList(raw []byte, index uint64) error {
	if err := f.lists.TakeList(raw); err != nil {
		return err
	}
	f.stats.Applied++
	if v, held := f.lists.ListVersion(); !held || v.Index != index {
		f.handleMismatch(f.roles.node.net.Now(), index)
		return errListMismatch
	}
	f.serveWaiters()
	return nil
}

// confirmRelayed goes by what is passed on.
func (f *listRelay) confirmRelayed(now float64) {
	f.relayed, f.ownWatchAt = true, 0
	f.triesOwnWatch = false
	f.releaseOwnWatch()
	f.lists.Fed()
}

// newestFreshAt returns when the last good news was made.
func (f *listRelay) newestFreshAt() (at float64) {
	for _, j := range f.sources {
		at = max(at, j.freshAt)
	}
	return at
}

// handleMismatch has the sidecar watch for itself: two words that can't both be discovery's.
func (f *listRelay) handleMismatch(now float64, index uint64) {
	f.stats.Mismatches++
	f.roles.logInfo("a list that was passed on is not the one that is held: watching for oneself", "index", index)
	f.stopRelaying()
	f.distrustUntil = now + distrustSeconds
	f.lists.Distrust()
}

// stopRelaying has nothing count that was passed on.
func (f *listRelay) stopRelaying() {
	f.relayed, f.ownWatchAt, f.requestedAt, f.chunks = false, 0, 0, nil
	for _, j := range f.sources {
		j.freshAt = 0
	}
	f.triesOwnWatch = false
	f.releaseOwnWatch()
}

// checkFreshness tells the sidecar when the news is too old.
func (f *listRelay) checkFreshness(now float64) (next float64) {
	if !f.relayed {
		return now + staleSeconds
	}
	newest := f.newestFreshAt()
	switch {
	case newest == 0 || now >= newest+staleSeconds:
		f.stats.Stale++
		f.stopRelaying()
		f.lists.Starved()
		return now + staleSeconds
	case now < newest+ownWatchDelaySeconds:
		f.stepDownIfCutOff(now)
		return newest + ownWatchDelaySeconds
	case f.ownWatchAt == 0:
		f.ownWatchAt = now + ownWatchJitterSeconds*f.roles.node.options.Rand.Float64()
	}
	if !f.triesOwnWatch && now >= f.ownWatchAt && f.activeSource() == nil {
		f.triesOwnWatch = true
		f.lists.WatchOwn(true)
	}
	if f.triesOwnWatch || f.activeSource() != nil {
		return newest + staleSeconds
	}
	return min(f.ownWatchAt, newest+staleSeconds)
}

// stepDownIfCutOff has the jobs go to others where others hear of discovery and this sidecar does not.
func (f *listRelay) stepDownIfCutOff(now float64) {
	for _, j := range f.sources {
		if j.heldToken != 0 && now > max(j.startedAt, f.ownWatchHeardAt, j.stepDownAt)+discoverySilenceSeconds {
			j.stepDownAt = now
			f.roles.logInfo("discovery can't be reached from here: the job is to go to another", "job", j.name)
			f.roles.lease.RequestStepDown(now, j.name)
		}
	}
}

// snapshotStats returns the counts.
func (f *listRelay) snapshotStats() *ListStats {
	c := f.stats
	if v, held := f.lists.ListVersion(); held {
		c.Index = v.Index
	}
	if c.Relayed = f.relayed; f.relayed {
		c.AgeSeconds = f.roles.node.net.Now() - f.newestFreshAt()
	}
	return &c
}

var _ sidecar.Passer = (*Node)(nil)
