package maintenancesim

import "hazelwheel/internal/decide/maintenance"

const (
	minStepSeconds     = 0.05 // between two steps of a coordinator
	retryWriteSeconds  = 1.0  // after which a write without an answer is repeated
	pollTimeoutSeconds = 0.25 // least time that a poll of the fleet takes; up to 0.15 more is drawn
)

// superviseLease grants the lease to another sidecar when the voters don't hear from its holder, again and again.
func (s *Simulation) superviseLease() {
	isHolderLost := func() bool {
		h := s.leaseHolder
		return h == nil || !h.isRunning || h.isFrozen || h.isIsolated || h.process != s.leaseHolderProcess
	}
	if isHolderLost() {
		s.After(s.uniform(0.5, 3), func() {
			if isHolderLost() {
				s.grantLease(s.sidecars[s.rng.IntN(len(s.sidecars))])
			}
		})
	}
	s.After(s.uniform(1, 2), s.superviseLease)
}

// grantLease grants the lease to a sidecar that the voters can reach. Sometimes the grant carries the version before the last one,
// and the last one arrives later.
func (s *Simulation) grantLease(n *sidecar) {
	if s.hasNoQuorum || !n.isRunning || n.isFrozen || n.isIsolated {
		return
	}
	s.token++
	s.leaseHolder, s.leaseHolderProcess = n, n.process
	s.counts.Leases++
	s.log("%s granted the lease, token %d", n.name(), s.token)
	token, process := s.token, n.process
	committed := s.committed()
	if s.version > 1 && s.chance(0.3) {
		committed.Version--
		committed.State = s.decode(s.previousBody)
		s.After(s.uniform(0.1, 2), func() {
			n.run(process, func() {
				if n.leaseToken == token && n.coordinator != nil {
					n.applyCommitted(s.version, s.body)
				}
			})
		})
	}
	n.dropLease("granted anew")
	s.After(s.latency(), func() {
		n.run(process, func() { n.startLease(token, committed) })
	})
}

// startLease starts the coordinator for a lease, unless a later one has arrived before.
func (n *sidecar) startLease(token uint64, committed maintenance.Committed) {
	if n.leaseToken >= token {
		return
	}
	n.leaseToken = token
	n.coordinator = maintenance.New(maintenance.Settings{WarmUpSeconds: n.sim.warmUpSeconds, Order: n.sim.order})
	n.coordinator.Start(n.sim.Now(), committed)
	n.coordinatorVersion, n.isWriting, n.nextStep = committed.Version, false, 0
	n.pollFleet(n.process, token)
	n.step()
}

// dropLease ends the lease as far as this sidecar knows.
func (n *sidecar) dropLease(reason string) {
	if n.coordinator != nil {
		n.sim.log("%s dropped the lease: %s", n.name(), reason)
	}
	n.coordinator, n.isWriting = nil, false
}

// committed returns what the voters have committed.
func (s *Simulation) committed() maintenance.Committed {
	return maintenance.Committed{Epoch: s.epoch, Version: s.version, State: s.decode(s.body)}
}

// decode decodes a committed State; that it can't is a finding.
func (s *Simulation) decode(body []byte) maintenance.State {
	state, err := maintenance.Decode(body)
	if err != nil {
		s.violated(RuleState, "%v", err)
	}
	return state
}

// pollFleet takes snapshots of the fleet as long as the coordinator needs them and the lease lasts.
func (n *sidecar) pollFleet(process int, token uint64) {
	s := n.sim
	if n.coordinator == nil || n.leaseToken != token || n.process != process {
		return
	}
	again := func() {
		s.After(s.uniform(0.4, 0.9), func() { n.run(process, func() { n.pollFleet(process, token) }) })
	}
	if !n.coordinator.NeedsSnapshot() {
		again()
		return
	}
	snapshot := n.queryMembers()
	s.After(s.uniform(pollTimeoutSeconds, 0.4), func() {
		snapshot.Members = s.membersSeenBy(n) // at the end of the poll, as the sidecar does
		s.fillReport(&snapshot.Report)
		n.run(process, func() {
			if n.coordinator == nil || n.leaseToken != token {
				return
			}
			n.coordinator.Observe(s.Now(), *snapshot)
			n.step()
			again()
		})
	})
}

// queryMembers asks all sidecars for their part of the report, which arrives in the snapshot within a fraction of a second.
func (n *sidecar) queryMembers() *maintenance.FleetSnapshot {
	s := n.sim
	snapshot := &maintenance.FleetSnapshot{Complete: true}
	for _, member := range s.sidecars {
		if !member.isRunning || member.bootID == 0 {
			continue
		}
		if !member.reaches(n) || s.chance(s.lossProbability) {
			snapshot.Complete = false
			continue
		}
		process := member.process
		s.After(s.uniform(0.01, 0.2), func() {
			if member.process != process || !member.reaches(n) {
				return
			}
			reporter, inUse := member.report()
			snapshot.Report.Reporters = append(snapshot.Report.Reporters, reporter)
			snapshot.Report.InUse = append(snapshot.Report.InUse, inUse...)
		})
	}
	return snapshot
}

