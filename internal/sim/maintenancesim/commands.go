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

// noAnswer is the error of a command that nobody has answered.
const noAnswer = "nobody answers"

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
