package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

const (
	// scrubEvery is the time between reads of the register that find out what this process has missed; scrubSoon holds until the
	// first one succeeds.
	scrubEvery = 2 * time.Second
	scrubSoon  = 60 * time.Millisecond
	// checkDiskEvery is the time between looks at what was written to the own disk.
	checkDiskEvery = 30 * time.Second
	// newsDelay is how long after it has accepted a configuration a process looks whether it was chosen, where nobody has told.
	newsDelay = 120 * time.Millisecond
	// followAgain is the pause after a try that failed, while nothing newer is known; it doubles up to followMost.
	followAgain = 150 * time.Millisecond
	followMost  = 1200 * time.Millisecond
)

// signal wakes who waits on a channel with room for one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // a signal is there already
	}
}

// follower holds the newest value that is known to be chosen, for the task that brings this process up to it.
type follower struct {
	wake chan struct{}

	mu     sync.Mutex
	newest chosenValue
}

func newFollower() *follower { return &follower{wake: make(chan struct{}, 1)} }

// tell notes a value that was chosen.
func (f *follower) tell(value chosenValue) {
	f.mu.Lock()
	newer := value.Ballot.Compare(f.newest.Ballot) > 0
	if newer {
		f.newest = value
	}
	f.mu.Unlock()
	if newer {
		signal(f.wake)
	}
}

func (f *follower) target() chosenValue {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// follow brings the own disk, and what this process tells others, up to the newest value that it has heard of. It is a task of its
// own: no call of an operator and no round waits for it, and it goes on where a try has ended.
func (c *Control) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.follower.wake:
		}
		for pause := followAgain; ctx.Err() == nil; {
			target := c.follower.target()
			err := c.catchUp(ctx, target)
			if err == nil {
				break
			}
			c.log.WithField("version", target.Version).WithError(err).Warn("behind the newest configuration")
			if c.follower.target().Ballot != target.Ballot {
				continue // what was asked for has been superseded
			}
			if sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, followMost)
		}
	}
}

// catchUp takes a value that was chosen: first what it says is told, then it goes to the disk.
func (c *Control) catchUp(ctx context.Context, value chosenValue) error {
	facts, _ := c.node.Facts()
	told := value.Version == 0 || facts.Table != nil && facts.Table.Version >= value.Version
	behind := value.Ballot.Compare(c.replica.state().Ballot) > 0
	if told && !behind {
		return nil
	}
	var data []byte
	if value.Version > 0 {
		var err error
		if data, err = c.proposer.configBytes(ctx, value.Value); err != nil {
			return err
		}
	}
	if !told {
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
		c.log.WithField("version", value.Version).WithField("epoch", value.Epoch).WithField("ballot", value.Ballot.Round).Info("caught up")
	}
	return err
}

// serveLearn takes a chosen value from who looks after the voters. Where the configuration's bytes are lacking they are fetched; the
// answer is whether what is held until then is new enough.
func (c *Control) serveLearn(_ context.Context, request *message.LearnRequest) (*message.LearnReply, error) {
	if request.To != c.proposer.self.ID {
		return nil, Error.New("%q is not the identity of this disk", request.To)
	}
	value := chosenValue{request.Value, request.Ballot}
	held, err := c.replica.learn(value, nil)
	if err != nil {
		return nil, err
	}
	if !held {
		c.follower.tell(value)
	}
	since := request.MinBallot
	if since == (register.Ballot{}) {
		since = request.Ballot
	}
	return &message.LearnReply{UpToDate: held || c.replica.state().Ballot.Compare(since) >= 0}, nil
}

// scrub reads the register now and then, and soon after this process has accepted a configuration of which nobody has told
// whether it was chosen: the process that had it accepted may be gone.
func (c *Control) scrub(ctx context.Context) {
	pause := scrubSoon / 6
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-c.replica.accepted:
			timer.Stop()
			if sleep(ctx, newsDelay+rand.N(newsDelay)) != nil {
				return
			}
			if !c.knowsLess(c.replica.state().Value) {
				continue
			}
		}
		readCtx, cancel := context.WithTimeout(ctx, readWithin)
		_, err := c.proposer.read(readCtx)
		cancel()
		pause = scrubEvery
		if err != nil {
			pause = scrubSoon
		}
	}
}

// checkDisk reads the own disk again now and then.
func (c *Control) checkDisk(ctx context.Context) {
	for sleep(ctx, checkDiskEvery+rand.N(checkDiskEvery/4)) == nil {
		c.replica.check()
	}
}

// knowsLess tells whether a value has a newer configuration than the one that this process tells others.
func (c *Control) knowsLess(value register.Value) bool {
	facts, _ := c.node.Facts()
	return value.Version > 0 && (facts.Table == nil || facts.Table.Version < value.Version)
}
