package control

import (
	"context"
	"sync"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

const (
	// scrubEvery is the time between reads of the register that find out what this process has missed; scrubSoon holds until the
	// first one succeeds.
	antiEntropyInterval      = 2 * time.Second
	antiEntropyRetryInterval = 60 * time.Millisecond
	// checkDiskEvery is the time between looks at what was written to the own disk.
	diskScrubInterval = 30 * time.Second
	// newsDelay is how long after it has accepted a configuration a process looks whether it was chosen, where nobody has told.
	confirmDelay = 120 * time.Millisecond
	// followAgain is the pause after a try that failed, while nothing newer is known; it doubles up to followMost.
	minCatchUpPause = 150 * time.Millisecond
	maxCatchUpPause = 1200 * time.Millisecond
)

// signal wakes who waits on a channel with room for one.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // a signal is there already
	}
}

// follower holds the newest value that is known to be chosen, for the task that brings this process up to it.
type chosenTracker struct {
	wake chan struct{}

	mu    sync.Mutex
	value chosenValue
}

func newChosenTracker() *chosenTracker { return &chosenTracker{wake: make(chan struct{}, 1)} }

// tell notes a value that was chosen.
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

func (t *chosenTracker) latest() chosenValue {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value
}

// follow brings the own disk, and what this process tells others, up to the newest value that it has heard of. It is a task of its
// own: no call of an operator and no round waits for it, and it goes on where a try has ended.
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
				continue // what was asked for has been superseded
			}
			if sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, maxCatchUpPause)
		}
	}
}

// catchUp takes a value that was chosen: first what it says is told, then it goes to the disk.
func (c *Control) catchUp(ctx context.Context, value chosenValue) error {
	facts, _ := c.node.State()
	published := value.ConfigVersion == 0 || facts.Table != nil && facts.Table.Version >= value.ConfigVersion
	behind := value.Ballot.Compare(c.replica.state().Accepted) > 0
	if published && !behind {
		return nil
	}
	var data []byte
	if value.ConfigVersion > 0 {
		var err error
		if data, err = c.proposer.configBytes(ctx, value.Value); err != nil {
			return err
		}
	}
	if !published {
		table, err := routeconfig.Parse(data)
		if err != nil {
			return Error.New("the configuration that holds can't be read: %v", err)
		}
		c.node.SetTable(table)
	}
	if !behind {
		return nil
	}
	_, err := c.replica.learn(value, data)
	if err == nil {
		c.log.WithField("version", value.ConfigVersion).WithField("epoch", value.Epoch).WithField("ballot", value.Ballot.Number).Info("caught up")
	}
	return err
}

// serveLearn takes a chosen value from who looks after the voters. Where the configuration's bytes are lacking they are fetched; the
// answer is whether what is held until then is new enough.
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
	return &message.LearnReply{UpToDate: upToDate || c.replica.state().Accepted.Compare(minBallot) >= 0}, nil
}
