package sim

import (
	"fmt"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/coordination"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// checkPeerQueues reports a queue for a peer that exceeds its bound.
func (d *day) checkPeerQueues() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		for _, c := range s.process.Conns() {
			if _, peer := c.Context().(*peers.Link); peer && c.OutboundBuffered() > maxQueuedBytes && !d.queueReported {
				d.queueReported = true
				d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.QueueInvariant,
					Text: fmt.Sprintf("%d bytes wait for a peer that does not read", c.OutboundBuffered())})
			}
		}
	}
}

// maxQueuedBytes is what may be buffered for one peer: the bound of internal/peers, and a frame.
const maxQueuedBytes = 256<<10 + frames.MaxFrameBytes

// Times after which the fleet's views must be right.
const (
	convergenceSeconds = 10.0 // after the last fault between sidecars all agree on the membership
	minUpSeconds       = 12.0 // after its start or return nobody may consider a member dead any more
)

// checkFleet compares what the sidecars know of the fleet with what is so, once they have had the time to converge, and reports
// the first difference. The membership must be the running sidecars, and ranks must be unique; no rule covers the time of a
// fault.
func (d *day) checkFleet() {
	if !d.hasFleet {
		return
	}
	d.checkPeerQueues()
	now := d.network.Now()
	if d.activePeerFaults > 0 {
		d.lastFaultAt = now
	}
	calm := now - d.lastFaultAt
	up := 0
	byID := map[string]*simulatedSidecar{} // for lookups, never iterated
	seen := make([]coordination.Status, len(d.sidecars))
	for i, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() || s.isTerminating || s.isSuspended {
			if s.downSince == 0 {
				s.downSince, d.lastFaultAt, calm = now, now, 0
			}
			continue
		}
		if s.downSince != 0 || s.upSince == 0 {
			s.downSince, s.upSince, d.lastFaultAt, calm = 0, now, now, 0
		}
		up++
		seen[i] = s.node.Status(len(d.sidecars) * 20)
		byID[seen[i].ID] = s
		d.checkIncarnations(s, &seen[i])
		d.checkTokens(s, &seen[i])
	}
	if calm < convergenceSeconds || d.fleetReported {
		return
	}
	ranks := map[int]int{}
	for i, s := range d.sidecars {
		if seen[i].ID == "" {
			continue
		}
		d.checkView(s, &seen[i], byID, up, calm)
		if calm > convergenceSeconds+rankConvergenceSeconds {
			d.checkRank(s, &seen[i], ranks, up)
		}
	}
}

// reportFleet reports a violation of a rule about the fleet by a sidecar. checkFleet reports nothing after this call of it.
func (d *day) reportFleet(s *simulatedSidecar, invariant int32, format string, args ...any) {
	d.fleetReported = true
	d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: invariant, Text: fmt.Sprintf(format, args...)})
}

// checkView compares a sidecar's membership with the running sidecars, of which there are up, calm seconds after the last fault.
func (d *day) checkView(s *simulatedSidecar, seen *coordination.Status, byID map[string]*simulatedSidecar, up int, calm float64) {
	live := 0
	for _, m := range seen.Members {
		switch o := byID[m.ID]; {
		case m.State == "alive" && o != nil:
			live++
		case m.State == "alive" || m.State == "suspected" && o == nil:
			d.reportFleet(s, checker.ViewInvariant, "%s holds %s (%s) for %s, %.1f s after the last trouble, and it is not there", s.spec.Name, m.Name, m.ID, m.State, calm)
		case o != nil && d.network.Now()-o.upSince > minUpSeconds:
			d.reportFleet(s, checker.DeathInvariant, "%s holds %s for %s, %.1f s after the last trouble, and it lives", s.spec.Name, m.Name, m.State, calm)
		}
	}
	if live != up || seen.Live != up {
		d.reportFleet(s, checker.ViewInvariant, "%s knows %d that live and counts %d, of %d, %.1f s after the last trouble", s.spec.Name, live, seen.Live, up, calm)
	}
}

// checkRank checks that a sidecar's rank is its alone, and that it counts the running sidecars. A single one uses its configuration.
func (d *day) checkRank(s *simulatedSidecar, seen *coordination.Status, ranks map[int]int, up int) {
	count := up
	if up == 1 {
		if count = d.configuredSidecars; count == 0 {
			count = len(d.sidecars)
		}
	}
	if other, isTaken := ranks[seen.Rank]; isTaken || seen.Rank >= seen.Count || seen.Count != count {
		d.reportFleet(s, checker.RankInvariant, "%s has rank %d of %d, of %d that live; sidecar %d has that rank, too: %v", s.spec.Name, seen.Rank, seen.Count, up, other, isTaken)
	}
	ranks[seen.Rank] = s.number
}

// checkIncarnations reports a member that a process has seen dead or left and sees again in the same incarnation.
func (d *day) checkIncarnations(s *simulatedSidecar, seen *coordination.Status) {
	if s.deadInStart != s.starts {
		s.deadIncarnations, s.deadInStart = map[string]uint64{}, s.starts
	}
	for _, m := range seen.Members {
		if m.State == "dead" || m.State == "left" {
			s.deadIncarnations[m.ID] = m.Incarnation
		} else if was, ok := s.deadIncarnations[m.ID]; ok && m.Incarnation <= was && !d.fleetReported {
			d.fleetReported = true
			d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.IncarnationInvariant,
				Text: fmt.Sprintf("%s holds %s for %s by the incarnation %d by which it was gone", s.spec.Name, m.Name, m.State, m.Incarnation)})
		}
	}
}

// checkTokens reports a role whose effects a sidecar has accepted under a lower fencing token after a higher one.
func (d *day) checkTokens(s *simulatedSidecar, seen *coordination.Status) {
	if seen.Leases == nil || d.fleetReported {
		return
	}
	for _, j := range seen.Leases.Roles {
		if !slices.IsSorted(j.AcceptedTokens) {
			d.fleetReported = true
			d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.TokenInvariant,
				Text: fmt.Sprintf("%s has taken effects of %s under the tokens %v", s.spec.Name, j.Role, j.AcceptedTokens)})
		}
		d.maxToken = max(d.maxToken, j.MaxToken)
	}
}

// rankConvergenceSeconds is how much later ranks may follow the membership: dead members count for a while, and a new rank must
// be stable.
const rankConvergenceSeconds = 12.0
