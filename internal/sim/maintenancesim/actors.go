package maintenancesim

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
)

// asked is a command on its way.
type pendingCommand struct {
	command    maintenance.Command
	handle     func(maintenance.Reply)
	deadline   float64
	isAnswered bool
}

// ask has a command be given at a sidecar, which passes it on until it is answered or nobody waits any more.
func (w *Simulation) submit(cmd maintenance.Command, forS float64, then func(maintenance.Reply)) {
	for cmd.Nonce == 0 {
		cmd.Nonce = w.rng.Uint64()
	}
	a := &pendingCommand{command: cmd, handle: then, deadline: w.Now() + forS}
	w.pendingCommands = append(w.pendingCommands, a)
	w.forward(a)
}

func (w *Simulation) forward(a *pendingCommand) {
	if a.isAnswered {
		return
	}
	if w.Now() > a.deadline {
		w.finish(a)
		a.handle(maintenance.Reply{Nonce: a.command.Nonce, Err: noAnswer})
		return
	}
	door := w.sidecars[w.rng.IntN(len(w.sidecars))]
	owner := w.leaseHolder
	if w.chance(0.2) { // who holds itself for the owner, for all that the door knows
		if i := slices.IndexFunc(w.sidecars, func(n *sidecar) bool { return n.coordinator != nil }); i >= 0 {
			owner = w.sidecars[i]
		}
	}
	if owner != nil && door.isRunning && owner.reaches(door) && !w.chance(w.lossProbability) {
		run := owner.process
		w.After(w.latency(), func() {
			owner.run(run, func() {
				if owner.coordinator == nil {
					return
				}
				if r, answered := owner.coordinator.Submit(w.Now(), a.command); answered {
					w.deliverReply(owner, r)
				} else {
					owner.step()
				}
			})
		})
	}
	w.After(1, func() { w.forward(a) })
}

// noAnswer is the error of a command that nobody has answered.
const noAnswer = "nobody answers"

func (w *Simulation) finish(a *pendingCommand) {
	a.isAnswered = true
	w.pendingCommands = slices.DeleteFunc(w.pendingCommands, func(o *pendingCommand) bool { return o == a })
}

// replied brings an answer to who waits for it.
func (w *Simulation) deliverReply(by *sidecar, r maintenance.Reply) {
	i := slices.IndexFunc(w.pendingCommands, func(a *pendingCommand) bool { return a.command.Nonce == r.Nonce })
	if i < 0 || by.isIsolated || w.chance(w.lossProbability) {
		return
	}
	a := w.pendingCommands[i]
	w.After(w.latency(), func() {
		if !a.isAnswered {
			w.finish(a)
			a.handle(r)
		}
	})
}

// --- Mechanics ---

// mechanic works boxes. What it has done, and the greatest token, last over its deaths.
type agent struct {
	sim           *Simulation
	name          string
	process       int
	greatestToken uint64
	completed     map[uint64]bool // tokens under which the work has ended
	workSeconds   float64
	isDown        bool
}

func (m *agent) poll(run int) {
	if m.process != run || m.isDown {
		return
	}
	m.sim.submit(maintenance.Command{Kind: maintenance.AcquireServer, Agent: m.name}, 8, func(r maintenance.Reply) {
		if m.process != run || m.isDown {
			return
		}
		if m.completed[r.Token] && r.Server != "" { // it died before it could say so
			m.reportEnd(run, r.Server, r.Token, true)
			return
		}
		if r.Err != "" || r.Server == "" || !m.accepts(r) {
			m.sim.After(m.sim.uniform(0.5, 2), func() { m.poll(run) })
			return
		}
		m.work(run, r)
	})
}

// accepts tells whether a box that is handed over may be worked on. A token lower than one seen is an old word.
func (m *agent) accepts(r maintenance.Reply) bool {
	if r.Token < m.greatestToken {
		m.sim.log("%s turns %s under %d down", m.name, r.Server, r.Token)
		return false
	}
	m.greatestToken = r.Token
	return true
}

func (m *agent) work(run int, r maintenance.Reply) {
	w, b := m.sim, m.sim.serverByName(r.Server)
	w.workStarted(m, b, r.Token)
	lasts := m.workSeconds * w.uniform(0.5, 1.2)
	if w.chance(0.05) && !w.isCalm {
		lasts = m.workSeconds * w.uniform(2, 5)
	}
	if w.chance(0.05) && !w.isCalm { // it dies, and comes back later
		w.After(lasts*w.rng.Float64(), func() {
			if m.process == run {
				m.crash(w.uniform(1, 30))
			}
		})
	}
	if w.chance(0.7) { // the box is begun anew while it is worked on
		w.After(lasts*0.3, func() {
			if b.agent == m {
				b.isDown = true
			}
		})
	}
	w.After(lasts, func() {
		if m.process != run {
			return
		}
		m.completed[r.Token] = true
		ok := !w.chance(0.04) || w.isCalm
		b.isDown, b.warmUntil = false, w.Now()+w.warmUpSeconds
		w.workEnded(m, b, r.Token)
		if ok && w.chance(0.05) && !w.isCalm { // it comes back dead, for a while
			b.isDown = true
			w.After(w.uniform(1, 20), func() { b.isDown = false })
		}
		m.reportEnd(run, b.name, r.Token, ok)
	})
}

