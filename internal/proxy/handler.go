package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

const (
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxAnswer = 16 << 20
	// retryAfterS is told with requests that were not run, in seconds.
	retryAfterS = 0.1
	// backendDialWithin bounds the opening of a connection to a server.
	backendDialWithin = 300 * time.Millisecond
	// waitPart is the part of a route's objective for which a request may wait for a place.
	waitPart = 0.2
	waitStep = 4 * time.Millisecond
	// startWithin is how long a request waits for a proxy that has just begun.
	startWithin = 1200 * time.Millisecond
	// tokensMost bounds the tokens of a prompt or an answer that a client's word is believed for.
	tokensMost = 1 << 22
	// bodyDefault is what an unset limit of bodies stands for, in bytes.
	bodyDefault = 4 << 20
)

// job is a request of a client on its way.
type job struct {
	request  *http.Request
	body     []byte
	id       string
	route    *routeconfig.Route
	service  string
	arrived  time.Time
	deadline time.Time

	tried    []*placement.Endpoint
	arrivals int     // at servers, the first reading of its prompt apart
	runs     int     // servers that may have run it
	last     outcome // of the attempt before
	handle   handle
	times    streamTimes
}

// left is the time that remains.
func (j *job) left() time.Duration { return time.Until(j.deadline) }

// ServeHTTP serves a request of a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	table := p.awaitRoutes(r.Context())
	if table == nil {
		refuse(w, retryAfterS)
		return
	}
	route := table.find(r.Host, r.URL.Path)
	if route == nil {
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	body, status := readBody(w, r, table.limits)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	j := &job{request: r, body: body, id: r.Header.Get(headerRequestID), route: route, service: target(route), arrived: arrived}
	j.deadline = arrived.Add(timeFor(r, route))
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(j.deadline.Add(time.Second)) // connections without deadlines serve on without
	engine := false
	p.state.do(j.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		if pool != nil {
			pool.Budget.RecordRequest(now)
			engine = pool.Engine.IsPresent
		}
	})
	if route.Kind == routeconfig.Streaming {
		p.stream(ctx, w, j, engine)
		return
	}
	p.plain(ctx, w, j)
}

// awaitRoutes returns the table in force. A proxy that has just begun is told within a moment; until then requests wait, since
// clients come back only so often.
func (p *Proxy) awaitRoutes(ctx context.Context) *routeTable {
	if p.state.ready() {
		return p.state.routes()
	}
	timer := time.NewTimer(startWithin)
	defer timer.Stop()
	select {
	case <-p.state.begun:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.state.routes()
}

// readBody returns the whole body, or the status with which it is turned away.
func readBody(w http.ResponseWriter, r *http.Request, limits routeconfig.Limits) ([]byte, int) {
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = bodyDefault
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// timeFor is how long a request may take: what the client waits, and what the route allows.
func timeFor(r *http.Request, route *routeconfig.Route) time.Duration {
	limit := nodeconfig.FromMillis(route.TimeoutMs)
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms > 0 {
		limit = min(limit, nodeconfig.FromMillis(ms))
	}
	return limit
}

// refuse tells that a request was not run and when to come back.
func refuse(w http.ResponseWriter, afterS float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(afterS, 'f', 2, 64))
	http.Error(w, "no server can take it now", http.StatusServiceUnavailable)
}

// fail ends a request that brought no answer.
func (p *Proxy) fail(ctx context.Context, w http.ResponseWriter, j *job) {
	switch {
	case j.runs == 0 && (ctx.Err() == nil || j.left() <= 0):
		p.observed.count(j.service, func(counts *unserved) { counts.Refused++ })
		refuse(w, retryAfterS)
	case j.left() <= 0:
		p.observed.count(j.service, func(counts *unserved) { counts.OutOfTime++ })
		http.Error(w, "out of time", http.StatusGatewayTimeout)
	default:
		p.observed.count(j.service, func(counts *unserved) { counts.BrokenOff++ })
		http.Error(w, "the server broke off", http.StatusBadGateway)
	}
}

// choice looks for a server under the lock of the decisions, and returns whether there is one.
type choice func(now float64, pool *placement.Pool, planner *placement.Planner) bool

// await makes a choice, again and again for a part of the route's objective while there is no place. It returns whether one was found.
func (p *Proxy) await(ctx context.Context, j *job, choose choice) bool {
	until := j.arrived.Add(time.Duration(waitPart * float64(nodeconfig.FromMillis(j.route.LatencyTargetMs))))
	for {
		found := false
		p.state.do(j.service, func(now float64, pool *placement.Pool, planner *placement.Planner) {
			found = pool != nil && choose(now, pool, planner)
		})
		if found || time.Now().After(until) || ctx.Err() != nil {
			return found
		}
		time.Sleep(waitStep)
	}
}

// pick returns the next server for a job, waiting a little for a place, nil if there is none.
func (p *Proxy) pick(ctx context.Context, j *job) (picked *placement.Endpoint) {
	p.await(ctx, j, func(now float64, pool *placement.Pool, _ *placement.Planner) bool {
		if picked = pool.Pick(now, j.tried); picked == nil && len(j.tried) > 0 {
			picked = pool.Pick(now, nil)
		}
		if picked != nil {
			picked.StartRequest()
		}
		return picked != nil
	})
	return picked
}

// allowed takes a further arrival out of the budget. What never reached a server is none.
func (p *Proxy) allowed(j *job) bool {
	if j.arrivals == 0 || j.last == outcomeNotSent {
		return true
	}
	return p.spend(j)
}

// spend takes one arrival out of the budget, if there is room.
func (p *Proxy) spend(j *job) bool {
	ok := false
	p.state.do(j.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		ok = pool != nil && pool.Budget.TrySpend(now, pool.ProxyCount())
	})
	return ok
}

