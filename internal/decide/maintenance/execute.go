package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Do takes what an operator or a mechanic wants. If it is not answered at once, the answer comes with Replies: after what was
// done is agreed.
func (c *Coordinator) Submit(now float64, cmd Command) (r Reply, answered bool) {
	c.advanceClock(now)
	r.Nonce = cmd.Nonce
	if cmd.Nonce != 0 {
		if i := slices.IndexFunc(c.recentReplies, func(r Reply) bool { return r.Nonce == cmd.Nonce }); i >= 0 {
			return c.recentReplies[i], true
		}
		same := func(q queuedCommand) bool { return q.Nonce == cmd.Nonce }
		if slices.ContainsFunc(c.queue, same) || slices.ContainsFunc(c.unconfirmed, func(d executedCommand) bool { return same(d.queued) }) {
			return r, false
		}
	}
	if err := cmd.Validate(); err != nil {
		r.Err = err.Error()
		return r, true
	}
	if len(c.queue) >= maxQueued {
		r.Err = "too many commands wait"
		return r, true
	}
	c.queue = append(c.queue, queuedCommand{cmd, c.now + submitTimeoutSeconds})
	return r, false
}

// Replies returns the answers to commands that are agreed by now, each once.
func (c *Coordinator) Replies() []Reply {
	r := c.replies
	c.replies = nil
	return r
}

// answer has an answer go out. Danger: what a mechanic was told is not told again from memory; the work may have ended since.
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

// carry does a command on what is to be agreed next, and tells whether that has to be agreed for its answer to hold.
func (c *Coordinator) execute(s *State, q *Command) (r Reply, changed bool) {
	r.Nonce = q.Nonce
	var err error
	switch q.Kind {
	case SubmitPlan:
		changed, err = c.submitPlan(s, q, &r)
	case PausePlan, ResumePlan, AbortPlan:
		changed, err = c.changePlan(s, q, &r)
	case SkipServer, ForceDrained:
		changed, err = c.changeServer(s, q, &r)
	case AcquireServer:
		changed = c.acquireServer(s, q, &r)
	default:
		changed, err = c.endWork(s, q, &r)
	}
	if err != nil {
		return Reply{Nonce: q.Nonce, Err: truncate(err.Error(), 500)}, false
	}
	return r, changed
}

// give has a plan be carried out from now on.
func (c *Coordinator) submitPlan(s *State, q *Command, r *Reply) (bool, error) {
	for i := range s.Plans {
		if p := &s.Plans[i]; q.Nonce != 0 && p.Nonce == q.Nonce {
			r.Plan, r.Text = p.Number, fmt.Sprintf("%d boxes", len(p.Servers))
			return false, nil
		}
	}
	round := c.freshSnapshot()
	if round == nil {
		return false, errors.New("the sidecars can't be heard, so it is not known which boxes there are")
	}
	boxes, err := q.Spec.resolveServers(round.Report.Servers)
	if err != nil {
		return false, err
	}
	all := len(boxes)
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.Ended {
			continue
		}
		all += len(p.Servers)
		for _, b := range boxes {
			if j := slices.IndexFunc(p.Servers, func(o Server) bool { return o.Name == b.Name }); j >= 0 {
				return false, fmt.Errorf("boxes: %s is of plan %d (%s), which has not ended", b.Name, p.Number, p.Spec.Name)
			}
		}
	}
	if all > MaxServers {
		return false, fmt.Errorf("boxes: %d with those of plans that have not ended, at most %d", all, MaxServers)
	}
	if err := c.fleet.checkMinCapacity(boxes, q.Spec.MinCapacity); err != nil {
		return false, err
	}
	p := Plan{Number: s.LastNumber + 1, Nonce: q.Nonce, Spec: *q.Spec, Servers: boxes}
	p.Spec.Servers = nil // they are in Boxes
	s.LastNumber = p.Number
	s.Plans = append(s.Plans, p)
	if !s.trimToSize() {
		s.Plans = s.Plans[:len(s.Plans)-1]
		s.LastNumber--
		return false, errors.New("boxes: it is too large for what can be agreed, beside the plans that there are")
	}
	r.Plan, r.Text = p.Number, fmt.Sprintf("%d boxes", len(boxes))
	return true, nil
}

