package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/routeconfig"
)

const (
	// retryAfterSeconds is the value of Retry-After in responses to requests that were not executed.
	retryAfterSeconds = 0.1
	// maxUnavailableSeconds bounds Retry-After if no lessor of a tenant's tokens could be reached.
	maxUnavailableSeconds = 0.3
	// startupTimeout bounds how long a request waits for the first configuration of a proxy that has just started.
	startupTimeout = 1200 * time.Millisecond
	// writeDeadlineMargin is added to a request's deadline for the writing of its response.
	writeDeadlineMargin = time.Second
	// unavailableText is the body of a 503 response: the request was not executed and may be sent again.
	unavailableText = "no server can take it now"
)

// ServeHTTP forwards a client's request to a server of its route's service and writes the response. It retries as far as the route and the
// retry budget allow.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	table := p.awaitRoutes(r.Context())
	if table == nil {
		p.stats.countRejected(rejectedNoConfiguration)
		w.Header().Set("Retry-After", formatSeconds(retryAfterSeconds))
		respondUnread(w, r, unavailableText, http.StatusServiceUnavailable)
		return
	}
	req := p.admit(w, r, table, arrivedAt)
	if req == nil {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	p.admitted.add(req, cancel)
	defer p.admitted.remove(req)
	servesModel := false
	p.state.withService(req.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		if pool != nil {
			pool.Budget.RecordRequest(now)
			servesModel = pool.Engine.IsPresent
		}
	})
	// A proxy sees only a part of a tenant's requests, so a limit is enforced by tokens that are granted across the whole fleet. Each request is charged
	// once, before its first attempt, whatever the outcome of that.
	req.tokens = p.requestTokens(req)
	defer req.tokens.release()
	// A prompt may be prefilled while it waits for its tokens, if they are expected to be granted. Other requests need them before they are sent.
	prefillsMeanwhile := servesModel && req.route.Kind == routeconfig.Streaming && req.tokens.isExpected()
	if !prefillsMeanwhile && !p.awaitTokens(ctx, req) {
		p.respondWithoutTokens(w, req)
		return
	}
	p.stats.countAdmitted(req)
	if req.route.Kind == routeconfig.Streaming {
		p.serveStream(ctx, w, req, servesModel)
		return
	}
	p.serveUnary(ctx, w, req)
}

// admit finds the route of a request, checks its key and reads its body. If the request can't be forwarded, admit responds itself and returns nil.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, table *routeTable, arrivedAt time.Time) *proxyRequest {
	if maxBytes := table.limits.MaxHeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		p.stats.countRejected(rejectedHeader)
		respondUnread(w, r, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
		return nil
	}
	sent := takeCredentials(r.Header, table.tenants != nil)
	route := table.find(r)
	if route == nil {
		p.stats.countRejected(rejectedNoRoute)
		respondUnread(w, r, "no route", http.StatusNotFound)
		return nil
	}
	tenant, err := table.authorize(route, sent)
	if err != nil {
		p.stats.countRejected(rejectedUnauthorized)
		w.Header().Set(headerAuthenticate, apikey.Scheme)
		respondUnread(w, r, err.Error(), http.StatusUnauthorized)
		return nil
	}
	deadline := arrivedAt.Add(timeLimit(r, route))
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(deadline.Add(writeDeadlineMargin)) // ignored if the connection does not support deadlines
	// Danger: without a deadline the proxy would wait for a slow client's body without limit. The deadline has to be removed once the body has been
	// read: net/http keeps reading from the connection in the background, and takes an error there to mean that the client has disconnected.
	_ = control.SetReadDeadline(deadline)
	body, status := readBody(w, r, table.limits)
	if status != 0 {
		p.stats.countRejected(rejectedBody)
		respondAndClose(w, http.StatusText(status), status)
		return nil
	}
	_ = control.SetReadDeadline(time.Time{})
	return &proxyRequest{incoming: r, body: body, id: r.Header.Get(headerRequestID), route: route, service: pickService(route), arrivedAt: arrivedAt,
		deadline: deadline, credentials: sent, tenant: tenant, authorizedBy: table}
}

// requestTokens requests the tokens that a request costs of its tenant's limit. It returns nil if it costs none.
func (p *Proxy) requestTokens(req *proxyRequest) *tokenRequest {
	if req.tenant == nil || req.tenant.Limit == nil {
		return nil
	}
	cost := requestCost(req.tenant.Limit, req.incoming.Header)
	if cost == 0 {
		return nil
	}
	return p.limiter.request(req.tenant, cost, tokenWait(req.route))
}

// awaitTokens waits for the request's tokens, and returns whether it may be executed.
func (p *Proxy) awaitTokens(ctx context.Context, req *proxyRequest) bool {
	return req.tokens.wait(ctx).Refusal == tokenlease.Admitted
}

// respondWithoutTokens responds that a request was not executed for lack of tokens: 429 if its tenant is at its limit, and 503 if that isn't known.
func (p *Proxy) respondWithoutTokens(w http.ResponseWriter, req *proxyRequest) {
	decision, _ := req.tokens.poll()
	if decision.Refusal == tokenlease.OverLimit {
		p.stats.countRejected(rejectedOverLimit)
		w.Header().Set("Retry-After", formatSeconds(decision.RetrySeconds))
		http.Error(w, "the tenant is at its limit", http.StatusTooManyRequests)
		return
	}
	p.stats.countRejected(rejectedNoTokens)
	respondUnavailable(w, min(decision.RetrySeconds, maxUnavailableSeconds))
}

// awaitRoutes returns the current route table, or nil if there is none within startupTimeout. A proxy that has just started receives its first
// table shortly; requests wait for it, since clients retry only a few times.
func (p *Proxy) awaitRoutes(ctx context.Context) *routeTable {
	if p.state.isReady() {
		return p.state.currentTable()
	}
	timer := time.NewTimer(startupTimeout)
	defer timer.Stop()
	select {
	case <-p.state.servable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.state.currentTable()
}

// respondUnavailable responds that the request was not executed, and when to retry, in seconds.
func respondUnavailable(w http.ResponseWriter, retryAfter float64) {
	w.Header().Set("Retry-After", formatSeconds(retryAfter))
	http.Error(w, unavailableText, http.StatusServiceUnavailable)
}

// formatSeconds formats a number of seconds for a header field.
func formatSeconds(seconds float64) string { return strconv.FormatFloat(seconds, 'f', 2, 64) }

// respondFailure responds to a request that no server has answered. If no server can have executed it, the status is 401 if its key was revoked
// and 503 otherwise, or 429 if its tenant is at its limit. If one may have, the status is 504 after the deadline and 502 before it.
func (p *Proxy) respondFailure(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	switch {
	case req.lastOutcome == outcomeWithoutTokens:
		p.respondWithoutTokens(w, req)
	case req.possibleExecutions == 0 && !p.reauthorize(req):
		p.respondRevoked(w)
	case req.possibleExecutions == 0 && (ctx.Err() == nil || req.remaining() <= 0):
		p.stats.unserved.update(req.service, func(counts *unservedCounts) { counts.Rejected++ })
		respondUnavailable(w, retryAfterSeconds)
	case req.remaining() <= 0:
		p.stats.unserved.update(req.service, func(counts *unservedCounts) { counts.TimedOut++ })
		http.Error(w, "out of time", http.StatusGatewayTimeout)
	default:
		p.stats.unserved.update(req.service, func(counts *unservedCounts) { counts.BackendFailed++ })
		http.Error(w, "the server broke off", http.StatusBadGateway)
	}
}
