package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/nodeconfig"
)

// refreshStaleLists reads the platform's endpoint list if gossip has brought no reading for too long, for example while no control process
// is reachable. Agents take turns by rank, which keeps their calls below the platform's rate limit.
func (a *Agent) refreshStaleLists(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state, _ := a.node.State()
		maxAge := staleListAge + time.Duration(float64(staleListSpread)*float64(state.Rank)/float64(max(state.Count, 1)))
		readAt := state.Endpoints.ReadAt
		if readAt.IsZero() {
			readAt = startedAt
		}
		if time.Since(readAt) < maxAge {
			continue
		}
		a.readList(ctx)
	}
}

// readList reads the platform's list and publishes it. After an error it pauses, so that the caller may retry at once.
func (a *Agent) readList(ctx context.Context) {
	startedAt := time.Now()
	instances, err := a.platform.Instances(ctx)
	if err != nil {
		a.log.WithError(err).Debug("reading the endpoint list failed")
		time.Sleep(rand.N(a.retryPause()))
		return
	}
	a.node.SetEndpoints(instances, startedAt)
}

// retryPause returns the longest pause after a failed reading. Each pause is drawn uniformly between 0 and that, so that all agents together
// make calls at half of the platform's rate limit.
func (a *Agent) retryPause() time.Duration {
	state, _ := a.node.State()
	return min(nodeconfig.FromSeconds(4*float64(max(state.Count, 1))/max(a.settings.Cloud.RequestsPerSecond, 1)), maxRetryPause) + checkInterval
}
