package processcluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hazelwheel/internal/checker"
)

// agreedOnce tells whether all have agreed on who is there.
func (c *Cluster) hasAgreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.agreedSeconds) > 0
}

// --- what the doors say ---

// seen is what a door tells, as far as it is looked at here.
type membershipView struct {
	ID      string `json:"id"`
	Live    int    `json:"live"`
	Rank    int    `json:"rank"`
	Count   int    `json:"count"`
	Members []struct {
		ID         string  `json:"id"`
		Name       string  `json:"name"`
		State      string  `json:"state"`
		ForSeconds float64 `json:"for_s"`
	} `json:"members"`
}

const (
	pollInterval = 250 * time.Millisecond
	adminTimeout = 3 * time.Second
	// agreeWithin after the last trouble all hold what is so. Aim: 10 s; what fails is twice that, since the machine is shared.
	agreeTimeout = 20 * time.Second
	// livesFor is how long one must have lived, and no trouble been between any, to be called dead by nobody.
	minUptime = 15 * time.Second
)

// ask asks a door who is there.
func queryMembership(address string) (view membershipView, err error) {
	return view, queryAdmin(address, "PEERS", &view)
}

// watch asks all doors again and again, and holds what they say beside what is so.
func (c *Cluster) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		isRunning := make([]bool, len(c.members))
		for i, m := range c.members {
			isRunning[i] = m.isRunning
		}
		faultAt := c.faultAt
		c.mu.Unlock()
		views := make([]*membershipView, len(c.members))
		var queries sync.WaitGroup
		for i, m := range c.members {
			if isRunning[i] {
				queries.Go(func() {
					if s, err := queryMembership(m.adminAddress); err == nil && s.ID != "" {
						views[i] = &s
					}
				})
			}
		}
		if c.roles != nil {
			owners := make([]*roleView, len(c.members))
			for i, m := range c.members {
				if isRunning[i] {
					queries.Go(func() {
						owners[i] = queryRoles(m.adminAddress)
					})
				}
			}
			queries.Wait()
			c.checkOwners(owners, faultAt)
		}
		queries.Wait()
		c.checkViews(views, faultAt)
	}
}

// judge compares one round of answers with what is so. A trouble that came meanwhile makes the round worth nothing.
func (c *Cluster) checkViews(views []*membershipView, faultAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultAt != faultAt {
		return
	}
	if c.ongoingFaults > 0 {
		c.faultAt = time.Now() // Danger: who is cut off is not to hold what is so
	}
	calm := time.Since(c.faultAt)
	byID := map[string]*member{}
	running, answered := 0, 0
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
	round := Round{AtSeconds: time.Since(c.startedAt).Seconds(), Running: running, MinAlive: len(c.members)}
	difference := ""
	for i, view := range views {
		if view == nil {
			continue
		}
		live := 0
		for _, entry := range view.Members {
			peer := byID[entry.ID]
			switch {
			case entry.State == "alive" && peer != nil:
				live++
			case entry.State == "alive" && answered == running, entry.State == "suspected":
				difference = fmt.Sprintf("%s holds %s (%s) for %s", c.members[i].name, entry.Name, entry.ID, entry.State)
			case entry.State == "dead" && peer != nil && peer.isRunning && time.Since(peer.changedAt) > minUptime && calm > minUptime:
				c.reportViolation(checker.FalseDeath, c.members[i].name, "%s is held for dead and lives, %.1f s after the last trouble", peer.name, calm.Seconds())
				peer.changedAt = time.Now() // once
			}
		}
		round.MinAlive, round.MaxAlive = min(round.MinAlive, view.Live), max(round.MaxAlive, view.Live)
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
		c.isAgreed = true // once for each calm
		c.reportViolation(checker.FleetView, "", "%.1f s after the last trouble: %s", calm.Seconds(), difference)
	}
}

// noteKnown notes when all who are there know of one that went.
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
				isKnown = isKnown && !(entry.ID == m.peerID && (entry.State == "alive" || entry.State == "suspected"))
			}
		}
		if isKnown {
			c.detectedSeconds = append(c.detectedSeconds, time.Since(m.stoppedAt).Seconds())
			m.stoppedAt = time.Time{}
		}
	}
}
