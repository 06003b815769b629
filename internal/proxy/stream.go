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

const (
	// readingMost is how long the reading of a prompt is waited for, in times the route's objective.
	readingMost = 6
	// readersMost bounds the servers that are tried for the reading of a prompt.
	readersMost  = 3
	maxHandle    = 64 << 10
	eventBuffer  = 4 << 10
	freeWithin   = time.Second
	priorityMost = 9
)

// stream serves a request whose answer is a series of events.
func (p *Proxy) serveStream(ctx context.Context, w http.ResponseWriter, j *proxyRequest, engine bool) {
	out := &relay{w: w, control: http.NewResponseController(w)}
	defer func() { p.freeHandle(j.cache.handle) }()
	prompt := promptFromRequest(j.incoming, j.route)
	for range maxAttemptsPerRequest {
		if !p.chargeAttempt(j) {
			break
		}
		done := false
		if engine {
			done = p.runPrompt(ctx, out, j, &prompt)
		} else if endpoint := p.pickEndpoint(ctx, j); endpoint != nil {
			done = p.runStream(ctx, out, j, run{endpoint: endpoint})
		}
		if done {
			return
		}
		if !j.lastOutcome.allowsRetry(j.route) || j.possibleExecutions >= j.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	if out.begun {
		// Danger: an answer that ends here must not look complete.
		panic(http.ErrAbortHandler)
	}
	p.respondFailure(ctx, w, j)
}

// handle is a cache that was read and not taken yet.
type kvCache struct {
	handle     string // IP:PORT/HANDLE; empty: there is none
	zone       string // where it was read
	rejections int
}

// refused tells that a server did not run the request that names the cache. The first time the cache may still be there, as
// where the server was full; after that it is given up.
func (h *kvCache) handleRejection(response *http.Response) {
	if h.rejections++; h.rejections > 1 || !refusal(response) {
		h.handle = ""
	}
}

// run is one try to have a stream made.
type run struct {
	endpoint *placement.Endpoint
	reading  *placement.Prefill // where the prompt is read here
	prompt   *placement.Prompt
}

// runPrompt chooses servers for a prompt, has it read and its answer made. It returns whether the client has its answer.
func (p *Proxy) runPrompt(ctx context.Context, out *relay, j *proxyRequest, prompt *placement.Prompt) bool {
	if j.cache.handle != "" {
		return p.runRead(ctx, out, j, prompt)
	}
	apart := j.deliveredAttempts == 0 && !out.begun
	without := slices.Clone(j.triedEndpoints)
	for tries := 1; tries <= readersMost; tries++ {
		plan, found := p.place(ctx, j, prompt, without, apart)
		if !found {
			j.lastOutcome = outcomeNotSent
			return false
		}
		if plan.PrefillServer == nil {
			return p.runStream(ctx, out, j, run{endpoint: plan.DecodeServer, prompt: prompt})
		}
		cache, verdict := p.readPrompt(ctx, j, plan.PrefillServer, prompt)
		j.cache, j.timing.read = kvCache{handle: cache, zone: plan.PrefillServer.Zone}, time.Now()
		if ctx.Err() != nil {
			j.lastOutcome = outcomeCanceled
			return false
		}
		// Danger: to ask whether it is read again spends of the budget, which the last one must not.
		if tries == readersMost || !p.readsAgain(j, verdict) {
			break
		}
		// Reading it beside answers would hold these up for a server that is merely gone or changing.
		without = append(without, plan.PrefillServer)
	}
	return p.runRead(ctx, out, j, prompt)
}

// place chooses servers for a prompt and counts it at the one that is asked first.
func (p *Proxy) place(ctx context.Context, j *proxyRequest, prompt *placement.Prompt, without []*placement.Endpoint, apart bool) (plan placement.Plan, found bool) {
	found = p.awaitPlacement(ctx, j, func(now float64, _ *placement.Pool, planner *placement.Planner) bool {
		chosen, some := planner.PlanPrompt(now, prompt, without, apart)
		if !some {
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

// runRead has an answer made of the cache that was read, or without one where reading failed. Its server is chosen only now.
func (p *Proxy) runRead(ctx context.Context, out *relay, j *proxyRequest, prompt *placement.Prompt) bool {
	var runner *placement.Endpoint
	p.awaitPlacement(ctx, j, func(now float64, _ *placement.Pool, planner *placement.Planner) bool {
		if runner = planner.PickDecodeServer(now, j.cache.zone, j.triedEndpoints); runner != nil {
			runner.StartRequest()
		}
		return runner != nil
	})
	if runner == nil {
		j.lastOutcome = outcomeNotSent
		return false
	}
	return p.runStream(ctx, out, j, run{endpoint: runner, prompt: prompt})
}

// runStream has an answer made and passes it on. It returns whether the client has its answer, else j.last says why not.
func (p *Proxy) runStream(ctx context.Context, out *relay, j *proxyRequest, r run) bool {
	set := []field{{headerExpectInstance, r.endpoint.ID}, {headerPriority, priorityOf(j)}}
	taken := j.cache.handle
	if taken != "" {
		set = append(set, field{headerKVFrom, taken})
	}
	if out.lastID != "" {
		set = append(set, field{headerLastEventID, out.lastID})
	}
	p.beginReading(j, &r)
	if r.prompt != nil {
		p.state.with(func(float64) { r.endpoint.StartDecode(r.prompt) })
		defer p.state.with(func(float64) { r.endpoint.FinishDecode(r.prompt) })
	}
	got, verdict := p.roundTrip(ctx, j, r.endpoint, encodeRequest(j.incoming, j.body, j.remaining(), set...))
	if verdict != outcomeAnswered {
		p.endReading(j, &r, false)
		if verdict != outcomeNotSent {
			j.cache.handle = "" // it may have been taken
		}
		p.recordOutcome(ctx, j, r.endpoint, verdict)
		return false
	}
	if got.response.StatusCode != http.StatusOK {
		p.endReading(j, &r, false)
		j.cache.handleRejection(got.response)
		return p.passFailure(ctx, out, j, r.endpoint, got)
	}
	j.cache.handle = ""
	verdict = p.passEvents(out, j, &r, got)
	if verdict == outcomeAnswered {
		p.observed.stream(j)
	}
	p.recordOutcome(ctx, j, r.endpoint, verdict)
	return verdict == outcomeAnswered
}

func (p *Proxy) beginReading(j *proxyRequest, r *run) {
	if r.prompt == nil || j.cache.handle != "" {
		return
	}
	p.state.do(j.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			r.reading = planner.StartPrefill(now, r.endpoint, r.prompt)
		}
	})
}

func (p *Proxy) endReading(j *proxyRequest, r *run, read bool) {
	if r.reading == nil {
		return
	}
	p.state.do(j.service, func(now float64, _ *placement.Pool, planner *placement.Planner) {
		if planner != nil {
			planner.FinishPrefill(now, r.endpoint, r.reading, read)
		}
	})
	r.reading = nil
}

// passFailure passes on an answer that is no stream, where it may be.
func (p *Proxy) passFailure(ctx context.Context, out *relay, j *proxyRequest, endpoint *placement.Endpoint, got *backendExchange) bool {
	body, err := io.ReadAll(io.LimitReader(got.response.Body, maxResponseBytes))
	verdict := outcomeMayHaveExecuted
	if err == nil && hasDelimitedBody(got.response) {
		got.finish(p.backends, endpoint.Address)
		verdict = classifyResponse(got.response)
	} else {
		got.abort()
	}
	repeats := j.route.Resumable && j.possibleExecutions+1 < j.route.MaxAttempts
	if verdict != outcomeAnswered || out.begun || repeats {
		if verdict == outcomeAnswered {
			verdict = outcomeMayHaveExecuted
		}
		p.recordOutcome(ctx, j, endpoint, verdict)
		return false
	}
	p.recordOutcome(ctx, j, endpoint, outcomeAnswered)
	out.head(got.response)
	_, _ = out.w.Write(body) // a client that is gone needs none
	return true
}

// passEvents passes events on until the stream ends. Only whole events go out.
func (p *Proxy) passEvents(out *relay, j *proxyRequest, r *run, got *backendExchange) outcome {
	if !hasDelimitedBody(got.response) || got.response.Header.Get(headerStamp) == "" || got.response.Header.Get("Content-Encoding") != "" {
		got.abort()
		p.endReading(j, r, false)
		return outcomeMayHaveExecuted
	}
	in := bufio.NewReaderSize(got.response.Body, eventBuffer)
	for {
		event, err := readEvent(in)
		p.endReading(j, r, err == nil)
		if err != nil && !errors.Is(err, io.EOF) {
			got.abort()
			return outcomeMayHaveExecuted
		}
		if len(event) > 0 {
			if failed := out.event(got.response, event); failed != nil {
				got.abort()
				return outcomeCanceled
			}
			j.timing.event(time.Now())
		}
		if err != nil {
			out.head(got.response)
			got.finish(p.backends, r.endpoint.Address)
			return outcomeAnswered
		}
	}
}
