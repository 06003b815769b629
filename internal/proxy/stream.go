package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"hazelwheel/internal/decide/placement"
)

// eventBufferSize is the size of the buffer that events are read into, in bytes.
const eventBufferSize = 4 << 10

// serveStream serves a request whose response is a stream of events. With model servers, a prompt may be prefilled at one server and decoded at
// another. A stream that breaks off after its first event is resumed at another server if the route allows it; otherwise the connection to the
// client is closed abruptly, so that the response does not look complete.
func (p *Proxy) serveStream(ctx context.Context, w http.ResponseWriter, req *proxyRequest, servesModel bool) {
	relay := &eventRelay{w: w, control: http.NewResponseController(w)}
	defer func() { p.releaseKVHandle(req.cache.handle) }()
	prompt := promptFromRequest(req.incoming, req.route)
	for range maxAttemptsPerRequest {
		if !p.chargeAttempt(req) {
			break
		}
		done := false
		if servesModel {
			done = p.attemptPrompt(ctx, relay, req, &prompt)
		} else if endpoint := p.pickEndpoint(ctx, req); endpoint != nil {
			done = p.attemptStream(ctx, relay, req, streamAttempt{endpoint: endpoint})
		}
		if done {
			return
		}
		if !req.lastOutcome.allowsRetry(req.route) || req.possibleExecutions >= req.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	if relay.headWritten {
		// Danger: a response that ends here must not look complete.
		panic(http.ErrAbortHandler)
	}
	p.respondFailure(ctx, w, req)
}

// streamAttempt is one attempt at a stream.
type streamAttempt struct {
	endpoint *placement.Endpoint
	prefill  *placement.Prefill // nil unless the endpoint is prefilling the prompt itself
	prompt   *placement.Prompt  // nil if the service has no model servers
}

// attemptPrompt makes one attempt with model servers: it chooses them, has the prompt prefilled if the plan has a separate prefill server, and has
// it decoded. It returns whether the client has a complete response; if not, req.lastOutcome says why.
func (p *Proxy) attemptPrompt(ctx context.Context, relay *eventRelay, req *proxyRequest, prompt *placement.Prompt) bool {
	if req.cache.handle != "" {
		return p.attemptDecode(ctx, relay, req, prompt)
	}
	separately := req.deliveredAttempts == 0 && !relay.headWritten
	excluded := slices.Clone(req.triedEndpoints)
	for attempt := 1; attempt <= maxPrefillAttempts; attempt++ {
		plan, found := p.planPrompt(ctx, req, prompt, excluded, separately)
		if !found {
			req.lastOutcome = outcomeNotSent
			return false
		}
		if plan.PrefillServer == nil {
			return p.attemptStream(ctx, relay, req, streamAttempt{endpoint: plan.DecodeServer, prompt: prompt})
		}
		handle, result := p.prefill(ctx, req, plan.PrefillServer, prompt)
		req.cache, req.timing.prefilledAt = kvCache{handle: handle, zone: plan.PrefillServer.Zone}, time.Now()
		if ctx.Err() != nil {
			req.lastOutcome = outcomeCanceled
			return false
		}
		// Danger: retriesPrefill charges the retry budget, which must not happen after the last attempt.
		if attempt == maxPrefillAttempts || !p.retriesPrefill(req, result) {
			break
		}
		// Another prefill server is tried: one that has failed, or is changing its stage, is no reason for a prefill at a decode server, which would
		// delay the streams there.
		excluded = append(excluded, plan.PrefillServer)
	}
	return p.attemptDecode(ctx, relay, req, prompt)
}

// planPrompt chooses the servers for a prompt, and counts the request as started at the one that it is sent to first. If separately is true, the
// prefill server may be another than the decode server.
func (p *Proxy) planPrompt(ctx context.Context, req *proxyRequest, prompt *placement.Prompt, excluded []*placement.Endpoint,
	separately bool) (plan placement.Plan, found bool) {
	found = p.awaitPlacement(ctx, req, func(now float64, _ *placement.Pool, planner *placement.Planner) bool {
		chosen, ok := planner.PlanPrompt(now, prompt, excluded, separately)
		if !ok {
			return false
		}
		if plan = chosen; plan.PrefillServer != nil {
			plan.PrefillServer.StartRequest()
		} else {
			plan.DecodeServer.StartRequest()
		}
		return true
	})
	return plan, found
}

// attemptDecode has a prompt decoded, from its KV cache or, if the prefill has failed, without one. The decode server is chosen only now, with
// what is known after the prefill.
func (p *Proxy) attemptDecode(ctx context.Context, relay *eventRelay, req *proxyRequest, prompt *placement.Prompt) bool {
	var server *placement.Endpoint
	p.awaitPlacement(ctx, req, func(now float64, _ *placement.Pool, planner *placement.Planner) bool {
		if server = planner.PickDecodeServer(now, req.cache.zone, req.triedEndpoints); server != nil {
			server.StartRequest()
		}
		return server != nil
	})
	if server == nil {
		req.lastOutcome = outcomeNotSent
		return false
	}
	return p.attemptStream(ctx, relay, req, streamAttempt{endpoint: server, prompt: prompt})
}

// attemptStream sends the request to a server and forwards its events. It returns whether the client has a complete response; if not,
// req.lastOutcome says why.
func (p *Proxy) attemptStream(ctx context.Context, relay *eventRelay, req *proxyRequest, attempt streamAttempt) bool {
	if !p.awaitTokens(ctx, req) {
		p.recordOutcome(ctx, req, attempt.endpoint, outcomeWithoutTokens)
		return false
	}
	req.tokens.commit()
	fields := []headerField{{headerExpectInstance, attempt.endpoint.ID}, {headerPriority, priorityValue(req)}}
	handle := req.cache.handle
	if handle != "" {
		fields = append(fields, headerField{headerKVFrom, handle})
	}
	if relay.lastEventID != "" {
		fields = append(fields, headerField{headerLastEventID, relay.lastEventID})
	}
	p.startPrefill(req, &attempt)
	if attempt.prompt != nil {
		p.state.withLock(func(float64) { attempt.endpoint.StartDecode(attempt.prompt) })
		defer p.state.withLock(func(float64) { attempt.endpoint.FinishDecode(attempt.prompt) })
	}
	exchange, result := p.roundTrip(ctx, req, attempt.endpoint, req.encode(fields...))
	if result != outcomeAnswered {
		p.finishPrefill(req, &attempt, false)
		if result != outcomeNotSent {
			req.cache.handle = "" // the server may have fetched the cache
		}
		p.recordOutcome(ctx, req, attempt.endpoint, result)
		return false
	}
	if exchange.response.StatusCode != http.StatusOK {
		p.finishPrefill(req, &attempt, false)
		req.cache.handleRejection(exchange)
		return p.forwardFailure(ctx, relay, req, attempt.endpoint, exchange)
	}
	req.cache.handle = ""
	result = p.forwardEvents(relay, req, &attempt, exchange)
	if result == outcomeAnswered {
		p.stats.countStream(req)
	}
	p.recordOutcome(ctx, req, attempt.endpoint, result)
	return result == outcomeAnswered
}

// startPrefill records that the endpoint starts to prefill the prompt itself, unless there is a KV cache.
func (p *Proxy) startPrefill(req *proxyRequest, attempt *streamAttempt) {
	if attempt.prompt == nil || req.cache.handle != "" {
		return
	}
	p.state.withService(req.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			attempt.prefill = planner.StartPrefill(now, attempt.endpoint, attempt.prompt)
		}
	})
}

