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
func (p *Proxy) serveUnary(ctx context.Context, w http.ResponseWriter, j *proxyRequest) {
	for range maxAttemptsPerRequest {
		if !p.chargeAttempt(j) {
			break
		}
		endpoint := p.pickEndpoint(ctx, j)
		if endpoint == nil {
			break
		}
		response, body := p.attemptUnary(ctx, j, endpoint)
		if response != nil {
			copyResponseHeader(w, response)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.WriteHeader(response.StatusCode)
			_, _ = w.Write(body) // a client that is gone needs none
			return
		}
		if !j.lastOutcome.allowsRetry(j.route) || j.possibleExecutions >= j.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	p.respondFailure(ctx, w, j)
}

// attempt sends a request to a server and reads the whole answer. Without an answer for the client, j.last says why.
func (p *Proxy) attemptUnary(ctx context.Context, j *proxyRequest, endpoint *placement.Endpoint) (*http.Response, []byte) {
	exchanged, result := p.roundTrip(ctx, j, endpoint, encodeRequest(j.incoming, j.body, j.remaining(), headerField{headerExpectInstance, endpoint.ID}))
	if result != outcomeAnswered {
		p.recordOutcome(ctx, j, endpoint, result)
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(exchanged.response.Body, maxResponseBytes))
	if err != nil || !hasDelimitedBody(exchanged.response) {
		exchanged.abort()
		p.recordOutcome(ctx, j, endpoint, outcomeMayHaveExecuted)
		return nil, nil
	}
	exchanged.finish(p.conns, endpoint.Address)
	result = classifyResponse(exchanged.response)
	isServerError := exchanged.response.StatusCode >= http.StatusInternalServerError
	retries := isServerError && j.route.Kind == routeconfig.Idempotent && j.possibleExecutions+1 < j.route.MaxAttempts
	if result == outcomeAnswered && !retries {
		p.recordOutcome(ctx, j, endpoint, outcomeAnswered)
		return exchanged.response, body
	}
	if retries && result == outcomeAnswered {
		result = outcomeMayHaveExecuted
	}
	p.recordOutcome(ctx, j, endpoint, result)
	return nil, nil
}
