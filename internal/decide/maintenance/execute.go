package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Submit accepts a command. If its reply is known at once, answered is true; otherwise Replies returns the reply, after the command's
// effect is committed.
func (c *Coordinator) Submit(now float64, command Command) (reply Reply, answered bool) {
	c.advanceClock(now)
	reply.Nonce = command.Nonce
	if command.Nonce != 0 {
		if i := slices.IndexFunc(c.recentReplies, func(r Reply) bool { return r.Nonce == command.Nonce }); i >= 0 {
			return c.recentReplies[i], true
		}
		if c.isWaiting(command.Nonce) {
			return reply, false
		}
	}
	if err := command.Validate(); err != nil {
		reply.Err = err.Error()
		return reply, true
	}
	if len(c.queue) >= maxQueued {
		reply.Err = "too many commands wait"
		return reply, true
	}
	c.queue = append(c.queue, queuedCommand{command, c.now + submitTimeoutSeconds})
	return reply, false
}

// isWaiting reports whether a command with this nonce is queued or its effect is being committed.
func (c *Coordinator) isWaiting(nonce uint64) bool {
	return slices.ContainsFunc(c.queue, func(q queuedCommand) bool { return q.Nonce == nonce }) ||
		slices.ContainsFunc(c.unconfirmed, func(executed executedCommand) bool { return executed.queued.Nonce == nonce })
}

// Replies returns the replies that became final since the last call.
func (c *Coordinator) Replies() []Reply {
	replies := c.replies
	c.replies = nil
	return replies
}

// reply makes a reply final, and keeps it in case the command is submitted again. Danger: a reply that hands out a server is not
// kept, since the work may have ended by the time of the repeated command.
func (c *Coordinator) reply(r Reply) {
	c.replies = append(c.replies, r)
	if r.Nonce == 0 || r.Token != 0 {
		return
	}
	if len(c.recentReplies) == maxRecentReplies {
		c.recentReplies = slices.Delete(c.recentReplies, 0, 1)
	}
	c.recentReplies = append(c.recentReplies, r)
}

// execute applies a command to the next State. If changed is true, the reply is valid only once that State is committed.
func (c *Coordinator) execute(next *State, command *Command) (reply Reply, changed bool) {
	reply.Nonce = command.Nonce
	var err error
	switch command.Kind {
	case SubmitPlan:
		changed, err = c.submitPlan(next, command, &reply)
	case PausePlan, ResumePlan, AbortPlan:
		changed, err = c.changePlan(next, command, &reply)
	case SkipServer, ForceDrained:
		changed, err = c.changeServer(next, command, &reply)
	case AcquireServer:
		changed = c.acquireServer(next, command, &reply)
	default:
		changed, err = c.endWork(next, command, &reply)
	}
	if err != nil {
		return Reply{Nonce: command.Nonce, Err: truncate(err.Error(), maxErrorLen)}, false
	}
	return reply, changed
}

// Bounds of the texts in replies, in bytes.
const (
	maxErrorLen       = 500
	maxUnavailableLen = 300
)

// submitPlan adds a plan. For a nonce that a plan already has, it returns that plan.
func (c *Coordinator) submitPlan(next *State, command *Command, reply *Reply) (changed bool, err error) {
	for i := range next.Plans {
		if p := &next.Plans[i]; command.Nonce != 0 && p.Nonce == command.Nonce {
			reply.Plan, reply.Text = p.Number, fmt.Sprintf("%d boxes", len(p.Servers))
			return false, nil
		}
	}
	snapshot := c.freshSnapshot()
	if snapshot == nil {
		return false, errors.New("the sidecars can't be heard, so it is not known which boxes there are")
	}
	servers, err := command.Spec.resolveServers(snapshot.Report.Servers)
	if err != nil {
		return false, err
	}
	if err := next.checkDisjoint(servers); err != nil {
		return false, err
	}
	if err := c.fleet.checkMinCapacity(servers, command.Spec.MinCapacity); err != nil {
		return false, err
	}
	p := Plan{Number: next.LastNumber + 1, Nonce: command.Nonce, Spec: *command.Spec, Servers: servers}
	p.Spec.Servers = nil // their names are in Servers
	next.LastNumber = p.Number
	next.Plans = append(next.Plans, p)
	if !next.trimToSize() {
		next.Plans = next.Plans[:len(next.Plans)-1]
		next.LastNumber--
		return false, errors.New("boxes: it is too large for what can be agreed, beside the plans that there are")
	}
	reply.Plan, reply.Text = p.Number, fmt.Sprintf("%d boxes", len(servers))
	return true, nil
}

