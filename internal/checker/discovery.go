package checker

import (
	"math"
	"slices"
)

// observeDiscovery handles what discovery reports of its list and of itself.
func (c *Checker) observeDiscovery(e *Event) {
	switch e.Kind {
	case ListChanged:
		server := c.server(e.Server)
		server.listChanges = append(server.listChanges, *e)
	case DiscoveryDown:
		c.discoveryDownAt = e.At
		c.discoveryOutages = append(c.discoveryOutages, interval{e.At, math.Inf(1)})
		for i := range c.sidecars { // all watches are closed, which the sidecars observe
			c.sidecars[i].stalledAt = 0
		}
	case DiscoveryUp:
		c.discoveryDownAt, c.discoveryUpAt = 0, e.At
		closeLastInterval(c.discoveryOutages, e.At)
	case DiscoveryQueueFormed:
		c.discoveryQueues = append(c.discoveryQueues, interval{e.At, math.Inf(1)})
	case DiscoveryQueueDrained:
		closeLastInterval(c.discoveryQueues, e.At)
	}
}

// observeUpdates handles what discovery and peers report of their exchange with a sidecar.
func (c *Checker) observeUpdates(sidecar *sidecarState, e *Event) {
	switch e.Kind {
	case EntryDelivered, EntryRelayed:
		sidecar.applyEntry(e)
	case DiscoveryCalled:
		sidecar.polledAt, sidecar.isPolledSinceWatch = e.At, true
	case DiscoveryCallFailed:
		sidecar.pollFailed = true
	case WatchOpened:
		sidecar.openWatches++
		sidecar.pollFailed, sidecar.stalledAt = false, 0
	case WatchStalled:
		sidecar.stalledWatches = append(sidecar.stalledWatches, e.Connection)
		sidecar.noteStalledWatches(e.At)
	case WatchClosed:
		sidecar.openWatches--
		sidecar.stalledWatches = slices.DeleteFunc(sidecar.stalledWatches, func(connection uint64) bool { return connection == e.Connection })
		if c.discoveryDownAt == 0 {
			sidecar.noteStalledWatches(e.At)
		}
		sidecar.polledAt, sidecar.isPolledSinceWatch = e.At, false
	}
}

// applyEntry updates what the sidecar knows of a server.
//
// Danger: an old list that was relayed would excuse a sidecar that follows it. Entries of a list older than the sidecar's
// are ignored.
func (s *sidecarState) applyEntry(e *Event) {
	entry := s.entry(e.Server)
	if e.Kind == EntryRelayed && (e.ListIndex < s.listIndex || e.Status == Deleted && entry.status == 0) {
		return
	}
	s.listIndex = max(s.listIndex, e.ListIndex)
	if e.Kind == EntryRelayed { // relays replace a stalled watch; an entry arrives by them later than by a watch
		s.stalledAt = 0
	}
	switch {
	case e.Status == Serving:
		*entry = notifiedEntry{status: Serving, changedAt: e.At, servingSince: e.ServingSince, event: *e}
	case entry.status == Serving || entry.status == 0: // the first notification counts, not its repetitions
		*entry = notifiedEntry{status: e.Status, changedAt: e.At, servingSince: entry.servingSince, event: *e}
	default:
		entry.status = e.Status
	}
}
