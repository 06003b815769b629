package sidecar

import "hazelwheel/policy"

// A sidecar that is in trouble itself does nothing on behalf of others.
const (
	fitWindowS = 5.0
	// stoodShare of a window that the loop stood still is too much.
	stoodShare = 0.3
	// unansweredS is for how long no box has said anything, while at least so many attempts were tried, when it counts as cut off.
	unansweredS = 3.0
	unanswered  = 5
)

// fitness is what a sidecar looks at to tell whether it is fit for more.
type fitness struct {
	stood             float64 // seconds that the loop has stood still, so far
	from, stoodBefore float64 // the window's begin, and stood by then
	starvedUntil      float64
	answers           uint64  // attempts that a box has said anything to, by the last look
	answeredAt        float64 // when answers last grew
	silencesAt        uint64  // silences by then
}

// CanTakeRoles tells whether the sidecar may work for others beside serving, or why not. It is for the loop, and looks anew with each call.
func (s *Sidecar) CanTakeRoles() (ok bool, why string) {
	f, now := &s.fit, s.net.Now()
	if now-f.from >= fitWindowS || f.stood-f.stoodBefore > stoodShare*fitWindowS {
		if f.from > 0 && f.stood-f.stoodBefore > stoodShare*fitWindowS {
			f.starvedUntil = now + 2*fitWindowS
		}
		f.from, f.stoodBefore = now, f.stood
	}
	by := &s.counters.attempts
	answers := by[policy.OK] + by[policy.HostError] + by[policy.Rejected]
	silences := by[policy.TimedOut] + by[policy.ConnectFailed] + by[policy.Reset]
	if answers != f.answers || f.answeredAt == 0 {
		f.answers, f.answeredAt, f.silencesAt = answers, now, silences
	}
	switch {
	case s.draining || s.away:
		return false, "drained"
	case now < f.starvedUntil:
		return false, "starved of its core"
	case silences-f.silencesAt >= unanswered && now-f.answeredAt >= unansweredS, s.noneUsable(now):
		return false, "cut off from boxes"
	}
	return true, ""
}

// noneUsable tells whether there are boxes and none is to be used.
func (s *Sidecar) noneUsable(now float64) bool {
	avoided, any := s.balancer.Ejected(now), false
	for h := range s.hosts.Listed {
		if any = true; h.State == policy.Ready && !avoided(h.ID) {
			return false
		}
	}
	return any
}