func (m *agent) crash(forS float64) {
	m.sim.log("%s dies", m.name)
	m.process++
	m.isDown = true
	m.sim.After(forS, func() {
		m.isDown = false
		m.poll(m.process)
	})
}

// tell has the end of the work be known, again and again until it is.
func (m *agent) reportEnd(run int, box string, token uint64, ok bool) {
	w := m.sim
	cmd := maintenance.Command{Kind: maintenance.CompleteServer, Server: box, Token: token, Agent: m.name}
	if !ok {
		cmd.Kind, cmd.Reason = maintenance.FailServer, "it does not start"
	}
	w.submit(cmd, 8, func(r maintenance.Reply) {
		if m.process != run && !w.chance(0.5) { // who died meanwhile may find in its notes that it was done
			return
		}
		if r.Err == noAnswer {
			m.reportEnd(run, box, token, ok)
			return
		}
		if r.Err == "" && w.chance(0.2) {
			w.submit(cmd, 8, func(again maintenance.Reply) { // it says so twice
				if again.Err != "" && again.Err != noAnswer {
					w.violated(RuleReply, "%s is done under %d, and again: %s", box, token, again.Err)
				}
			})
		}
		if w.chance(0.1) { // and comes with an old token
			old := maintenance.Command{Kind: maintenance.CompleteServer, Server: w.servers[w.rng.IntN(len(w.servers))].name, Token: token - 1, Agent: m.name}
			w.submit(old, 3, func(maintenance.Reply) {})
		}
		if m.process == run {
			w.After(w.uniform(0.1, 1), func() { m.poll(run) })
		}
	})
}

// --- Operators ---

func (w *Simulation) submitPlan(spec maintenance.Spec, nonce uint64) {
	w.submit(maintenance.Command{Kind: maintenance.SubmitPlan, Nonce: nonce, Spec: &spec}, 20, func(r maintenance.Reply) {
		w.log("plan %s: %d %s %s", spec.Name, r.Plan, r.Err, r.Text)
		if r.Err == "" {
			w.checkPlanReply(r)
		}
	})
}

// drawSpec draws a plan over some of the boxes.
func (w *Simulation) drawSpec(i int) maintenance.Spec {
	s := w.specTemplate
	s.Name = fmt.Sprint("plan-", i)
	switch w.rng.IntN(4) {
	case 0:
		s.Sites = []string{w.servers[w.rng.IntN(len(w.servers))].site}
	case 1:
		s.Types = []string{w.servers[w.rng.IntN(len(w.servers))].serverType}
	default:
		for _, b := range w.servers {
			if w.chance(0.5) {
				s.Servers = append(s.Servers, b.name)
			}
		}
		if len(s.Servers) == 0 {
			s.Servers = []string{w.servers[0].name}
		}
	}
	s.MaxConcurrent, s.MaxPerSite = 1+w.rng.IntN(3), w.rng.IntN(3)
	if s.MinCapacity = w.uniform(0, 0.6); w.chance(0.2) {
		s.MinCapacity = 0
	}
	s.AbandonOverdue = w.chance(0.3)
	if w.chance(0.2) {
		s.StartAfterSeconds = w.uniform(1, 20)
	}
	if w.chance(0.1) {
		s.EndAfterSeconds = s.StartAfterSeconds + w.uniform(20, 200)
	}
	return s
}

// meddle has an operator do something to the plans that there are.
func (w *Simulation) issueOperatorCommand() {
	b := w.servers[w.rng.IntN(len(w.servers))]
	state := w.committed().State
	kinds := []maintenance.Kind{maintenance.PausePlan, maintenance.ResumePlan, maintenance.ResumePlan, maintenance.SkipServer, maintenance.ForceDrained, maintenance.ForceDrained, maintenance.AbortPlan}
	cmd := maintenance.Command{Kind: kinds[w.rng.IntN(len(kinds))], Server: b.name, Agent: "operator"}
	for _, p := range state.Plans {
		for _, o := range p.Servers {
			if cmd.Kind == maintenance.ForceDrained && (o.Stage == maintenance.Draining || o.Stage == maintenance.Drained) {
				cmd.Server = o.Name
			}
		}
		if !p.Ended && w.chance(0.5) {
			cmd.Plan = p.Number
		}
	}
	if cmd.Kind == maintenance.SkipServer || cmd.Kind == maintenance.ForceDrained {
		cmd.Plan = 0
	}
	w.submit(cmd, 15, func(r maintenance.Reply) { w.log("%s %s: %s %s", cmd.Kind, cmd.Server, r.Err, r.Text) })
}
