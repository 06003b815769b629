package coordination

import (
	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
)

// handleCommitted takes what the electors keep, as the owner.
func (w *maintenanceRole) handleCommitted(r *lease.Record) {
	if w.heldToken == 0 {
		return
	}
	now, epoch := w.roles.node.net.Now(), w.heldToken>>40
	state, err := maintenance.Decode(r.Body)
	if err != nil {
		w.roles.logInfo("what is agreed of work on boxes can't be read", "version", r.Version, "error", err)
		return
	}
	switch {
	case r.Version == 0 && w.version > 0 && w.epoch < epoch:
		// The electors were founded anew and know nothing. Danger: what was out is in a mechanic's hands still.
		w.carriedOver = withInitialVersions(w.state)
		w.writeRetryAt = 0
		return
	case r.Version > 0:
		w.carriedOver = nil
		reachStep("agreed")
	}
	for i := range state.Plans {
		p := &state.Plans[i]
		for _, a := range w.planAges {
			if a.Plan == p.Number {
				p.AgeSeconds = max(p.AgeSeconds, a.AgeSeconds+now-w.planAgesAt)
			}
		}
	}
	a := maintenance.Committed{Epoch: epoch, Version: r.Version, State: state}
	if w.proposed = nil; w.coordinator == nil {
		w.coordinator = maintenance.New(maintenance.Settings{WarmUpSeconds: w.servers.ColdS(), Order: w.roles.node.options.MaintenanceOrder})
		w.coordinator.Start(now, a)
		for _, d := range w.commands { // what came while nobody owned the job
			if !d.answered {
				w.execute(now, d)
			}
		}
	} else {
		w.coordinator.ApplyCommitted(now, a)
	}
	w.apply(epoch, r.Version, r.Body, true)
	w.announceAt, w.roles.state(maintenanceRoleName).nextTick = 0, 0
}

// withInitialVersions returns a state as the first version of another founding.
func withInitialVersions(s maintenance.State) []byte {
	for i := range s.Plans {
		for j := range s.Plans[i].Servers {
			if b := &s.Plans[i].Servers[j]; b.SinceVersion > 0 {
				b.SinceVersion = 1
			}
		}
	}
	body, err := s.Encode()
	if err != nil { // it was read a moment ago, and has become no longer
		panic(err)
	}
	return body
}

// tickHolder has things agreed, asks all, and tells them.
func (w *maintenanceRole) tickHolder(now float64) (next float64) {
	if w.carriedOver != nil {
		if now >= w.writeRetryAt {
			w.writeRetryAt = now + writeRetrySeconds
			w.writeRecord(1, w.carriedOver)
		}
		return w.writeRetryAt
	}
	if w.coordinator == nil {
		return now + recordReadSeconds
	}
	for _, d := range w.commands {
		if !d.answered && now-d.requestedAt < commandInterestSeconds && now >= d.forwardedAt+commandRetrySeconds {
			d.forwardedAt = now
			w.execute(now, d)
		}
	}
	w.runSurveys(now)
	w.proposeNext(now)
	for _, r := range w.coordinator.Replies() {
		w.publishReply(now, &r)
	}
	w.announce(now)
	next = min(w.coordinator.StepDeadline(now), w.announceAt)
	if w.proposed != nil {
		next = min(next, w.writeRetryAt)
	}
	if w.collected != nil {
		next = min(next, now+surveyGatherSeconds/2)
	}
	if w.coordinator.NeedsSnapshot() {
		next = min(next, w.surveyAt)
	}
	return next
}

// recordReadSeconds is about how long it takes until a new owner has been told what is agreed.
const recordReadSeconds = 0.35

// proposeNext has what the decisions want be agreed.
func (w *maintenanceRole) proposeNext(now float64) {
	state := w.coordinator.Step(now)
	if state == nil {
		return
	}
	body, err := state.Encode()
	if err != nil { // the decisions bound what they want
		w.roles.logInfo("what is wanted of work on boxes can't be agreed", "error", err)
		return
	}
	if w.proposed != nil && now < w.writeRetryAt {
		return
	}
	if w.proposed == nil && hasNewlyDrained(&w.state, state) {
		reachStep("empty")
	}
	w.proposed, w.writeRetryAt = body, now+writeRetrySeconds
	w.writeRecord(w.coordinator.Version()+1, body)
}

// hasNewlyDrained tells whether a box has come to be empty.
func hasNewlyDrained(was, is *maintenance.State) bool {
	ready := func(s *maintenance.State) (n int) {
		for i := range s.Plans {
			for _, b := range s.Plans[i].Servers {
				n += boolToInt(b.Stage == maintenance.Drained)
			}
		}
		return n
	}
	return ready(is) > ready(was)
}

// writeRecord asks the electors. Danger: the answer may come within the call.
func (w *maintenanceRole) writeRecord(version uint64, body []byte) {
	o := w.roles
	o.node.runAfterCall(func() {
		if o.lease != nil {
			o.lease.WriteRecord(o.node.net.Now(), maintenanceRoleName, version, body)
		}
	})
}

// announce tells all what is agreed, and what is waited for.
func (w *maintenanceRole) announce(now float64) {
	if now < w.announceAt {
		return
	}
	word := &recordMessage{Epoch: w.epoch, Version: w.version, Holder: w.roles.node.options.Sidecar}
	if w.epoch != w.heldToken>>40 { // nothing was agreed yet
		word.Epoch, word.Version = w.heldToken>>40, 0
	}
	if w.coordinator.NeedsSnapshot() {
		w.announceAt = now + announceIntervalSeconds
		word.Blockers = w.coordinator.Blockers()
	} else {
		w.announceAt = now + idleAnnounceIntervalSeconds
	}
	for i := range w.state.Plans {
		p := &w.state.Plans[i]
		age := p.AgeSeconds
		for _, a := range w.planAges {
			if a.Plan == p.Number {
				age = max(age, a.AgeSeconds+now-w.planAgesAt)
			}
		}
		if !p.Ended {
			word.PlanAges = append(word.PlanAges, planAge{p.Number, age})
		}
	}
	w.holderName, w.blockers, w.announcedAt, w.planAges, w.planAgesAt = word.Holder, word.Blockers, now, word.PlanAges, now
	if w.announcedVersion != w.version || w.announcedEpoch != w.epoch {
		word.Body = w.body
	}
	if w.roles.broadcast(maintenanceRoleName, kindRecord, mustMarshal(word)) && word.Body != nil {
		w.announcedVersion, w.announcedEpoch = w.version, w.epoch
		reachStep("told")
	}
}
