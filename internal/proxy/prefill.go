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

// readsAgain tells whether a prompt may be read at another server after a reading that ended so. Nothing counts until a server has taken it
// up. A refusal counts as an arrival, and a reading that was lost as an attempt as well.
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

// readPrompt has a prompt read and returns the handle of its cache, "" if that failed, and how far it came.
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
		req.deliveredAttempts++ // one that was turned away counts
	}
	return handle, result
}

type prefillResponse struct {
	KvHandle string `json:"KvHandle"`
}

func (p *Proxy) sendPrefill(ctx context.Context, req *proxyRequest, server *placement.Endpoint) (string, outcome) {
	request := encodeRequest(req.incoming, req.body, req.remaining(), headerField{headerExpectInstance, server.ID}, headerField{headerServingStage, stagePrefill},
		headerField{headerPriority, priorityValue(req)})
	exchanged, result := p.roundTrip(ctx, req, server, request)
	if result != outcomeAnswered {
		return "", result
	}
	body, err := io.ReadAll(io.LimitReader(exchanged.response.Body, maxPrefillResponseBytes))
	if err != nil || !hasDelimitedBody(exchanged.response) {
		exchanged.abort()
		return "", outcomeMayHaveExecuted
	}
	exchanged.finish(p.conns, server.Address)
	var response prefillResponse
	switch {
	case isNotExecuted(exchanged.response):
		return "", outcomeNotExecuted
	case exchanged.response.StatusCode != http.StatusOK || json.Unmarshal(body, &response) != nil || response.KvHandle == "":
		return "", outcomeMayHaveExecuted
	}
	return server.Address + "/" + response.KvHandle, outcomeAnswered
}

func priorityValue(req *proxyRequest) string {
	return strconv.Itoa(min(max(req.route.Priority, 0), maxPriority))
}
