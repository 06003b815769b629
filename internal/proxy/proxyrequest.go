package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

const (
	// defaultMaxBodyBytes bounds a request's body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxTokenCount bounds the number of tokens that a client can declare.
	maxTokenCount = 1 << 22
)

// proxyRequest is a client's request with the state of its attempts. It belongs to the goroutine that serves it.
type proxyRequest struct {
	incoming  *http.Request
	body      []byte
	id        string // sent by the client, or ""
	route     *routeconfig.Route
	service   string // chosen once for all attempts
	arrivedAt time.Time
	deadline  time.Time

	credentials  credentials
	tenant       *routeconfig.Tenant // for which it is executed; nil: none
	authorizedBy *routeTable         // the configuration that has determined tenant
	tokens       *tokenRequest       // of the tenant's limit; nil: it needs none

	triedEndpoints     []*placement.Endpoint // in the order of the attempts
	deliveredAttempts  int                   // attempts that reached a server; a separate prefill counts if it was rejected or retried
	possibleExecutions int                   // attempts that a server may have executed
	lastOutcome        outcome               // of the last attempt
	cache              kvCache               // of a separate prefill
	timing             streamTiming
}

// remaining returns the time until the deadline.
func (req *proxyRequest) remaining() time.Duration { return time.Until(req.deadline) }

// readBody returns the complete body and 0, or the status of the response that rejects the request.
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// timeLimit returns how long a request may take: the route's timeout, or the client's deadline if that is shorter.
func timeLimit(r *http.Request, route *routeconfig.Route) time.Duration {
	limit := nodeconfig.FromMillis(route.TimeoutMs)
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms > 0 {
		limit = min(limit, nodeconfig.FromMillis(ms))
	}
	return limit
}

// promptFromRequest returns the properties by which model servers are chosen, from the request's header and the route's latency targets.
func promptFromRequest(r *http.Request, route *routeconfig.Route) placement.Prompt {
	prompt := placement.Prompt{Chunks: placement.ParseChunks(r.Header.Get(headerPrefixHash))}
	prompt.LatencyTargetSeconds = nodeconfig.FromMillis(route.LatencyTargetMs).Seconds()
	prompt.GapTargetSeconds = nodeconfig.FromMillis(route.TokenGapTargetMs).Seconds()
	in, out, _ := strings.Cut(r.Header.Get(headerTokenCounts), ",")
	prompt.Tokens, prompt.MaxOutputTokens = parseTokenCount(in), parseTokenCount(out)
	return prompt
}

// parseTokenCount returns a number of tokens, or 0 if it can't be parsed. Danger: the number is the client's, and is summed over all proxies; without
// a bound one client could outweigh all others.
func parseTokenCount(text string) int {
	count, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return min(max(count, 0), maxTokenCount)
}
