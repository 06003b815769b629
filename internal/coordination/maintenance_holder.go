package coordination

import (
	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
)

const (
	// announceIntervalSeconds is the time between two announcements while a plan is active, idleAnnounceIntervalSeconds while none is
	// active.
	announceIntervalSeconds, idleAnnounceIntervalSeconds = 1.0, 10.0
	// writeRetrySeconds is the time between two attempts to commit a version.
	writeRetrySeconds = 0.3
	// recordReadSeconds is approximately how long it takes until a new holder knows the committed record.
	recordReadSeconds = 0.35
)

// epochOf returns the epoch of the voters that granted a token.
func epochOf(token uint64) uint64 { return token >> 40 }

// handleCommitted handles a committed record at the holder. The first one starts the coordinator, and later ones are passed to it.
func (r *maintenanceRole) handleCommitted(record *lease.Record) {
	if r.heldToken == 0 {
		return
	}
	now, epoch := r.roles.node.loop.Now(), epochOf(r.heldToken)
	state, err := maintenance.Decode(record.Body)
	if err != nil {
		r.roles.logInfo("committed maintenance record unreadable", "version", record.Version, "error", err)
		return
	}
	switch {
	case record.Version == 0 && r.version > 0 && r.epoch < epoch:
		// A new group of voters was founded and has no record. Danger: agents may still work on servers that the old record cordons, so the
		// old state is committed first.
		r.carriedOver = withInitialVersions(r.state)
		r.writeRetryAt = 0
		return
	case record.Version > 0:
		r.carriedOver = nil
		callStepHook("agreed")
	}
	for i := range state.Plans {
		state.Plans[i].AgeSeconds = r.planAge(now, &state.Plans[i])
	}
	committed := maintenance.Committed{Epoch: epoch, Version: record.Version, State: state}
	if r.proposed = nil; r.coordinator == nil {
		r.startCoordinator(now, committed)
	} else {
		r.coordinator.ApplyCommitted(now, committed)
	}
	r.apply(epoch, record.Version, record.Body, true)
	r.announceAt = 0
	r.roles.requestTick(maintenanceRoleName)
}

// startCoordinator starts the coordinator from the committed record, and executes the commands that were received before.
func (r *maintenanceRole) startCoordinator(now float64, committed maintenance.Committed) {
	r.coordinator = maintenance.New(maintenance.Settings{WarmUpSeconds: r.servers.WarmUpSeconds(), Order: r.roles.node.options.MaintenanceOrder})
	r.coordinator.Start(now, committed)
	for _, t := range r.commands {
		if !t.answered {
			r.execute(now, t)
		}
	}
}

// planAge returns the age of a plan in seconds: the higher of the age in its state and the age that was announced.
func (r *maintenanceRole) planAge(now float64, p *maintenance.Plan) float64 {
	age := p.AgeSeconds
	for _, a := range r.planAges {
		if a.Plan == p.Number {
			age = max(age, a.AgeSeconds+now-r.planAgesAt)
		}
	}
	return age
}

// withInitialVersions encodes a state as the first version of a new epoch.
func withInitialVersions(s maintenance.State) []byte {
	for i := range s.Plans {
		for j := range s.Plans[i].Servers {
			if server := &s.Plans[i].Servers[j]; server.SinceVersion > 0 {
				server.SinceVersion = 1
			}
		}
	}
	body, err := s.Encode()
	if err != nil { // impossible: the state was decoded and has not become longer
		panic(err)
	}
	return body
}

// tickHolder is called at the holder. It proposes versions, runs surveys, sends replies and announces the record. It returns when to
// call it next.
func (r *maintenanceRole) tickHolder(now float64) (next float64) {
	if r.carriedOver != nil {
		if now >= r.writeRetryAt {
			r.writeRetryAt = now + writeRetrySeconds
			r.writeRecord(1, r.carriedOver)
		}
		return r.writeRetryAt
	}
	if r.coordinator == nil {
		return now + recordReadSeconds
	}
	for _, t := range r.commands {
		if !t.answered && now-t.requestedAt < commandInterestSeconds && now >= t.forwardedAt+commandRetrySeconds {
			t.forwardedAt = now
			r.execute(now, t)
		}
	}
	r.runSurveys(now)
	r.proposeNext(now)
	for _, reply := range r.coordinator.Replies() {
		r.publishReply(now, &reply)
	}
	r.announce(now)
	next = min(r.coordinator.StepDeadline(now), r.announceAt)
	if r.proposed != nil {
		next = min(next, r.writeRetryAt)
	}
	if r.collected != nil {
		next = min(next, now+surveyGatherSeconds/2)
	}
	if r.coordinator.NeedsSnapshot() {
		next = min(next, r.surveyAt)
	}
	return next
}

// proposeNext proposes the coordinator's next state to the voters, one state at a time.
func (r *maintenanceRole) proposeNext(now float64) {
	state := r.coordinator.Step(now)
	if state == nil {
		return
	}
	body, err := state.Encode()
	if err != nil { // the coordinator limits the size of its states
		r.roles.logInfo("maintenance state can't be committed", "error", err)
		return
	}
	if r.proposed != nil && now < r.writeRetryAt {
		return
	}
	if r.proposed == nil && drainedServers(state) > drainedServers(&r.state) {
		callStepHook("empty")
	}
	r.proposed, r.writeRetryAt = body, now+writeRetrySeconds
	r.writeRecord(r.coordinator.Version()+1, body)
}

// drainedServers counts the servers that are drained in a state.
func drainedServers(s *maintenance.State) (count int) {
	for i := range s.Plans {
		for _, server := range s.Plans[i].Servers {
			count += boolToInt(server.Stage == maintenance.Drained)
		}
	}
	return count
}

// writeRecord proposes a version to the voters. It does so at the end of the present call, since the lease node may report the commit
// before WriteRecord returns.
func (r *maintenanceRole) writeRecord(version uint64, body []byte) {
	m := r.roles
	m.node.runAfterCall(func() {
		if m.lease != nil {
			m.lease.WriteRecord(m.node.loop.Now(), maintenanceRoleName, version, body)
		}
	})
}

// announce sends all members the record's version, the ages of the plans and what they wait for. The body is sent once per version.
func (r *maintenanceRole) announce(now float64) {
	if now < r.announceAt {
		return
	}
	m := &recordMessage{Epoch: r.epoch, Version: r.version, Holder: r.roles.node.options.Sidecar}
	if epoch := epochOf(r.heldToken); r.epoch != epoch { // nothing has been committed in the present epoch
		m.Epoch, m.Version = epoch, 0
	}
	if r.coordinator.NeedsSnapshot() {
		r.announceAt = now + announceIntervalSeconds
		m.Blockers = r.coordinator.Blockers()
	} else {
		r.announceAt = now + idleAnnounceIntervalSeconds
	}
	for i := range r.state.Plans {
		if p := &r.state.Plans[i]; !p.Ended {
			m.PlanAges = append(m.PlanAges, planAge{p.Number, r.planAge(now, p)})
		}
	}
	r.holderName, r.blockers, r.announcedAt, r.planAges, r.planAgesAt = m.Holder, m.Blockers, now, m.PlanAges, now
	if r.announcedVersion != r.version || r.announcedEpoch != r.epoch {
		m.Body = r.body
	}
	if r.roles.broadcast(maintenanceRoleName, kindRecord, mustMarshal(m)) && m.Body != nil {
		r.announcedVersion, r.announcedEpoch = r.version, r.epoch
		callStepHook("told")
	}
}
