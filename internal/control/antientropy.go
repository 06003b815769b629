package control

import (
	"context"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/decide/register"
)

const (
	// antiEntropyInterval is the time between reads of the register, antiEntropyRetryInterval after one that failed. firstReadDelay is the
	// pause before the first one.
	antiEntropyInterval      = 2 * time.Second
	antiEntropyRetryInterval = 60 * time.Millisecond
	firstReadDelay           = antiEntropyRetryInterval / 6
	// confirmDelay is the least time, and the range of the random time added to it, that the proposer of a configuration that was accepted
	// here has for publishing it as chosen, before this process reads the register itself.
	confirmDelay = 120 * time.Millisecond
	// diskScrubInterval is the time between checks of the own disk; up to a quarter is added at random.
	diskScrubInterval = 30 * time.Second
)

// runAntiEntropy reads the register at regular intervals, so that a value that this process has missed reaches handleChosen. It also reads
// soon after this process has accepted a configuration that was not published since: its proposer may have failed before it knew whether the
// configuration was chosen.
func (c *Control) runAntiEntropy(ctx context.Context) {
	pause := firstReadDelay
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

// runDiskScrub checks the own disk at regular intervals, and repairs it.
func (c *Control) runDiskScrub(ctx context.Context) {
	for sleep(ctx, diskScrubInterval+rand.N(diskScrubInterval/4)) == nil {
		c.replica.repairDisk()
	}
}

// hasNewerConfig reports whether a value has a newer configuration than the published one.
func (c *Control) hasNewerConfig(value register.Value) bool {
	gossipState, _ := c.node.State()
	return value.ConfigVersion > 0 && (gossipState.Table == nil || gossipState.Table.Version < value.ConfigVersion)
}
