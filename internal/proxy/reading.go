package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelwheel/internal/decide/placement"
)

// readsAgain tells whether a prompt may be read at another server after a reading that ended so. Nothing counts until a server has taken it
// up. A refusal counts as an arrival, and a reading that was lost as an attempt as well.
func (p *Proxy) readsAgain(j *proxyRequest, verdict outcome) bool {
	switch verdict {
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
func (p *Proxy) readPrompt(ctx context.Context, j *proxyRequest, reader *placement.Endpoint, prompt *placement.Prompt) (string, outcome) {
	var reading *placement.Prefill
	p.state.do(j.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			reading = planner.StartPrefill(now, reader, prompt)
		}
	})
	limit := time.Duration(readingMost * j.route.LatencyTargetMs * float64(time.Millisecond))
	readCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	handle, verdict := p.callReader(readCtx, j, reader)
	p.state.do(j.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		reader.FinishRequest()
		if planner != nil && reading != nil {
			planner.FinishPrefill(now, reader, reading, verdict == outcomeAnswered)
		}
		switch {
		case verdict == outcomeAnswered:
			reader.RecordSuccess()
		case ctx.Err() == nil && verdict != outcomeNotExecuted:
			reader.RecordFailure(now, verdict == outcomeNotSent)
		}
	})
	if verdict == outcomeNotExecuted {
		j.deliveredAttempts++ // one that was turned away counts
	}
	return handle, verdict
}

type handleAnswer struct {
	KvHandle string `json:"KvHandle"`
}

func (p *Proxy) callReader(ctx context.Context, j *proxyRequest, reader *placement.Endpoint) (string, outcome) {
	request := encodeRequest(j.incoming, j.body, j.remaining(), field{headerExpectInstance, reader.ID}, field{headerServingStage, stagePrefill},
		field{headerPriority, priorityOf(j)})
	got, verdict := p.roundTrip(ctx, j, reader, request)
	if verdict != outcomeAnswered {
		return "", verdict
	}
	body, err := io.ReadAll(io.LimitReader(got.response.Body, maxHandle))
	if err != nil || !hasDelimitedBody(got.response) {
		got.abort()
		return "", outcomeMayHaveExecuted
	}
	got.finish(p.backends, reader.Address)
	var answer handleAnswer
	switch {
	case refusal(got.response):
		return "", outcomeNotExecuted
	case got.response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.KvHandle == "":
		return "", outcomeMayHaveExecuted
	}
	return reader.Address + "/" + answer.KvHandle, outcomeAnswered
}

func priorityOf(j *proxyRequest) string {
	return strconv.Itoa(min(max(j.route.Priority, 0), priorityMost))
}

// freeHandle lets a server forget a cache that nobody takes.
func (p *Proxy) freeHandle(handle string) {
	address, id, ok := strings.Cut(handle, "/")
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeWithin)
		defer cancel()
		conn, err := p.backends.get(ctx, address, "")
		if err != nil {
			return
		}
		request := "DELETE /kv-handle/" + id + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: 0\r\n\r\n"
		got, _, err := send(ctx, conn, http.MethodDelete, "", []byte(request))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(got.response.Body, maxSurplus)); err != nil {
			got.abort()
			return
		}
		got.finish(p.backends, address)
	}()
}
