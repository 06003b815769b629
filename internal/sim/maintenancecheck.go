package sim

import (
	"fmt"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
)

// reportViolation reports a violation to the checker. Danger: the checker ignores events without a sidecar.
func (d *maintenanceDriver) reportViolation(what int32, format string, args ...any) {
	d.day.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: 0, Status: what, Text: fmt.Sprintf(format, args...)})
}

// serverNamed returns a server's state.
func (d *maintenanceDriver) serverNamed(name string) *serverState {
	return &d.servers[slices.IndexFunc(d.servers, func(b serverState) bool { return b.name == name })]
}

// Observe implements checker.Observer: it follows attempts and operators' commands.
func (d *maintenanceDriver) Observe(e checker.Event) {
	switch e.Kind {
	case checker.AttemptReceived:
		server := &d.servers[e.Server]
		server.lastAttemptAt, server.lastAttemptBy = e.At, e.Sidecar
		if e.Request != 0 {
			d.attempts[e.Connection] = attemptRoute{e.Server, e.Sidecar}
			server.inFlight[e.Connection] = true
		}
		if server.work != nil && !d.mayReceive(server, e.Sidecar) {
			d.reportViolation(checker.OccupiedInvariant, "%s gets a request from sidecar %d while %s works on it", server.name, e.Sidecar, server.work.agent)
		}
	case checker.ResponseSent, checker.ConnectionClosed:
		if route, isInFlight := d.attempts[e.Connection]; isInFlight {
			delete(d.servers[route.server].inFlight, e.Connection)
			delete(d.attempts, e.Connection)
		}
	case checker.ServerStopped:
		clear(d.servers[e.Server].inFlight)
	case checker.ServerUncordoned:
		d.servers[e.Server].uncordonedBy[e.Sidecar] = true
	case checker.ServerCordoned:
		d.servers[e.Server].uncordonedBy[e.Sidecar] = false
	}
}

// mayReceive reports whether a sidecar may send to a server under maintenance: an operator has allowed it, the sidecar has been
// isolated for so long that the fleet considers it dead, or it started without state and peers to query.
func (d *maintenanceDriver) mayReceive(server *serverState, sidecar int32) bool {
	if server.isExcused || sidecar < 0 || server.uncordonedBy[sidecar] {
		return true
	}
	s := d.day.sidecars[sidecar]
	return s.startedBlind || s.isolatedSince > 0 && d.day.network.Now()-s.isolatedSince > 0.8*deadMemberSeconds
}

// startWork checks that a server's maintenance may start, and records it.
func (d *maintenanceDriver) startWork(work *workRecord) {
	server, now := &d.servers[work.server], d.day.network.Now()
	d.trace("%s works on %s under %d", work.agent, server.name, work.token)
	for link := range server.inFlight { // the order has no effect on the outcome
		if route := d.attempts[link]; !d.mayReceive(server, route.sidecar) {
			d.reportViolation(checker.OccupiedInvariant, "%s is worked on with an execution out there", server.name)
			break
		}
	}
	if quietSeconds := d.spec.QuietSeconds; server.lastAttemptAt > 0 && now-server.lastAttemptAt < quietSeconds-requestTransitSeconds && !d.mayReceive(server, server.lastAttemptBy) {
		d.reportViolation(checker.OccupiedInvariant, "%s got a request %.3f s before it is worked on, %.3f must be", server.name, now-server.lastAttemptAt, quietSeconds)
	}
	if work.token <= d.lastToken {
		d.reportViolation(checker.RepeatInvariant, "%s is handed over under %d after one under %d", server.name, work.token, d.lastToken)
	}
	d.lastToken = max(d.lastToken, work.token)
	inProgress, inSite := 1, 1
	for _, other := range d.records {
		if other.plan != work.plan {
			continue
		}
		if other.server == work.server {
			d.reportViolation(checker.RepeatInvariant, "%s is worked on twice for plan %d", server.name, work.plan)
		}
		if !other.isDone {
			if inProgress++; d.servers[other.server].site == server.site {
				inSite++
			}
		}
	}
	if p := d.planNumbered(work.plan); p != nil && (inProgress > p.Spec.MaxConcurrent || inSite > max(p.Spec.MaxPerSite, 1)) {
		d.reportViolation(checker.BudgetInvariant, "%d boxes of plan %d are worked on, %d of site %s", inProgress, work.plan, inSite, server.site)
	}
	d.records = append(d.records, work)
	server.work = work
	if d.strategy == nil && d.rng.IntN(3) == 0 {
		d.after(d.spec.WorkSeconds*d.rng.Float64(), func() { d.restartSidecar(d.rng.IntN(len(d.day.sidecars))) })
	}
}

