package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"hazelwheel/internal/decide/placement"
)

const (
	// prefillTimeoutFactor times the route's latency target is the timeout of a prefill.
	prefillTimeoutFactor = 6
	// maxPrefillAttempts bounds how many servers are tried for one prefill.
	maxPrefillAttempts = 3
	// maxPrefillResponseBytes bounds the body of a prefill server's response.
	maxPrefillResponseBytes = 64 << 10
)

// retriesPrefill reports whether a prompt may be sent to another prefill server after this outcome, and charges the retry budget if the attempt
// reached a server. An attempt that may have been executed counts against the route's MaxAttempts as well.
func (p *Proxy) retriesPrefill(req *proxyRequest, result outcome) bool {
	switch result {
	case outcomeNotSent:
		return true
	case outcomeNotExecuted:
		return p.spendRetryBudget(req)
	case outcomeMayHaveExecuted:
		if req.possibleExecutions+1 >= req.route.MaxAttempts || !p.spendRetryBudget(req) {
			return false
		}
		req.deliveredAttempts++
		req.possibleExecutions++
		return true
	default:
		return false
	}
}

// prefill has a server prefill a prompt. It returns the handle of the KV cache, or "" if the prefill failed, and the outcome, which it also records
// in the statistics of the server.
func (p *Proxy) prefill(ctx context.Context, req *proxyRequest, server *placement.Endpoint, prompt *placement.Prompt) (string, outcome) {
	var prefill *placement.Prefill
	p.state.withService(req.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			prefill = planner.StartPrefill(now, server, prompt)
		}
	})
	timeout := time.Duration(prefillTimeoutFactor * req.route.LatencyTargetMs * float64(time.Millisecond))
	prefillCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	handle, result := p.sendPrefill(prefillCtx, req, server)
	p.state.withService(req.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		server.FinishRequest()
		if planner != nil && prefill != nil {
			planner.FinishPrefill(now, server, prefill, result == outcomeAnswered)
		}
		switch {
		case result == outcomeAnswered:
			server.RecordSuccess()
		case ctx.Err() == nil && result != outcomeNotExecuted:
			server.RecordFailure(now, result == outcomeNotSent)
		}
	})
	if result == outcomeNotExecuted {
		req.deliveredAttempts++ // an attempt that was rejected has reached a server
	}
	return handle, result
}

// prefillResponse is the JSON body of a prefill server's response.
type prefillResponse struct {
	KvHandle string `json:"KvHandle"`
}

// sendPrefill sends a request to a prefill server, and returns the handle in its response as IP:PORT/HANDLE.
func (p *Proxy) sendPrefill(ctx context.Context, req *proxyRequest, server *placement.Endpoint) (string, outcome) {
	request := req.encode(headerField{headerExpectInstance, server.ID},
		headerField{headerServingStage, stagePrefill}, headerField{headerPriority, priorityValue(req)})
	exchange, result := p.roundTrip(ctx, req, server, request)
	if result != outcomeAnswered {
		return "", result
	}
	body, err := io.ReadAll(io.LimitReader(exchange.response.Body, maxPrefillResponseBytes))
	if err != nil || !hasDelimitedBody(exchange.response) {
		exchange.abort()
		return "", outcomeMayHaveExecuted
	}
	exchange.finish(p.conns, server.Address)
	var response prefillResponse
	switch {
	case exchange.provesNotExecuted():
		return "", outcomeNotExecuted
	case exchange.response.StatusCode != http.StatusOK || json.Unmarshal(body, &response) != nil || response.KvHandle == "":
		return "", outcomeMayHaveExecuted
	}
	return server.Address + "/" + response.KvHandle, outcomeAnswered
}

// priorityValue returns the Priority field of a request.
func priorityValue(req *proxyRequest) string {
	return strconv.Itoa(req.authorizedBy.priorities.value(req.route, req.tenant))
}
