package sim

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

// RollingReleases returns the faults of a day on which one server after another drains, stops and starts again, and nothing
// else happens.
func RollingReleases(d environment.Day) (all []environment.Fault) {
	for i, at := 0, settledSeconds+1; at < d.LengthSeconds-10; i, at = i+1, at+2.5 {
		all = append(all, environment.Fault{Kind: environment.ScaleIn, AtSeconds: at, DurationSeconds: 4, DrainSeconds: 1.5, Servers: []string{d.Servers[i%d.InitialServers].Name}})
	}
	return all
}

// ListObserver measures the calls and watches that the endpoint list costs the discovery, and how long updates take to reach
// the sidecars. Use it as Options.Observer.
type ListObserver struct {
	Calls      int
	MaxWatches int // at once, once the day has settled
	Sidecars   int
	// Delays are the seconds from each change of the list to its arrival at each sidecar; SlowestDelays those of the slowest sidecar of
	// each change. Sidecars that were down or suspended meanwhile don't count.
	Delays, SlowestDelays []float64
	watchSeconds          float64 // sum of the durations of watches
	lastAt, startedAt     float64
	watching              int
	recipients            []listRecipient
	pending               []pendingList
}

// listRecipient is a sidecar's state for a ListObserver.
type listRecipient struct {
	index uint64
	isUp  bool
}

// pendingList is a version of the list that some sidecars do not have yet.
type pendingList struct {
	index     uint64
	changedAt float64
	isWaiting []bool // by sidecar
	slowest   float64
	waiting   int
}

// settledSeconds is how long after the start a day has settled.
const settledSeconds = 15.0

// MeanWatches returns the mean number of watches once the day has settled.
func (l *ListObserver) MeanWatches() float64 {
	if l.lastAt <= l.startedAt+settledSeconds {
		return 0
	}
	return l.watchSeconds / (l.lastAt - l.startedAt - settledSeconds)
}

// Observe implements checker.Observer.
func (l *ListObserver) Observe(e checker.Event) {
	if l.startedAt == 0 {
		l.startedAt, l.lastAt = e.At, e.At
	}
	if from := max(l.lastAt, l.startedAt+settledSeconds); e.At > from {
		l.watchSeconds += float64(l.watching) * (e.At - from)
		l.MaxWatches = max(l.MaxWatches, l.watching)
	}
	l.lastAt = max(l.lastAt, e.At)
	switch e.Kind {
	case checker.DiscoveryCalled:
		l.Calls++
	case checker.WatchOpened:
		l.watching++
	case checker.WatchClosed:
		l.watching--
	case checker.ListChanged:
		l.handleChange(&e)
	case checker.EntryDelivered, checker.EntryRelayed:
		l.handleDelivery(&e)
	case checker.SidecarStarted:
		p := l.recipient(e.Sidecar)
		*p = listRecipient{isUp: true}
	case checker.SidecarKilled, checker.SidecarTerminating, checker.SidecarExited, checker.SidecarSuspended:
		l.recipient(e.Sidecar).isUp = e.Kind == checker.SidecarSuspended
		for i := range l.pending {
			l.stopWaiting(i, e.Sidecar)
		}
	}
}

// recipient returns a sidecar's state.
func (l *ListObserver) recipient(sidecar int32) *listRecipient {
	for int(sidecar) >= len(l.recipients) {
		l.recipients = append(l.recipients, listRecipient{})
	}
	return &l.recipients[sidecar]
}

// handleChange adds a version of the list, which all running sidecars wait for.
func (l *ListObserver) handleChange(e *checker.Event) {
	o := pendingList{index: e.ListIndex, changedAt: e.At}
	for _, p := range l.recipients {
		o.isWaiting = append(o.isWaiting, p.isUp)
		if p.isUp {
			o.waiting++
		}
	}
	if o.waiting > 0 {
		l.pending = append(l.pending, o)
	}
}

// stopWaiting records that a sidecar no longer waits for a pending version; false if it did not.
func (l *ListObserver) stopWaiting(i int, sidecar int32) bool {
	o := &l.pending[i]
	if int(sidecar) >= len(o.isWaiting) || !o.isWaiting[sidecar] {
		return false
	}
	o.isWaiting[sidecar] = false
	if o.waiting--; o.waiting == 0 && o.slowest > 0 {
		l.SlowestDelays = append(l.SlowestDelays, o.slowest)
	}
	return true
}

// handleDelivery records that a sidecar has received a version of the list.
func (l *ListObserver) handleDelivery(e *checker.Event) {
	p := l.recipient(e.Sidecar)
	if e.ListIndex <= p.index {
		return
	}
	p.index = e.ListIndex
	for i := range l.pending {
		if o := &l.pending[i]; o.index <= e.ListIndex && int(e.Sidecar) < len(o.isWaiting) && o.isWaiting[e.Sidecar] {
			o.slowest = max(o.slowest, e.At-o.changedAt)
			l.Delays = append(l.Delays, e.At-o.changedAt)
			l.stopWaiting(i, e.Sidecar)
		}
	}
	l.pending = slices.DeleteFunc(l.pending, func(o pendingList) bool { return o.waiting == 0 })
}
