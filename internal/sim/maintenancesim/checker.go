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
type checker struct {
	findings         []Finding
	greatestToken    uint64 // the greatest token
	acquisitions     []*acquisition
	completedAt      map[string]float64 // when a box was given back after work
	pendingCommands  []*pendingCommand
	undisturbedSince float64 // since when no box has changed by itself
}

// work is what a mechanic has on record.
type acquisition struct {
	plan      uint64
	server    *server
	agent     *agent
	token     uint64
	startedAt float64
	endedAt   float64 // 0: it goes on
}

func (w *Simulation) violated(rule, format string, args ...any) {
	f := Finding{At: w.Now(), Rule: rule, Why: fmt.Sprintf(format, args...)}
	w.log("BROKEN %v", f)
	if len(w.findings) < 20 {
		w.findings = append(w.findings, f)
	}
}

// handed tells whether a box was given back by hand somewhere, now or just before: who did that has it in use.
func (w *Simulation) isUncordoned(b *server) bool {
	return slices.ContainsFunc(w.sidecars, func(n *sidecar) bool { return n.uncordonedUntil[b.name] > w.Now()-3 })
}

// forced tells whether a box's hand-over was forced, or it was given back by an operator after it was lost.
func (w *Simulation) wasForced(box string, token uint64) bool {
	for _, p := range w.committed().State.Plans {
		for _, b := range p.Servers {
			if b.Name == box && b.Token == token {
				return len(b.ForcedPast) > 0 || b.Stage == maintenance.Skipped
			}
		}
	}
	return false
}

// lost tells whether a box was given up while it was worked on.
func (w *Simulation) wasAbandoned(k *acquisition) bool {
	for _, p := range w.committed().State.Plans {
		for _, b := range p.Servers {
			if b.Token == k.token && (b.Stage == maintenance.Lost || b.Stage == maintenance.Skipped) {
				return true
			}
		}
	}
	return false
}

// got takes that a box gets a new request.
func (w *Simulation) checkRequest(b *server, n *sidecar) {
	if b.agent != nil && n.uncordonedUntil[b.name] <= w.Now() && !w.wasForced(b.name, b.token) {
		w.violated(RuleInUse, "%s gets a request from %s, which goes by version %d of %d, while %s works on it", b.name, n.name(), n.version,
			w.version, b.agent.name)
	}
}

// started takes that a mechanic begins to work on a box, or goes on.
func (w *Simulation) workStarted(m *agent, b *server, token uint64) {
	w.log("%s works on %s under %d", m.name, b.name, token)
	for _, k := range w.acquisitions {
		if k.token == token && k.server == b && k.agent == m && k.endedAt == 0 { // it died and goes on
			b.agent = m
			return
		}
	}
	k := &acquisition{server: b, agent: m, token: token, startedAt: w.Now()}
	var plan *maintenance.Plan
	state := w.committed().State
	lost := false
	for i := range state.Plans {
		for _, o := range state.Plans[i].Servers {
			if o.Name == b.name && o.Token == token {
				plan, k.plan, lost = &state.Plans[i], state.Plans[i].Number, o.Stage == maintenance.Lost
			}
		}
	}
	if plan == nil {
		w.violated(RuleToken, "%s is handed over to %s under %d, which is not agreed", b.name, m.name, token)
		return
	}
	if b.agent != nil && b.agent != m && !w.wasForced(b.name, b.token) {
		w.violated(RuleWorkedTwice, "%s works on %s, on which %s works", m.name, b.name, b.agent.name)
	}
	if settle := plan.Spec.QuietPeriodSeconds(); !w.wasForced(b.name, token) && !w.isUncordoned(b) {
		if b.inFlight > 0 {
			w.violated(RuleInUse, "%d executions are out on %s as %s begins", b.inFlight, b.name, m.name)
		} else if b.lastUsedAt > 0 && w.Now()-b.lastUsedAt < settle-1e-9 {
			w.violated(RuleInUse, "%s got something %.3f s before %s begins, %g s must be; it was of %s", b.name, w.Now()-b.lastUsedAt, m.name, settle, b.lastUser.name())
		}
	}
	at, site := 1, 1
	for _, o := range w.acquisitions {
		if o.plan != k.plan {
			continue
		}
		if o.server == b {
			w.violated(RuleWorkedTwice, "%s is worked on under %d, for plan %d, and was under %d", b.name, token, k.plan, o.token)
		}
		if o.endedAt == 0 && !w.wasAbandoned(o) {
			at++
			if o.server.site == b.site {
				site++
			}
		}
	}
	if !lost && (at > plan.Spec.MaxConcurrent || site > max(plan.Spec.MaxPerSite, 1)) {
		w.violated(RuleTooMany, "mechanics work on %d boxes of plan %d, %d of site %s", at, k.plan, site, b.site)
	}
	w.acquisitions = append(w.acquisitions, k)
	w.counts.WorkStarted++
	b.agent, b.token = m, token
}

