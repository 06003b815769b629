package control

import (
	"context"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/decide/register"
)

// scrub reads the register now and then, and soon after this process has accepted a configuration of which nobody has told
// whether it was chosen: the process that had it accepted may be gone.
func (c *Control) runAntiEntropy(ctx context.Context) {
	pause := antiEntropyRetryInterval / 6
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-c.replica.valueStored:
			timer.Stop()
			if sleep(ctx, confirmDelay+rand.N(confirmDelay)) != nil {
				return
			}
			if !c.hasNewerConfig(c.replica.state().Value) {
				continue
			}
		}
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := c.proposer.read(readCtx)
		cancel()
		pause = antiEntropyInterval
		if err != nil {
			pause = antiEntropyRetryInterval
		}
	}
}

// checkDisk reads the own disk again now and then.
func (c *Control) runDiskScrub(ctx context.Context) {
	for sleep(ctx, diskScrubInterval+rand.N(diskScrubInterval/4)) == nil {
		c.replica.repairDisk()
	}
}

// knowsLess tells whether a value has a newer configuration than the one that this process tells others.
func (c *Control) hasNewerConfig(value register.Value) bool {
	facts, _ := c.node.State()
	return value.ConfigVersion > 0 && (facts.Table == nil || facts.Table.Version < value.ConfigVersion)
}
