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
	maxResponseBytes = 16 << 20
	// retryAfterS is told with requests that were not run, in seconds.
	retryAfterSeconds = 0.1
	// backendDialWithin bounds the opening of a connection to a server.
	backendConnectTimeout = 300 * time.Millisecond
	// waitPart is the part of a route's objective for which a request may wait for a place.
	queueFraction     = 0.2
	queuePollInterval = 4 * time.Millisecond
	// startWithin is how long a request waits for a proxy that has just begun.
	startupTimeout = 1200 * time.Millisecond
	// tokensMost bounds the tokens of a prompt or an answer that a client's word is believed for.
	maxTokenCount = 1 << 22
	// bodyDefault is what an unset limit of bodies stands for, in bytes.
	defaultMaxBodyBytes = 4 << 20
)

// job is a request of a client on its way.
type proxyRequest struct {
	incoming  *http.Request
	body      []byte
	id        string
	route     *routeconfig.Route
	service   string
	arrivedAt time.Time
	deadline  time.Time

	triedEndpoints     []*placement.Endpoint
	deliveredAttempts  int     // at servers, the first reading of its prompt apart
	possibleExecutions int     // servers that may have run it
	lastOutcome        outcome // of the attempt before
	cache              kvCache
	timing             streamTiming
}

// left is the time that remains.
func (j *proxyRequest) remaining() time.Duration { return time.Until(j.deadline) }

// ServeHTTP serves a request of a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	table := p.awaitRoutes(r.Context())
	if table == nil {
		respondUnavailable(w, retryAfterSeconds)
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
	j := &proxyRequest{incoming: r, body: body, id: r.Header.Get(headerRequestID), route: route, service: drawService(route), arrivedAt: arrivedAt}
	j.deadline = arrivedAt.Add(timeLimit(r, route))
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(j.deadline.Add(time.Second)) // connections without deadlines serve on without
	servesModel := false
	p.state.withService(j.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		if pool != nil {
			pool.Budget.RecordRequest(now)
			servesModel = pool.Engine.IsPresent
		}
	})
	if route.Kind == routeconfig.Streaming {
		p.serveStream(ctx, w, j, servesModel)
		return
	}
	p.serveUnary(ctx, w, j)
}