func (w *Simulation) workEnded(m *agent, b *server, token uint64) {
	w.log("%s has worked on %s under %d", m.name, b.name, token)
	for _, k := range w.acquisitions {
		if k.token == token && k.server == b {
			k.endedAt = w.Now()
		}
	}
	b.agent = nil
}

// changed takes what is agreed in place of what was.
func (w *Simulation) checkCommit(body []byte) {
	state, err := maintenance.Decode(body)
	if err != nil {
		w.violated(RuleState, "%v", err)
		return
	}
	if again, err := state.Encode(); err != nil || !bytes.Equal(again, body) {
		w.violated(RuleState, "it reads as something else: %v", err)
	}
	was := w.committed().State
	w.log("version %d: %s", w.version+1, summary(&state))
	handed := uint64(0)
	for i := range state.Plans {
		p := &state.Plans[i]
		old := findPlan(&was, p.Number)
		if old == nil {
			w.counts.Plans++
		}
		at, sites := 0, map[string]int{}
		for j, b := range p.Servers {
			if b.Stage >= maintenance.Draining && b.Stage <= maintenance.WarmingUp {
				at++
				sites[b.Site]++
				if sites[b.Site] > max(p.Spec.MaxPerSite, 1) {
					w.violated(RuleTooMany, "%d of site %s are out for plan %d", sites[b.Site], b.Site, p.Number)
				}
			}
			if !p.Ended {
				w.checkDisjoint(&state, p, b.Name)
			}
			if old == nil || old.Servers[j].Stage == b.Stage {
				continue
			}
			w.checkStage(&was, &state, p, old.Servers[j], b)
			if b.Stage == maintenance.InMaintenance {
				if b.Token <= w.greatestToken || handed != 0 {
					w.violated(RuleToken, "%s is handed over under %d, one before it under %d", b.Name, b.Token, max(w.greatestToken, handed))
				}
				handed = b.Token
			}
		}
		if at > p.Spec.MaxConcurrent {
			w.violated(RuleTooMany, "%d boxes are out for plan %d, at most %d may", at, p.Number, p.Spec.MaxConcurrent)
		}
	}
	w.greatestToken = max(w.greatestToken, handed)
	for i := range was.Plans {
		p := &was.Plans[i]
		gone := findPlan(&state, p.Number) == nil
		if gone && (!p.Ended || slices.ContainsFunc(p.Servers, func(b maintenance.Server) bool { return b.Stage == maintenance.Lost })) {
			w.violated(RuleEnd, "plan %d is forgotten", p.Number)
		}
	}
}

// alone sees that a box is of one plan that has not ended.
func (w *Simulation) checkDisjoint(s *maintenance.State, by *maintenance.Plan, box string) {
	for i := range s.Plans {
		if p := &s.Plans[i]; p.Number > by.Number && !p.Ended && slices.ContainsFunc(p.Servers, func(b maintenance.Server) bool { return b.Name == box }) {
			w.violated(RuleShared, "%s is of plans %d and %d", box, by.Number, p.Number)
		}
	}
}

// stage takes that a box of a plan comes from one stage to another.
func (w *Simulation) checkStage(was, s *maintenance.State, p *maintenance.Plan, from, to maintenance.Server) {
	if from.Stage >= maintenance.Done && !(from.Stage == maintenance.Lost && to.Stage == maintenance.Skipped) {
		w.violated(RuleEnd, "%s of plan %d had ended as %d and is %d", to.Name, p.Number, from.Stage, to.Stage)
	}
	if from.Stage == maintenance.InMaintenance && to.Stage != maintenance.WarmingUp && to.Stage != maintenance.Lost {
		w.violated(RuleEnd, "%s is taken from who works on it", to.Name)
	}
	switch to.Stage {
	case maintenance.Draining:
		w.checkDrain(was, s, p, to)
	case maintenance.Drained:
		if len(to.ForcedPast) > 0 {
			w.counts.Forced++
		}
	case maintenance.WarmingUp:
		w.completedAt[to.Name] = w.Now()
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
		w.violated(RuleEnd, "%s ends without a cause", to.Name)
	}
}