// fillReport adds what all sidecars together report.
func (s *Simulation) fillReport(r *maintenance.Report) {
	r.Servers = s.serverStatuses()
	r.CompletedPerSecond = s.requestsPerSecond * s.uniform(0.95, 1.05)
	r.RejectedPerSecond = s.requestsPerSecond * s.rejectedFraction
	r.StaleMembers = s.staleLists
}

// step lets the coordinator make a step, delivers its replies and writes what it proposes.
func (n *sidecar) step() {
	s, c := n.sim, n.coordinator
	if c == nil {
		return
	}
	next := c.Step(s.Now())
	for _, r := range c.Replies() {
		s.deliverReply(n, r)
	}
	n.scheduleStep()
	if next == nil || n.isWriting {
		return
	}
	body, err := next.Encode()
	if err != nil {
		s.violated(RuleState, "%v", err)
		return
	}
	n.isWriting = true
	n.writeOrFail(body)
}

// scheduleStep schedules the step that the coordinator needs at the latest, if none is scheduled that early.
func (n *sidecar) scheduleStep() {
	s, c := n.sim, n.coordinator
	at := c.StepDeadline(s.Now())
	if n.nextStep > s.Now() && at >= n.nextStep-1e-9 {
		return
	}
	n.nextStep = max(at, s.Now()+minStepSeconds)
	process := n.process
	s.After(n.nextStep-s.Now(), func() {
		n.run(process, func() {
			if n.coordinator == c {
				n.nextStep = 0
				n.step()
			}
		})
	})
}

// writeOrFail writes a proposal; with holderFaultProbability the process crashes before it, freezes before it, or crashes before it
// learns of the result.
func (n *sidecar) writeOrFail(body []byte) {
	s, c, process, token, version := n.sim, n.coordinator, n.process, n.leaseToken, n.coordinatorVersion
	write := func() {
		s.After(s.uniform(0.003, 0.05), func() { s.commit(n, process, token, version, body) })
		s.After(retryWriteSeconds, func() {
			n.run(process, func() {
				if n.coordinator == c && n.isWriting {
					n.isWriting = false
					n.step()
				}
			})
		})
	}
	if !s.chance(s.holderFaultProbability) {
		write()
		return
	}
	s.counts.HolderFaults++
	switch s.rng.IntN(3) {
	case 0:
		n.stop(false)
		s.restartLater(n)
	case 1:
		n.freeze(s.uniform(0.3, 20))
		n.deferred = append(n.deferred, func() { n.run(process, write) })
	default:
		write()
		s.After(s.uniform(0, 0.06), func() {
			if n.process == process {
				n.stop(false)
				s.restartLater(n)
			}
		})
	}
}

// commit commits a write if it has the token of the last lease and replaces the current version, and answers it.
func (s *Simulation) commit(n *sidecar, process int, token, version uint64, body []byte) {
	if s.hasNoQuorum {
		return
	}
	if token == s.token && version == s.version {
		s.checkCommit(body)
		s.version++
		s.previousBody, s.body = s.body, body
		s.disseminate()
	} else {
		s.counts.StaleWrites++
	}
	currentVersion, currentBody, isReplaced := s.version, s.body, token < s.token
	if s.chance(s.lossProbability) {
		return
	}
	s.After(s.latency(), func() {
		n.run(process, func() {
			switch {
			case n.coordinator == nil || n.leaseToken != token:
			case isReplaced:
				n.dropLease("replaced")
			default:
				n.applyCommitted(currentVersion, currentBody)
			}
		})
	})
}

// applyCommitted passes a committed State to the coordinator if it is newer.
func (n *sidecar) applyCommitted(version uint64, body []byte) {
	if version <= n.coordinatorVersion {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		n.sim.violated(RuleState, "%v", err)
		return
	}
	n.coordinatorVersion, n.isWriting = version, false
	n.coordinator.ApplyCommitted(n.sim.Now(), maintenance.Committed{Epoch: n.sim.epoch, Version: version, State: state})
	n.step()
}

// disseminate sends the committed State to all sidecars, again and again until they have it or a newer one.
func (s *Simulation) disseminate() {
	version, body := s.version, s.body
	for _, n := range s.sidecars {
		process := n.process
		var send func()
		send = func() {
			if n.process != process || n.version >= version {
				return
			}
			if n.isIsolated || s.chance(0.2) {
				s.After(s.uniform(0.2, 1), send)
				return
			}
			n.run(process, func() { n.apply(version, body) })
		}
		s.After(s.uniform(0.005, 0.3), send)
	}
}
