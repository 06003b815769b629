package sidecar

import "hazelwheel/policy"

// A sidecar that is in trouble itself does nothing on behalf of others.
const (
	fitnessWindowSeconds = 5.0
	// stoodShare of a window that the loop stood still is too much.
	maxStalledFraction = 0.3
	// unansweredS is for how long no box has said anything, while at least so many attempts were tried, when it counts as cut off.
	unresponsiveSeconds   = 3.0
	minUnansweredAttempts = 5
)

// fitness is what a sidecar looks at to tell whether it is fit for more.
type fitness struct {
	stalledSeconds                    float64 // seconds that the loop has stood still, so far
	windowStart, stalledAtWindowStart float64 // the window's begin, and stood by then
	unfitUntil                        float64
	responses                         uint64  // attempts that a box has said anything to, by the last look
	lastResponseAt                    float64 // when answers last grew
	failuresAtResponse                uint64  // silences by then
}

// CanTakeRoles tells whether the sidecar may work for others beside serving, or why not. It is for the loop, and looks anew with each call.
func (s *Sidecar) CanTakeRoles() (ok bool, reason string) {
	f, now := &s.fitness, s.net.Now()
	if now-f.windowStart >= fitnessWindowSeconds || f.stalledSeconds-f.stalledAtWindowStart > maxStalledFraction*fitnessWindowSeconds {
		if f.windowStart > 0 && f.stalledSeconds-f.stalledAtWindowStart > maxStalledFraction*fitnessWindowSeconds {
			f.unfitUntil = now + 2*fitnessWindowSeconds
		}
		f.windowStart, f.stalledAtWindowStart = now, f.stalledSeconds
	}
	outcomes := &s.counters.attemptOutcomes
	responses := outcomes[policy.OK] + outcomes[policy.HostError] + outcomes[policy.Rejected]
	failures := outcomes[policy.TimedOut] + outcomes[policy.ConnectFailed] + outcomes[policy.Reset]
	if responses != f.responses || f.lastResponseAt == 0 {
		f.responses, f.lastResponseAt, f.failuresAtResponse = responses, now, failures
	}
	switch {
	case s.lifecycle.isShuttingDown || s.lifecycle.isDrained:
		return false, "drained"
	case now < f.unfitUntil:
		return false, "starved of its core"
	case failures-f.failuresAtResponse >= minUnansweredAttempts && now-f.lastResponseAt >= unresponsiveSeconds, s.hasNoUsableServer(now):
		return false, "cut off from boxes"
	}
	return true, ""
}

// noneUsable tells whether there are boxes and none is to be used.
func (s *Sidecar) hasNoUsableServer(now float64) bool {
	avoided, isAnyListed := s.balancer.Ejected(now), false
	for h := range s.endpoints.Listed {
		if isAnyListed = true; h.State == policy.Ready && !avoided(h.ID) {
			return false
		}
	}
	return isAnyListed
}
