package sidecar

import "hazelwheel/policy"

// A sidecar that is impaired itself takes no roles of the fleet.
const (
	fitnessWindowSeconds = 5.0
	// maxStalledFraction is the fraction of a window for which the loop may have stalled.
	maxStalledFraction = 0.3
	// unresponsiveSeconds without any server's response, with at least minUnansweredAttempts attempts, mean that the sidecar is cut off.
	unresponsiveSeconds   = 3.0
	minUnansweredAttempts = 5
)

// fitness is what CanTakeRoles goes by.
type fitness struct {
	stalledSeconds                    float64 // sum of all stalls since the start
	windowStart, stalledAtWindowStart float64 // start of the present window, and stalledSeconds then
	unfitUntil                        float64
	responses                         uint64  // attempts with a server's response at the last call
	lastResponseAt                    float64 // when responses last grew
	failuresAtResponse                uint64  // attempts without a response then
}

// CanTakeRoles implements RoleHost. The reason is for operators; each call evaluates anew.
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

// hasNoUsableServer reports whether servers are listed and the policy avoids all of them.
func (s *Sidecar) hasNoUsableServer(now float64) bool {
	isAvoided, isAnyListed := s.balancer.Ejected(now), false
	for h := range s.endpoints.Listed {
		if isAnyListed = true; h.State == policy.Ready && !isAvoided(h.ID) {
			return false
		}
	}
	return isAnyListed
}
