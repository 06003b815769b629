package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/decide/tokenlease"
)

const (
	// lessorInterval is the time between two calls of advance on a share's lease.
	lessorInterval = 200 * time.Millisecond
	// lessorSpacing spaces the attempts of processes to acquire a share. It is longer than lessorInterval and the difference between the starts
	// of processes, so that no other process acquires a share before the preferred one has tried.
	lessorSpacing = 600 * time.Millisecond
	// firstGrantDelay is how long after its start a process waits before it acquires a share that no process has ever held. By then it knows
	// the other processes, and the shares are spread over all of them.
	firstGrantDelay = 2 * time.Second
	// usageLogInterval is the time between log lines about tenants at their limits, maxLoggedUsages the maximum number of lines at a time.
	usageLogInterval = 5 * time.Second
	maxLoggedUsages  = 2
)

// tenantLessor is the lessor of one share of the tenants' rate limits, while this process holds the lease of the share's role.
type tenantLessor struct {
	control *Control
	share   int
	lease   *roleLease

	mu       sync.Mutex         // guards the fields below
	lessor   *tokenlease.Lessor // nil before the first lease
	token    uint64             // of lessor
	loggedAt time.Time
}

// newTenantLessors returns the lessors of all shares, without leases.
func newTenantLessors(c *Control) (lessors []*tenantLessor) {
	for share := range tokenlease.Shares {
		lessors = append(lessors, &tenantLessor{control: c, share: share, lease: newRoleLease(c, tokenlease.Role(share), lessorSpacing, false), loggedAt: time.Now()})
	}
	return lessors
}

// run advances the lease until the context ends. It does nothing while no tenant has a limit.
func (l *tenantLessor) run(ctx context.Context) {
	for sleep(ctx, lessorInterval) == nil {
		if !l.control.table.hasLimits() {
			continue
		}
		gossipState, _ := l.control.node.State()
		isFirst := (&register.Value{Grants: gossipState.Grants}).GrantFor(tokenlease.Role(l.share)).Token == 0
		if isFirst && time.Since(l.lease.startedAt) < firstGrantDelay {
			continue
		}
		// Each process prefers a different share, so that the shares are spread over all processes.
		count := max(gossipState.Count, 1)
		l.lease.advance(ctx, (gossipState.Rank-l.share%count+count)%count)
		l.mu.Lock()
		l.renewLessor()
		l.logUsage()
		l.mu.Unlock()
	}
}

// renewLessor starts a lessor with new accounts when the lease is a new one. It is called as soon as the lease is acquired, since the token
// buckets fill from then on. The caller holds mu.
func (l *tenantLessor) renewLessor() {
	token := l.lease.token()
	if token == 0 || token == l.token {
		return
	}
	bounds := l.control.settings.Bounds
	allowance := tokenlease.Allowance{WindowSeconds: bounds.QuotaWindowSeconds, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack}
	l.token, l.lessor = token, tokenlease.NewLessor(token, allowance, l.lease.now(), l.lease.idleStart())
}

// handle handles a request of a lessee. It fails if this process is not the lessor of the share.
func (l *tenantLessor) handle(request *tokenlease.Request) (*tokenlease.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.canAct() {
		return nil, Error.New("this process does not hold the role %s", tokenlease.Role(l.share))
	}
	l.renewLessor()
	reply, err := l.lessor.Handle(l.lease.now(), request, l.control.table.limitOf)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Danger: this process may have been paused since the first check, and another one may be the lessor by now.
	if !l.lease.canAct() {
		return nil, Error.New("this process has lost the role %s", tokenlease.Role(l.share))
	}
	return reply, nil
}

// logUsage logs, once in usageLogInterval, which tenants were refused the most tokens. The caller holds mu.
func (l *tenantLessor) logUsage() {
	if l.lessor == nil || time.Since(l.loggedAt) < usageLogInterval {
		return
	}
	l.loggedAt = time.Now()
	usages := l.lessor.TakeUsage()
	slices.SortFunc(usages, func(a, b tokenlease.Usage) int { return cmp.Compare(b.Refused, a.Refused) })
	for _, usage := range usages[:min(len(usages), maxLoggedUsages)] {
		l.control.log.WithFields(logrus.Fields{"tenant": usage.Tenant, "share": l.share, "granted": usage.Granted, "refused": usage.Refused,
			"limit_per_s": usage.Limit.Rate, "tenants_at_limit": len(usages)}).Info("tenant at its limit")
	}
}

// handleTokens handles a request of a lessee to one of the shares.
func (c *Control) handleTokens(_ context.Context, request *tokenlease.Request) (*tokenlease.Reply, error) {
	if request.Share < 0 || request.Share >= len(c.tenantLessors) {
		return nil, Error.New("there is no share %d", request.Share)
	}
	return c.tenantLessors[request.Share].handle(request)
}
