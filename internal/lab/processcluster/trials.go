package processcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/realtime"
)

// Trial is one time that an owner, a leader or both were taken away, from there to the next owner that all others know.
type Trial struct {
	Fault        string  `json:"what"` // the trouble
	Target       string  `json:"who"`  // what it hit
	AtSeconds    float64 `json:"at_s"`
	HasMoved     bool    `json:"moved"`   // the next owner has another token
	KnownSeconds float64 `json:"known_s"` // until then
}

// whole is what the doors say of the job together.
type ownershipView struct {
	token  uint64
	owner  int // -1: none that all name
	leader int
	live   int
}

// lookS is the time between two looks of a trial, which waits for mostWaitS at most once its trouble is over.
const (
	trialPollSeconds    = 0.1
	trialTimeoutSeconds = 60.0
)

// look asks the doors of all but some of those that know of jobs.
func (c *Cluster) queryOwnership(excluded []int) (ownership ownershipView, agreed bool) {
	views := make([]*roleView, c.roleMemberCount())
	var queries sync.WaitGroup
	for i := range views {
		if !slices.Contains(excluded, i) {
			queries.Go(func() { views[i] = queryRoles(c.members[i].adminAddress) })
		}
	}
	queries.Wait()
	ownership, agreed = ownershipView{owner: -1, leader: -1}, true
	for i, view := range views {
		if slices.Contains(excluded, i) {
			continue
		}
		if view == nil {
			return ownership, false
		}
		ownership.live++
		if view.Here.Leads {
			ownership.leader = i
		}
		for _, role := range view.Roles {
			if role.Job != c.settings.Roles[0] {
				continue
			}
			agreed = agreed && (ownership.token == 0 || ownership.token == role.Token)
			if ownership.token = max(ownership.token, role.Token); role.Held != 0 && role.Held == role.Token {
				ownership.owner = i
			}
		}
		agreed = agreed && len(view.Roles) > 0
	}
	return ownership, agreed && ownership.owner >= 0 && ownership.leader >= 0
}

// await looks until all but some agree on an owner, and more holds of it, or a time has come.
func (c *Cluster) awaitOwner(ctx context.Context, excluded []int, until time.Time, isAccepted func(ownershipView) bool) (ownership ownershipView, ok bool) {
	ticker := time.NewTicker(time.Duration(trialPollSeconds * float64(time.Second)))
	defer ticker.Stop()
	for time.Now().Before(until) {
		if ownership, ok = c.queryOwnership(excluded); ok && isAccepted(ownership) {
			return ownership, true
		}
		select {
		case <-ctx.Done():
			return ownership, false
		case <-ticker.C:
		}
	}
	return ownership, false
}

// try plays the trials, one after the other.
func (c *Cluster) runTrials(ctx context.Context, play *realtime.Play) {
	anyOwner := func(ownershipView) bool { return true }
	timeout := time.Duration(trialTimeoutSeconds * float64(time.Second))
	rng := rand.New(rand.NewPCG(c.settings.Seed, 0x747269616c73))
	for len(c.trials) < c.settings.Trials && ctx.Err() == nil {
		before, ok := c.awaitOwner(ctx, nil, time.Now().Add(timeout), anyOwner)
		if !ok {
			c.reportNoOwner(ctx, "before trial %d no owner is known to all", len(c.trials)+1)
			return
		}
		// At any instant of an owner's round: between two troubles there is as much again.
		sleep(ctx, durationOfSeconds(rng.Float64()*2))
		fault, victims, target := c.drawTrial(rng, before)
		done := make(chan error, 1)
		startedAt := time.Now()
		play.Post(func() { done <- play.Befall(fault) })
		select {
		case err := <-done:
			if err != nil {
				c.reportNoOwner(ctx, "trial %d: %v", len(c.trials)+1, err)
				return
			}
		case <-ctx.Done():
			return
		}
		faultEnd := startedAt.Add(time.Duration((fault.DurationSeconds + 0.2) * float64(time.Second)))
		hitOwner := slices.Contains(victims, before.owner)
		after, ok := c.awaitOwner(ctx, victims, faultEnd, func(ownership ownershipView) bool { return !hitOwner || ownership.token > before.token })
		if !ok { // too short to move anything, or whom it hit holds or leads again
			after, ok = c.awaitOwner(ctx, nil, time.Now().Add(timeout), anyOwner)
		}
		knownSeconds := time.Since(startedAt).Seconds()
		if !ok {
			c.reportNoOwner(ctx, "trial %d, %s of the %s (%s): no next owner is known to all", len(c.trials)+1, fault.Kind, target, c.members[victims[0]].name)
			return
		}
		c.trials = append(c.trials, Trial{Fault: fault.Kind, Target: target, AtSeconds: fault.AtSeconds, HasMoved: after.token > before.token, KnownSeconds: knownSeconds})
		sleep(ctx, time.Until(faultEnd))
	}
}

// lost notes that a job has no owner, unless the play ends.
func (c *Cluster) reportNoOwner(ctx context.Context, format string, args ...any) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation(checker.Rule(noOwnerRule), "", format, args...)
}

// drawTrial draws what is taken away, and how. Danger: where all leases outlive the trouble nothing is tried; most last for longer.
func (c *Cluster) drawTrial(rng *rand.Rand, ownership ownershipView) (fault environment.Fault, victims []int, target string) {
	switch draw := rng.IntN(10); {
	case ownership.owner == ownership.leader:
		victims, target = []int{ownership.owner}, "owner that leads"
	case draw < 6:
		victims, target = []int{ownership.owner}, "owner"
	case draw < 8:
		victims, target = []int{ownership.leader}, "leader"
	default:
		victims, target = []int{ownership.owner, ownership.leader}, "owner and leader"
	}
	fault.DurationSeconds = 2.5 + 3*rng.Float64()
	if rng.IntN(8) == 0 {
		fault.DurationSeconds = 0.2 + 2*rng.Float64()
	}
	switch rng.IntN(6) {
	case 0, 1:
		fault.Kind, fault.Sidecars = environment.Suspend, victims
	case 2, 3:
		fault.Kind, fault.Sidecars, fault.State = environment.SidecarKill, victims, environment.StateKept
	default:
		fault.Kind = []string{environment.PeerCut, environment.PeerHold}[rng.IntN(2)]
		var others []int
		for i := range c.members {
			if !slices.Contains(victims, i) {
				others = append(others, i)
			}
		}
		fault.From, fault.To, fault.OneWay = victims, others, rng.IntN(3) > 0
		if fault.OneWay && rng.IntN(2) == 0 { // they say on, and hear nothing
			fault.From, fault.To = others, victims
		}
	}
	return fault, victims, target
}