// leaves sees that a box may leave.
func (w *Simulation) checkDrain(was, s *maintenance.State, p *maintenance.Plan, b maintenance.Server) {
	coldS := p.Spec.WarmUpSeconds
	if coldS == 0 {
		coldS = max(w.warmUpSeconds, 5)
	}
	at, lost := 0, false // lost: an earlier plan has it out already
	for name := range was.Cordoned {
		lost = lost || name == b.Name
	}
	for _, q := range s.Plans {
		for _, o := range q.Servers {
			if o.Stage >= maintenance.Draining && o.Stage <= maintenance.InMaintenance || q.Number == p.Number && o.Stage >= maintenance.WarmingUp && o.Stage <= maintenance.Done &&
				w.completedAt[o.Name] > 0 && w.Now()-w.completedAt[o.Name] < coldS-1e-6 && !wasDeclaredWarm(o) {
				at++
			}
		}
	}
	if at > p.Spec.MaxConcurrent {
		w.violated(RuleWarmUp, "%s leaves as one of %d that are out or have not had %g s to warm up", b.Name, at, coldS)
	}
	total, left := 0.0, 0.0
	me := w.serverByName(b.Name)
	for _, o := range w.servers {
		total += o.capacity
		out := false
		for name := range s.Cordoned {
			out = out || name == o.name
		}
		for _, q := range s.Plans {
			out = out || slices.ContainsFunc(q.Servers, func(k maintenance.Server) bool { return k.Name == o.name && k.Stage == maintenance.WarmingUp })
		}
		if !out && o != me && !o.isUnavailable() {
			left += o.capacity
		}
	}
	if !me.isUnavailable() && !lost && left/total < p.Spec.MinCapacity-1e-9 && w.Now()-w.undisturbedSince > 8 {
		w.violated(RuleMinCapacity, "%s leaves, %.3f of the capacity is left, %.3f must be", b.Name, left/total, p.Spec.MinCapacity)
	}
}

// warm tells whether an operator has said that a box is.
func wasDeclaredWarm(b maintenance.Server) bool { return b.Stage == maintenance.Done && b.Reason != "" }

func findPlan(s *maintenance.State, number uint64) *maintenance.Plan {
	if i := slices.IndexFunc(s.Plans, func(p maintenance.Plan) bool { return p.Number == number }); i >= 0 {
		return &s.Plans[i]
	}
	return nil
}

// gave takes that a plan was agreed, by its answer.
func (w *Simulation) checkPlanReply(r maintenance.Reply) {
	if r.Plan == 0 || r.Plan > w.committed().State.LastNumber {
		w.violated(RuleReply, "plan %d is answered, which is not agreed", r.Plan)
	}
}

// over sees how plans have ended.
func (w *Simulation) checkEnd() {
	state := w.committed().State
	for i := range state.Plans {
		p := &state.Plans[i]
		if !p.Ended {
			var why []maintenance.Blocker
			if w.leaseHolder != nil && w.leaseHolder.coordinator != nil {
				why = w.leaseHolder.coordinator.Blockers()
			}
			who := "nobody"
			if w.leaseHolder != nil {
				who = fmt.Sprintf("%s (up %t, owns %t)", w.leaseHolder.name(), w.leaseHolder.isRunning, w.leaseHolder.coordinator != nil)
			}
			w.violated(RuleEnd, "plan %d has not ended: %s; %v; the owner is %s", p.Number, summary(&state), why, who)
			continue
		}
		for _, b := range p.Servers {
			worked := slices.ContainsFunc(w.acquisitions, func(k *acquisition) bool { return k.plan == p.Number && k.server.name == b.Name && k.endedAt > 0 })
			if b.Stage < maintenance.Done || b.Stage == maintenance.Done && !worked {
				w.violated(RuleEnd, "%s of plan %d has ended as %d, worked on: %t", b.Name, p.Number, b.Stage, worked)
			}
		}
	}
}

// brief is a state in one line: the stages of the boxes of each plan.
func summary(s *maintenance.State) string {
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
