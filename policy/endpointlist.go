package policy

import (
	"cmp"
	"slices"
)

const (
	initialListBackoffSeconds = 1.0  // longest wait until the list is asked for after a failure
	maxListBackoffSeconds     = 2.0  // and after further ones: what a failed call missed counts as told 6 s later
	forgetHostSeconds         = 60.0 // what the list no longer names is forgotten then
)

// soonestAsk is the part of a wait for the list that is always waited.
const minListBackoffFraction = 0.2

// Hosts takes a list of hosts.
func (b *Balancer) UpdateHosts(now float64, kind ListKind, list []HostInfo) {
	b.now = now
	if kind == ListFailed {
		// Danger: all proxies asking again at once keep the list service down: they ask in turn. Waits
		// beyond some seconds send to hosts whose drain counts as told by then.
		if b.isWatching {
			b.actions.Log("the list of hosts is not to be had: asking again, hosts are known by their answers")
		}
		b.isWatching = false
		b.listBackoffSeconds = min(max(2*b.listBackoffSeconds, initialListBackoffSeconds), maxListBackoffSeconds)
		b.listRequestAt = now + b.listBackoffDelay()
		b.armWake(b.listRequestAt)
		return
	}
	if kind == ListFull {
		for _, h := range b.sortedHosts {
			h.State = Gone
		}
	}
	for _, e := range list {
		h := b.hosts[e.ID]
		if h == nil {
			h = &host{HostInfo: HostInfo{ID: e.ID}}
			b.resetHost(h)
			b.hosts[e.ID] = h
			b.sortedHosts = append(b.sortedHosts, h)
		}
		if e.Started > h.Started && e.State == Ready {
			b.resetHost(h)
		}
		h.HostInfo = e
	}
	slices.SortFunc(b.sortedHosts, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	// Departed hosts are forgotten in time, or memory and work would grow with every release.
	b.sortedHosts = slices.DeleteFunc(b.sortedHosts, func(h *host) bool {
		// Where only draining binds, an old list may call a host ready again that was told to drain.
		h.isWithdrawn = h.State == Draining || h.State == Gone && !b.settings.GoneHostsUsable ||
			h.isWithdrawn && (h.State != Ready || b.settings.GoneHostsUsable)
		if h.State != Gone {
			h.goneAt = now
		}
		if h.isMember || len(h.inFlight) > 0 || now-h.goneAt <= forgetHostSeconds {
			return false
		}
		delete(b.hosts, h.ID)
		return true
	})
	if b.isWatching, b.listBackoffSeconds = kind != ListCached, 0; !b.isWatching {
		b.listRequestAt = now + b.rng.Float64()*0.2
		b.armWake(b.listRequestAt)
	}
	b.chooseSubset()
	b.dispatchDue()
}

// askTurn returns the wait until the list is asked for again after a failure, at most askWait. Proxies ask in the order of
// their numbers, so that together they ask evenly whatever the size of the fleet.
func (b *Balancer) listBackoffDelay() float64 {
	turn := (float64(spreadIndex(b.settings.Self, b.settings.Replicas)) + b.rng.Float64()) / float64(max(b.settings.Replicas, 1))
	return b.listBackoffSeconds * (minListBackoffFraction + (1-minListBackoffFraction)*turn)
}

// reset starts a host's life.
func (b *Balancer) resetHost(h *host) {
	*h = host{HostInfo: h.HostInfo, inFlight: h.inFlight, latencyRatio: 1, isMember: h.isMember, gaps: h.gaps[:0],
		rejections: make([]float64, len(b.settings.Classes)), backoffUntil: make([]float64, len(b.settings.Classes))}
	if h.isMember {
		b.addMember(h)
	}
}
