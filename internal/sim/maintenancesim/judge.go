package maintenancesim

import (
	"bytes"
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/sim/seeds"
)

// Finding is a rule that was broken.
type Finding = seeds.Finding

// The rules.
const (
	RuleInUse       = "work-occupied" // a box is worked on that has an execution out, or has got a new request within the time to settle
	RuleTooMany     = "work-many"     // more is out than a plan allows
	RuleWorkedTwice = "work-twice"    // a box is worked on twice for one plan, or by two
	RuleToken       = "work-token"    // a token of a hand-over is no greater than one before
	RuleShared      = "work-shared"   // two plans that have not ended have a box in common
	RuleWarmUp      = "work-cold"     // a box leaves while another has not had its time to warm up
	RuleMinCapacity = "work-keep"     // a box leaves though less than must stay is left
	RuleEnd         = "work-end"      // a plan does not end, or a box of it ends without its work or a cause
	RuleReply       = "work-answer"   // an answer does not hold
	RuleState       = "work-state"    // what is agreed can't be read, or reads as something else
	RulePanic       = "panic"
)

// judge is what is seen from outside.
type judge struct {
	findings []Finding
	handed   uint64 // the greatest token
	works    []*work
	cold     map[string]float64 // when a box was given back after work
	asked    []*asked
	quietAt  float64 // since when no box has changed by itself
}

// work is what a mechanic has on record.
type work struct {
	plan  uint64
	box   *box
	by    *mechanic
	token uint64
	from  float64
	to    float64 // 0: it goes on
}

func (w *Simulation) broken(rule, format string, args ...any) {
	f := Finding{At: w.Now(), Rule: rule, Why: fmt.Sprintf(format, args...)}
	w.note("BROKEN %v", f)
	if len(w.findings) < 20 {
		w.findings = append(w.findings, f)
	}
}

// handed tells whether a box was given back by hand somewhere, now or just before: who did that has it in use.
func (w *Simulation) byHand(b *box) bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool { return n.hand[b.name] > w.Now()-3 })
}

// forced tells whether a box's hand-over was forced, or it was given back by an operator after it was lost.
func (w *Simulation) forced(box string, token uint64) bool {
	for _, p := range w.agreed().State.Plans {
		for _, b := range p.Servers {
			if b.Name == box && b.Token == token {
				return len(b.ForcedPast) > 0 || b.Stage == maintenance.Skipped
			}
		}
	}
	return false
}

// got takes that a box gets a new request.
func (w *Simulation) got(b *box, n *node) {
	if b.worker != nil && n.hand[b.name] <= w.Now() && !w.forced(b.name, b.token) {
		w.broken(RuleInUse, "%s gets a request from %s, which goes by version %d of %d, while %s works on it", b.name, n.name(), n.version,
			w.version, b.worker.name)
	}
}

// started takes that a mechanic begins to work on a box, or goes on.
func (w *Simulation) started(m *mechanic, b *box, token uint64) {
	w.note("%s works on %s under %d", m.name, b.name, token)
	for _, k := range w.works {
		if k.token == token && k.box == b && k.by == m && k.to == 0 { // it died and goes on
			b.worker = m
			return
		}
	}
	k := &work{box: b, by: m, token: token, from: w.Now()}
	var plan *maintenance.Plan
	state := w.agreed().State
	lost := false
	for i := range state.Plans {
		for _, o := range state.Plans[i].Servers {
			if o.Name == b.name && o.Token == token {
				plan, k.plan, lost = &state.Plans[i], state.Plans[i].Number, o.Stage == maintenance.Lost
			}
		}
	}
	if plan == nil {
		w.broken(RuleToken, "%s is handed over to %s under %d, which is not agreed", b.name, m.name, token)
		return
	}
	if b.worker != nil && b.worker != m && !w.forced(b.name, b.token) {
		w.broken(RuleWorkedTwice, "%s works on %s, on which %s works", m.name, b.name, b.worker.name)
	}
	if settle := plan.Spec.QuietPeriodSeconds(); !w.forced(b.name, token) && !w.byHand(b) {
		if b.out > 0 {
			w.broken(RuleInUse, "%d executions are out on %s as %s begins", b.out, b.name, m.name)
		} else if b.lastAt > 0 && w.Now()-b.lastAt < settle-1e-9 {
			w.broken(RuleInUse, "%s got something %.3f s before %s begins, %g s must be; it was of %s", b.name, w.Now()-b.lastAt, m.name, settle, b.lastBy.name())
		}
	}
	at, site := 1, 1
	for _, o := range w.works {
		if o.plan != k.plan {
			continue
		}
		if o.box == b {
			w.broken(RuleWorkedTwice, "%s is worked on under %d, for plan %d, and was under %d", b.name, token, k.plan, o.token)
		}
		if o.to == 0 && !w.lost(o) {
			at++
			if o.box.site == b.site {
				site++
			}
		}
	}
	if !lost && (at > plan.Spec.MaxConcurrent || site > max(plan.Spec.MaxPerSite, 1)) {
		w.broken(RuleTooMany, "mechanics work on %d boxes of plan %d, %d of site %s", at, k.plan, site, b.site)
	}
	w.works = append(w.works, k)
	w.counts.WorkStarted++
	b.worker, b.token = m, token
}

