package gossip

import "time"

const (
	// reachableTimeout is how long after its last reply a process counts as reachable. Calls are made each ExchangeInterval
	// and take up to callTimeout.
	reachableTimeout = 1500 * time.Millisecond
	// stallThreshold is the time between two ticks above which this process counts as having been paused in between. That no
	// replies arrived during the pause says nothing about other processes.
	stallThreshold = 1100 * time.Millisecond
	// replyRetention is how long a reply is remembered.
	replyRetention = time.Minute
)

// replyTimes records when other processes last replied to a call. Heartbeats also arrive through third processes and show
// that a process runs; a reply shows that it can be reached from here. Node.mu guards it.
type replyTimes struct {
	lastReply    map[string]time.Time // by address
	runningSince time.Time            // end of the last pause of this process, or its start
	checkedAt    time.Time            // time of the last tick
}

func newReplyTimes(now time.Time) *replyTimes {
	return &replyTimes{lastReply: map[string]time.Time{}, runningSince: now, checkedAt: now}
}

// tick detects that this process was paused, and drops old replies. It is called each exchange interval.
func (t *replyTimes) tick(now time.Time) {
	if now.Sub(t.checkedAt) > stallThreshold {
		t.runningSince = now
	}
	t.checkedAt = now
	for address, at := range t.lastReply {
		if now.Sub(at) > replyRetention {
			delete(t.lastReply, address)
		}
	}
}

// record records a reply.
func (t *replyTimes) record(address string, now time.Time) { t.lastReply[address] = now }

// sinceReply returns the time since the last reply, or since runningSince if that is shorter.
func (t *replyTimes) sinceReply(address string, now time.Time) time.Duration {
	last := t.lastReply[address]
	if last.Before(t.runningSince) {
		last = t.runningSince
	}
	return now.Sub(last)
}

// IsReachable reports whether a control process has recently replied to this one. It is meaningful only between control
// processes: the others don't call all peers regularly.
func (n *Node) IsReachable(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	intervals := (n.controlPeers + maxControlPartners - 1) / maxControlPartners // until each peer was called
	return n.reachability.sinceReply(address, time.Now()) <= reachableTimeout+time.Duration(max(intervals-1, 0))*ExchangeInterval
}

// ReplyAge returns the time since a control process last replied to this one. If that reply is no longer remembered, it returns
// replyRetention.
func (n *Node) ReplyAge(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	last, isKnown := n.reachability.lastReply[address]
	if !isKnown {
		return replyRetention
	}
	return time.Since(last)
}
