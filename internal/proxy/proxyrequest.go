package proxy

import (
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
func (req *proxyRequest) remaining() time.Duration { return time.Until(req.deadline) }

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
