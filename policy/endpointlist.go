package policy

import (
	"cmp"
	"slices"
)

const (
	// initialListBackoffSeconds is the longest delay before the list is requested again after a first failure.
	initialListBackoffSeconds = 1.0
	// maxListBackoffSeconds bounds the doubling backoff. A change that was missed by a failed request counts as delivered 6 s
	// later; with a longer backoff the proxy would then still send to hosts that are known to drain.
	maxListBackoffSeconds = 2.0
	// minListBackoffFraction is the part of the backoff that every proxy waits; the rest depends on its replica index and jitter.
	minListBackoffFraction = 0.2
	// maxListRequestJitterSeconds bounds the random delay of the first list request after a cached list.
	maxListRequestJitterSeconds = 0.2
	// forgetHostSeconds is for how long a host is remembered that is no longer on the list.
	forgetHostSeconds = 60.0
)

// UpdateHosts applies an endpoint list, or handles the failure to get one. After a list, the subset is chosen anew and due
// requests are dispatched.
func (b *Balancer) UpdateHosts(now float64, kind ListKind, list []HostInfo) {
	b.now = now
	if kind == ListFailed {
		b.scheduleListRetry()
		return
	}
	if kind == ListFull {
		for _, h := range b.sortedHosts {
			h.State = Gone
		}
	}
	for _, info := range list {
		b.updateHost(info)
	}
	slices.SortFunc(b.sortedHosts, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	b.withdrawAndForget()
	b.isWatching = kind != ListCached
	b.listBackoffSeconds = 0
	if !b.isWatching {
		b.listRequestAt = now + b.rng.Float64()*maxListRequestJitterSeconds
		b.armWake(b.listRequestAt)
	}
	b.chooseSubset()
	b.dispatchDue()
}

// scheduleListRetry arms the next list request after a failed one, with a doubling backoff.
//
// An overloaded list service would stay down if all proxies requested the list at once, so listBackoffDelay spreads the requests.
func (b *Balancer) scheduleListRetry() {
	if b.isWatching {
		b.actions.Log("the list of hosts is not to be had: asking again, hosts are known by their answers")
	}
	b.isWatching = false
	b.listBackoffSeconds = min(max(2*b.listBackoffSeconds, initialListBackoffSeconds), maxListBackoffSeconds)
	b.listRequestAt = b.now + b.listBackoffDelay()
	b.armWake(b.listRequestAt)
}

// listBackoffDelay returns the delay in seconds before the next list request, at most listBackoffSeconds. Each proxy has a slot
// by its replica index, with jitter inside the slot, so that the requests of any number of proxies are spread evenly.
func (b *Balancer) listBackoffDelay() float64 {
	slot := (float64(spreadIndex(b.settings.Self, b.settings.Replicas)) + b.rng.Float64()) / float64(max(b.settings.Replicas, 1))
	return b.listBackoffSeconds * (minListBackoffFraction + (1-minListBackoffFraction)*slot)
}

// updateHost applies one entry of the list. A host that has been restarted since the last entry loses its learned state.
func (b *Balancer) updateHost(info HostInfo) {
	h := b.hosts[info.ID]
	if h == nil {
		h = &host{HostInfo: HostInfo{ID: info.ID}}
		b.resetHost(h)
		b.hosts[info.ID] = h
		b.sortedHosts = append(b.sortedHosts, h)
	}
	if info.Started > h.Started && info.State == Ready {
		b.resetHost(h)
	}
	h.HostInfo = info
}

// withdrawAndForget updates isWithdrawn of all hosts and forgets those that have been gone for forgetHostSeconds; otherwise
// memory and work would grow with every release of the service.
func (b *Balancer) withdrawAndForget() {
	b.sortedHosts = slices.DeleteFunc(b.sortedHosts, func(h *host) bool {
		// With GoneHostsUsable only draining withdraws a host, and it is final: an older list that calls the host ready again must
		// not bring it back.
		h.isWithdrawn = h.State == Draining || h.State == Gone && !b.settings.GoneHostsUsable ||
			h.isWithdrawn && (h.State != Ready || b.settings.GoneHostsUsable)
		if h.State != Gone {
			h.goneAt = b.now
		}
		if h.isMember || len(h.inFlight) > 0 || b.now-h.goneAt <= forgetHostSeconds {
			return false
		}
		delete(b.hosts, h.ID)
		return true
	})
}

// resetHost drops the learned state of a host that is new or was restarted. Attempts in flight are kept.
func (b *Balancer) resetHost(h *host) {
	*h = host{
		HostInfo:     h.HostInfo,
		inFlight:     h.inFlight,
		latencyRatio: 1,
		isMember:     h.isMember,
		gaps:         h.gaps[:0],
		rejections:   make([]float64, len(b.settings.Classes)),
		backoffUntil: make([]float64, len(b.settings.Classes)),
	}
	if h.isMember {
		b.addMember(h)
	}
}
