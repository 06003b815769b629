package maintenance

import (
	"fmt"
)

// Wait says what a box or a plan waits for.
type Blocker struct {
	Plan    uint64   `msgpack:"p" json:"plan"`
	Server  string   `msgpack:"b,omitempty" json:"box,omitempty"`
	Reason  string   `msgpack:"w" json:"why"`
	Members []string `msgpack:"o,omitempty" json:"who,omitempty"` // names of sidecars, at most ten
}

// Waits tells what plans and boxes wait for, by plan and box.
func (c *Coordinator) Blockers() (all []Blocker) {
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		if p.Ended {
			continue
		}
		t := c.planProgress(p.Number)
		waiting := false
		for j := range p.Servers {
			b := &p.Servers[j]
			w := Blocker{Plan: p.Number, Server: b.Name}
			switch b.Stage {
			case Pending:
				waiting = true
			case Draining:
				w.Members, w.Reason = c.inUse(p, b)
			case Drained:
				if w.Members, w.Reason = c.inUse(p, b); w.Reason == "" || len(b.ForcedPast) > 0 {
					w.Members, w.Reason = nil, "a mechanic is to take it"
				}
			case InMaintenance:
				if w.Reason = b.Agent + " works on it"; b.Overdue {
					w.Reason = b.Agent + " is late with it"
				}
				if w.Members = c.uncordonedBy(b.Name); len(w.Members) > 0 {
					w.Reason += "; " + reasonUncordoned
				}
			case WarmingUp:
				if w.Reason = "it warms up"; c.fleet.isUnresponsive(b.Name) {
					w.Reason = "it was given back and does not answer"
				}
			}
			if w.Reason != "" {
				w.Members = w.Members[:min(len(w.Members), maxNamedMembers)]
				all = append(all, w)
			}
		}
		if waiting {
			why := c.drainBlocker(p, t)
			if why == "" && c.chooseNext(&c.committed.State, p) == nil {
				why = c.noRoomReason(&c.committed.State, p)
			}
			if why != "" {
				w := Blocker{Plan: p.Number, Reason: why}
				if t.holdReason == why {
					w.Members = c.unreachableMembers(p)
				}
				all = append(all, w)
			}
		}
	}
	return all
}

// mayLeave tells why nothing of a plan leaves now; empty: a box may, if there is room for one more.
func (c *Coordinator) drainBlocker(p *Plan, t *planProgress) string {
	age := t.age(c.now)
	wait := steadySeconds
	if t.isCautious {
		wait = cautiousSeconds
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
	case t.holdReason != "":
		return t.holdReason
	case c.isDegraded(p) && c.committed.State.hasServerOut():
		return fmt.Sprintf("one box alone may be out or cold while the fleet refuses %.3f by itself", c.baselineRejection(p))
	case c.needsBaseline(p), c.isDegraded(p) && !c.fleet.baseline.isMeasured():
		return "it is measured what the fleet refuses by itself"
	case t.calmSince == 0 || c.now-t.calmSince < wait || c.snapshotAt-c.lastDrainAt < steadySeconds:
		return "it is seen how the fleet does"
	}
	return ""
}

// holds tells why nothing of a plan may leave now, whichever box it were; empty: nothing is in the way. What must stay of the
// capacity is not in it: a box that is missing as it is may leave even then.
func (c *Coordinator) holdReason(p *Plan) string {
	if why := c.faultReason(p, drainMargin); why != "" {
		return why
	}
	if f := &c.fleet; 10*f.staleMembers > f.reporters {
		return fmt.Sprintf("the lists of %d sidecars are late", f.staleMembers)
	}
	if !c.snapshot.Complete || len(c.unreachableMembers(p)) > 0 {
		return "not all sidecars are heard, or were until lately"
	}
	return ""
}

// wrong tells what is so bad for a plan that boxes which are not worked on yet are given back; empty: nothing is.
func (c *Coordinator) giveBackReason(p *Plan) string {
	if why := c.faultReason(p, 1); why != "" {
		return why
	}
	part, need := c.fleet.remainingCapacity(c.committed.State.outOfService(), ""), c.fleet.requiredCapacity(p.Spec.MinCapacity, giveBackLoadRatio)
	if part < need-1e-9 {
		return fmt.Sprintf("%.2f of the capacity serves, %.2f must", part, need)
	}
	return ""
}

// troubled tells what of the fleet is in a plan's way, whichever boxes were out, with the part of Refusing that is none yet.
func (c *Coordinator) faultReason(p *Plan, tolerated float64) string {
	f := &c.fleet
	if part, most := f.rejectionFraction(), c.maxRejection(p, tolerated); part > most {
		return fmt.Sprintf("%.3f of the requests are refused or fail, at most %.3f may; by itself the fleet refuses %.3f", part, most, c.baselineRejection(p))
	}
	if site := f.lostSite(c.committed.State.outOfService()); site != "" {
		return fmt.Sprintf("site %s is lost", site)
	}
	return ""
}

// full tells why there is no room for one more box of a plan that nothing else is in the way of.
func (c *Coordinator) noRoomReason(s *State, p *Plan) string {
	if n := c.countAway(s); n >= p.Spec.MaxConcurrent {
		return fmt.Sprintf("%d boxes are out or cold, at most %d may", n, p.Spec.MaxConcurrent)
	} else if n > 0 && c.isDegraded(p) {
		return fmt.Sprintf("%d boxes are cold by themselves, and the fleet refuses %.3f by itself", n, c.baselineRejection(p))
	}
	out := s.outOfService()
	for i := range p.Servers {
		if b := &p.Servers[i]; b.Stage == Pending && s.countOutAtSite(b.Site) < p.Spec.maxPerSite() {
			return fmt.Sprintf("without %s %.2f of the capacity would serve, %.2f must", b.Name, c.fleet.remainingCapacity(out, b.Name),
				c.fleet.requiredCapacity(p.Spec.MinCapacity, drainLoadRatio))
		}
	}
	return "the sites of the boxes that are left have enough out"
}

func truncate(s string, most int) string { return s[:min(len(s), most)] }
