package sidecar

import "hazelwheel/policy"

// A sidecar that is itself impaired takes no roles in its fleet.
const (
	fitnessWindowSeconds = 5.0
	// maxStalledFraction is the fraction of a window for which the event loop may stall.
	maxStalledFraction = 0.3
	// A sidecar counts as cut off if at least minUnansweredAttempts attempts have failed and no server has responded for
	// unresponsiveSeconds.
	unresponsiveSeconds   = 3.0
	minUnansweredAttempts = 5
)

// fitness is the state that CanTakeRoles evaluates.
type fitness struct {
	stalledSeconds                    float64 // sum of all stalls since the start
	windowStart, stalledAtWindowStart float64 // start of the current window, and stalledSeconds at that time
	unfitUntil                        float64
	responses                         uint64  // number of attempts with a server's response, as of the last call
	lastResponseAt                    float64 // when responses last increased
	failuresAtResponse                uint64  // number of attempts without a response at lastResponseAt
}

// CanTakeRoles implements RoleHost. The reason is shown to operators. Each call updates the window and counts that it evaluates.
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

// hasNoUsableServer reports whether servers are listed but none of them is ready and accepted by the policy.
func (s *Sidecar) hasNoUsableServer(now float64) bool {
	isAvoided, isAnyListed := s.balancer.Ejected(now), false
	for h := range s.endpoints.Listed {
		if isAnyListed = true; h.State == policy.Ready && !isAvoided(h.ID) {
			return false
		}
	}
	return isAnyListed
}
