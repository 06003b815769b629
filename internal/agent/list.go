package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/nodeconfig"
)

// readStaleLists reads the platform's list where nobody's reading has come for too long. Agents do so in turns by rank.
func (a *Agent) refreshStaleLists(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		facts, _ := a.node.Facts()
		maxAge := staleListAge + time.Duration(float64(staleListSpread)*float64(facts.Rank)/float64(max(facts.Count, 1)))
		readAt := facts.List.ReadAt
		if readAt.IsZero() {
			readAt = began
		}
		if time.Since(readAt) < maxAge {
			continue
		}
		a.readList(ctx)
	}
}

func (a *Agent) readList(ctx context.Context) {
	began := time.Now()
	instances, err := a.platform.Read(ctx)
	if err != nil {
		a.log.WithError(err).Debug("the list was not read")
		time.Sleep(rand.N(a.retryPause()))
		return
	}
	a.node.SetList(instances, began)
}

// spacing is the pause after a failed reading at which all agents together keep half of the platform's rate.
func (a *Agent) retryPause() time.Duration {
	facts, _ := a.node.Facts()
	return min(nodeconfig.Seconds(4*float64(max(facts.Count, 1))/max(a.settings.Cloud.RatePerS, 1)), 2*time.Second) + checkInterval
}
