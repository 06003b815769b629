package coordination

import (
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

// own returns what this sidecar says.
func (w *worker) own(now float64) *maintenance.Report {
	f := w.o.f
	spanS := max(now-w.endedAt, 0.001)
	w.endedAt = now
	all, refused := w.to.Ended()
	s := &maintenance.Report{CompletedPerSecond: float64(all-w.ended) / spanS, RejectedPerSecond: float64(refused-w.refused) / spanS}
	w.ended, w.refused = all, refused
	if w.to.ListLate() {
		s.StaleMembers = 1
	}
	s.Reporters = []maintenance.Reporter{{ID: f.state.ID, BootID: f.view.Self().Version.BootID, Version: w.version}}
	settle := map[string]float64{}
	for i := range w.state.Plans {
		p := &w.state.Plans[i]
		for _, b := range p.Servers {
			if b.Stage.IsCordoned() {
				settle[b.Name] = max(settle[b.Name], p.Spec.QuietPeriodSeconds())
			}
		}
	}
	for _, b := range w.to.Boxes() {
		seen := maintenance.ServerStatus{Server: b.Name, Site: b.Site, Type: b.Type, Capacity: b.Size, ListedBy: one(b.Listed), DrainingBy: one(b.Draining), CordonedBy: one(b.Hand),
			WarmingUpBy: one(b.Cold), UnresponsiveBy: one(b.Silent), InFlight: b.Out, Busy: b.Busy}
		if was, known := w.boxEnded[b.Name]; known {
			seen.CompletedPerSecond = float64(b.Ended-was) / spanS
		}
		w.boxEnded[b.Name] = b.Ended
		s.Servers = append(s.Servers, seen)
		if settleS, out := settle[b.Name]; out && (b.Kept || b.Out > 0 || now-w.outAt[b.Name] < settleS) {
			s.InUse = append(s.InUse, maintenance.InUse{Server: b.Name, Member: f.state.ID, Uncordoned: b.Kept, InFlight: b.Out})
		}
	}
	return s
}

// answer sends what has been gathered over the link by which the question came. Where there is no room for it, it waits.
func (w *worker) answer(now float64) {
	l := w.o.f.links[w.up]
	if l == nil {
		w.gathered = nil // the link has ended: those behind it are not heard in this round
		return
	}
	body := packed(worksSum{w.round, *w.gathered})
	b := &w.bucket
	b.left, b.at = min(b.left+(now-b.at)*answersPerS, answersAtOnce), now
	if need := float64(len(body)); b.left < need && b.left < answersAtOnce {
		w.sendAt = now + min((need-b.left)/answersPerS, workWithinS)
		return
	}
	b.left -= float64(len(body))
	w.o.reply(l, worksName, w.token, kindSum, body)
	w.gathered = nil
}

// rounds has all be asked, again and again, as long as a plan goes on.
func (w *worker) rounds(now float64) {
	if w.sum != nil && (now >= w.by || w.whole()) {
		w.c.Observe(now, maintenance.FleetSnapshot{Members: w.asked, Report: *w.sum, Complete: w.whole()})
		w.sum = nil
	}
	if w.sum != nil || now < w.askAt || !w.c.NeedsSnapshot() {
		return
	}
	w.askAt = now + workRoundS
	w.round++
	if !w.o.spread(worksName, kindWorkAsk, packed(worksQuestion{w.round, w.epoch, w.version})) {
		return
	}
	w.asked = nil
	for m := range w.o.f.view.Members {
		w.asked = append(w.asked, maintenance.Member{ID: m.ID, Name: m.Name, BootID: m.Version.BootID, State: m.State, StateAgeSeconds: m.StateAgeSeconds})
	}
	w.sum, w.by = w.own(now), now+workWithinS
}

// whole tells whether all that live have answered.
func (w *worker) whole() bool {
	return !slices.ContainsFunc(w.asked, func(m maintenance.Member) bool {
		return m.State == swim.Alive && !w.sum.HasReporter(maintenance.Reporter{ID: m.ID})
	})
}
