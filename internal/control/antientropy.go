package control

import (
	"context"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/decide/register"
)

const (
	// antiEntropyInterval is the time between two reads of the register, antiEntropyRetryInterval the time after a read that failed, and
	// firstReadDelay the time before the first read.
	antiEntropyInterval      = 2 * time.Second
	antiEntropyRetryInterval = 60 * time.Millisecond
	firstReadDelay           = antiEntropyRetryInterval / 6
	// confirmDelay is how long this process waits for the proposer of a configuration that it has accepted to publish it as chosen, before
	// it reads the register itself. A random time of up to the same length is added.
	confirmDelay = 120 * time.Millisecond
	// diskScrubInterval is the time between two checks of the local disk; up to a quarter of it is added at random.
	diskScrubInterval = 30 * time.Second
)

// runAntiEntropy reads the register at regular intervals, so that a value that this process has missed reaches handleChosen. It also reads
// soon after this process has accepted a configuration that is still unpublished: its proposer may have failed before it knew whether the
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

// runDiskScrub checks the local disk at regular intervals and repairs it.
func (c *Control) runDiskScrub(ctx context.Context) {
	for sleep(ctx, diskScrubInterval+rand.N(diskScrubInterval/4)) == nil {
		c.replica.repairDisk()
	}
}

// hasNewerConfig reports whether the configuration of a value is newer than the published one.
func (c *Control) hasNewerConfig(value register.Value) bool {
	gossipState, _ := c.node.State()
	return value.ConfigVersion > 0 && (gossipState.Table == nil || gossipState.Table.Version < value.ConfigVersion)
}