// awaitRoutes returns the table in force. A proxy that has just begun is told within a moment; until then requests wait, since
// clients come back only so often.
func (p *Proxy) awaitRoutes(ctx context.Context) *routeTable {
	if p.state.isReady() {
		return p.state.routes()
	}
	timer := time.NewTimer(startupTimeout)
	defer timer.Stop()
	select {
	case <-p.state.servable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.state.routes()
}

// readBody returns the whole body, or the status with which it is turned away.
func readBody(w http.ResponseWriter, r *http.Request, limits routeconfig.Limits) ([]byte, int) {
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
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
func timeLimit(r *http.Request, route *routeconfig.Route) time.Duration {
	limit := nodeconfig.FromMillis(route.TimeoutMs)
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms > 0 {
		limit = min(limit, nodeconfig.FromMillis(ms))
	}
	return limit
}

// refuse tells that a request was not run and when to come back.
func respondUnavailable(w http.ResponseWriter, retryAfter float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', 2, 64))
	http.Error(w, "no server can take it now", http.StatusServiceUnavailable)
}

// fail ends a request that brought no answer.
func (p *Proxy) respondFailure(ctx context.Context, w http.ResponseWriter, j *proxyRequest) {
	switch {
	case j.possibleExecutions == 0 && (ctx.Err() == nil || j.remaining() <= 0):
		p.stats.countUnserved(j.service, func(counts *unservedCounts) { counts.Rejected++ })
		respondUnavailable(w, retryAfterSeconds)
	case j.remaining() <= 0:
		p.stats.countUnserved(j.service, func(counts *unservedCounts) { counts.TimedOut++ })
		http.Error(w, "out of time", http.StatusGatewayTimeout)
	default:
		p.stats.countUnserved(j.service, func(counts *unservedCounts) { counts.BackendFailed++ })
		http.Error(w, "the server broke off", http.StatusBadGateway)
	}
}

// choice looks for a server under the lock of the decisions, and returns whether there is one.
type placementChoice func(now float64, pool *placement.Pool, planner *placement.Planner) bool

// await makes a choice, again and again for a part of the route's objective while there is no place. It returns whether one was found.
func (p *Proxy) awaitPlacement(ctx context.Context, j *proxyRequest, choose placementChoice) bool {
	deadline := j.arrivedAt.Add(time.Duration(queueFraction * float64(nodeconfig.FromMillis(j.route.LatencyTargetMs))))
	for {
		found := false
		p.state.withService(j.service, func(now float64, pool *placement.Pool, planner *placement.Planner) {
			found = pool != nil && choose(now, pool, planner)
		})
		if found || time.Now().After(deadline) || ctx.Err() != nil {
			return found
		}
		time.Sleep(queuePollInterval)
	}
}

// pick returns the next server for a job, waiting a little for a place, nil if there is none.
func (p *Proxy) pickEndpoint(ctx context.Context, j *proxyRequest) (picked *placement.Endpoint) {
	p.awaitPlacement(ctx, j, func(now float64, pool *placement.Pool, _ *placement.Planner) bool {
		if picked = pool.Pick(now, j.triedEndpoints); picked == nil && len(j.triedEndpoints) > 0 {
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
func (p *Proxy) chargeAttempt(j *proxyRequest) bool {
	if j.deliveredAttempts == 0 || j.lastOutcome == outcomeNotSent {
		return true
	}
	return p.spendRetryBudget(j)
}

// spend takes one arrival out of the budget, if there is room.
func (p *Proxy) spendRetryBudget(j *proxyRequest) bool {
	ok := false
	p.state.withService(j.service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
		ok = pool != nil && pool.Budget.TrySpend(now, pool.ProxyCount())
	})
	return ok
}

// attemptsMost bounds the tries at servers that can't be reached.
const maxAttemptsPerRequest = 4

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

// whole tells whether the end of an answer can be known.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || isChunked(response)
}

// judge tells what an answer that came whole means.
func classifyResponse(response *http.Response) outcome {
	switch {
	case isNotExecuted(response):
		return outcomeNotExecuted
	case response.StatusCode < http.StatusMultipleChoices && (response.Header.Get(headerStamp) == "" || response.Header.Get("Content-Encoding") != ""):
		return outcomeMayHaveExecuted
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests ||
		response.StatusCode == http.StatusRequestTimeout:
		// Danger: without the server's word that it was not run, these statuses must not be passed on.
		return outcomeMayHaveExecuted
	}
	return outcomeAnswered
}

// exchange sends bytes to a server and reads the head of the answer.
func (p *Proxy) roundTrip(ctx context.Context, j *proxyRequest, endpoint *placement.Endpoint, request []byte) (*backendExchange, outcome) {
	conn, err := p.connectBackend(ctx, j, endpoint)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithError(err).Debug("not connected")
		return nil, outcomeNotSent
	}
	exchanged, result, err := sendRequest(ctx, conn, j.incoming.Method, j.id, request)
	if err != nil {
		p.log.WithField("server", endpoint.ID).WithField("request", j.id).WithError(err).Debug("no answer")
		return nil, result
	}
	if exchanged.response.StatusCode == http.StatusMisdirectedRequest {
		p.logMisdirected(j, endpoint, exchanged.response)
	}
	p.state.withLock(func(now float64) {
		if running, waiting, ok := parseServerLoad(exchanged.response.Header); ok {
			endpoint.RecordLoad(now, running, waiting)
		}
		if exchanged.response.StatusCode == http.StatusMisdirectedRequest {
			endpoint.RecordMisdirected(now)
			endpoint.RecordIdentity(exchanged.response.Header.Get(headerInstanceID))
		}
	})
	return exchanged, outcomeAnswered
}

// connect returns a connection to a server over which a request may go.
func (p *Proxy) connectBackend(ctx context.Context, j *proxyRequest, endpoint *placement.Endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, backendConnectTimeout)
	defer cancel()
	conn, err := p.conns.get(ctx, endpoint.Address, j.id)
	if err != nil {
		return nil, err
	}
	if !p.verifyNewConn(ctx, j, endpoint, conn) {
		return nil, errNewConnRejected
	}
	return conn, nil
}

// settle counts what came of an attempt.
func (p *Proxy) recordOutcome(ctx context.Context, j *proxyRequest, endpoint *placement.Endpoint, result outcome) {
	j.lastOutcome = result
	j.triedEndpoints = append(j.triedEndpoints, endpoint)
	if result != outcomeNotSent {
		j.deliveredAttempts++
	}
	if result.mayHaveExecuted() {
		j.possibleExecutions++
	}
	p.state.withLock(func(now float64) {
		endpoint.FinishRequest()
		switch {
		case result == outcomeAnswered:
			endpoint.RecordSuccess()
		case result == outcomeNotSent && ctx.Err() == nil:
			endpoint.RecordFailure(now, true)
		case result == outcomeMayHaveExecuted && ctx.Err() == nil:
			endpoint.RecordFailure(now, false)
		}
	})
	if result != outcomeAnswered {
		p.log.WithField("server", endpoint.ID).WithField("request", j.id).WithField("verdict", result).Debug("attempt failed")
	}
}

// promptOf reads what the choice of model servers goes by.
func promptFromRequest(r *http.Request, route *routeconfig.Route) placement.Prompt {
	prompt := placement.Prompt{Chunks: placement.ParseChunks(r.Header.Get(headerPrefixHash))}
	prompt.LatencyTargetSeconds = nodeconfig.FromMillis(route.LatencyTargetMs).Seconds()
	prompt.GapTargetSeconds = nodeconfig.FromMillis(route.TokenGapTargetMs).Seconds()
	in, out, _ := strings.Cut(r.Header.Get(headerTokenCounts), ",")
	prompt.Tokens, prompt.MaxOutputTokens = parseTokenCount(in), parseTokenCount(out)
	return prompt
}

// tokenCount reads a number of tokens, 0 where it can't be read. Danger: it is a client's word and is summed over the fleet.
func parseTokenCount(text string) int {
	count, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return min(max(count, 0), maxTokenCount)
}
