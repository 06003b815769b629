package maintenancesim

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
)

// asked is a command on its way.
type asked struct {
	cmd   maintenance.Command
	then  func(maintenance.Reply)
	until float64
	over  bool
}

// ask has a command be given at a sidecar, which passes it on until it is answered or nobody waits any more.
func (w *Simulation) ask(cmd maintenance.Command, forS float64, then func(maintenance.Reply)) {
	for cmd.Nonce == 0 {
		cmd.Nonce = w.rng.Uint64()
	}
	a := &asked{cmd: cmd, then: then, until: w.Now() + forS}
	w.asked = append(w.asked, a)
	w.pass(a)
}

func (w *Simulation) pass(a *asked) {
	if a.over {
		return
	}
	if w.Now() > a.until {
		w.end(a)
		a.then(maintenance.Reply{Nonce: a.cmd.Nonce, Err: noAnswer})
		return
	}
	door := w.nodes[w.rng.IntN(len(w.nodes))]
	owner := w.owner
	if w.chance(0.2) { // who holds itself for the owner, for all that the door knows
		if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.c != nil }); i >= 0 {
			owner = w.nodes[i]
		}
	}
	if owner != nil && door.up && owner.reached(door) && !w.chance(w.lossPart) {
		run := owner.run
		w.After(w.latency(), func() {
			owner.call(run, func() {
				if owner.c == nil {
					return
				}
				if r, answered := owner.c.Submit(w.Now(), a.cmd); answered {
					w.replied(owner, r)
				} else {
					owner.drive()
				}
			})
		})
	}
	w.After(1, func() { w.pass(a) })
}

// noAnswer is the error of a command that nobody has answered.
const noAnswer = "nobody answers"

func (w *Simulation) end(a *asked) {
	a.over = true
	w.asked = slices.DeleteFunc(w.asked, func(o *asked) bool { return o == a })
}

// replied brings an answer to who waits for it.
func (w *Simulation) replied(by *node, r maintenance.Reply) {
	i := slices.IndexFunc(w.asked, func(a *asked) bool { return a.cmd.Nonce == r.Nonce })
	if i < 0 || by.cut || w.chance(w.lossPart) {
		return
	}
	a := w.asked[i]
	w.After(w.latency(), func() {
		if !a.over {
			w.end(a)
			a.then(r)
		}
	})
}

// --- Mechanics ---

// mechanic works boxes. What it has done, and the greatest token, last over its deaths.
type mechanic struct {
	w        *Simulation
	name     string
	run      int
	greatest uint64
	done     map[uint64]bool // tokens under which the work has ended
	takesS   float64
	dead     bool
}

func (m *mechanic) poll(run int) {
	if m.run != run || m.dead {
		return
	}
	m.w.ask(maintenance.Command{Kind: maintenance.AcquireServer, Agent: m.name}, 8, func(r maintenance.Reply) {
		if m.run != run || m.dead {
			return
		}
		if m.done[r.Token] && r.Server != "" { // it died before it could say so
			m.tell(run, r.Server, r.Token, true)
			return
		}
		if r.Err != "" || r.Server == "" || !m.accepts(r) {
			m.w.After(m.w.between(0.5, 2), func() { m.poll(run) })
			return
		}
		m.work(run, r)
	})
}

// accepts tells whether a box that is handed over may be worked on. A token lower than one seen is an old word.
func (m *mechanic) accepts(r maintenance.Reply) bool {
	if r.Token < m.greatest {
		m.w.note("%s turns %s under %d down", m.name, r.Server, r.Token)
		return false
	}
	m.greatest = r.Token
	return true
}

func (m *mechanic) work(run int, r maintenance.Reply) {
	w, b := m.w, m.w.box(r.Server)
	w.started(m, b, r.Token)
	lasts := m.takesS * w.between(0.5, 1.2)
	if w.chance(0.05) && !w.calmly {
		lasts = m.takesS * w.between(2, 5)
	}
	if w.chance(0.05) && !w.calmly { // it dies, and comes back later
		w.After(lasts*w.rng.Float64(), func() {
			if m.run == run {
				m.die(w.between(1, 30))
			}
		})
	}
	if w.chance(0.7) { // the box is begun anew while it is worked on
		w.After(lasts*0.3, func() {
			if b.worker == m {
				b.down = true
			}
		})
	}
	w.After(lasts, func() {
		if m.run != run {
			return
		}
		m.done[r.Token] = true
		ok := !w.chance(0.04) || w.calmly
		b.down, b.coldTo = false, w.Now()+w.coldS
		w.ended(m, b, r.Token)
		if ok && w.chance(0.05) && !w.calmly { // it comes back dead, for a while
			b.down = true
			w.After(w.between(1, 20), func() { b.down = false })
		}
		m.tell(run, b.name, r.Token, ok)
	})
}

