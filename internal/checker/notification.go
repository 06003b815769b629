package checker

import (
	"math"
	"slices"
	"sort"
)

// notifiedAt returns when a sidecar counts as notified of a change of the list, as far as can be said at a time; +Inf: not
// yet.
func (c *Checker) notifiedAt(sidecar *sidecarState, change *Event, at float64) float64 {
	madeAt := max(change.At, sidecar.startedAt)
	notified := c.deferForInterruptions(sidecar, change, c.discoveryUpFor(madeAt, c.rules.UpdateTimeoutSeconds))
	if sidecar.hasLiveWatch() {
		return notified
	}
	missed := math.Inf(1)
	if sidecar.stalledAt > 0 { // changes after the stall should have been noticed count as missed when they are made
		missed = max(madeAt, c.deferForInterruptions(sidecar, change, c.discoveryReachableFor(sidecar.stalledAt, c.rules.UpdateTimeoutSeconds)))
	}
	if sidecar.openWatches > 0 {
		return missed
	}
	timeout := c.rules.PollTimeoutSeconds
	if !sidecar.isPolledSinceWatch {
		if sidecar.pollFailed {
			timeout *= failedPollFactor
		}
		if unpolledAt := max(change.At, sidecar.polledAt) + timeout; unpolledAt <= at {
			notified = min(notified, unpolledAt)
		}
		return min(notified, missed)
	}
	// A sidecar that has called since its watch closed may use its list for as long as its settings allow, counted anew when
	// discovery is back; after a failed call a change counts once discovery had it and was reachable for a while.
	//
	// Danger: discovery that serves three calls a second lets sixty wait; a change that it could not have sent in time is no
	// violation.
	if sidecar.pollFailed {
		return min(c.deferForInterruptions(sidecar, change, c.discoveryReachableFor(madeAt, c.rules.UpdateTimeoutSeconds)), missed)
	}
	return min(max(change.At, sidecar.polledAt, c.discoveryUpAt)+timeout, missed)
}

// deferForInterruptions returns when a sidecar counts as notified of a change that would count from a time on without the
// sidecar's last reload and suspension.
func (c *Checker) deferForInterruptions(sidecar *sidecarState, change *Event, notified float64) float64 {
	if sidecar.reloadedAt > 0 && sidecar.reloadedAt < notified {
		notified = max(notified, sidecar.reloadedAt+c.rules.ReloadGraceSeconds)
	}
	if sidecar.suspendedAt > 0 && notified >= sidecar.suspendedAt && change.At <= sidecar.resumedAt {
		notified = max(notified, sidecar.resumedAt+c.rules.UpdateTimeoutSeconds)
	}
	return notified
}

// discoveryUpFor returns when discovery has been up for so long without an outage since a time; +Inf: not yet.
func (c *Checker) discoveryUpFor(from, forSeconds float64) float64 {
	for i := range c.discoveryOutages {
		if outage := &c.discoveryOutages[i]; outage.until > from && outage.from < from+forSeconds {
			from = outage.until
		}
	}
	return from + forSeconds
}

// discoveryReachableFor returns when discovery has been up for so long without an outage since a time, and would have
// answered a call; +Inf: not yet. Time in which calls were queued does not count, since another one could have timed out.
//
// Danger: a fleet whose calls never end would never count as notified, so no more of that time is left out than a call of
// each sidecar needs.
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

// skipQueues returns when so much time without queued calls has passed since a time. It leaves out at most
// FleetCallsSeconds of queueing.
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

// notServingSince returns since when a sidecar knew, as of a time, that a server drains or is gone; +Inf: it did not.
func (c *Checker) notServingSince(sidecar *sidecarState, serverID int32, at float64) float64 {
	entry, server := sidecar.entry(serverID), c.server(serverID)
	since := math.Inf(1)
	if entry.status != 0 && entry.status != Serving {
		since = entry.changedAt
	}
	first := -1 // the first of the trailing changes that say so
	for i := len(server.listChanges) - 1; i >= 0 && server.listChanges[i].Status != Serving; i-- {
		first = i
	}
	if first >= 0 {
		since = min(since, c.notifiedAt(sidecar, &server.listChanges[first], at))
	}
	return since
}
