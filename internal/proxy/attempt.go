package proxy

import (
	"context"
	"net/http"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/nodeconfig"
)

const (
	// maxAttemptsPerRequest bounds the attempts for one request, including those that reach no server.
	maxAttemptsPerRequest = 4
	// backendConnectTimeout bounds the time to connect to a server, including the health check on the new connection if there is one.
	backendConnectTimeout = 300 * time.Millisecond
	// queueFraction times the route's latency target is how long a request may wait for a free server.
	queueFraction = 0.2
	// queuePollInterval is the time between two attempts to find a server for a waiting request.
	queuePollInterval = 4 * time.Millisecond
)

// placementChoice chooses a server and returns whether it found one. It is called with the lock of routingState held.
type placementChoice func(now float64, pool *placement.Pool, planner *placement.Planner) bool

// awaitPlacement calls choose until it finds a server or until queueFraction of the route's latency target has passed since the request's
// arrival. It returns whether a server was found. It finds none for a request whose key has been revoked meanwhile.
func (p *Proxy) awaitPlacement(ctx context.Context, req *proxyRequest, choose placementChoice) bool {
	deadline := req.arrivedAt.Add(time.Duration(queueFraction * float64(nodeconfig.FromMillis(req.route.LatencyTargetMs))))
	for {
		found := false
		if !p.reauthorize(req) {
			return false
		}
		p.state.withService(req.service, func(now float64, pool *placement.Pool, planner *placement.Planner) {
			found = pool != nil && choose(now, pool, planner)
		})
		if found || time.Now().After(deadline) || ctx.Err() != nil {
			return found
		}
		time.Sleep(queuePollInterval)
	}
}

// pickEndpoint returns the server for the next attempt, or nil if none becomes free in time. It prefers servers that have not been tried. The
// request counts as started at the server, and the caller has to call recordOutcome.
func (p *Proxy) pickEndpoint(ctx context.Context, req *proxyRequest) (picked *placement.Endpoint) {
	p.awaitPlacement(ctx, req, func(now float64, pool *placement.Pool, _ *placement.Planner) bool {
		if picked = pool.Pick(now, req.triedEndpoints); picked == nil && len(req.triedEndpoints) > 0 {
			picked = pool.Pick(now, nil)
		}
		if picked != nil {
			picked.StartRequest()
		}
		return picked != nil
	})
	return picked
}

// chargeAttempt charges a retry to the service's retry budget and returns false if the budget is exhausted. The first attempt is free, and so
// is an attempt after one that reached no server.
func (p *Proxy) chargeAttempt(req *proxyRequest) bool {
	if req.deliveredAttempts == 0 || req.lastOutcome == outcomeNotSent {
		return true
	}
	return p.spendRetryBudget(req)
}

// spendRetryBudget charges one retry to the service's retry budget, and returns false if the budget is exhausted.
func (p *Proxy) spendRetryBudget(req *proxyRequest) bool {
	ok := false
	p.state.withService(req.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		ok = pool != nil && pool.Budget.TrySpend(now, pool.ProxyCount())
	})
	return ok
}

// roundTrip sends an encoded request to a server and reads the head of the response. It returns an exchange if the outcome is
// outcomeAnswered, and nil otherwise; the caller has to finish or abort the exchange. It records the server's load, and the instance ID of a
// misdirected response, from the head.
func (p *Proxy) roundTrip(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint, request []byte) (*backendExchange, outcome) {
	conn, err := p.connectBackend(ctx, req, endpoint)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithError(err).Debug("failed to connect to server")
		return nil, outcomeNotSent
	}
	exchange, result, err := sendRequest(ctx, conn, req.incoming.Method, req.id, request)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithField("request", req.id).WithError(err).Debug("no response from server")
		return nil, result
	}
	if exchange.response.StatusCode == http.StatusMisdirectedRequest {
		p.logMisdirected(req, endpoint, exchange.response)
	}
	p.state.withLock(func(now float64) {
		if running, waiting, ok := parseServerLoad(exchange.response.Header); ok {
			endpoint.RecordLoad(now, running, waiting)
		}
		if exchange.response.StatusCode == http.StatusMisdirectedRequest {
			endpoint.RecordMisdirected(now)
			endpoint.RecordIdentity(exchange.response.Header.Get(headerInstanceID))
		}
	})
	return exchange, outcomeAnswered
}

// connectBackend returns a connection on which a request may be sent to a server.
func (p *Proxy) connectBackend(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, backendConnectTimeout)
	defer cancel()
	conn, err := p.connectFor(ctx, req, endpoint.Address)
	if err != nil {
		return nil, err
	}
	if !p.verifyNewConn(ctx, req, endpoint, conn) {
		return nil, errNewConnRejected
	}
	return conn, nil
}

// connectFor returns a connection for a request. Nothing tells the response to a request without an ID from another one, so it gets a new connection.
func (p *Proxy) connectFor(ctx context.Context, req *proxyRequest, address string) (*backendConn, error) {
	if req.id == "" {
		return p.conns.dial(ctx, address)
	}
	return p.conns.get(ctx, address, req.id)
}

// recordOutcome records the outcome of an attempt, in the request's counters and in the statistics of the server.
func (p *Proxy) recordOutcome(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint, result outcome) {
	req.lastOutcome = result
	req.triedEndpoints = append(req.triedEndpoints, endpoint)
	if result != outcomeNotSent {
		req.deliveredAttempts++
	}
	if result.mayHaveExecuted() {
		req.possibleExecutions++
		p.stats.countExecution(req)
	}
	p.state.withLock(func(now float64) {
		endpoint.FinishRequest()
		switch {
		case result == outcomeAnswered:
			endpoint.RecordSuccess()
		case result == outcomeNotSent && ctx.Err() == nil:
			endpoint.RecordFailure(now, true)
		case result == outcomeMayHaveExecuted && ctx.Err() == nil:
			endpoint.RecordFailure(now, false)
		}
	})
	if result != outcomeAnswered {
		p.log.WithField("server", endpoint.ID).WithField("request", req.id).WithField("verdict", result).Debug("attempt failed")
	}
}
