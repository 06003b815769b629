package proxy

import (
	"context"
	"net/http"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/routeconfig"
)

// serveUnary serves a request whose response is no stream of events. Attempts are made until the beginning of a response has been read that can be
// forwarded, see maxHeldBytes.
func (p *Proxy) serveUnary(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	for range maxAttemptsPerRequest {
		if !p.chargeAttempt(req) {
			break
		}
		endpoint := p.pickEndpoint(ctx, req)
		if endpoint == nil {
			break
		}
		if p.attemptUnary(ctx, w, req, endpoint) {
			return
		}
		if !req.lastOutcome.allowsRetry(req.route) || req.possibleExecutions >= req.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	p.respondFailure(ctx, w, req)
}

// attemptUnary makes one attempt, and returns whether the client has its response. If not, nothing was sent to the client, and req.lastOutcome says
// why. A server error for an idempotent request is treated as a failed attempt as long as another attempt is allowed.
func (p *Proxy) attemptUnary(ctx context.Context, w http.ResponseWriter, req *proxyRequest, endpoint *placement.Endpoint) bool {
	req.tokens.commit()
	exchange, result := p.roundTrip(ctx, req, endpoint, req.encode(headerField{headerExpectInstance, endpoint.ID}))
	if result != outcomeAnswered {
		p.recordOutcome(ctx, req, endpoint, result)
		return false
	}
	response := exchange.response
	retriesError := req.route.Kind == routeconfig.Idempotent && response.StatusCode >= http.StatusInternalServerError
	return p.forwardOrRetry(ctx, w, req, endpoint, exchange, retriesError && req.possibleExecutions+1 < req.route.MaxAttempts)
}