// attemptsMost bounds the tries at servers that can't be reached.
const attemptsMost = 4

// plain serves a request whose answer is short.
func (p *Proxy) plain(ctx context.Context, w http.ResponseWriter, j *job) {
	for range attemptsMost {
		if !p.allowed(j) {
			break
		}
		endpoint := p.pick(ctx, j)
		if endpoint == nil {
			break
		}
		answer, body := p.attempt(ctx, j, endpoint)
		if answer != nil {
			passHead(w, answer)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.WriteHeader(answer.StatusCode)
			_, _ = w.Write(body) // a client that is gone needs none
			return
		}
		if !j.last.allowsRetry(j.route) || j.runs >= j.route.MaxAttempts || ctx.Err() != nil {
			break
		}
	}
	p.fail(ctx, w, j)
}

// attempt sends a request to a server and reads the whole answer. Without an answer for the client, j.last says why.
func (p *Proxy) attempt(ctx context.Context, j *job, endpoint *placement.Endpoint) (*http.Response, []byte) {
	got, verdict := p.exchange(ctx, j, endpoint, encodeRequest(j.request, j.body, j.left(), field{headerExpectInstance, endpoint.ID}))
	if verdict != outcomeAnswered {
		p.settle(ctx, j, endpoint, verdict)
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(got.answer.Body, maxAnswer))
	if err != nil || !whole(got.answer) {
		got.abort()
		p.settle(ctx, j, endpoint, outcomeMayHaveExecuted)
		return nil, nil
	}
	got.finish(p.backends, endpoint.Address)
	verdict = judge(got.answer)
	failed := got.answer.StatusCode >= http.StatusInternalServerError
	repeats := failed && j.route.Kind == routeconfig.Idempotent && j.runs+1 < j.route.MaxAttempts
	if verdict == outcomeAnswered && !repeats {
		p.settle(ctx, j, endpoint, outcomeAnswered)
		return got.answer, body
	}
	if repeats && verdict == outcomeAnswered {
		verdict = outcomeMayHaveExecuted
	}
	p.settle(ctx, j, endpoint, verdict)
	return nil, nil
}

// whole tells whether the end of an answer can be known.
func whole(answer *http.Response) bool { return answer.ContentLength >= 0 || chunked(answer) }

