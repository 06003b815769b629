package maintenancesim

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
)

// noAnswer is the error of a command that got no reply in time.
const noAnswer = "no answer"

// operator is the name under which operators issue commands.
const operator = "operator"

// forwardIntervalSeconds is the time between two attempts to forward a command.
const forwardIntervalSeconds = 1.0

// pendingCommand is a command without a reply yet.
type pendingCommand struct {
	command    maintenance.Command
	handle     func(maintenance.Reply)
	deadline   float64
	isAnswered bool
}

// submit submits a command to a random sidecar, which forwards it to the lease holder, again and again until there is a reply or the
// time is over. handle is called once.
func (s *Simulation) submit(command maintenance.Command, seconds float64, handle func(maintenance.Reply)) {
	for command.Nonce == 0 {
		command.Nonce = s.rng.Uint64()
	}
	p := &pendingCommand{command: command, handle: handle, deadline: s.Now() + seconds}
	s.pendingCommands = append(s.pendingCommands, p)
	s.forward(p)
}

func (s *Simulation) forward(p *pendingCommand) {
	if p.isAnswered {
		return
	}
	if s.Now() > p.deadline {
		s.finish(p)
		p.handle(maintenance.Reply{Nonce: p.command.Nonce, Err: noAnswer})
		return
	}
	entry := s.sidecars[s.rng.IntN(len(s.sidecars))]
	holder := s.leaseHolder
	if s.chance(0.2) { // one that believes to be the lease holder, for all that the entry knows
		if i := slices.IndexFunc(s.sidecars, func(n *sidecar) bool { return n.coordinator != nil }); i >= 0 {
			holder = s.sidecars[i]
		}
	}
	if holder != nil && entry.isRunning && holder.reaches(entry) && !s.chance(s.lossProbability) {
		process := holder.process
		s.After(s.latency(), func() {
			holder.run(process, func() { holder.handleCommand(p) })
		})
	}
	s.After(forwardIntervalSeconds, func() { s.forward(p) })
}

// handleCommand submits a command to the coordinator, if this sidecar believes to hold the lease.
func (n *sidecar) handleCommand(p *pendingCommand) {
	if n.coordinator == nil {
		return
	}
	if r, answered := n.coordinator.Submit(n.sim.Now(), p.command); answered {
		n.sim.deliverReply(n, r)
	} else {
		n.step()
	}
}

func (s *Simulation) finish(p *pendingCommand) {
	p.isAnswered = true
	s.pendingCommands = slices.DeleteFunc(s.pendingCommands, func(other *pendingCommand) bool { return other == p })
}

// deliverReply delivers a reply to who waits for it, unless it is lost.
func (s *Simulation) deliverReply(by *sidecar, r maintenance.Reply) {
	i := slices.IndexFunc(s.pendingCommands, func(p *pendingCommand) bool { return p.command.Nonce == r.Nonce })
	if i < 0 || by.isIsolated || s.chance(s.lossProbability) {
		return
	}
	p := s.pendingCommands[i]
	s.After(s.latency(), func() {
		if !p.isAnswered {
			s.finish(p)
			p.handle(r)
		}
	})
}

// submitPlan submits a plan and checks the reply.
func (s *Simulation) submitPlan(spec maintenance.Spec, nonce uint64) {
	s.submit(maintenance.Command{Kind: maintenance.SubmitPlan, Nonce: nonce, Spec: &spec}, submitPlanSeconds, func(r maintenance.Reply) {
		s.log("plan %s: %d %s %s", spec.Name, r.Plan, r.Err, r.Text)
		if r.Err == "" {
			s.checkPlanReply(r)
		}
	})
}

// drawSpec draws a plan for some of the servers.
func (s *Simulation) drawSpec(number int) maintenance.Spec {
	spec := s.specTemplate
	spec.Name = fmt.Sprint("plan-", number)
	switch s.rng.IntN(4) {
	case 0:
		spec.Sites = []string{s.servers[s.rng.IntN(len(s.servers))].site}
	case 1:
		spec.Types = []string{s.servers[s.rng.IntN(len(s.servers))].serverType}
	default:
		for _, b := range s.servers {
			if s.chance(0.5) {
				spec.Servers = append(spec.Servers, b.name)
			}
		}
		if len(spec.Servers) == 0 {
			spec.Servers = []string{s.servers[0].name}
		}
	}
	spec.MaxConcurrent, spec.MaxPerSite = 1+s.rng.IntN(3), s.rng.IntN(3)
	if spec.MinCapacity = s.uniform(0, 0.6); s.chance(0.2) {
		spec.MinCapacity = 0
	}
	spec.AbandonOverdue = s.chance(0.3)
	if s.chance(0.2) {
		spec.StartAfterSeconds = s.uniform(1, 20)
	}
	if s.chance(0.1) {
		spec.EndAfterSeconds = spec.StartAfterSeconds + s.uniform(20, 200)
	}
	return spec
}

// issueOperatorCommand issues a random command on the plans that there are.
func (s *Simulation) issueOperatorCommand() {
	server := s.servers[s.rng.IntN(len(s.servers))]
	state := s.committed().State
	kinds := []maintenance.Kind{maintenance.PausePlan, maintenance.ResumePlan, maintenance.ResumePlan, maintenance.SkipServer,
		maintenance.ForceDrained, maintenance.ForceDrained, maintenance.AbortPlan}
	command := maintenance.Command{Kind: kinds[s.rng.IntN(len(kinds))], Server: server.name, Agent: operator}
	for _, p := range state.Plans {
		for _, o := range p.Servers {
			if command.Kind == maintenance.ForceDrained && (o.Stage == maintenance.Draining || o.Stage == maintenance.Drained) {
				command.Server = o.Name
			}
		}
		if !p.Ended && s.chance(0.5) {
			command.Plan = p.Number
		}
	}
	if command.Kind == maintenance.SkipServer || command.Kind == maintenance.ForceDrained {
		command.Plan = 0
	}
	s.submit(command, operatorCommandSeconds, func(r maintenance.Reply) {
		s.log("%s %s: %s %s", command.Kind, command.Server, r.Err, r.Text)
	})
}
