package maintenancesim

import (
	"hazelwheel/internal/decide/maintenance"
)

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