// checkDisjoint returns an error if a server of a new plan belongs to a plan that has not ended, or if these plans and the new one
// together have too many servers.
func (s *State) checkDisjoint(servers []Server) error {
	total := len(servers)
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.Ended {
			continue
		}
		total += len(p.Servers)
		for _, server := range servers {
			if slices.ContainsFunc(p.Servers, func(other Server) bool { return other.Name == server.Name }) {
				return fmt.Errorf("boxes: %s is of plan %d (%s), which has not ended", server.Name, p.Number, p.Spec.Name)
			}
		}
	}
	if total > MaxServers {
		return fmt.Errorf("boxes: %d with those of plans that have not ended, at most %d", total, MaxServers)
	}
	return nil
}

// findPlan returns the plan with a number; for 0 the only plan that has not ended.
func (s *State) findPlan(number uint64) (*Plan, error) {
	var found []*Plan
	for i := range s.Plans {
		if p := &s.Plans[i]; number == 0 && !p.Ended || number != 0 && p.Number == number {
			found = append(found, p)
		}
	}
	switch {
	case len(found) == 1:
		return found[0], nil
	case number != 0:
		return nil, fmt.Errorf("plan: there is no %d", number)
	case len(found) == 0:
		return nil, errors.New("plan: all have ended")
	}
	var choices []string
	for _, p := range found {
		choices = append(choices, fmt.Sprintf("%d (%s)", p.Number, p.Spec.Name))
	}
	return nil, fmt.Errorf("plan: one of %s is meant", strings.Join(choices, ", "))
}

// issuer returns who issues a command, for status texts.
func (c *Command) issuer() string { return cmp.Or(c.Agent, "an operator") }

// changePlan pauses, resumes or aborts a plan.
func (c *Coordinator) changePlan(next *State, command *Command, reply *Reply) (changed bool, err error) {
	p, err := next.findPlan(command.Plan)
	if err != nil {
		return false, err
	}
	reply.Plan = p.Number
	switch {
	case command.Kind == AbortPlan && p.Aborted,
		command.Kind == PausePlan && p.PausedBy != "",
		command.Kind == ResumePlan && p.PausedBy == "" && !p.Aborted && !p.Ended:
		return false, nil
	case p.Ended:
		return false, fmt.Errorf("plan: %d has ended", p.Number)
	case p.Aborted:
		return false, fmt.Errorf("plan: %d is aborted", p.Number)
	case command.Kind == ResumePlan:
		p.PausedBy, p.BaselineRejection = "", 0 // the operator has seen the fleet: the baseline is measured anew
		return true, nil
	case command.Kind == PausePlan:
		p.PausedBy = command.issuer()
	default:
		p.Aborted = true
	}
	c.stopServers(p, command)
	return true, nil
}

// stopServers puts the servers of a paused or aborted plan that no agent works on yet back in service. In a paused plan they become
// Pending; in an aborted one they and the pending servers become Skipped.
func (c *Coordinator) stopServers(p *Plan, command *Command) {
	for i := range p.Servers {
		server := &p.Servers[i]
		switch {
		case server.Stage > Drained:
		case command.Kind == AbortPlan:
			c.setStage(server, Skipped, "the plan was aborted by "+command.issuer())
		case server.Stage != Pending:
			c.setStage(server, Pending, "")
		}
	}
}

// changeServer executes SkipServer or ForceDrained.
func (c *Coordinator) changeServer(next *State, command *Command, reply *Reply) (changed bool, err error) {
	p, server := next.findServerToChange(command)
	if server == nil {
		return false, fmt.Errorf("box: %s is of no plan", command.Server)
	}
	reply.Plan, reply.Server = p.Number, server.Name
	if command.Kind == ForceDrained {
		return c.forceDrained(p, server, command.issuer(), reply)
	}
	switch server.Stage {
	case Pending, Draining, Drained:
		c.setStage(server, Skipped, "by "+command.issuer())
	case Lost:
		c.setStage(server, Skipped, fmt.Sprintf("given back by %s; %s", command.issuer(), server.Reason))
	case WarmingUp:
		c.setStage(server, Done, "held for warm by "+command.issuer())
	case Skipped:
		return false, nil
	case InMaintenance:
		return false, fmt.Errorf("box: %s works on %s under %d; it ends with done or failed", server.Agent, server.Name, server.Token)
	default:
		return false, fmt.Errorf("box: the work on %s has ended", server.Name)
	}
	return true, nil
}

// findServerToChange returns the server that a command names. A server may belong to several plans: to one that has not ended, which
// takes precedence, then to one in which it is Lost, then to any other.
func (s *State) findServerToChange(command *Command) (*Plan, *Server) {
	for _, accept := range []func(*Plan, *Server) bool{
		func(p *Plan, _ *Server) bool { return !p.Ended },
		func(_ *Plan, server *Server) bool { return server.Stage == Lost },
		func(*Plan, *Server) bool { return true },
	} {
		if p, server := s.findServer(command, accept); server != nil {
			return p, server
		}
	}
	return nil, nil
}

