package maintenance

// boxTime is since when this coordinator has known of a box's stage.
type serverProgress struct {
	plan            uint64
	server          string
	stage           Stage
	sinceVersion    uint64
	cordonedVersion uint64 // the version since which it has been out without a break, as far as it is known here
	reachedAt       float64
}

// planTime is what this coordinator has seen of a plan.
type planProgress struct {
	number         uint64
	ageSeconds     float64 // when it came to know of it
	learnedAt      float64
	unhealthySince float64 // since when something is wrong; 0: nothing is
	calmSince      float64 // since when all has been well; 0: it is not
	isCautious     bool    // something was given back since a box left
	holdReason     string  // why nothing leaves
}

// ageS is for how long a plan has been given, as far as any owner's clock has told.
func (t *planProgress) age(now float64) float64 { return t.ageSeconds + now - t.learnedAt }

// remember brings what is known of stages and plans up to what is agreed.
func (c *Coordinator) updateProgress() {
	var boxes []serverProgress
	var plans []planProgress
	for i := range c.committed.State.Plans {
		p := &c.committed.State.Plans[i]
		t := planProgress{number: p.Number, ageSeconds: p.AgeSeconds, learnedAt: c.now}
		if known := c.planProgress(p.Number); known != nil {
			t = *known
		}
		plans = append(plans, t)
		for _, b := range p.Servers {
			n := serverProgress{plan: p.Number, server: b.Name, stage: b.Stage, sinceVersion: b.SinceVersion, cordonedVersion: b.SinceVersion, reachedAt: c.now}
			if k := c.serverProgress(p.Number, b.Name); k != nil {
				if k.stage == b.Stage && k.sinceVersion == b.SinceVersion {
					n = *k
				} else if k.stage.IsCordoned() && b.Stage.IsCordoned() && k.stage < b.Stage {
					n.cordonedVersion = k.cordonedVersion
				}
			}
			boxes = append(boxes, n)
			if b.Stage == Draining && n.reachedAt == c.now {
				c.lastDrainAt = c.now
			}
		}
	}
	c.servers, c.plans = boxes, plans
}

func (c *Coordinator) serverProgress(plan uint64, box string) *serverProgress {
	for i := range c.servers {
		if c.servers[i].server == box && c.servers[i].plan == plan {
			return &c.servers[i]
		}
	}
	return nil
}

func (c *Coordinator) planProgress(number uint64) *planProgress {
	for i := range c.plans {
		if c.plans[i].number == number {
			return &c.plans[i]
		}
	}
	return nil
}
