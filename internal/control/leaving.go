package control

import (
	"context"
	"time"

	"hazelwheel/internal/nodeconfig"
)

// awaitSuccession waits, once this process has told that it leaves, until it votes no longer. It does not wait where too few would
// be left without it.
func (c *Control) awaitReplacement() {
	deadline := time.Now().Add(nodeconfig.FromSeconds(leaveFraction * c.settings.Bounds.GraceSeconds))
	for time.Now().Before(deadline) {
		facts, _ := c.node.State()
		if !c.isVoter(&facts.Voters) || !c.isReplaceable() {
			return
		}
		time.Sleep(leaveCheckInterval)
	}
}

// isReplaceable tells whether as many voters as wanted are left without this process. Where it knows too few other processes it reads
// the register: a voter that joined a moment ago may be unknown here, and this process must not end before that one has its place.
func (c *Control) isReplaceable() bool {
	if c.countStaying() >= c.targetVoters() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveReadTimeout)
	defer cancel()
	value, err := c.proposer.read(ctx)
	if err != nil {
		return false // without a majority nobody can change the voters
	}
	return c.isVoter(&value.Value) && len(value.AllVoters()) > c.targetVoters()
}
