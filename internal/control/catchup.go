package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

const (
	// minCatchUpPause is the pause after the first failed attempt to catch up with a value. It doubles after each further one, up to
	// maxCatchUpPause.
	minCatchUpPause = 150 * time.Millisecond
	maxCatchUpPause = 1200 * time.Millisecond
)

// notify sends a signal on a channel that buffers one, unless a signal is pending already. It never blocks.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // a signal is pending
	}
}

// chosenTracker holds the newest value that is known to be chosen, for runCatchUp. It is safe for concurrent use.
type chosenTracker struct {
	wake chan struct{} // receives a signal for a newer value

	mu         sync.Mutex // guards the fields below
	value      chosenValue
	joinTarget register.Ballot // see observeOwnRound
}

// newChosenTracker returns a tracker that has observed nothing.
func newChosenTracker() *chosenTracker { return &chosenTracker{wake: make(chan struct{}, 1)} }

// observe records a chosen value. It ignores a value that is older than the latest one.
func (t *chosenTracker) observe(observed chosenValue) {
	t.mu.Lock()
	isNewer := observed.Ballot.Compare(t.value.Ballot) > 0
	if isNewer {
		t.value = observed
	}
	t.mu.Unlock()
	if isNewer {
		notify(t.wake)
	}
}

// observeOwnRound records a value that a round of this process has found chosen. This process may vote once it holds the first such value
// or a newer one: a round that began after the process started finds everything that was acknowledged before the start.
func (t *chosenTracker) observeOwnRound(observed chosenValue) {
	t.mu.Lock()
	if t.joinTarget == (register.Ballot{}) {
		t.joinTarget = observed.Ballot
	}
	t.mu.Unlock()
	t.observe(observed)
}

// mayJoin reports whether this process may vote when it holds the value of a ballot. It may not before its first own round has ended.
func (t *chosenTracker) mayJoin(held register.Ballot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.joinTarget != (register.Ballot{}) && held.Compare(t.joinTarget) >= 0
}

// latest returns the newest value that was observed, the zero value before the first.
func (t *chosenTracker) latest() chosenValue {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value
}

// runCatchUp publishes and stores each newer value that chosenTracker receives, and retries until both have succeeded. Neither requests of
// operators nor rounds wait for it. After a failed attempt the fetcher keeps the chunks that have arrived for the next one.
func (c *Control) runCatchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.chosen.wake:
		}
		for pause := minCatchUpPause; ctx.Err() == nil; {
			target := c.chosen.latest()
			err := c.catchUp(ctx, target)
			if err == nil {
				break
			}
			c.log.WithField("version", target.ConfigVersion).WithError(err).Warn("behind the newest configuration")
			if c.chosen.latest().Ballot != target.Ballot {
				continue // superseded by a newer value
			}
			if sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, maxCatchUpPause)
		}
	}
}

// catchUp publishes a chosen value's configuration and then stores the value. Publishing comes first: proxies need the configuration
// even if this process's disk is full.
func (c *Control) catchUp(ctx context.Context, value chosenValue) error {
	gossipState, _ := c.node.State()
	isPublished := value.ConfigVersion == 0 || gossipState.Table != nil &&
		!message.IsNewerTable(value.ConfigVersion, routeconfig.LatestForm, gossipState.Table.Version, gossipState.Table.Form)
	isBehind := value.Ballot.Compare(c.replica.state().Accepted) > 0
	if isPublished && !isBehind {
		return nil
	}
	var data []byte
	if value.ConfigVersion > 0 {
		var err error
		if data, err = c.proposer.configBytes(ctx, value.Value); err != nil {
			return err
		}
	}
	if !isPublished {
		table, err := routeconfig.ParseChosen(data)
		if err != nil {
			return Error.New("parsing the chosen configuration: %w", err)
		}
		if names := table.OverriddenRoutes(); len(names) > 0 {
			c.log.WithFields(logrus.Fields{"version": table.Version, "routes": names}).Warn("routes without effect: others have the same host and prefix")
		}
		c.node.SetTable(table)
	}
	if !isBehind {
		return nil
	}
	_, err := c.replica.learn(value, data)
	if err == nil {
		c.log.WithField("version", value.ConfigVersion).WithField("epoch", value.Epoch).WithField("ballot", value.Ballot.Number).Info("caught up")
	}
	return err
}

// handleLearn answers a voter that considers adding this process to the set of voters (see queryLearner). It stores the chosen value if the
// bytes of its configuration are in memory; otherwise runCatchUp fetches them. The reply says whether the stored value is recent enough for
// this process to vote.
func (c *Control) handleLearn(_ context.Context, request *message.LearnRequest) (*message.LearnReply, error) {
	if request.To != c.proposer.self.ID {
		return nil, Error.New("%q is not the identity of this disk", request.To)
	}
	value := chosenValue{request.Value, request.Ballot}
	upToDate, err := c.replica.learn(value, nil)
	if err != nil {
		return nil, err
	}
	if !upToDate {
		c.chosen.observe(value)
	}
	minBallot := request.MinBallot
	if minBallot == (register.Ballot{}) {
		minBallot = request.Ballot
	}
	// Danger: the voter that asks may have read its value, or chosen minBallot, before this process started.
	held := c.replica.state().Accepted
	isRecent := upToDate || held.Compare(minBallot) >= 0
	return &message.LearnReply{UpToDate: isRecent && c.chosen.mayJoin(held)}, nil
}
