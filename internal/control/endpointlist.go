package control

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// listReadInterval is the age of the endpoint list at which the control process of rank 0 reads it again.
	listReadInterval = 900 * time.Millisecond
	// listCheckInterval is the time between checks of the list's age.
	listCheckInterval = 100 * time.Millisecond
	// staleListAge is the age at which the process of rank 1 reads the list, since rank 0 seems to have failed. listRankDelay is added for
	// each further rank, up to maxListRank.
	staleListAge  = 1500 * time.Millisecond
	listRankDelay = 100 * time.Millisecond
	maxListRank   = 4
)

// runListReader reads the platform's endpoint list whenever it is older than maxListAge of this process's rank, and publishes it by gossip.
// Calls to the platform count against one rate limit, so one process reads for all; the others take over, in the order of their
// ranks, when the list that they hold is too old.
func (c *Control) runListReader(ctx context.Context) {
	for sleep(ctx, listCheckInterval) == nil {
		gossipState, _ := c.node.State()
		if !gossipState.Endpoints.ReadAt.IsZero() && time.Since(gossipState.Endpoints.ReadAt) < maxListAge(gossipState.Rank) {
			continue
		}
		startedAt := time.Now()
		instances, err := c.platform.Instances(ctx)
		if err != nil {
			c.log.WithError(err).Debug("reading the endpoint list failed")
			_ = sleep(ctx, rand.N(listReadInterval/2)) // the loop checks whether the context has ended
			continue
		}
		c.node.SetEndpoints(instances, startedAt)
	}
}

// maxListAge returns the age of the list at which the process of a rank reads it.
func maxListAge(rank int) time.Duration {
	if rank == 0 {
		return listReadInterval
	}
	return staleListAge + listRankDelay*time.Duration(min(rank, maxListRank)-1)
}