// lost tells whether a box was given up while it was worked on.
func (w *Simulation) lost(k *work) bool {
	for _, p := range w.agreed().State.Plans {
		for _, b := range p.Servers {
			if b.Token == k.token && (b.Stage == maintenance.Lost || b.Stage == maintenance.Skipped) {
				return true
			}
		}
	}
	return false
}

func (w *Simulation) ended(m *mechanic, b *box, token uint64) {
	w.note("%s has worked on %s under %d", m.name, b.name, token)
	for _, k := range w.works {
		if k.token == token && k.box == b {
			k.to = w.Now()
		}
	}
	b.worker = nil
}

// changed takes what is agreed in place of what was.
func (w *Simulation) changed(body []byte) {
	state, err := maintenance.Decode(body)
	if err != nil {
		w.broken(RuleState, "%v", err)
		return
	}
	if again, err := state.Encode(); err != nil || !bytes.Equal(again, body) {
		w.broken(RuleState, "it reads as something else: %v", err)
	}
	was := w.agreed().State
	w.note("version %d: %s", w.version+1, brief(&state))
	handed := uint64(0)
	for i := range state.Plans {
		p := &state.Plans[i]
		old := find(&was, p.Number)
		if old == nil {
			w.counts.Plans++
		}
		at, sites := 0, map[string]int{}
		for j, b := range p.Servers {
			if b.Stage >= maintenance.Draining && b.Stage <= maintenance.WarmingUp {
				at++
				sites[b.Site]++
				if sites[b.Site] > max(p.Spec.MaxPerSite, 1) {
					w.broken(RuleTooMany, "%d of site %s are out for plan %d", sites[b.Site], b.Site, p.Number)
				}
			}
			if !p.Ended {
				w.alone(&state, p, b.Name)
			}
			if old == nil || old.Servers[j].Stage == b.Stage {
				continue
			}
			w.stage(&was, &state, p, old.Servers[j], b)
			if b.Stage == maintenance.InMaintenance {
				if b.Token <= w.handed || handed != 0 {
					w.broken(RuleToken, "%s is handed over under %d, one before it under %d", b.Name, b.Token, max(w.handed, handed))
				}
				handed = b.Token
			}
		}
		if at > p.Spec.MaxConcurrent {
			w.broken(RuleTooMany, "%d boxes are out for plan %d, at most %d may", at, p.Number, p.Spec.MaxConcurrent)
		}
	}
	w.handed = max(w.handed, handed)
	for i := range was.Plans {
		p := &was.Plans[i]
		gone := find(&state, p.Number) == nil
		if gone && (!p.Ended || slices.ContainsFunc(p.Servers, func(b maintenance.Server) bool { return b.Stage == maintenance.Lost })) {
			w.broken(RuleEnd, "plan %d is forgotten", p.Number)
		}
	}
}

// alone sees that a box is of one plan that has not ended.
func (w *Simulation) alone(s *maintenance.State, by *maintenance.Plan, box string) {
	for i := range s.Plans {
		if p := &s.Plans[i]; p.Number > by.Number && !p.Ended && slices.ContainsFunc(p.Servers, func(b maintenance.Server) bool { return b.Name == box }) {
			w.broken(RuleShared, "%s is of plans %d and %d", box, by.Number, p.Number)
		}
	}
}

// stage takes that a box of a plan comes from one stage to another.
func (w *Simulation) stage(was, s *maintenance.State, p *maintenance.Plan, from, to maintenance.Server) {
	if from.Stage >= maintenance.Done && !(from.Stage == maintenance.Lost && to.Stage == maintenance.Skipped) {
		w.broken(RuleEnd, "%s of plan %d had ended as %d and is %d", to.Name, p.Number, from.Stage, to.Stage)
	}
	if from.Stage == maintenance.InMaintenance && to.Stage != maintenance.WarmingUp && to.Stage != maintenance.Lost {
		w.broken(RuleEnd, "%s is taken from who works on it", to.Name)
	}
	switch to.Stage {
	case maintenance.Draining:
		w.leaves(was, s, p, to)
	case maintenance.Drained:
		if len(to.ForcedPast) > 0 {
			w.counts.Forced++
		}
	case maintenance.WarmingUp:
		w.cold[to.Name] = w.Now()
	case maintenance.Pending:
		w.counts.GivenBack++
	case maintenance.Done:
		w.counts.Done++
	case maintenance.Skipped:
		w.counts.Skipped++
	case maintenance.Lost:
		w.counts.Lost++
	}
	if (to.Stage == maintenance.Skipped || to.Stage == maintenance.Lost) && to.Reason == "" {
		w.broken(RuleEnd, "%s ends without a cause", to.Name)
	}
}

