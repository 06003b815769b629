package coordination

import (
	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
)

// agreed takes what the electors keep, as the owner.
func (w *worker) agreed(r *lease.Record) {
	if w.held == 0 {
		return
	}
	now, epoch := w.o.f.net.Now(), w.held>>40
	state, err := maintenance.Decode(r.Body)
	if err != nil {
		w.o.note("what is agreed of work on boxes can't be read", "version", r.Version, "error", err)
		return
	}
	switch {
	case r.Version == 0 && w.version > 0 && w.epoch < epoch:
		// The electors were founded anew and know nothing. Danger: what was out is in a mechanic's hands still.
		w.first = renumbered(w.state)
		w.writeAt = 0
		return
	case r.Version > 0:
		w.first = nil
		atStep("agreed")
	}
	for i := range state.Plans {
		p := &state.Plans[i]
		for _, a := range w.ages {
			if a.Plan == p.Number {
				p.AgeSeconds = max(p.AgeSeconds, a.AgeS+now-w.agesAt)
			}
		}
	}
	a := maintenance.Committed{Epoch: epoch, Version: r.Version, State: state}
	if w.writing = nil; w.c == nil {
		w.c = maintenance.New(maintenance.Settings{WarmUpSeconds: w.to.ColdS(), Order: w.o.f.o.MaintenanceOrder})
		w.c.Start(now, a)
		for _, d := range w.orders { // what came while nobody owned the job
			if !d.ended {
				w.do(now, d)
			}
		}
	} else {
		w.c.ApplyCommitted(now, a)
	}
	w.apply(epoch, r.Version, r.Body, true)
	w.signAt, w.o.job(worksName).next = 0, 0
}

// renumbered returns a state as the first version of another founding.
func renumbered(s maintenance.State) []byte {
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

// tickOwner has things agreed, asks all, and tells them.
func (w *worker) tickOwner(now float64) (next float64) {
	if w.first != nil {
		if now >= w.writeAt {
			w.writeAt = now + writeAgainS
			w.write(1, w.first)
		}
		return w.writeAt
	}
	if w.c == nil {
		return now + renewAgainS
	}
	for _, d := range w.orders {
		if !d.ended && now-d.askedAt < askedForS && now >= d.passAt+commandAgainS {
			d.passAt = now
			w.do(now, d)
		}
	}
	w.rounds(now)
	w.settle(now)
	for _, r := range w.c.Replies() {
		w.reply(now, &r)
	}
	w.sign(now)
	next = min(w.c.StepDeadline(now), w.signAt)
	if w.writing != nil {
		next = min(next, w.writeAt)
	}
	if w.sum != nil {
		next = min(next, now+workGatherS/2)
	}
	if w.c.NeedsSnapshot() {
		next = min(next, w.askAt)
	}
	return next
}

// renewAgainS is about how long it takes until a new owner has been told what is agreed.
const renewAgainS = 0.35

// settle has what the decisions want be agreed.
func (w *worker) settle(now float64) {
	state := w.c.Step(now)
	if state == nil {
		return
	}
	body, err := state.Encode()
	if err != nil { // the decisions bound what they want
		w.o.note("what is wanted of work on boxes can't be agreed", "error", err)
		return
	}
	if w.writing != nil && now < w.writeAt {
		return
	}
	if w.writing == nil && emptied(&w.state, state) {
		atStep("empty")
	}
	w.writing, w.writeAt = body, now+writeAgainS
	w.write(w.c.Version()+1, body)
}

// emptied tells whether a box has come to be empty.
func emptied(was, is *maintenance.State) bool {
	ready := func(s *maintenance.State) (n int) {
		for i := range s.Plans {
			for _, b := range s.Plans[i].Servers {
				n += one(b.Stage == maintenance.Drained)
			}
		}
		return n
	}
	return ready(is) > ready(was)
}

// write asks the electors. Danger: the answer may come within the call.
func (w *worker) write(version uint64, body []byte) {
	o := w.o
	o.f.later(func() {
		if o.t != nil {
			o.t.WriteRecord(o.f.net.Now(), worksName, version, body)
		}
	})
}

// sign tells all what is agreed, and what is waited for.
func (w *worker) sign(now float64) {
	if now < w.signAt {
		return
	}
	word := &agreedWord{Epoch: w.epoch, Version: w.version, Owner: w.o.f.o.Sidecar}
	if w.epoch != w.held>>40 { // nothing was agreed yet
		word.Epoch, word.Version = w.held>>40, 0
	}
	if w.c.NeedsSnapshot() {
		w.signAt = now + signS
		word.Waits = w.c.Blockers()
	} else {
		w.signAt = now + restS
	}
	for i := range w.state.Plans {
		p := &w.state.Plans[i]
		age := p.AgeSeconds
		for _, a := range w.ages {
			if a.Plan == p.Number {
				age = max(age, a.AgeS+now-w.agesAt)
			}
		}
		if !p.Ended {
			word.Ages = append(word.Ages, planAge{p.Number, age})
		}
	}
	w.owner, w.waits, w.wordAt, w.ages, w.agesAt = word.Owner, word.Waits, now, word.Ages, now
	if w.told != w.version || w.toldEpoch != w.epoch {
		word.Body = w.body
	}
	if w.o.spread(worksName, kindAgreed, packed(word)) && word.Body != nil {
		w.told, w.toldEpoch = w.version, w.epoch
		atStep("told")
	}
}
