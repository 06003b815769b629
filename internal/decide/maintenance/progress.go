package maintenance

// serverProgress is the stage of a server of a plan, and when this Coordinator learned of it.
type serverProgress struct {
	plan            uint64
	server          string
	stage           Stage
	sinceVersion    uint64
	cordonedVersion uint64 // version of the State since which the server has been cordoned without a break, as far as is known here
	reachedAt       float64
}

// planProgress is what this Coordinator has observed about a plan.
type planProgress struct {
	number         uint64
	ageSeconds     float64 // of the plan, at learnedAt
	learnedAt      float64 // when this Coordinator learned of the plan
	unhealthySince float64 // since when there has been a giveBackReason; 0: there is none
	steadySince    float64 // since when there has been no holdReason; 0: there is one
	isCautious     bool    // a server was put back in service since the last one started to drain
	holdReason     string  // result of Coordinator.holdReason at the last snapshot
}

// age returns how many seconds ago a plan was submitted, by the clocks of all lease holders since.
func (p *planProgress) age(now float64) float64 { return p.ageSeconds + now - p.learnedAt }

// updateProgress updates the progress of plans and servers after a change of the committed State. For servers whose stage did not
// change it is kept.
func (c *Coordinator) updateProgress() {
	var servers []serverProgress
	var plans []planProgress
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		progress := planProgress{number: p.Number, ageSeconds: p.AgeSeconds, learnedAt: c.now}
		if known := c.planProgress(p.Number); known != nil {
			progress = *known
		}
		plans = append(plans, progress)
		for j := range p.Servers {
			server := &p.Servers[j]
			next := c.nextProgress(p.Number, server)
			servers = append(servers, next)
			if server.Stage == Draining && next.reachedAt == c.now {
				c.lastDrainAt = c.now
			}
		}
	}
	c.servers, c.plans = servers, plans
}

// nextProgress returns the progress of a server by the committed State and its previous progress.
func (c *Coordinator) nextProgress(plan uint64, server *Server) serverProgress {
	next := serverProgress{plan: plan, server: server.Name, stage: server.Stage, sinceVersion: server.SinceVersion, cordonedVersion: server.SinceVersion, reachedAt: c.now}
	known := c.serverProgress(plan, server.Name)
	switch {
	case known == nil:
	case known.stage == server.Stage && known.sinceVersion == server.SinceVersion:
		return *known
	case known.stage.IsCordoned() && server.Stage.IsCordoned() && known.stage < server.Stage:
		next.cordonedVersion = known.cordonedVersion
	}
	return next
}

// serverProgress returns the progress of a server of a plan, or nil.
func (c *Coordinator) serverProgress(plan uint64, server string) *serverProgress {
	for i := range c.servers {
		if c.servers[i].server == server && c.servers[i].plan == plan {
			return &c.servers[i]
		}
	}
	return nil
}

// planProgress returns the progress of a plan, or nil.
func (c *Coordinator) planProgress(number uint64) *planProgress {
	for i := range c.plans {
		if c.plans[i].number == number {
			return &c.plans[i]
		}
	}
	return nil
}