// finishPrefill records the end of a prefill that startPrefill has recorded. Repeated calls have no effect.
func (p *Proxy) finishPrefill(req *proxyRequest, attempt *streamAttempt, succeeded bool) {
	if attempt.prefill == nil {
		return
	}
	p.state.withService(req.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			planner.FinishPrefill(now, attempt.endpoint, attempt.prefill, succeeded)
		}
	})
	attempt.prefill = nil
}

// forwardFailure handles a response with a status other than 200. It forwards the response, and returns true, if it is valid, nothing has been
// written to the client and no retry is allowed.
func (p *Proxy) forwardFailure(ctx context.Context, relay *eventRelay, req *proxyRequest, endpoint *placement.Endpoint, exchange *backendExchange) bool {
	retries := req.route.Resumable && req.possibleExecutions+1 < req.route.MaxAttempts
	return p.forwardOrRetry(ctx, relay.w, req, endpoint, exchange, relay.headWritten || retries)
}

// forwardEvents forwards events until the stream ends, and returns the outcome. Only complete events are written.
func (p *Proxy) forwardEvents(relay *eventRelay, req *proxyRequest, attempt *streamAttempt, exchange *backendExchange) outcome {
	if !hasDelimitedBody(exchange.response) || exchange.response.Header.Get(headerStamp) == "" || exchange.response.Header.Get("Content-Encoding") != "" {
		exchange.abort()
		p.finishPrefill(req, attempt, false)
		return outcomeMayHaveExecuted
	}
	in := bufio.NewReaderSize(exchange.response.Body, eventBufferSize)
	for {
		event, err := readEvent(in)
		p.finishPrefill(req, attempt, err == nil)
		if err != nil && !errors.Is(err, io.EOF) {
			exchange.abort()
			return outcomeMayHaveExecuted
		}
		if len(event) > 0 {
			if writeErr := relay.writeEvent(exchange.response, event); writeErr != nil {
				exchange.abort()
				return outcomeCanceled
			}
			req.timing.recordEvent(time.Now())
		}
		if err != nil {
			relay.writeHead(exchange.response)
			exchange.finish(p.conns, attempt.endpoint.Address)
			return outcomeAnswered
		}
	}
}