// findServer returns the server that a command names, from the latest plan for which accept returns true. If Command.Plan is set, only
// that plan is searched.
func (s *State) findServer(command *Command, accept func(*Plan, *Server) bool) (*Plan, *Server) {
	for i := len(s.Plans) - 1; i >= 0; i-- {
		p := &s.Plans[i]
		if command.Plan != 0 && p.Number != command.Plan {
			continue
		}
		for j := range p.Servers {
			if server := &p.Servers[j]; server.Name == command.Server && accept(p, server) {
				return p, server
			}
		}
	}
	return nil, nil
}

// forceDrained makes a server Drained although reports are missing or sidecars still use it, and records which sidecars these are.
func (c *Coordinator) forceDrained(p *Plan, server *Server, issuer string, reply *Reply) (changed bool, err error) {
	if server.Stage != Draining && server.Stage != Drained {
		return false, fmt.Errorf("box: %s is not being emptied", server.Name)
	}
	members, reason := c.whyNotDrained(p, server)
	switch {
	case len(server.ForcedPast) > 0:
		reply.Text = "it was forced before"
		return false, nil
	case reason == "" && server.Stage == Drained:
		reply.Text = "it is empty"
		return false, nil
	case reason == "":
		c.setStage(server, Drained, "")
		reply.Text = "it is empty"
		return true, nil
	}
	if len(members) == 0 {
		members = []string{reason}
	}
	c.setStage(server, Drained, "forced by "+issuer)
	for _, name := range members[:min(len(members), maxNamedMembers)] {
		server.ForcedPast = append(server.ForcedPast, truncate(name, maxNameLen))
	}
	reply.Text = "past " + strings.Join(server.ForcedPast, ", ")
	return true, nil
}

// acquireServer hands a Drained server to an agent, or hands out again the one that the agent works on. It reports whether the State
// must be committed before the reply is valid. That includes a repeated hand-out: a lease holder that was replaced without noticing
// could otherwise hand out a server that is back in service.
func (c *Coordinator) acquireServer(next *State, command *Command, reply *Reply) (changed bool) {
	if p, server := next.findAcquired(command.Agent); server != nil {
		if reason := c.notHandedOutReason(server); reason != "" {
			reply.Text = server.Name + ": " + reason
			return false
		}
		// The first reply may have been lost, so this one, too, states who forced the server: it may still be in use.
		reply.Plan, reply.Server, reply.Token, reply.Text = p.Number, server.Name, server.Token, server.Reason
		return true
	}
	var reasons []string
	for i := range next.Plans {
		p := &next.Plans[i]
		if p.Ended {
			continue
		}
		progress := c.planProgress(p.Number)
		for j := range p.Servers {
			server := &p.Servers[j]
			if server.Stage != Drained {
				continue
			}
			if _, reason := c.whyNotDrained(p, server); reason != "" && len(server.ForcedPast) == 0 {
				reasons = append(reasons, server.Name+": "+reason)
				continue
			}
			if progress != nil && progress.unhealthySince != 0 && !c.fleet.isUnavailable(server.Name) {
				reasons = append(reasons, server.Name+": "+c.giveBackReason(p))
				continue
			}
			forcedBy := server.Reason
			c.setStage(server, InMaintenance, forcedBy)
			server.Token, server.Agent = c.committed.Epoch<<40|c.nextVersion(), command.Agent
			reply.Plan, reply.Server, reply.Token, reply.Text = p.Number, server.Name, server.Token, forcedBy
			return true
		}
	}
	reply.Text = truncate(strings.Join(reasons, "; "), maxUnavailableLen)
	return false
}

// findAcquired returns the server that an agent works on, or nil.
func (s *State) findAcquired(agent string) (*Plan, *Server) {
	for i := range s.Plans {
		p := &s.Plans[i]
		for j := range p.Servers {
			if server := &p.Servers[j]; !p.Ended && server.Stage == InMaintenance && server.Agent == agent {
				return p, server
			}
		}
	}
	return nil, nil
}

// endWork executes CompleteServer and FailServer. A command that is repeated with the same token has no further effect.
func (c *Coordinator) endWork(next *State, command *Command, reply *Reply) (changed bool, err error) {
	p, server := next.findServer(command, func(_ *Plan, server *Server) bool { return server.Token == command.Token })
	if server == nil {
		return false, fmt.Errorf("token: nobody works on %s under %d", command.Server, command.Token)
	}
	reply.Plan, reply.Server = p.Number, server.Name
	switch {
	case server.Stage == InMaintenance && command.Kind == CompleteServer:
		c.setStage(server, WarmingUp, server.Reason)
	case server.Stage == InMaintenance:
		c.setStage(server, Lost, cmp.Or(command.Reason, "the work on it failed"))
	case command.Kind == CompleteServer && (server.Stage == WarmingUp || server.Stage == Done), command.Kind == FailServer && server.Stage == Lost:
		return false, nil
	default:
		return false, fmt.Errorf("token: %s is not worked on under %d any more: %s", command.Server, command.Token, cmp.Or(server.Reason, "it has ended"))
	}
	return true, nil
}