// meant returns the plan that a command means.
func resolvePlan(s *State, number uint64) (*Plan, error) {
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
	var numbers []string
	for _, p := range found {
		numbers = append(numbers, fmt.Sprintf("%d (%s)", p.Number, p.Spec.Name))
	}
	return nil, fmt.Errorf("plan: one of %s is meant", strings.Join(numbers, ", "))
}

// turn pauses, resumes or aborts a plan.
func (c *Coordinator) changePlan(s *State, q *Command, r *Reply) (changed bool, err error) {
	p, err := resolvePlan(s, q.Plan)
	if err != nil {
		return false, err
	}
	r.Plan = p.Number
	who := cmp.Or(q.Agent, "an operator")
	switch {
	case q.Kind == AbortPlan && p.Aborted, q.Kind == PausePlan && p.PausedBy != "", q.Kind == ResumePlan && p.PausedBy == "" && !p.Aborted && !p.Ended:
		return false, nil
	case p.Ended:
		return false, fmt.Errorf("plan: %d has ended", p.Number)
	case p.Aborted:
		return false, fmt.Errorf("plan: %d is aborted", p.Number)
	case q.Kind == ResumePlan:
		p.PausedBy, p.BaselineRejection = "", 0 // whoever says so has seen how the fleet is: it is measured anew
		return true, nil
	case q.Kind == PausePlan:
		p.PausedBy = who
	default:
		p.Aborted = true
	}
	for i := range p.Servers {
		switch b := &p.Servers[i]; {
		case b.Stage > Drained || b.Stage == Pending && q.Kind == PausePlan:
		case q.Kind == PausePlan:
			c.setStage(b, Pending, "")
		default:
			c.setStage(b, Skipped, "the plan was aborted by "+who)
		}
	}
	return true, nil
}

// single skips or forces a box.
func (c *Coordinator) changeServer(s *State, q *Command, r *Reply) (changed bool, err error) {
	// Danger: a box may be of an ended plan, which has lost it, and of one that goes on, which has it wait.
	p, b := s.findServer(q, func(p *Plan, _ *Server) bool { return !p.Ended })
	if b == nil {
		p, b = s.findServer(q, func(_ *Plan, b *Server) bool { return b.Stage == Lost })
	}
	if b == nil {
		p, b = s.findServer(q, func(*Plan, *Server) bool { return true })
	}
	if b == nil {
		return false, fmt.Errorf("box: %s is of no plan", q.Server)
	}
	r.Plan, r.Server = p.Number, b.Name
	who := cmp.Or(q.Agent, "an operator")
	if q.Kind == ForceDrained {
		return c.forceDrained(p, b, who, r)
	}
	switch b.Stage {
	case Pending, Draining, Drained:
		c.setStage(b, Skipped, "by "+who)
	case Lost:
		c.setStage(b, Skipped, fmt.Sprintf("given back by %s; %s", who, b.Reason))
	case WarmingUp:
		c.setStage(b, Done, "held for warm by "+who)
	case Skipped:
		return false, nil
	case InMaintenance:
		return false, fmt.Errorf("box: %s works on %s under %d; it ends with done or failed", b.Agent, b.Name, b.Token)
	default:
		return false, fmt.Errorf("box: the work on %s has ended", b.Name)
	}
	return true, nil
}

func (s *State) findServer(q *Command, ok func(*Plan, *Server) bool) (*Plan, *Server) {
	for i := len(s.Plans) - 1; i >= 0; i-- {
		p := &s.Plans[i]
		if q.Plan != 0 && p.Number != q.Plan {
			continue
		}
		for j := range p.Servers {
			if b := &p.Servers[j]; b.Name == q.Server && ok(p, b) {
				return p, b
			}
		}
	}
	return nil, nil
}

