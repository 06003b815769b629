package maintenance

import "fmt"

// advancePlan moves the servers of a plan to their next stages as far as time and the fleet allow. It reports whether the plan
// changed, and whether a server became Draining, which only happens if mayDrain is true.
func (c *Coordinator) advancePlan(next *State, p *Plan, mayDrain bool) (changed, drained bool) {
	progress := c.planProgress(p.Number)
	if progress == nil { // the plan was submitted in this step
		return false, false
	}
	changed, hasServerOut := c.advanceServers(p, progress)
	isOver := p.Spec.EndAfterSeconds > 0 && progress.age(c.now) > p.Spec.EndAfterSeconds
	if !hasServerOut && isOver && c.skipPending(p) {
		changed = true
	}
	if p.hasEnded() {
		p.Ended = true
		return true, false
	}
	if mayDrain && !changed && c.drainBlocker(p, progress) == "" && c.drainNext(next, p) {
		progress.isCautious = false
		return true, true
	}
	return changed, false
}

// advanceServers moves the servers of a plan that are between Draining and WarmingUp. It reports whether any changed, and whether any
// is between these stages after that.
func (c *Coordinator) advanceServers(p *Plan, progress *planProgress) (changed, hasServerOut bool) {
	giveBack := progress.unhealthySince != 0 && c.now-progress.unhealthySince >= faultGraceSeconds && c.freshSnapshot() != nil
	for i := range p.Servers {
		server := &p.Servers[i]
		stage, wasOverdue := server.Stage, server.Overdue
		c.advanceServer(p, server, giveBack)
		if stage != Pending && server.Stage == Pending {
			progress.isCautious, progress.steadySince = true, 0
		}
		changed = changed || server.Stage != stage || server.Overdue != wasOverdue
		hasServerOut = hasServerOut || server.Stage.isOut()
	}
	return changed, hasServerOut
}

// advanceServer moves a server to its next stage if that is due. With giveBack, a server that no agent works on yet is put back in
// service, unless it is unavailable for other reasons too.
func (c *Coordinator) advanceServer(p *Plan, server *Server, giveBack bool) {
	progress := c.serverProgress(p.Number, server.Name)
	if progress == nil || progress.stage != server.Stage || progress.sinceVersion != server.SinceVersion {
		return // a command changed it in this step
	}
	inStage := c.now - progress.reachedAt
	switch {
	case (server.Stage == Draining || server.Stage == Drained) && giveBack && !c.fleet.isUnavailable(server.Name):
		c.setStage(server, Pending, "")
	case server.Stage == Draining:
		if _, reason := c.whyNotDrained(p, server); reason == "" {
			c.setStage(server, Drained, "")
		}
	case server.Stage == InMaintenance && !server.Overdue && inStage > p.Spec.overdueSeconds():
		server.Overdue = true
		if p.Spec.AbandonOverdue {
			c.setStage(server, Lost, fmt.Sprintf("%s had it for longer than %g s", server.Agent, p.Spec.overdueSeconds()))
		}
	case server.Stage == WarmingUp && inStage >= p.Spec.warmUpSeconds(c.settings.WarmUpSeconds) && !c.fleet.isUnresponsive(server.Name):
		c.setStage(server, Done, server.Reason)
	}
}

// skipPending skips the pending servers of a plan whose time is over, and reports whether there were any.
func (c *Coordinator) skipPending(p *Plan) (changed bool) {
	for i := range p.Servers {
		if server := &p.Servers[i]; server.Stage == Pending {
			c.setStage(server, Skipped, "the plan's time was over before it was its turn")
			changed = true
		}
	}
	return changed
}

// drainNext starts to drain the next server of a plan, and reports whether there was one. When the plan's first server drains, the
// measured baseline becomes Plan.BaselineRejection.
func (c *Coordinator) drainNext(next *State, p *Plan) bool {
	server := c.chooseNext(next, p)
	if server == nil {
		return false
	}
	c.releaseLost(next, p, server.Name)
	c.setStage(server, Draining, "")
	if p.BaselineRejection == 0 {
		p.BaselineRejection = max(c.baselineRejection(p), minBaseline)
	}
	return true
}

// setStage moves a server to a stage. It keeps ForcedPast, except for a server that becomes Pending again.
func (c *Coordinator) setStage(server *Server, stage Stage, reason string) {
	server.Stage, server.SinceVersion, server.Reason = stage, c.nextVersion(), truncate(reason, maxTextLen)
	if stage == Pending {
		server.ForcedPast = nil
	}
}

// releaseLost makes a server that is Lost in other plans Skipped there, since this plan drains it now.
func (c *Coordinator) releaseLost(next *State, by *Plan, name string) {
	for i := range next.Plans {
		p := &next.Plans[i]
		if p.Number == by.Number {
			continue
		}
		for j := range p.Servers {
			if server := &p.Servers[j]; server.Name == name && server.Stage == Lost {
				c.setStage(server, Skipped, fmt.Sprintf("plan %d has it; %s", by.Number, server.Reason))
			}
		}
	}
}

// truncate cuts a text to a number of bytes.
func truncate(s string, maxBytes int) string { return s[:min(len(s), maxBytes)] }
