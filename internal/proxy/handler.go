package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/routeconfig"
)

const (
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxResponseBytes = 16 << 20
	// retryAfterS is told with requests that were not run, in seconds.
	retryAfterSeconds = 0.1
	// backendDialWithin bounds the opening of a connection to a server.
	backendConnectTimeout = 300 * time.Millisecond
	// waitPart is the part of a route's objective for which a request may wait for a place.
	queueFraction     = 0.2
	queuePollInterval = 4 * time.Millisecond
	// startWithin is how long a request waits for a proxy that has just begun.
	startupTimeout = 1200 * time.Millisecond
	// tokensMost bounds the tokens of a prompt or an answer that a client's word is believed for.
	maxTokenCount = 1 << 22
	// bodyDefault is what an unset limit of bodies stands for, in bytes.
	defaultMaxBodyBytes = 4 << 20
)

// ServeHTTP serves a request of a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	table := p.awaitRoutes(r.Context())
	if table == nil {
		respondUnavailable(w, retryAfterSeconds)
		return
	}
	route := table.find(r.Host, r.URL.Path)
	if route == nil {
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	body, status := readBody(w, r, table.limits)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	req := &proxyRequest{incoming: r, body: body, id: r.Header.Get(headerRequestID), route: route, service: drawService(route), arrivedAt: arrivedAt}
	req.deadline = arrivedAt.Add(timeLimit(r, route))
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(req.deadline.Add(time.Second)) // connections without deadlines serve on without
	servesModel := false
	p.state.withService(req.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		if pool != nil {
			pool.Budget.RecordRequest(now)
			servesModel = pool.Engine.IsPresent
		}
	})
	if route.Kind == routeconfig.Streaming {
		p.serveStream(ctx, w, req, servesModel)
		return
	}
	p.serveUnary(ctx, w, req)
}

// awaitRoutes returns the table in force. A proxy that has just begun is told within a moment; until then requests wait, since
// clients come back only so often.
func (p *Proxy) awaitRoutes(ctx context.Context) *routeTable {
	if p.state.isReady() {
		return p.state.routes()
	}
	timer := time.NewTimer(startupTimeout)
	defer timer.Stop()
	select {
	case <-p.state.servable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.state.routes()
}

// refuse tells that a request was not run and when to come back.
func respondUnavailable(w http.ResponseWriter, retryAfter float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', 2, 64))
	http.Error(w, "no server can take it now", http.StatusServiceUnavailable)
}

// fail ends a request that brought no answer.
func (p *Proxy) respondFailure(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	switch {
	case req.possibleExecutions == 0 && (ctx.Err() == nil || req.remaining() <= 0):
		p.stats.countUnserved(req.service, func(counts *unservedCounts) { counts.Rejected++ })
		respondUnavailable(w, retryAfterSeconds)
	case req.remaining() <= 0:
		p.stats.countUnserved(req.service, func(counts *unservedCounts) { counts.TimedOut++ })
		http.Error(w, "out of time", http.StatusGatewayTimeout)
	default:
		p.stats.countUnserved(req.service, func(counts *unservedCounts) { counts.BackendFailed++ })
		http.Error(w, "the server broke off", http.StatusBadGateway)
	}
}