// judge tells what an answer that came whole means.
func judge(answer *http.Response) outcome {
	switch {
	case refusal(answer):
		return outcomeNotExecuted
	case answer.StatusCode < http.StatusMultipleChoices && (answer.Header.Get(headerStamp) == "" || answer.Header.Get("Content-Encoding") != ""):
		return outcomeMayHaveExecuted
	case answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests ||
		answer.StatusCode == http.StatusRequestTimeout:
		// Danger: without the server's word that it was not run, these statuses must not be passed on.
		return outcomeMayHaveExecuted
	}
	return outcomeAnswered
}

// exchange sends bytes to a server and reads the head of the answer.
func (p *Proxy) exchange(ctx context.Context, j *job, endpoint *placement.Endpoint, request []byte) (*exchange, outcome) {
	conn, err := p.connect(ctx, j, endpoint)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithError(err).Debug("not connected")
		return nil, outcomeNotSent
	}
	got, verdict, err := send(ctx, conn, j.request.Method, j.id, request)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithField("request", j.id).WithError(err).Debug("no answer")
		return nil, verdict
	}
	if got.answer.StatusCode == http.StatusMisdirectedRequest {
		p.logMisdirected(j, endpoint, got.answer)
	}
	p.state.with(func(now float64) {
		if running, waiting, ok := serverLoad(got.answer.Header); ok {
			endpoint.RecordLoad(now, running, waiting)
		}
		if got.answer.StatusCode == http.StatusMisdirectedRequest {
			endpoint.RecordMisdirected(now)
			endpoint.RecordIdentity(got.answer.Header.Get(headerInstanceID))
		}
	})
	return got, outcomeAnswered
}

// connect returns a connection to a server over which a request may go.
func (p *Proxy) connect(ctx context.Context, j *job, endpoint *placement.Endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, backendDialWithin)
	defer cancel()
	conn, err := p.backends.get(ctx, endpoint.Address, j.id)
	if err != nil {
		return nil, err
	}
	if !p.tryNew(ctx, j, endpoint, conn) {
		return nil, errNotTaken
	}
	return conn, nil
}

// settle counts what came of an attempt.
func (p *Proxy) settle(ctx context.Context, j *job, endpoint *placement.Endpoint, verdict outcome) {
	j.last = verdict
	j.tried = append(j.tried, endpoint)
	if verdict != outcomeNotSent {
		j.arrivals++
	}
	if verdict.mayHaveExecuted() {
		j.runs++
	}
	p.state.with(func(now float64) {
		endpoint.FinishRequest()
		switch {
		case verdict == outcomeAnswered:
			endpoint.RecordSuccess()
		case verdict == outcomeNotSent && ctx.Err() == nil:
			endpoint.RecordFailure(now, true)
		case verdict == outcomeMayHaveExecuted && ctx.Err() == nil:
			endpoint.RecordFailure(now, false)
		}
	})
	if verdict != outcomeAnswered {
		p.log.WithField("server", endpoint.ID).WithField("request", j.id).WithField("verdict", verdict).Debug("attempt failed")
	}
}

// promptOf reads what the choice of model servers goes by.
func promptOf(r *http.Request, route *routeconfig.Route) placement.Prompt {
	prompt := placement.Prompt{Chunks: placement.ParseChunks(r.Header.Get(headerPrefixHash))}
	prompt.LatencyTargetSeconds = nodeconfig.FromMillis(route.LatencyTargetMs).Seconds()
	prompt.GapTargetSeconds = nodeconfig.FromMillis(route.TokenGapTargetMs).Seconds()
	in, out, _ := strings.Cut(r.Header.Get(headerTokenCounts), ",")
	prompt.Tokens, prompt.MaxOutputTokens = tokenCount(in), tokenCount(out)
	return prompt
}

// tokenCount reads a number of tokens, 0 where it can't be read. Danger: it is a client's word and is summed over the fleet.
func tokenCount(text string) int {
	count, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return min(max(count, 0), tokensMost)
}
