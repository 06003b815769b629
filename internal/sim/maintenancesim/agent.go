package maintenancesim

import "hazelwheel/internal/decide/maintenance"

const (
	agentCommandSeconds    = 8.0 // for which an agent waits for a reply
	staleCommandSeconds    = 3.0
	operatorCommandSeconds = 15.0
	submitPlanSeconds      = 20.0
)

// agent is a maintenance agent, over all its processes. Its record of completed work and the greatest token survive a crash.
type agent struct {
	sim           *Simulation
	name          string
	process       int
	greatestToken uint64
	completed     map[uint64]bool // by token
	workSeconds   float64
	isDown        bool
}

// poll asks for a server until it gets one, and works on it.
func (a *agent) poll(process int) {
	s := a.sim
	if a.process != process || a.isDown {
		return
	}
	s.submit(maintenance.Command{Kind: maintenance.AcquireServer, Agent: a.name}, agentCommandSeconds, func(r maintenance.Reply) {
		switch {
		case a.process != process || a.isDown:
		case a.completed[r.Token] && r.Server != "": // it crashed before it could report that
			a.reportEnd(process, r.Server, r.Token, true)
		case r.Err != "" || r.Server == "" || !a.accepts(r):
			s.After(s.uniform(0.5, 2), func() { a.poll(process) })
		default:
			a.work(process, r)
		}
	})
}

// accepts reports whether a server that was handed out may be worked on: its fencing token is not lower than one seen before.
func (a *agent) accepts(r maintenance.Reply) bool {
	if r.Token < a.greatestToken {
		a.sim.log("%s rejects %s, token %d", a.name, r.Server, r.Token)
		return false
	}
	a.greatestToken = r.Token
	return true
}

// work works on a server. The work may take too long, and the agent may crash during it.
func (a *agent) work(process int, r maintenance.Reply) {
	s, b := a.sim, a.sim.serverByName(r.Server)
	s.workStarted(a, b, r.Token)
	lasts := a.workSeconds * s.uniform(0.5, 1.2)
	if s.chance(0.05) && !s.isCalm {
		lasts = a.workSeconds * s.uniform(2, 5)
	}
	if s.chance(0.05) && !s.isCalm {
		s.After(lasts*s.rng.Float64(), func() {
			if a.process == process {
				a.crash(s.uniform(1, 30))
			}
		})
	}
	if s.chance(0.7) { // the server is restarted by the work
		s.After(lasts*0.3, func() {
			if b.agent == a {
				b.isDown = true
			}
		})
	}
	s.After(lasts, func() {
		if a.process == process {
			a.endWork(process, b, r.Token)
		}
	})
}

// endWork ends the work on a server. It may have failed, and the server may come back dead for a while.
func (a *agent) endWork(process int, b *server, token uint64) {
	s := a.sim
	a.completed[token] = true
	ok := !s.chance(0.04) || s.isCalm
	b.isDown, b.warmUntil = false, s.Now()+s.warmUpSeconds
	s.workEnded(a, b, token)
	if ok && s.chance(0.05) && !s.isCalm {
		b.isDown = true
		s.After(s.uniform(1, 20), func() { b.isDown = false })
	}
	a.reportEnd(process, b.name, token, ok)
}

// crash ends the agent's process for some seconds.
func (a *agent) crash(seconds float64) {
	a.sim.log("%s crashed", a.name)
	a.process++
	a.isDown = true
	a.sim.After(seconds, func() {
		a.isDown = false
		a.poll(a.process)
	})
}

// reportEnd reports the end of the work until there is a reply. Sometimes it reports it twice, or again with an old token.
func (a *agent) reportEnd(process int, server string, token uint64, ok bool) {
	s := a.sim
	command := maintenance.Command{Kind: maintenance.CompleteServer, Server: server, Token: token, Agent: a.name}
	if !ok {
		command.Kind, command.Reason = maintenance.FailServer, "it does not start"
	}
	s.submit(command, agentCommandSeconds, func(r maintenance.Reply) {
		if a.process != process && !s.chance(0.5) { // after a crash it may find in its record that it has to report
			return
		}
		if r.Err == noAnswer {
			a.reportEnd(process, server, token, ok)
			return
		}
		if r.Err == "" && s.chance(0.2) {
			s.submit(command, agentCommandSeconds, func(again maintenance.Reply) {
				if again.Err != "" && again.Err != noAnswer {
					s.violated(RuleReply, "%s is completed under token %d, and repeated: %s", server, token, again.Err)
				}
			})
		}
		if s.chance(0.1) {
			stale := maintenance.Command{Kind: maintenance.CompleteServer, Server: s.servers[s.rng.IntN(len(s.servers))].name, Token: token - 1, Agent: a.name}
			s.submit(stale, staleCommandSeconds, func(maintenance.Reply) {})
		}
		if a.process == process {
			s.After(s.uniform(0.1, 1), func() { a.poll(process) })
		}
	})
}
