package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/routeconfig"
)

// maxResponseBytes bounds a response that is buffered until it is complete.
const maxResponseBytes = 16 << 20

// serveUnary serves a request whose response is buffered and forwarded once it is complete, so that it can be retried up to then.
func (p *Proxy) serveUnary(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	for range maxAttemptsPerRequest {
		if !p.chargeAttempt(req) {
			break
		}
		endpoint := p.pickEndpoint(ctx, req)
		if endpoint == nil {
			break
		}
		response, body := p.attemptUnary(ctx, req, endpoint) //nolint:bodyclose // the body has been read completely
		if response != nil {
			copyResponseHeader(w, response)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.WriteHeader(response.StatusCode)
			_, _ = w.Write(body) // fails only if the client has disconnected
			return
		}
		if !req.lastOutcome.allowsRetry(req.route) || req.possibleExecutions >= req.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	p.respondFailure(ctx, w, req)
}

// attemptUnary makes one attempt, and returns the response with its complete body. If it returns nil, req.lastOutcome says why. A server error for an
// idempotent request is treated as a failed attempt as long as another attempt is allowed.
func (p *Proxy) attemptUnary(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint) (*http.Response, []byte) {
	req.tokens.commit()
	exchange, result := p.roundTrip(ctx, req, endpoint, req.encode(headerField{headerExpectInstance, endpoint.ID}))
	if result != outcomeAnswered {
		p.recordOutcome(ctx, req, endpoint, result)
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(exchange.response.Body, maxResponseBytes))
	if err != nil || !hasDelimitedBody(exchange.response) {
		exchange.abort()
		p.recordOutcome(ctx, req, endpoint, outcomeMayHaveExecuted)
		return nil, nil
	}
	exchange.finish(p.conns, endpoint.Address)
	result = classifyResponse(exchange.response)
	isServerError := exchange.response.StatusCode >= http.StatusInternalServerError
	retries := isServerError && req.route.Kind == routeconfig.Idempotent && req.possibleExecutions+1 < req.route.MaxAttempts
	if result == outcomeAnswered && !retries {
		p.recordOutcome(ctx, req, endpoint, outcomeAnswered)
		return exchange.response, body
	}
	if retries && result == outcomeAnswered {
		result = outcomeMayHaveExecuted
	}
	p.recordOutcome(ctx, req, endpoint, result)
	return nil, nil
}