// force has a box be ready, whoever has not said that it is empty, and keeps who that was.
func (c *Coordinator) forceDrained(p *Plan, b *Server, who string, r *Reply) (changed bool, err error) {
	if b.Stage != Draining && b.Stage != Drained {
		return false, fmt.Errorf("box: %s is not being emptied", b.Name)
	}
	past, why := c.inUse(p, b)
	switch {
	case len(b.ForcedPast) > 0:
		r.Text = "it was forced before"
		return false, nil
	case why == "" && b.Stage == Drained:
		r.Text = "it is empty"
		return false, nil
	case why == "":
		c.setStage(b, Drained, "")
		r.Text = "it is empty"
		return true, nil
	}
	if len(past) == 0 {
		past = []string{why}
	}
	c.setStage(b, Drained, "forced by "+who)
	for _, name := range past[:min(len(past), maxNamedMembers)] {
		b.ForcedPast = append(b.ForcedPast, truncate(name, maxNameLen))
	}
	r.Text = "past " + strings.Join(b.ForcedPast, ", ")
	return true, nil
}

// take hands a box over to a mechanic. Danger: an owner that was replaced and does not know it would tell a mechanic of a box that
// has come back since. So what is told again is agreed again.
func (c *Coordinator) acquireServer(s *State, q *Command, r *Reply) (changed bool) {
	var why []string
	for i := range s.Plans {
		p := &s.Plans[i]
		for j := range p.Servers {
			if b := &p.Servers[j]; !p.Ended && b.Stage == InMaintenance && b.Agent == q.Agent {
				if inUse := c.returnedToUse(b); inUse != "" {
					r.Text = b.Name + ": " + inUse
					return false
				}
				r.Plan, r.Server, r.Token = p.Number, b.Name, b.Token
				return true
			}
		}
	}
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.Ended {
			continue
		}
		t := c.planProgress(p.Number)
		for j := range p.Servers {
			b := &p.Servers[j]
			if b.Stage != Drained {
				continue
			}
			if _, occupied := c.inUse(p, b); occupied != "" && len(b.ForcedPast) == 0 {
				why = append(why, b.Name+": "+occupied)
				continue
			}
			if t != nil && t.unhealthySince != 0 && !c.fleet.isUnavailable(b.Name) {
				why = append(why, b.Name+": "+c.giveBackReason(p))
				continue
			}
			forced := b.Reason
			c.setStage(b, InMaintenance, forced)
			b.Token, b.Agent = c.committed.Epoch<<40|c.nextVersion(), q.Agent
			r.Plan, r.Server, r.Token = p.Number, b.Name, b.Token
			r.Text = forced
			return true
		}
	}
	r.Text = truncate(strings.Join(why, "; "), 300)
	return false
}

// finish takes that the work on a box has ended, well or not.
func (c *Coordinator) endWork(s *State, q *Command, r *Reply) (changed bool, err error) {
	p, b := s.findServer(q, func(_ *Plan, b *Server) bool { return b.Token == q.Token })
	if b == nil {
		return false, fmt.Errorf("token: nobody works on %s under %d", q.Server, q.Token)
	}
	r.Plan, r.Server = p.Number, b.Name
	switch {
	case b.Stage == InMaintenance && q.Kind == CompleteServer:
		c.setStage(b, WarmingUp, b.Reason)
	case b.Stage == InMaintenance:
		c.setStage(b, Lost, cmp.Or(q.Reason, "the work on it failed"))
	case q.Kind == CompleteServer && (b.Stage == WarmingUp || b.Stage == Done), q.Kind == FailServer && b.Stage == Lost:
		return false, nil
	default:
		return false, fmt.Errorf("token: %s is not worked on under %d any more: %s", q.Server, q.Token, cmp.Or(b.Reason, "it has ended"))
	}
	return true, nil
}
