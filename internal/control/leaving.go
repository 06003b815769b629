package control

import (
	"context"
	"time"

	"hazelwheel/internal/nodeconfig"
)

const (
	// leaveFraction is the part of the grace period for which a leaving voter waits for its replacement.
	leaveFraction      = 0.4
	leaveCheckInterval = 50 * time.Millisecond
	// leaveReadTimeout bounds a leaving process's read of the set of voters.
	leaveReadTimeout = 500 * time.Millisecond
)

// awaitReplacement waits, after this process has announced that it leaves, until it is no longer a voter. It returns at once if too few
// voters would remain without it, since then no other process will replace it.
func (c *Control) awaitReplacement() {
	deadline := time.Now().Add(nodeconfig.FromSeconds(leaveFraction * c.settings.Bounds.GraceSeconds))
	for time.Now().Before(deadline) {
		gossipState, _ := c.node.State()
		if !c.isVoter(&gossipState.Voters) || !c.isReplaceable() {
			return
		}
		time.Sleep(leaveCheckInterval)
	}
}

// isReplaceable reports whether enough processes (targetVoters) remain without this one. If it knows too few, it reads the register: a voter
// that joined a moment ago may be unknown here, and this process must not end before that voter has replaced it.
func (c *Control) isReplaceable() bool {
	if c.countStaying() >= c.targetVoters() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveReadTimeout)
	defer cancel()
	value, err := c.proposer.read(ctx)
	if err != nil {
		return false // without a majority the voters can't be changed
	}
	return c.isVoter(&value.Value) && len(value.AllVoters()) > c.targetVoters()
}
