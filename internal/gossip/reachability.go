package gossip

import "time"

const (
	// touchWithin is how long after its last answer another process counts as in touch. Exchanges come each ExchangeEvery, and an
	// answer may take callWithin.
	touchWithin = 1500 * time.Millisecond
	// stoodStill is the time between two looks at the clock from which on this process was not running in between: the silence of
	// others during that time says nothing.
	stoodStill = 1100 * time.Millisecond
	// contactKept bounds how long it is remembered when a process answered.
	contactKept = time.Minute
)

// contact keeps when other processes answered a call of this one last. Heartbeats say that a process lives, also where they came by
// way of others; contact says that it can be reached from here.
type contact struct {
	answered map[string]time.Time // by address
	resumed  time.Time            // since when this process has been running without a stop
	looked   time.Time
}

func newContact(now time.Time) *contact {
	return &contact{answered: map[string]time.Time{}, resumed: now, looked: now}
}

// tick notices that this process stood still, and forgets who is long gone.
func (c *contact) tick(now time.Time) {
	if now.Sub(c.looked) > stoodStill {
		c.resumed = now
	}
	c.looked = now
	for address, at := range c.answered {
		if now.Sub(at) > contactKept {
			delete(c.answered, address)
		}
	}
}

func (c *contact) answer(address string, now time.Time) { c.answered[address] = now }

// silence returns for how long a process could have answered and did not.
func (c *contact) silence(address string, now time.Time) time.Duration {
	last := c.answered[address]
	if last.Before(c.resumed) {
		last = c.resumed
	}
	return now.Sub(last)
}

// IsReachable tells whether a control process has answered this one lately. Only control processes keep in touch with each other.
func (n *Node) IsReachable(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	rounds := (n.meshSize + meshMost - 1) / meshMost // ticks until everybody was called
	return n.contact.silence(address, time.Now()) <= touchWithin+time.Duration(max(rounds-1, 0))*ExchangeInterval
}