// leaves sees that a box may leave.
func (w *Simulation) leaves(was, s *maintenance.State, p *maintenance.Plan, b maintenance.Server) {
	coldS := p.Spec.WarmUpSeconds
	if coldS == 0 {
		coldS = max(w.coldS, 5)
	}
	at, lost := 0, false // lost: an earlier plan has it out already
	for name := range was.Cordoned {
		lost = lost || name == b.Name
	}
	for _, q := range s.Plans {
		for _, o := range q.Servers {
			if o.Stage >= maintenance.Draining && o.Stage <= maintenance.InMaintenance || q.Number == p.Number && o.Stage >= maintenance.WarmingUp && o.Stage <= maintenance.Done &&
				w.cold[o.Name] > 0 && w.Now()-w.cold[o.Name] < coldS-1e-6 && !warm(o) {
				at++
			}
		}
	}
	if at > p.Spec.MaxConcurrent {
		w.broken(RuleWarmUp, "%s leaves as one of %d that are out or have not had %g s to warm up", b.Name, at, coldS)
	}
	total, left := 0.0, 0.0
	me := w.box(b.Name)
	for _, o := range w.boxes {
		total += o.size
		out := false
		for name := range s.Cordoned {
			out = out || name == o.name
		}
		for _, q := range s.Plans {
			out = out || slices.ContainsFunc(q.Servers, func(k maintenance.Server) bool { return k.Name == o.name && k.Stage == maintenance.WarmingUp })
		}
		if !out && o != me && !o.missing() {
			left += o.size
		}
	}
	if !me.missing() && !lost && left/total < p.Spec.MinCapacity-1e-9 && w.Now()-w.quietAt > 8 {
		w.broken(RuleMinCapacity, "%s leaves, %.3f of the capacity is left, %.3f must be", b.Name, left/total, p.Spec.MinCapacity)
	}
}

// warm tells whether an operator has said that a box is.
func warm(b maintenance.Server) bool { return b.Stage == maintenance.Done && b.Reason != "" }

func (b *box) missing() bool { return b.down || b.unlisted || b.draining }

func find(s *maintenance.State, number uint64) *maintenance.Plan {
	if i := slices.IndexFunc(s.Plans, func(p maintenance.Plan) bool { return p.Number == number }); i >= 0 {
		return &s.Plans[i]
	}
	return nil
}

// gave takes that a plan was agreed, by its answer.
func (w *Simulation) gave(r maintenance.Reply) {
	if r.Plan == 0 || r.Plan > w.agreed().State.LastNumber {
		w.broken(RuleReply, "plan %d is answered, which is not agreed", r.Plan)
	}
}

// over sees how plans have ended.
func (w *Simulation) over() {
	state := w.agreed().State
	for i := range state.Plans {
		p := &state.Plans[i]
		if !p.Ended {
			var why []maintenance.Blocker
			if w.owner != nil && w.owner.c != nil {
				why = w.owner.c.Blockers()
			}
			who := "nobody"
			if w.owner != nil {
				who = fmt.Sprintf("%s (up %t, owns %t)", w.owner.name(), w.owner.up, w.owner.c != nil)
			}
			w.broken(RuleEnd, "plan %d has not ended: %s; %v; the owner is %s", p.Number, brief(&state), why, who)
			continue
		}
		for _, b := range p.Servers {
			worked := slices.ContainsFunc(w.works, func(k *work) bool { return k.plan == p.Number && k.box.name == b.Name && k.to > 0 })
			if b.Stage < maintenance.Done || b.Stage == maintenance.Done && !worked {
				w.broken(RuleEnd, "%s of plan %d has ended as %d, worked on: %t", b.Name, p.Number, b.Stage, worked)
			}
		}
	}
}

// brief is a state in one line: the stages of the boxes of each plan.
func brief(s *maintenance.State) string {
	line := ""
	for _, p := range s.Plans {
		stages := make([]byte, 0, len(p.Servers))
		for _, b := range p.Servers {
			stages = append(stages, "wlrTcdsX"[b.Stage])
		}
		line += fmt.Sprintf("%d:%s", p.Number, stages)
		if p.PausedBy != "" {
			line += "p"
		}
		if p.Ended {
			line += "."
		}
		line += " "
	}
	return line
}
