package proxy

import (
	"context"
	"net/http"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/nodeconfig"
)

// choice looks for a server under the lock of the decisions, and returns whether there is one.
type placementChoice func(now float64, pool *placement.Pool, planner *placement.Planner) bool

// await makes a choice, again and again for a part of the route's objective while there is no place. It returns whether one was found.
func (p *Proxy) awaitPlacement(ctx context.Context, req *proxyRequest, choose placementChoice) bool {
	deadline := req.arrivedAt.Add(time.Duration(queueFraction * float64(nodeconfig.FromMillis(req.route.LatencyTargetMs))))
	for {
		found := false
		p.state.withService(req.service, func(now float64, pool *placement.Pool, planner *placement.Planner) {
			found = pool != nil && choose(now, pool, planner)
		})
		if found || time.Now().After(deadline) || ctx.Err() != nil {
			return found
		}
		time.Sleep(queuePollInterval)
	}
}

// pick returns the next server for a job, waiting a little for a place, nil if there is none.
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

// allowed takes a further arrival out of the budget. What never reached a server is none.
func (p *Proxy) chargeAttempt(req *proxyRequest) bool {
	if req.deliveredAttempts == 0 || req.lastOutcome == outcomeNotSent {
		return true
	}
	return p.spendRetryBudget(req)
}

// spend takes one arrival out of the budget, if there is room.
func (p *Proxy) spendRetryBudget(req *proxyRequest) bool {
	ok := false
	p.state.withService(req.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		ok = pool != nil && pool.Budget.TrySpend(now, pool.ProxyCount())
	})
	return ok
}

// attemptsMost bounds the tries at servers that can't be reached.
const maxAttemptsPerRequest = 4

// exchange sends bytes to a server and reads the head of the answer.
func (p *Proxy) roundTrip(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint, request []byte) (*backendExchange, outcome) {
	conn, err := p.connectBackend(ctx, req, endpoint)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithError(err).Debug("not connected")
		return nil, outcomeNotSent
	}
	exchanged, result, err := sendRequest(ctx, conn, req.incoming.Method, req.id, request)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithField("request", req.id).WithError(err).Debug("no answer")
		return nil, result
	}
	if exchanged.response.StatusCode == http.StatusMisdirectedRequest {
		p.logMisdirected(req, endpoint, exchanged.response)
	}
	p.state.withLock(func(now float64) {
		if running, waiting, ok := parseServerLoad(exchanged.response.Header); ok {
			endpoint.RecordLoad(now, running, waiting)
		}
		if exchanged.response.StatusCode == http.StatusMisdirectedRequest {
			endpoint.RecordMisdirected(now)
			endpoint.RecordIdentity(exchanged.response.Header.Get(headerInstanceID))
		}
	})
	return exchanged, outcomeAnswered
}

// connect returns a connection to a server over which a request may go.
func (p *Proxy) connectBackend(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, backendConnectTimeout)
	defer cancel()
	conn, err := p.conns.get(ctx, endpoint.Address, req.id)
	if err != nil {
		return nil, err
	}
	if !p.verifyNewConn(ctx, req, endpoint, conn) {
		return nil, errNewConnRejected
	}
	return conn, nil
}

// settle counts what came of an attempt.
func (p *Proxy) recordOutcome(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint, result outcome) {
	req.lastOutcome = result
	req.triedEndpoints = append(req.triedEndpoints, endpoint)
	if result != outcomeNotSent {
		req.deliveredAttempts++
	}
	if result.mayHaveExecuted() {
		req.possibleExecutions++
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
