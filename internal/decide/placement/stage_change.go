package placement

import "hazelwheel/internal/message"

// switchMarginSeconds is what is added to the time that a change of the stage takes, for answers under way to end and the list to show it, in
// seconds. After that the plan is no longer believed: who made it may be gone, and the order may have come to nothing.
const switchMarginSeconds = 10.0

// stageChange is what a proxy knows of a server's change of its stage.
type stageChange struct {
	isActive  bool
	stage     message.Stage // that it will have
	token     uint64        // of the holder that ordered it
	expiresAt float64       // for how long the plan is believed, 0: it names no change
}

// ApplyStagePlan takes the plan of the holder of the role. A change that it names keeps the server out of the choice until the list shows
// it, for as long as a change may take from when this proxy first heard of it.
func (p *Pool) ApplyStagePlan(now float64, plan message.StagePlan) {
	for id, e := range p.endpoints {
		stage, ordered := plan.Stages[id]
		s := &e.stageChange
		switch {
		case !ordered:
			*s = stageChange{}
		case s.expiresAt == 0 || s.stage != stage || s.token != plan.Token:
			*s = stageChange{stage: stage, token: plan.Token, expiresAt: now + p.Engine.SwitchSeconds + switchMarginSeconds}
		}
		s.isActive = ordered && stage != e.Stage && now < s.expiresAt
	}
	p.updateSubset()
}

// ExpireStageChanges takes servers back whose change has not come about in its time. It returns whether there were any.
func (p *Pool) ExpireStageChanges(now float64) bool {
	expired := false
	for _, e := range p.endpoints {
		if e.stageChange.isActive && now >= e.stageChange.expiresAt {
			e.stageChange.isActive = false
			expired = true
		}
	}
	if expired {
		p.updateSubset()
	}
	return expired
}
