package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/routeconfig"
)

// plain serves a request whose answer is short.
func (p *Proxy) serveUnary(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	for range maxAttemptsPerRequest {
		if !p.chargeAttempt(req) {
			break
		}
		endpoint := p.pickEndpoint(ctx, req)
		if endpoint == nil {
			break
		}
		response, body := p.attemptUnary(ctx, req, endpoint)
		if response != nil {
			copyResponseHeader(w, response)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.WriteHeader(response.StatusCode)
			_, _ = w.Write(body) // a client that is gone needs none
			return
		}
		if !req.lastOutcome.allowsRetry(req.route) || req.possibleExecutions >= req.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	p.respondFailure(ctx, w, req)
}

// attempt sends a request to a server and reads the whole answer. Without an answer for the client, j.last says why.
func (p *Proxy) attemptUnary(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint) (*http.Response, []byte) {
	exchanged, result := p.roundTrip(ctx, req, endpoint, encodeRequest(req.incoming, req.body, req.remaining(), headerField{headerExpectInstance, endpoint.ID}))
	if result != outcomeAnswered {
		p.recordOutcome(ctx, req, endpoint, result)
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(exchanged.response.Body, maxResponseBytes))
	if err != nil || !hasDelimitedBody(exchanged.response) {
		exchanged.abort()
		p.recordOutcome(ctx, req, endpoint, outcomeMayHaveExecuted)
		return nil, nil
	}
	exchanged.finish(p.conns, endpoint.Address)
	result = classifyResponse(exchanged.response)
	isServerError := exchanged.response.StatusCode >= http.StatusInternalServerError
	retries := isServerError && req.route.Kind == routeconfig.Idempotent && req.possibleExecutions+1 < req.route.MaxAttempts
	if result == outcomeAnswered && !retries {
		p.recordOutcome(ctx, req, endpoint, outcomeAnswered)
		return exchanged.response, body
	}
	if retries && result == outcomeAnswered {
		result = outcomeMayHaveExecuted
	}
	p.recordOutcome(ctx, req, endpoint, result)
	return nil, nil
}