func (m *mechanic) die(forS float64) {
	m.w.note("%s dies", m.name)
	m.run++
	m.dead = true
	m.w.After(forS, func() {
		m.dead = false
		m.poll(m.run)
	})
}

// tell has the end of the work be known, again and again until it is.
func (m *mechanic) tell(run int, box string, token uint64, ok bool) {
	w := m.w
	cmd := maintenance.Command{Kind: maintenance.CompleteServer, Server: box, Token: token, Agent: m.name}
	if !ok {
		cmd.Kind, cmd.Reason = maintenance.FailServer, "it does not start"
	}
	w.ask(cmd, 8, func(r maintenance.Reply) {
		if m.run != run && !w.chance(0.5) { // who died meanwhile may find in its notes that it was done
			return
		}
		if r.Err == noAnswer {
			m.tell(run, box, token, ok)
			return
		}
		if r.Err == "" && w.chance(0.2) {
			w.ask(cmd, 8, func(again maintenance.Reply) { // it says so twice
				if again.Err != "" && again.Err != noAnswer {
					w.broken(RuleReply, "%s is done under %d, and again: %s", box, token, again.Err)
				}
			})
		}
		if w.chance(0.1) { // and comes with an old token
			old := maintenance.Command{Kind: maintenance.CompleteServer, Server: w.boxes[w.rng.IntN(len(w.boxes))].name, Token: token - 1, Agent: m.name}
			w.ask(old, 3, func(maintenance.Reply) {})
		}
		if m.run == run {
			w.After(w.between(0.1, 1), func() { m.poll(run) })
		}
	})
}

// --- Operators ---

func (w *Simulation) give(spec maintenance.Spec, nonce uint64) {
	w.ask(maintenance.Command{Kind: maintenance.SubmitPlan, Nonce: nonce, Spec: &spec}, 20, func(r maintenance.Reply) {
		w.note("plan %s: %d %s %s", spec.Name, r.Plan, r.Err, r.Text)
		if r.Err == "" {
			w.gave(r)
		}
	})
}

// drawSpec draws a plan over some of the boxes.
func (w *Simulation) drawSpec(i int) maintenance.Spec {
	s := w.spec
	s.Name = fmt.Sprint("plan-", i)
	switch w.rng.IntN(4) {
	case 0:
		s.Sites = []string{w.boxes[w.rng.IntN(len(w.boxes))].site}
	case 1:
		s.Types = []string{w.boxes[w.rng.IntN(len(w.boxes))].kind}
	default:
		for _, b := range w.boxes {
			if w.chance(0.5) {
				s.Servers = append(s.Servers, b.name)
			}
		}
		if len(s.Servers) == 0 {
			s.Servers = []string{w.boxes[0].name}
		}
	}
	s.MaxConcurrent, s.MaxPerSite = 1+w.rng.IntN(3), w.rng.IntN(3)
	if s.MinCapacity = w.between(0, 0.6); w.chance(0.2) {
		s.MinCapacity = 0
	}
	s.AbandonOverdue = w.chance(0.3)
	if w.chance(0.2) {
		s.StartAfterSeconds = w.between(1, 20)
	}
	if w.chance(0.1) {
		s.EndAfterSeconds = s.StartAfterSeconds + w.between(20, 200)
	}
	return s
}

// meddle has an operator do something to the plans that there are.
func (w *Simulation) meddle() {
	b := w.boxes[w.rng.IntN(len(w.boxes))]
	state := w.agreed().State
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
	w.ask(cmd, 15, func(r maintenance.Reply) { w.note("%s %s: %s %s", cmd.Kind, cmd.Server, r.Err, r.Text) })
}
