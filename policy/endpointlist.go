package policy

import (
	"cmp"
	"slices"
)

const (
	firstAsk    = 1.0  // longest wait until the list is asked for after a failure
	longestAsk  = 2.0  // and after further ones: what a failed call missed counts as told 6 s later
	forgetAfter = 60.0 // what the list no longer names is forgotten then
)

// soonestAsk is the part of a wait for the list that is always waited.
const soonestAsk = 0.2

// Hosts takes a list of hosts.
func (b *Balancer) UpdateHosts(now float64, kind ListKind, list []HostInfo) {
	b.now = now
	if kind == ListFailed {
		// Danger: all proxies asking again at once keep the list service down: they ask in turn. Waits
		// beyond some seconds send to hosts whose drain counts as told by then.
		if b.watching {
			b.do.Log("the list of hosts is not to be had: asking again, hosts are known by their answers")
		}
		b.watching = false
		b.askWait = min(max(2*b.askWait, firstAsk), longestAsk)
		b.askAt = now + b.askTurn()
		b.due(b.askAt)
		return
	}
	if kind == ListFull {
		for _, h := range b.order {
			h.State = Gone
		}
	}
	for _, e := range list {
		h := b.hosts[e.ID]
		if h == nil {
			h = &host{HostInfo: HostInfo{ID: e.ID}}
			b.reset(h)
			b.hosts[e.ID] = h
			b.order = append(b.order, h)
		}
		if e.Started > h.Started && e.State == Ready {
			b.reset(h)
		}
		h.HostInfo = e
	}
	slices.SortFunc(b.order, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	// Departed hosts are forgotten in time, or memory and work would grow with every release.
	b.order = slices.DeleteFunc(b.order, func(h *host) bool {
		// Where only draining binds, an old list may call a host ready again that was told to drain.
		h.bound = h.State == Draining || h.State == Gone && !b.s.GoneHostsUsable ||
			h.bound && (h.State != Ready || b.s.GoneHostsUsable)
		if h.State != Gone {
			h.goneAt = now
		}
		if h.member || len(h.outs) > 0 || now-h.goneAt <= forgetAfter {
			return false
		}
		delete(b.hosts, h.ID)
		return true
	})
	if b.watching, b.askWait = kind != ListCached, 0; !b.watching {
		b.askAt = now + b.rng.Float64()*0.2
		b.due(b.askAt)
	}
	b.subset()
	b.pump()
}

// askTurn returns the wait until the list is asked for again after a failure, at most askWait. Proxies ask in the order of
// their numbers, so that together they ask evenly whatever the size of the fleet.
func (b *Balancer) askTurn() float64 {
	turn := (float64(place(b.s.Self, b.s.Replicas)) + b.rng.Float64()) / float64(max(b.s.Replicas, 1))
	return b.askWait * (soonestAsk + (1-soonestAsk)*turn)
}

// reset starts a host's life.
func (b *Balancer) reset(h *host) {
	*h = host{HostInfo: h.HostInfo, outs: h.outs, ratio: 1, member: h.member, gaps: h.gaps[:0],
		turned: make([]float64, len(b.s.Classes)), shunned: make([]float64, len(b.s.Classes))}
	if h.member {
		b.enlist(h)
	}
}
