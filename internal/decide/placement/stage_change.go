package placement

import "hazelwheel/internal/message"

// switchMarginSeconds is added to the time that a change of the stage takes. It covers the end of answers in progress and the
// delay until the list shows the change. After that the change is ignored, since the lease holder that planned it may be down and
// the change lost.
const switchMarginSeconds = 10.0

// stageChange is a planned change of a server's stage.
type stageChange struct {
	isActive  bool          // the list does not show the change yet, and it has not expired
	stage     message.Stage // the new stage
	token     uint64        // fencing token of the lease holder that planned it
	expiresAt float64       // 0 if no change is planned
}

// ApplyStagePlan applies the stage plan of the lease holder. A server that is to change gets no requests until the list shows the
// change, but no longer than a change may take, counted from when this proxy first received the plan. It must also be called
// after UpdateInstances.
func (p *Pool) ApplyStagePlan(now float64, plan message.StagePlan) {
	for id, e := range p.endpoints {
		stage, isPlanned := plan.Stages[id]
		s := &e.stageChange
		switch {
		case !isPlanned:
			*s = stageChange{}
		case s.expiresAt == 0 || s.stage != stage || s.token != plan.Token:
			*s = stageChange{stage: stage, token: plan.Token, expiresAt: now + p.Engine.SwitchSeconds + switchMarginSeconds}
		}
		s.isActive = isPlanned && stage != e.Stage && now < s.expiresAt
	}
	p.updateSubset()
}

// ExpireStageChanges readmits servers whose change has not happened in time, and reports whether there were any. The caller
// should call it regularly.
func (p *Pool) ExpireStageChanges(now float64) bool {
	hasExpired := false
	for _, e := range p.endpoints {
		if e.stageChange.isActive && now >= e.stageChange.expiresAt {
			e.stageChange.isActive = false
			hasExpired = true
		}
	}
	if hasExpired {
		p.updateSubset()
	}
	return hasExpired
}
