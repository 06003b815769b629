package checker

import (
	"math"
	"slices"
	"sort"
)

// countsAsTold returns when a sidecar counts as told of a change of the list, as far as can be said at a time; +Inf: not
// yet.
func (c *Checker) notifiedAt(sidecar *sidecarState, change *Event, at float64) float64 {
	madeAt := max(change.At, sidecar.startedAt)
	notified := c.deferForInterruptions(sidecar, change, c.discoveryUpFor(madeAt, c.rules.UpdateTimeoutSeconds))
	if sidecar.hasLiveWatch() {
		return notified
	}
	missed := math.Inf(1)
	if sidecar.stalledAt > 0 { // what is made once the silence should have been noticed is missed as it is made
		missed = max(madeAt, c.deferForInterruptions(sidecar, change, c.discoveryReachableFor(sidecar.stalledAt, c.rules.UpdateTimeoutSeconds)))
	}
	if sidecar.openWatches > 0 {
		return missed
	}
	timeout := c.rules.PollTimeoutSeconds
	if !sidecar.isPolledSinceWatch {
		if sidecar.pollFailed {
			timeout *= 4
		}
		if unpolledAt := max(change.At, sidecar.polledAt) + timeout; unpolledAt <= at {
			notified = min(notified, unpolledAt)
		}
		return min(notified, missed)
	}
	// Who has called since its watch ended is held to its list for as long as the settings give, counted anew when discovery is
	// back; but after a call that failed a change counts once discovery had it and could be reached for a while. Danger: discovery
	// that works through three calls a second has sixty wait; what it could not have answered in time blames nobody.
	if sidecar.pollFailed {
		return min(c.deferForInterruptions(sidecar, change, c.discoveryReachableFor(madeAt, c.rules.UpdateTimeoutSeconds)), missed)
	}
	return min(max(change.At, sidecar.polledAt, c.discoveryUpAt)+timeout, missed)
}

// hears returns when a sidecar counts as told of a change that would count from a time on, had it not been given a new
// configuration and not stood still.
func (c *Checker) deferForInterruptions(sidecar *sidecarState, change *Event, notified float64) float64 {
	if sidecar.reloadedAt > 0 && sidecar.reloadedAt < notified {
		notified = max(notified, sidecar.reloadedAt+c.rules.ReloadGraceSeconds)
	}
	if sidecar.suspendedAt > 0 && notified >= sidecar.suspendedAt && change.At <= sidecar.resumedAt {
		notified = max(notified, sidecar.resumedAt+c.rules.UpdateTimeoutSeconds)
	}
	return notified
}

// there returns when discovery has been up for so long on end since a time; +Inf: not yet. What it can't tell does not count.
func (c *Checker) discoveryUpFor(from, forSeconds float64) float64 {
	for i := range c.discoveryOutages {
		if outage := &c.discoveryOutages[i]; outage.until > from && outage.from < from+forSeconds {
			from = outage.until
		}
	}
	return from + forSeconds
}

// reachable returns when discovery has been up for so long on end since a time, and would have answered a call; +Inf: not yet. Time in
// which calls stood in line there does not count, since another one could have waited in vain. Danger: a fleet whose calls never end
// would never count as told, so no more of that is taken off than a call of each sidecar needs.
func (c *Checker) discoveryReachableFor(from, forSeconds float64) float64 {
	for {
		until := c.skipQueues(from, forSeconds)
		next := slices.IndexFunc(c.discoveryOutages, func(outage interval) bool { return outage.until > from && outage.from < until })
		if next < 0 {
			return until
		}
		if from = c.discoveryOutages[next].until; math.IsInf(from, 1) {
			return from
		}
	}
}

// beyondLines returns when so much time without a line has passed since a time.
func (c *Checker) skipQueues(from, forSeconds float64) float64 {
	until, excused := from+forSeconds, 0.0
	first := sort.Search(len(c.discoveryQueues), func(i int) bool { return c.discoveryQueues[i].until > from })
	for i := first; i < len(c.discoveryQueues) && c.discoveryQueues[i].from < until; i++ {
		queue := &c.discoveryQueues[i]
		waited := min(queue.until-max(queue.from, from), c.rules.FleetCallsSeconds-excused)
		excused += waited
		until += waited
	}
	return until
}

// notServingSince returns since when a sidecar knew at a time that a box drains or is gone, +Inf: it did not.
func (c *Checker) notServingSince(sidecar *sidecarState, serverID int32, at float64) float64 {
	entry, server := sidecar.entry(serverID), c.server(serverID)
	since := math.Inf(1)
	if entry.status != 0 && entry.status != Serving {
		since = entry.changedAt
	}
	first := -1 // the first of the last changes that say so
	for i := len(server.listChanges) - 1; i >= 0 && server.listChanges[i].Status != Serving; i-- {
		first = i
	}
	if first >= 0 {
		since = min(since, c.notifiedAt(sidecar, &server.listChanges[first], at))
	}
	return since
}
