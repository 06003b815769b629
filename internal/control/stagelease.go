package control

import (
	"context"
	"time"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
)

// silence returns for how long the holder of a grant was not heard of. One that has given the grant up counts as never heard of.
func (s *stageController) holderSilenceSeconds(grant register.Grant) float64 {
	for _, member := range s.control.node.Members() {
		if member.Kind == membership.Control && member.Name == grant.Holder+"/"+string(membership.Control) && member.ReleasedToken != grant.Token {
			return member.SilentSeconds
		}
	}
	const forever = 1e9
	return forever
}

// take tries to take the role with the token after the one that is known. Processes try in turns by rank.
func (s *stageController) acquireLease(ctx context.Context, grant register.Grant) {
	facts, _ := s.control.node.State()
	if sleep(ctx, time.Duration(facts.Rank+1)*50*time.Millisecond) != nil {
		return
	}
	startedAt := s.now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	name := s.control.settings.NodeID
	value, outcome, err := s.control.proposer.propose(ctx, register.AcquireRole(stagesRole, name, grant.Token), nil)
	if err != nil || outcome != register.Chosen {
		return
	}
	s.lease.HandleAcquired(startedAt, value.GrantFor(stagesRole).Token)
	if facts, _ := s.control.node.State(); facts.Plan.Token < s.lease.Token() {
		s.planner.AdoptPending(s.now(), facts.Plan.Stages)
	}
	s.control.log.WithField("token", s.lease.Token()).Info("role taken: stages")
}

// confirm reads the grant at a majority.
func (s *stageController) confirmLease(ctx context.Context) {
	startedAt := s.now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := s.control.proposer.read(ctx)
	if err == nil {
		s.lease.HandleConfirmation(startedAt, value.GrantFor(stagesRole))
	}
}
