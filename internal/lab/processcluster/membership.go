package processcluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hazelwheel/internal/checker"
)

// membershipView is the answer of an admin endpoint to PEERS, as far as it is used here.
type membershipView struct {
	ID      string       `json:"id"`
	Live    int          `json:"live"`
	Rank    int          `json:"rank"`
	Count   int          `json:"count"`
	Members []viewedPeer `json:"members"`
}

// viewedPeer is a member of the fleet in the view of another.
type viewedPeer struct {
	ID         string  `json:"id"`
	Name       string  `json:"name"`
	State      string  `json:"state"` // stateAlive, stateSuspected, stateDead or one of no interest here
	ForSeconds float64 `json:"for_s"`
}

// The states of members in the answers of admin endpoints.
const (
	stateAlive     = "alive"
	stateSuspected = "suspected"
	stateDead      = "dead"
)

// Times of the checks of the membership.
const (
	pollInterval = 250 * time.Millisecond
	adminTimeout = 3 * time.Second // of one query
	// agreeTimeout is how long after the last fault all members must agree. The target is 10 s; the check allows twice as much, because the machine is
	// shared.
	agreeTimeout = 20 * time.Second
	// minUptime is how long a member must have been running, without a fault between any members, for it to be wrong to hold it for dead.
	minUptime = 15 * time.Second
)

// queryMembership queries an admin endpoint for its view of the membership.
func queryMembership(address string) (view membershipView, err error) {
	err = queryAdmin(address, "PEERS", &view)
	return view, err
}

// watchMembers polls the admin endpoints of all running members until ctx ends, and checks their views.
func (c *Cluster) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.pollMembers()
		}
	}
}

// pollMembers polls all running members once, at the same time, and checks their views.
func (c *Cluster) pollMembers() {
	c.mu.Lock()
	isRunning := make([]bool, len(c.members))
	for i, m := range c.members {
		isRunning[i] = m.isRunning
	}
	faultAt := c.faultAt
	c.mu.Unlock()
	views, roleViews := make([]*membershipView, len(c.members)), make([]*roleView, len(c.members))
	var queries sync.WaitGroup
	for i, m := range c.members {
		if !isRunning[i] {
			continue
		}
		queries.Go(func() {
			if view, err := queryMembership(m.adminAddress); err == nil && view.ID != "" {
				views[i] = &view
			}
		})
		if c.roles != nil {
			queries.Go(func() { roleViews[i] = queryRoles(m.adminAddress) })
		}
	}
	queries.Wait()
	if c.roles != nil {
		c.checkOwners(roleViews, faultAt)
	}
	c.checkViews(views, faultAt)
}

// checkViews compares the views of one poll with the processes that run; faultAt is the time of the last fault before the poll. A fault during the
// poll makes the views worthless.
func (c *Cluster) checkViews(views []*membershipView, faultAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultAt != faultAt {
		return
	}
	if c.ongoingFaults > 0 {
		c.faultAt = time.Now() // Danger: a member that is cut off can't agree, so there is no calm yet
	}
	calm := time.Since(c.faultAt)
	byID, running, answered := c.recordIDs(views)
	round := Round{AtSeconds: time.Since(c.startedAt).Seconds(), Running: running, MinAlive: len(c.members)}
	difference := ""
	for i, view := range views {
		if view == nil {
			continue
		}
		round.MinAlive, round.MaxAlive = min(round.MinAlive, view.Live), max(round.MaxAlive, view.Live)
		live, unexpected := c.checkPeers(c.members[i], view, byID, answered == running, calm)
		if unexpected != "" {
			difference = unexpected
		}
		if live != running {
			difference = fmt.Sprintf("%s knows %d that live, of %d", c.members[i].name, live, running)
		}
	}
	if answered > 0 {
		c.rounds = append(c.rounds, round)
	}
	c.recordDetections(views)
	switch {
	case c.isAgreed, c.ongoingFaults > 0:
	case difference == "" && answered == running:
		c.isAgreed = true
		c.agreedSeconds = append(c.agreedSeconds, calm.Seconds())
	case calm > agreeTimeout && difference != "":
		c.isAgreed = true // one violation in each calm
		c.reportViolation(checker.FleetView, "", "%.1f s after the last trouble: %s", calm.Seconds(), difference)
	}
}

// recordIDs records the identifiers of members that answered a poll, and returns these members by identifier, the number of running members and that
// of answers. The caller holds mu.
func (c *Cluster) recordIDs(views []*membershipView) (byID map[string]*member, running, answered int) {
	byID = map[string]*member{}
	for i, m := range c.members {
		if m.isRunning {
			running++
		}
		if views[i] != nil {
			answered++
			c.viewCount++
			m.peerID = views[i].ID
			byID[m.peerID] = m
		}
	}
	return byID, running, answered
}

// checkPeers checks the view of one member. It returns how many running members it holds for alive, and a description of the last peer that it should
// not hold for alive or suspected; with allAnswered, byID has all running members. That a running member is held for dead is a violation, which is
// reported once in minUptime. The caller holds mu.
func (c *Cluster) checkPeers(viewer *member, view *membershipView, byID map[string]*member, allAnswered bool, calm time.Duration) (live int, unexpected string) {
	for _, entry := range view.Members {
		peer := byID[entry.ID]
		switch {
		case entry.State == stateAlive && peer != nil:
			live++
		case entry.State == stateAlive && allAnswered, entry.State == stateSuspected:
			unexpected = fmt.Sprintf("%s holds %s (%s) for %s", viewer.name, entry.Name, entry.ID, entry.State)
		case entry.State == stateDead && peer != nil && peer.isRunning && time.Since(peer.changedAt) > minUptime && calm > minUptime:
			c.reportViolation(checker.FalseDeath, viewer.name, "%s is held for dead and lives, %.1f s after the last trouble", peer.name, calm.Seconds())
			peer.changedAt = time.Now()
		}
	}
	return live, unexpected
}

// recordDetections records how long it took until all members that answered know that one has stopped. The caller holds mu.
func (c *Cluster) recordDetections(views []*membershipView) {
	for _, m := range c.members {
		if m.stoppedAt.IsZero() || m.isRunning {
			m.stoppedAt = time.Time{}
			continue
		}
		isKnown := true
		for _, view := range views {
			if view == nil {
				continue
			}
			for _, entry := range view.Members {
				isKnown = isKnown && !(entry.ID == m.peerID && (entry.State == stateAlive || entry.State == stateSuspected))
			}
		}
		if isKnown {
			c.detectedSeconds = append(c.detectedSeconds, time.Since(m.stoppedAt).Seconds())
			m.stoppedAt = time.Time{}
		}
	}
}

// hasAgreed reports whether all members have agreed on the membership at least once.
func (c *Cluster) hasAgreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.agreedSeconds) > 0
}
