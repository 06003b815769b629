package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

const (
	// tokenWaitFraction times the route's latency target is how long a request waits for its tenant's tokens, between minTokenWait and maxTokenWait.
	tokenWaitFraction = 0.5
	minTokenWait      = 50 * time.Millisecond
	maxTokenWait      = 250 * time.Millisecond
	// tokenCallTimeout bounds one call to a lessor.
	tokenCallTimeout = 400 * time.Millisecond
	// minStepDelay is the minimum delay before the timer calls Step.
	minStepDelay = time.Millisecond
	// withoutLimitsDuration is how long requests are served without limits after an agent has responded with 404: it is of an earlier version, which doesn't
	// support limits.
	withoutLimitsDuration = 5 * time.Second
	// returnTimeout bounds the wait for tokens to be returned at shutdown.
	returnTimeout = 200 * time.Millisecond
	// maxDeclaredTokens bounds each token count that a request declares, so that sums don't overflow. It is greater than any limit.
	maxDeclaredTokens = 1 << 40
)

// tenantLimiter enforces the limits of tenants. Each request of a tenant with a limit spends tokens, which proxies lease from lessors shared by the whole
// fleet. tenantLimiter drives a tokenlease.Lessee, whose calls go through the agent. It is safe for concurrent use.
type tenantLimiter struct {
	settings  *nodeconfig.Settings
	log       *logrus.Entry
	client    *transport.Client
	allowance tokenlease.Allowance
	startedAt time.Time

	mu                 sync.Mutex // guards what follows; never held during a call
	lessee             *tokenlease.Lessee
	waiting            map[tokenlease.Ticket]chan tokenlease.Decision
	nextStep           *time.Timer // calls Step
	calls              int         // in flight
	withoutLimitsUntil time.Time
}

// newTenantLimiter returns a limiter that holds no tokens.
func newTenantLimiter(settings *nodeconfig.Settings, log *logrus.Entry) *tenantLimiter {
	// The random part lets lessors distinguish two runs of the same proxy.
	name := fmt.Sprintf("%s/%016x", settings.NodeID, rand.Uint64())
	bounds := settings.Bounds
	return &tenantLimiter{settings: settings, log: log, client: transport.NewClient(), startedAt: time.Now(), lessee: tokenlease.NewLessee(name),
		allowance: tokenlease.Allowance{WindowSeconds: bounds.QuotaWindowSeconds, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack},
		waiting:   map[tokenlease.Ticket]chan tokenlease.Decision{}}
}

// now returns the time for leases, in seconds since the start by the monotonic clock.
func (l *tenantLimiter) now() float64 { return time.Since(l.startedAt).Seconds() }

// setRank sets the rank of this proxy among all proxies, by which lessees are spread over the lessors.
func (l *tenantLimiter) setRank(rank int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessee.SetHome(rank)
}

// tokenRequest is a request for the tokens that a client's request costs. It belongs to the goroutine that serves the request. A nil value stands for a
// request without a limit.
type tokenRequest struct {
	limiter    *tenantLimiter
	tenant     string
	ticket     tokenlease.Ticket
	decided    chan tokenlease.Decision
	decision   tokenlease.Decision
	isDecided  bool
	isLikely   bool // the lessee expects it to be admitted
	isFinished bool // commit or release has been called
}

// request asks for the tokens of a client's request, which are waited for until the timeout. It returns at once. The caller has to call release at the
// end.
func (l *tenantLimiter) request(tenant *routeconfig.Tenant, cost int64, timeout time.Duration) *tokenRequest {
	r := &tokenRequest{limiter: l, tenant: tenant.Name, decided: make(chan tokenlease.Decision, 1)}
	limit := tokenlease.Limit{Rate: tenant.Limit.RatePerSecond, Burst: tenant.Limit.Burst}
	if cost > l.allowance.MaxCost(limit) {
		r.decided <- tokenlease.Decision{Refusal: tokenlease.OverLimit, RetrySeconds: float64(cost) / limit.Rate}
		return r
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.withoutLimitsUntil) {
		r.decided <- tokenlease.Decision{}
		return r
	}
	now := l.now()
	r.ticket = l.lessee.Admit(now, tenant.Name, cost, now+timeout.Seconds())
	l.waiting[r.ticket] = r.decided
	l.step()
	r.isLikely = l.lessee.ExpectsAdmission(now, tenant.Name)
	return r
}

// poll returns the decision, if there is one yet.
func (r *tokenRequest) poll() (decision tokenlease.Decision, isDecided bool) {
	if r == nil {
		return tokenlease.Decision{}, true
	}
	if !r.isDecided {
		select {
		case r.decision = <-r.decided:
			r.isDecided = true
		default:
		}
	}
	return r.decision, r.isDecided
}

// isExpected reports whether there is no decision yet and the request is expected to be admitted.
func (r *tokenRequest) isExpected() bool {
	if r == nil || !r.isLikely {
		return false
	}
	_, isDecided := r.poll()
	return !isDecided
}

