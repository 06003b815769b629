package control

import (
	"context"
	"math/rand/v2"
	"time"
)

// readLists reads the platform's list where its turn has come. Calls to the platform cost all, and a list that one has read reaches the
// others within a moment; how old theirs is tells them that nobody reads.
func (c *Control) runListReader(ctx context.Context) {
	for sleep(ctx, listCheckInterval) == nil {
		facts, _ := c.node.State()
		if !facts.Endpoints.ReadAt.IsZero() && time.Since(facts.Endpoints.ReadAt) < maxListAge(facts.Rank) {
			continue
		}
		startedAt := time.Now()
		instances, err := c.platform.Instances(ctx)
		if err != nil {
			c.log.WithError(err).Debug("the list was not read")
			_ = sleep(ctx, rand.N(listReadInterval/2)) // an end is seen by the next look
			continue
		}
		c.node.SetEndpoints(instances, startedAt)
	}
}

// listTurn is the age of the list at which a process of a rank reads it.
func maxListAge(rank int) time.Duration {
	if rank == 0 {
		return listReadInterval
	}
	return staleListAge + listRankDelay*time.Duration(min(rank, maxListRank)-1)
}
