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

// Trial is one fault of the owner of the first role, the leader or both, up to the next owner that all other members know.
type Trial struct {
	Fault        string  `json:"what"` // its kind
	Target       string  `json:"who"`  // what failed: owner, leader or both
	AtSeconds    float64 `json:"at_s"`
	HasMoved     bool    `json:"moved"`   // the next owner has a greater token
	KnownSeconds float64 `json:"known_s"` // from the fault until all others knew the next owner
}

// ownershipView is what the admin endpoints report of the first role together.
type ownershipView struct {
	token  uint64
	owner  int // index of the member; -1: unknown
	leader int // likewise
	live   int // members that answered
}

// trialPollSeconds is the time between two polls of a trial, trialTimeoutSeconds how long it waits for an owner when the fault is over.
const (
	trialPollSeconds    = 0.1
	trialTimeoutSeconds = 60.0
)

// queryOwnership polls the members that know of roles, but excluded ones, and reports whether they agree on an owner and a leader.
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

// awaitOwner polls until all members but excluded ones agree on an accepted owner, and reports whether they did before the given time.
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

// runTrials runs the trials one after the other. It ends early when a role stays without an owner, which is a violation.
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
		// The fault comes at any time in the owner's renewal interval.
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
		if !ok { // the fault was too short to change the owner, or its target owns or leads again
			after, ok = c.awaitOwner(ctx, nil, time.Now().Add(timeout), anyOwner)
		}
		knownSeconds := time.Since(startedAt).Seconds()
		if !ok {
			c.reportNoOwner(ctx, "trial %d, %s of the %s (%s): no next owner is known to all", len(c.trials)+1, fault.Kind, target, c.members[victims[0]].name)
			return
		}
		c.trials = append(c.trials, Trial{Fault: string(fault.Kind), Target: target, AtSeconds: fault.AtSeconds, HasMoved: after.token > before.token, KnownSeconds: knownSeconds})
		sleep(ctx, time.Until(faultEnd))
	}
}

// reportNoOwner reports that a role has no owner, unless the run has ended.
func (c *Cluster) reportNoOwner(ctx context.Context, format string, args ...any) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation(checker.Rule(noOwnerRule), "", format, args...)
}

// drawTrial draws the target of a fault and the fault. Danger: a fault that all leases outlast tests nothing, so most last longer.
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
		fault.Kind = []environment.FaultKind{environment.PeerCut, environment.PeerHold}[rng.IntN(2)]
		var others []int
		for i := range c.members {
			if !slices.Contains(victims, i) {
				others = append(others, i)
			}
		}
		fault.From, fault.To, fault.OneWay = victims, others, rng.IntN(3) > 0
		if fault.OneWay && rng.IntN(2) == 0 { // the victims send and receive nothing
			fault.From, fault.To = others, victims
		}
	}
	return fault, victims, target
}
