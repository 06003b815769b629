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
func (p *Proxy) retriesPrefill(j *proxyRequest, result outcome) bool {
	switch result {
	case outcomeNotSent:
		return true
	case outcomeNotExecuted:
		return p.spendRetryBudget(j)
	case outcomeMayHaveExecuted:
		if j.possibleExecutions+1 >= j.route.MaxAttempts || !p.spendRetryBudget(j) {
			return false
		}
		j.deliveredAttempts++
		j.possibleExecutions++
		return true
	default:
		return false
	}
}

// readPrompt has a prompt read and returns the handle of its cache, "" if that failed, and how far it came.
func (p *Proxy) prefill(ctx context.Context, j *proxyRequest, server *placement.Endpoint, prompt *placement.Prompt) (string, outcome) {
	var reading *placement.Prefill
	p.state.withService(j.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			reading = planner.StartPrefill(now, server, prompt)
		}
	})
	timeout := time.Duration(prefillTimeoutFactor * j.route.LatencyTargetMs * float64(time.Millisecond))
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	handle, result := p.sendPrefill(readCtx, j, server)
	p.state.withService(j.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		server.FinishRequest()
		if planner != nil && reading != nil {
			planner.FinishPrefill(now, server, reading, result == outcomeAnswered)
		}
		switch {
		case result == outcomeAnswered:
			server.RecordSuccess()
		case ctx.Err() == nil && result != outcomeNotExecuted:
			server.RecordFailure(now, result == outcomeNotSent)
		}
	})
	if result == outcomeNotExecuted {
		j.deliveredAttempts++ // one that was turned away counts
	}
	return handle, result
}

type prefillResponse struct {
	KvHandle string `json:"KvHandle"`
}

func (p *Proxy) sendPrefill(ctx context.Context, j *proxyRequest, server *placement.Endpoint) (string, outcome) {
	request := encodeRequest(j.incoming, j.body, j.remaining(), headerField{headerExpectInstance, server.ID}, headerField{headerServingStage, stagePrefill},
		headerField{headerPriority, priorityValue(j)})
	exchanged, result := p.roundTrip(ctx, j, server, request)
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

func priorityValue(j *proxyRequest) string {
	return strconv.Itoa(min(max(j.route.Priority, 0), maxPriority))
}
