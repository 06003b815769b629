package maintenance

import "fmt"

// Blocker states what a server of a plan waits for, or what the whole plan waits for if Server is empty.
type Blocker struct {
	Plan    uint64   `msgpack:"p" json:"plan"`
	Server  string   `msgpack:"b,omitempty" json:"box,omitempty"`
	Reason  string   `msgpack:"w" json:"why"`
	Members []string `msgpack:"o,omitempty" json:"who,omitempty"` // names of the sidecars that are the cause, at most ten
}

// Blockers returns what the plans that have not ended wait for, in the order of plans and servers. Each plan's own blocker follows
// those of its servers.
func (c *Coordinator) Blockers() (all []Blocker) {
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		if p.Ended {
			continue
		}
		hasPending := false
		for j := range p.Servers {
			server := &p.Servers[j]
			hasPending = hasPending || server.Stage == Pending
			if b := c.serverBlocker(p, server); b.Reason != "" {
				all = append(all, b)
			}
		}
		if !hasPending {
			continue
		}
		if b := c.planBlocker(p); b.Reason != "" {
			all = append(all, b)
		}
	}
	return all
}

// serverBlocker returns what a server waits for. Without a Reason it waits for nothing but its plan.
func (c *Coordinator) serverBlocker(p *Plan, server *Server) Blocker {
	b := Blocker{Plan: p.Number, Server: server.Name}
	switch server.Stage {
	case Draining:
		b.Members, b.Reason = c.whyNotDrained(p, server)
	case Drained:
		if b.Members, b.Reason = c.whyNotDrained(p, server); b.Reason == "" || len(server.ForcedPast) > 0 {
			b.Members, b.Reason = nil, "a mechanic is to take it"
		}
	case InMaintenance:
		if b.Reason = server.Agent + " works on it"; server.Overdue {
			b.Reason = server.Agent + " is late with it"
		}
		if b.Members = c.uncordonedBy(server.Name); len(b.Members) > 0 {
			b.Reason += "; " + reasonUncordoned
		}
	case WarmingUp:
		if b.Reason = "it warms up"; c.fleet.isUnresponsive(server.Name) {
			b.Reason = "it was given back and does not answer"
		}
	}
	b.Members = b.Members[:min(len(b.Members), maxNamedMembers)]
	return b
}

// planBlocker returns why no pending server of a plan drains. Without a Reason the next Step drains one.
func (c *Coordinator) planBlocker(p *Plan) Blocker {
	progress := c.planProgress(p.Number)
	b := Blocker{Plan: p.Number, Reason: c.drainBlocker(p, progress)}
	if b.Reason == "" && c.chooseNext(&c.committed.State, p) == nil {
		b.Reason = c.limitReason(&c.committed.State, p)
	}
	if b.Reason != "" && progress.holdReason == b.Reason {
		b.Members = c.unreachableMembers(p)
	}
	return b
}

// drainBlocker returns why no server of a plan may drain now, whatever server it is. Empty means that one may drain if chooseNext
// finds one.
func (c *Coordinator) drainBlocker(p *Plan, progress *planProgress) string {
	age := progress.age(c.now)
	requiredSteadySeconds := steadySeconds
	if progress.isCautious {
		requiredSteadySeconds = cautiousSeconds
	}
	switch {
	case p.Aborted:
		return "it is aborted"
	case p.PausedBy != "":
		return "paused by " + p.PausedBy
	case age < p.Spec.StartAfterSeconds:
		return fmt.Sprintf("it begins in %.0f s", p.Spec.StartAfterSeconds-age)
	case p.Spec.EndAfterSeconds > 0 && age > p.Spec.EndAfterSeconds:
		return "its time is over"
	case c.freshSnapshot() == nil:
		return reasonNoReports
	case progress.holdReason != "":
		return progress.holdReason
	case c.isDegraded(p) && c.committed.State.hasServerOut():
		return fmt.Sprintf("one box alone may be out or cold while the fleet refuses %.3f by itself", c.baselineRejection(p))
	case c.needsBaseline(p), c.isDegraded(p) && !c.fleet.baseline.isMeasured():
		return "it is measured what the fleet refuses by itself"
	case progress.steadySince == 0 || c.now-progress.steadySince < requiredSteadySeconds || c.snapshotAt-c.lastDrainAt < steadySeconds:
		return "it is seen how the fleet does"
	}
	return ""
}

// holdReason returns what in the state of the fleet keeps every server of a plan from draining; empty: nothing does. It does not
// check MinCapacity: a server that is unavailable anyway may drain even below it.
func (c *Coordinator) holdReason(p *Plan) string {
	if reason := c.faultReason(p, drainMargin); reason != "" {
		return reason
	}
	if f := &c.fleet; 10*f.staleMembers > f.reporters {
		return fmt.Sprintf("the lists of %d sidecars are late", f.staleMembers)
	}
	if !c.snapshot.Complete || len(c.unreachableMembers(p)) > 0 {
		return "not all sidecars are heard, or were until lately"
	}
	return ""
}

// giveBackReason returns why the servers of a plan that no agent works on yet should be put back in service; empty: they needn't be.
func (c *Coordinator) giveBackReason(p *Plan) string {
	if reason := c.faultReason(p, 1); reason != "" {
		return reason
	}
	remaining := c.fleet.remainingCapacity(c.committed.State.outOfService(), "")
	required := c.fleet.requiredCapacity(p.Spec.MinCapacity, giveBackLoadRatio)
	if remaining < required-capacityTolerance {
		return fmt.Sprintf("%.2f of the capacity serves, %.2f must", remaining, required)
	}
	return ""
}

// faultReason returns which fault of the fleet concerns a plan, whichever servers are out: more rejections than the baseline and
// budgetFraction of the plan's RejectionBudget allow, or a lost site. Empty means that there is none.
func (c *Coordinator) faultReason(p *Plan, budgetFraction float64) string {
	f := &c.fleet
	if rejected, limit := f.rejectionFraction(), c.maxRejection(p, budgetFraction); rejected > limit {
		return fmt.Sprintf("%.3f of the requests are refused or fail, at most %.3f may; by itself the fleet refuses %.3f", rejected, limit, c.baselineRejection(p))
	}
	if site := f.lostSite(c.committed.State.outOfService()); site != "" {
		return fmt.Sprintf("site %s is lost", site)
	}
	return ""
}

// limitReason returns which limit keeps chooseNext from finding a server.
func (c *Coordinator) limitReason(state *State, p *Plan) string {
	if n := c.countAway(state); n >= p.Spec.MaxConcurrent {
		return fmt.Sprintf("%d boxes are out or cold, at most %d may", n, p.Spec.MaxConcurrent)
	} else if n > 0 && c.isDegraded(p) {
		return fmt.Sprintf("%d boxes are cold by themselves, and the fleet refuses %.3f by itself", n, c.baselineRejection(p))
	}
	out := state.outOfService()
	for i := range p.Servers {
		if server := &p.Servers[i]; server.Stage == Pending && state.countOutAtSite(server.Site) < p.Spec.maxPerSite() {
			return fmt.Sprintf("without %s %.2f of the capacity would serve, %.2f must", server.Name, c.fleet.remainingCapacity(out, server.Name),
				c.fleet.requiredCapacity(p.Spec.MinCapacity, drainLoadRatio))
		}
	}
	return "the sites of the boxes that are left have enough out"
}
