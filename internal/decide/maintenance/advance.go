package maintenance

import (
	"fmt"
	"slices"
)

// advance has a plan go on as far as time and the fleet let it, and tells whether anything changed, and whether a box leaves.
func (c *Coordinator) advancePlan(s *State, p *Plan, leave bool) (changed, left bool) {
	t := c.planProgress(p.Number)
	if t == nil { // it was given just now
		return false, false
	}
	over := p.Spec.EndAfterSeconds > 0 && t.age(c.now) > p.Spec.EndAfterSeconds
	bad := t.unhealthySince != 0 && c.now-t.unhealthySince >= faultGraceSeconds && c.freshSnapshot() != nil
	out, backed := false, false
	for i := range p.Servers {
		b := &p.Servers[i]
		known := c.serverProgress(p.Number, b.Name)
		fresh := known != nil && known.stage == b.Stage && known.sinceVersion == b.SinceVersion // it was not changed by a command just now
		was := b.Stage
		switch {
		case !fresh:
		case (b.Stage == Draining || b.Stage == Drained) && bad && !c.fleet.isUnavailable(b.Name):
			c.setStage(b, Pending, "")
			backed = true
		case b.Stage == Draining:
			if _, why := c.inUse(p, b); why == "" {
				c.setStage(b, Drained, "")
			}
		case b.Stage == InMaintenance && !b.Overdue && c.now-known.reachedAt > p.Spec.overdueSeconds():
			if changed, b.Overdue = true, true; p.Spec.AbandonOverdue {
				c.setStage(b, Lost, fmt.Sprintf("%s had it for longer than %g s", b.Agent, p.Spec.overdueSeconds()))
			}
		case b.Stage == WarmingUp && c.now-known.reachedAt >= p.Spec.warmUpSeconds(c.settings.WarmUpSeconds) && !c.fleet.isUnresponsive(b.Name):
			c.setStage(b, Done, b.Reason)
		}
		changed = changed || b.Stage != was
		out = out || b.Stage >= Draining && b.Stage <= WarmingUp
	}
	if backed {
		t.isCautious, t.calmSince = true, 0
	}
	if !out && over {
		for i := range p.Servers {
			if b := &p.Servers[i]; b.Stage == Pending {
				c.setStage(b, Skipped, "the plan's time was over before it was its turn")
				changed = true
			}
		}
	}
	if !slices.ContainsFunc(p.Servers, func(b Server) bool { return b.Stage < Done }) {
		p.Ended = true
		return true, false
	}
	if leave && !changed && c.drainBlocker(p, t) == "" {
		if b := c.chooseNext(s, p); b != nil {
			c.releaseLost(s, p, b.Name)
			c.setStage(b, Draining, "")
			if p.BaselineRejection == 0 {
				p.BaselineRejection = max(c.baselineRejection(p), minBaseline)
			}
			t.isCautious = false
			return true, true
		}
	}
	return changed, false
}

// move has a box come to a stage. Past whom it was forced stays on record, unless it is given back and has its turn again.
func (c *Coordinator) setStage(b *Server, to Stage, why string) {
	b.Stage, b.SinceVersion, b.Reason = to, c.nextVersion(), truncate(why, maxTextLen)
	if to == Pending {
		b.ForcedPast = nil
	}
}

// freeLost has a plan take a box over that an earlier one has lost.
func (c *Coordinator) releaseLost(s *State, by *Plan, box string) {
	for i := range s.Plans {
		if p := &s.Plans[i]; p.Number != by.Number {
			for j := range p.Servers {
				if b := &p.Servers[j]; b.Name == box && b.Stage == Lost {
					c.setStage(b, Skipped, truncate(fmt.Sprintf("plan %d has it; %s", by.Number, b.Reason), maxTextLen))
				}
			}
		}
	}
}