// planNumbered returns a plan of the latest record, nil if there is none.
func (d *maintenanceDriver) planNumbered(number uint64) *maintenance.Plan {
	if i := slices.IndexFunc(d.latest.Plans, func(p maintenance.Plan) bool { return p.Number == number }); i >= 0 {
		return &d.latest.Plans[i]
	}
	return nil
}

// isPartitioned reports whether two sidecars can't reach each other.
func (d *maintenanceDriver) isPartitioned(a, b *simulatedSidecar) bool {
	to, from := [2]string{a.spec.IP, b.spec.IP}, [2]string{b.spec.IP, a.spec.IP}
	return d.day.dropCounts[to] > 0 || d.day.dropCounts[from] > 0
}

// observeFleet updates the latest record, and which sidecars are isolated.
func (d *maintenanceDriver) observeFleet() {
	now := d.day.network.Now()
	for _, s := range d.day.sidecars {
		reachable := 0
		for _, peer := range d.day.sidecars {
			if peer != s && peer.process != nil && peer.process.IsRunning() && !peer.isSuspended && !d.isPartitioned(s, peer) {
				reachable++
			}
		}
		isUp := s.process != nil && s.process.IsRunning() && !s.isSuspended
		if isUp && 2*reachable >= len(d.day.sidecars)-1 {
			s.isolatedSince = 0
		} else if s.isolatedSince == 0 {
			s.isolatedSince = now
		}
		if !isUp || s.node == nil {
			continue
		}
		if record := s.node.MaintenanceRecord(); record != nil && (record.Epoch > d.epoch || record.Epoch == d.epoch && record.Version > d.version) {
			if state, err := maintenance.Decode(record.Body); err == nil {
				d.epoch, d.version, d.latest = record.Epoch, record.Version, state
				d.checkBudgets()
			} else {
				d.reportViolation(checker.RecordInvariant, "version %d: %v", record.Version, err)
			}
		}
	}
}

// checkBudgets checks that no more servers are out than the plans allow.
func (d *maintenanceDriver) checkBudgets() {
	if d.strategy == nil && d.rng.IntN(25) == 0 { // the lease holder restarts at some step of a plan
		for i, s := range d.day.sidecars {
			if s.process == nil || !s.process.IsRunning() || s.node == nil {
				continue
			}
			if seen, err := s.node.MaintenanceStatus(); err == nil && seen.Holder == s.spec.Name {
				d.restartSidecar(i)
				break
			}
		}
	}
	line := ""
	for i := range d.latest.Plans {
		p := &d.latest.Plans[i]
		if d.strategy != nil && p.Ended && d.endedAt == 0 {
			d.endedAt = d.day.network.Now()
		}
		out, outBySite := 0, map[string]int{}
		stages := make([]byte, 0, len(p.Servers))
		for _, b := range p.Servers {
			stages = append(stages, "wlrTcdsX"[b.Stage])
			if b.Stage >= maintenance.Draining && b.Stage <= maintenance.WarmingUp {
				out++
				outBySite[b.Site]++
				if outBySite[b.Site] > max(p.Spec.MaxPerSite, 1) {
					d.reportViolation(checker.BudgetInvariant, "%d of site %s are out for plan %d", outBySite[b.Site], b.Site, p.Number)
				}
			}
		}
		if out > p.Spec.MaxConcurrent {
			d.reportViolation(checker.BudgetInvariant, "%d boxes are out for plan %d", out, p.Number)
		}
		line += fmt.Sprintf(" %d:%s", p.Number, stages)
	}
	d.trace("version %d of %d:%s", d.version, d.epoch, line)
}

// checkRecords compares the final record with what agents did.
func (d *maintenanceDriver) checkRecords() {
	for i := range d.latest.Plans {
		p := &d.latest.Plans[i]
		for _, b := range p.Servers {
			wasDone := slices.ContainsFunc(d.records, func(k *workRecord) bool { return k.plan == p.Number && d.servers[k.server].name == b.Name && k.isDone })
			wasStarted := slices.ContainsFunc(d.records, func(k *workRecord) bool { return k.plan == p.Number && d.servers[k.server].name == b.Name })
			switch {
			case b.Stage == maintenance.Done && !wasDone, b.Stage < maintenance.InMaintenance && wasStarted, (b.Stage == maintenance.Skipped || b.Stage == maintenance.Lost) && b.Reason == "":
				d.reportViolation(checker.RecordInvariant, "%s of plan %d is at stage %d for %q; worked on: %t, to the end: %t", b.Name, p.Number, b.Stage, b.Reason, wasStarted, wasDone)
			}
		}
	}
}

// completedCount returns the number of servers whose maintenance was completed.
func (d *maintenanceDriver) completedCount() (n int) {
	for _, k := range d.records {
		if k.isDone {
			n++
		}
	}
	return n
}