// wait waits for the decision and returns it, or a refusal if the context ends first.
func (r *tokenRequest) wait(ctx context.Context) tokenlease.Decision {
	if decision, isDecided := r.poll(); isDecided {
		return decision
	}
	select {
	case r.decision = <-r.decided:
	case <-ctx.Done():
		r.release()
		r.decision = tokenlease.Decision{Refusal: tokenlease.NotAvailable}
	}
	r.isDecided = true
	return r.decision
}

// commit marks the tokens of an admitted request as spent. It is called before the request is sent to a server.
func (r *tokenRequest) commit() {
	if r == nil || r.isFinished {
		return
	}
	r.isFinished = true
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.lessee.Commit(r.limiter.now(), r.decision.Payment)
	r.limiter.step()
}

// release cancels the token request, or refunds its tokens, if the client's request was sent to no server. After commit it does nothing.
func (r *tokenRequest) release() {
	if r == nil || r.isFinished {
		return
	}
	r.isFinished = true
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	delete(r.limiter.waiting, r.ticket)
	if r.limiter.lessee.Cancel(r.tenant, r.ticket) {
		return
	}
	if decision, isDecided := r.poll(); isDecided {
		r.limiter.lessee.Refund(decision.Payment)
		r.limiter.step()
	}
}

// step calls Step of the lessee, delivers the decisions and starts the calls that it returns. The caller holds mu.
func (l *tenantLimiter) step() {
	out := l.lessee.Step(l.now())
	for _, decision := range out.Decisions {
		if decided := l.waiting[decision.Ticket]; decided != nil {
			delete(l.waiting, decision.Ticket)
			decided <- decision // never blocks: the channel is buffered
		}
	}
	for _, call := range out.Calls {
		l.calls++
		go l.call(call)
	}
	if l.nextStep != nil {
		l.nextStep.Stop()
		l.nextStep = nil
	}
	if out.WaitUntil > 0 {
		delay := max(nodeconfig.FromSeconds(out.WaitUntil-l.now()), minStepDelay)
		l.nextStep = time.AfterFunc(delay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.step()
		})
	}
}

// call sends a request to the lessor of its share through the agent.
func (l *tenantLimiter) call(call tokenlease.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), tokenCallTimeout)
	defer cancel()
	reply := &tokenlease.Reply{}
	err := l.client.Call(ctx, l.settings.InternalAddress(l.settings.IP, nodeconfig.AgentPort), message.TokensPath, &call.Request, reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	var status *transport.StatusError
	switch {
	case err == nil:
		l.lessee.HandleReply(l.now(), call, reply)
	case errors.As(err, &status) && status.Code == http.StatusNotFound:
		l.serveWithoutLimits()
		l.lessee.HandleNoReply(l.now(), call)
	default:
		l.log.WithField("share", call.Request.Share).WithError(err).Debug("call to token lessor failed")
		l.lessee.HandleNoReply(l.now(), call)
	}
	l.step()
}

// serveWithoutLimits admits all requests for a while. The caller holds mu.
func (l *tenantLimiter) serveWithoutLimits() {
	if time.Now().After(l.withoutLimitsUntil) {
		l.log.Warn("the agent knows no limits of tenants: requests are served without")
	}
	l.withoutLimitsUntil = time.Now().Add(withoutLimitsDuration)
	for ticket, decided := range l.waiting {
		delete(l.waiting, ticket)
		decided <- tokenlease.Decision{}
	}
}

// close returns all unspent tokens to the lessors when the proxy shuts down.
func (l *tenantLimiter) close() {
	l.mu.Lock()
	l.lessee.ReturnAll(l.now())
	l.step()
	l.mu.Unlock()
	for deadline := time.Now().Add(returnTimeout); time.Now().Before(deadline); time.Sleep(minStepDelay) {
		l.mu.Lock()
		calls := l.calls
		l.mu.Unlock()
		if calls == 0 {
			return
		}
	}
}

// tokenWait returns how long a request on a route waits for tokens.
func tokenWait(route *routeconfig.Route) time.Duration {
	wait := time.Duration(tokenWaitFraction * float64(nodeconfig.FromMillis(route.LatencyTargetMs)))
	return min(max(wait, minTokenWait), maxTokenWait)
}

// requestCost returns what a request costs of its tenant's limit: 1 if the limit counts requests, otherwise the tokens that it declares. If it declares no
// valid number of tokens, it costs the limit's PlainTokens.
func requestCost(limit *routeconfig.TenantLimit, header http.Header) int64 {
	if !limit.CountsTokens {
		return 1
	}
	sum := int64(0)
	for count := range strings.SplitSeq(header.Get(headerTokenCounts), ",") {
		tokens, err := strconv.ParseInt(strings.TrimSpace(count), 10, 64)
		if err != nil || tokens < 0 {
			return limit.PlainTokens
		}
		sum += min(tokens, maxDeclaredTokens)
	}
	return sum
}
