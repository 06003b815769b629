package soak

import (
	"net/http"
	"slices"
	"time"
)

// limitedExecution is a request of a limited tenant that a server has executed.
type limitedExecution struct {
	sentAt, arrivedAt time.Time
	tokens            int
}

// maxWindowTokens is how many tokens of a limited tenant may be executed in limitWindow, over all machines.
func maxWindowTokens() float64 {
	limit := limitTokensPerSecond*limitWindow.Seconds() + limitBurstTokens
	return limit*(1+limitOverage) + limitSlackTokens
}

// recordLimitedUse records the execution of a request, if its tenant is limited. A request that is executed again counts once, as the limit says.
// The caller holds mu.
func (c *Checker) recordLimitedUse(id string) {
	sent, isKnown := c.sentHeaders[id]
	if !isKnown || c.executions[id] > 1 {
		return
	}
	tenant := c.keys.owner(sent.key)
	if slices.Contains(limitedTenantNames, tenant) {
		c.limitedUse[tenant] = append(c.limitedUse[tenant], limitedExecution{sent.sentAt, time.Now(), plainRequestTokens})
	}
}

// checkLimits checks that no tenant got more than its limit in any window. The caller holds mu.
func (c *Checker) checkLimits() {
	if c.hasEarlierVersions {
		return // a configuration that they have compiled has no limits
	}
	for _, tenant := range limitedTenantNames {
		from, tokens := busiestWindow(c.limitedUse[tenant])
		if float64(tokens) > maxWindowTokens() {
			c.reportViolationLocked(TenantLimitHolds, "tenant %s: %d tokens were sent and executed in %v from %v on, %.0f are allowed", tenant, tokens, limitWindow,
				from.Format(time.TimeOnly), maxWindowTokens())
		}
	}
}

// busiestWindow returns the window of limitWindow in which the most tokens were both sent and executed, and how many these are. It sorts its argument.
func busiestWindow(executions []limitedExecution) (from time.Time, maxTokens int) {
	slices.SortFunc(executions, func(a, b limitedExecution) int { return a.sentAt.Compare(b.sentAt) })
	for i, first := range executions {
		until, tokens := first.sentAt.Add(limitWindow), 0
		for _, later := range executions[i:] {
			if later.sentAt.After(until) {
				break
			}
			if !later.arrivedAt.After(until) {
				tokens += later.tokens
			}
		}
		if tokens > maxTokens {
			from, maxTokens = first.sentAt, tokens
		}
	}
	return from, maxTokens
}

// checkLimit checks an outcome against the limit of its tenant, and returns whether the client is owed service. The caller holds mu.
func (c *Checker) checkLimit(o *Outcome) (isEntitled bool) {
	switch c.keys.owner(c.sentHeaders[o.ID].key) {
	case exceedingTenant:
		return false
	case moderateTenant:
		if o.Status == http.StatusTooManyRequests {
			c.reportViolationLocked(BelowLimitServed, "%s at %s: 429 for a tenant that stays below its limit", o.ID, o.Edge)
		}
	}
	return true
}

// countTenant counts a request that its tenant is owed. The caller holds mu.
func (c *Checker) countTenant(o *Outcome) {
	if tenant := c.keys.owner(c.sentHeaders[o.ID].key); tenant != "" {
		c.tenantCounts[tenant] = c.tenantCounts[tenant].add(o.Status == http.StatusOK)
	}
}

// checkTenantsServed checks that no tenant is served much less often than all are. The caller holds mu.
func (c *Checker) checkTenantsServed(all requestCounts) {
	for tenant, counts := range c.tenantCounts {
		if counts.sent >= minRequestsForRatio && counts.servedRatio() < minServedRatio*all.servedRatio() {
			c.reportViolationLocked(TenantsServed, "of %d requests of tenant %s %d were served, of all %d %d", counts.sent, tenant, counts.served, all.sent, all.served)
		}
	}
}
