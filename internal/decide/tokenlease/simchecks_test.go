package tokenlease_test

import (
	"fmt"
	"math"

	"hazelwheel/internal/decide/tokenlease"
)

// checkSpendable checks at regular intervals that the tokens that lessees hold and lessors can grant don't exceed the capacity of a limit.
func (s *simulation) checkSpendable() {
	s.after(spendableCheckInterval, s.checkSpendable)
	for _, t := range s.tenants {
		held, available := int64(0), 0.0
		for _, h := range s.allLessees {
			if !h.isReplaced {
				held += h.lessee.Spendable(h.clock.read(s.now), t.name)
			}
		}
		for _, h := range s.lessors {
			for _, share := range h.shares {
				if now := h.clock.read(s.now); now < share.actUntil {
					available += share.lessor.Grantable(now, t.name, t.limitFor(s.now, &h.process))
				}
			}
		}
		window := s.plan.allowance.WindowSeconds
		capacity := t.maxOver(s.now, s.now, window, func(limit tokenlease.Limit) float64 { return orInf(limit, s.plan.allowance.Capacity(limit)) })
		if float64(held)+available > capacity+1 && s.violation == "" {
			s.violation = fmt.Sprintf("seed %d: %s at %.3f s: lessees hold %d tokens and lessors can grant %.0f, together at most %.0f are allowed", s.plan.seed, t.name, s.now, held, available,
				capacity)
		}
	}
}

// orInf returns a bound, or +Inf if the tenant is unlimited.
func orInf(limit tokenlease.Limit, bound float64) float64 {
	if limit.IsUnlimited() {
		return math.Inf(1)
	}
	return bound
}

// checkBound returns the first violation, "" if there is none. In each window, spent tokens must not exceed Allowance.MaxSpent, nor the capacity
// and the tokens that accrue in the window, which are less.
func (s *simulation) checkBound() string {
	if s.violation != "" {
		return s.violation
	}
	for _, t := range s.tenants {
		if violation := s.checkWindows(t); violation != "" {
			return violation
		}
	}
	return ""
}

// checkWindows checks each window that starts with a payment of a tenant.
func (s *simulation) checkWindows(t *tenant) string {
	window := s.plan.allowance.WindowSeconds
	allowedFor := func(limit tokenlease.Limit) float64 {
		bySum := s.plan.allowance.Capacity(limit) + limit.Rate*window*(1+clockDrift)
		return orInf(limit, min(s.plan.allowance.MaxSpent(limit), bySum))
	}
	sum, next := int64(0), 0
	for _, first := range t.payments {
		for next < len(t.payments) && t.payments[next].at <= first.at+window {
			sum += t.payments[next].tokens
			next++
		}
		if allowed := t.maxOver(first.at, first.at+window, window, allowedFor); float64(sum) > allowed {
			return fmt.Sprintf("seed %d: %s (rate %.0f, burst %.0f) spent %d tokens in the window from %.3f s, %.0f are allowed", s.plan.seed, t.name,
				t.limit.Rate, t.limit.Burst, sum, first.at, allowed)
		}
		sum -= first.tokens
	}
	return ""
}
