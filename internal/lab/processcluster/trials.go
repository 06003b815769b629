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
type whole struct {
	token  uint64
	owner  int // -1: none that all name
	leader int
	live   int
}

// lookS is the time between two looks of a trial, which waits for mostWaitS at most once its trouble is over.
const (
	lookS     = 0.1
	mostWaitS = 60.0
)

// look asks the doors of all but some of those that know of jobs.
func (t *Cluster) look(but []int) (w whole, agreed bool) {
	all := make([]*owners, t.own())
	var asking sync.WaitGroup
	for i := range all {
		if !slices.Contains(but, i) {
			asking.Go(func() { all[i] = askOwners(t.mates[i].ops) })
		}
	}
	asking.Wait()
	w, agreed = whole{owner: -1, leader: -1}, true
	for i, o := range all {
		if slices.Contains(but, i) {
			continue
		}
		if o == nil {
			return w, false
		}
		w.live++
		if o.Here.Leads {
			w.leader = i
		}
		for _, j := range o.Jobs {
			if j.Job != t.s.Roles[0] {
				continue
			}
			agreed = agreed && (w.token == 0 || w.token == j.Token)
			if w.token = max(w.token, j.Token); j.Held != 0 && j.Held == j.Token {
				w.owner = i
			}
		}
		agreed = agreed && len(o.Jobs) > 0
	}
	return w, agreed && w.owner >= 0 && w.leader >= 0
}

// await looks until all but some agree on an owner, and more holds of it, or a time has come.
func (t *Cluster) await(ctx context.Context, but []int, until time.Time, more func(whole) bool) (w whole, ok bool) {
	tick := time.NewTicker(time.Duration(lookS * float64(time.Second)))
	defer tick.Stop()
	for time.Now().Before(until) {
		if w, ok = t.look(but); ok && more(w) {
			return w, true
		}
		select {
		case <-ctx.Done():
			return w, false
		case <-tick.C:
		}
	}
	return w, false
}

// try plays the trials, one after the other.
func (t *Cluster) try(ctx context.Context, p *realtime.Play) {
	any := func(whole) bool { return true }
	wait := time.Duration(mostWaitS * float64(time.Second))
	rng := rand.New(rand.NewPCG(t.s.Seed, 0x747269616c73))
	for len(t.trials) < t.s.Trials && ctx.Err() == nil {
		before, ok := t.await(ctx, nil, time.Now().Add(wait), any)
		if !ok {
			t.lost(ctx, "before trial %d no owner is known to all", len(t.trials)+1)
			return
		}
		// At any instant of an owner's round: between two troubles there is as much again.
		rest(ctx, inS(rng.Float64()*2))
		trouble, victims, who := t.drawTrial(rng, before)
		done := make(chan error, 1)
		began := time.Now()
		p.Post(func() { done <- p.Befall(trouble) })
		select {
		case err := <-done:
			if err != nil {
				t.lost(ctx, "trial %d: %v", len(t.trials)+1, err)
				return
			}
		case <-ctx.Done():
			return
		}
		over := began.Add(time.Duration((trouble.DurationSeconds + 0.2) * float64(time.Second)))
		hitOwner := slices.Contains(victims, before.owner)
		after, ok := t.await(ctx, victims, over, func(w whole) bool { return !hitOwner || w.token > before.token })
		if !ok { // too short to move anything, or whom it hit holds or leads again
			after, ok = t.await(ctx, nil, time.Now().Add(wait), any)
		}
		known := time.Since(began).Seconds()
		if !ok {
			t.lost(ctx, "trial %d, %s of the %s (%s): no next owner is known to all", len(t.trials)+1, trouble.Kind, who, t.mates[victims[0]].name)
			return
		}
		t.trials = append(t.trials, Trial{Fault: trouble.Kind, Target: who, AtSeconds: trouble.AtSeconds, HasMoved: after.token > before.token, KnownSeconds: known})
		rest(ctx, time.Until(over))
	}
}

// lost notes that a job has no owner, unless the play ends.
func (t *Cluster) lost(ctx context.Context, format string, args ...any) {
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.find(checker.Rule(noOwner), "", format, args...)
}

// drawTrial draws what is taken away, and how. Danger: where all leases outlive the trouble nothing is tried; most last for longer.
func (t *Cluster) drawTrial(rng *rand.Rand, w whole) (trouble environment.Fault, victims []int, who string) {
	switch x := rng.IntN(10); {
	case w.owner == w.leader:
		victims, who = []int{w.owner}, "owner that leads"
	case x < 6:
		victims, who = []int{w.owner}, "owner"
	case x < 8:
		victims, who = []int{w.leader}, "leader"
	default:
		victims, who = []int{w.owner, w.leader}, "owner and leader"
	}
	trouble.DurationSeconds = 2.5 + 3*rng.Float64()
	if rng.IntN(8) == 0 {
		trouble.DurationSeconds = 0.2 + 2*rng.Float64()
	}
	switch rng.IntN(6) {
	case 0, 1:
		trouble.Kind, trouble.Sidecars = environment.Suspend, victims
	case 2, 3:
		trouble.Kind, trouble.Sidecars, trouble.State = environment.SidecarKill, victims, environment.StateKept
	default:
		trouble.Kind = []string{environment.PeerCut, environment.PeerHold}[rng.IntN(2)]
		var rest []int
		for i := range t.mates {
			if !slices.Contains(victims, i) {
				rest = append(rest, i)
			}
		}
		trouble.From, trouble.To, trouble.OneWay = victims, rest, rng.IntN(3) > 0
		if trouble.OneWay && rng.IntN(2) == 0 { // they say on, and hear nothing
			trouble.From, trouble.To = rest, victims
		}
	}
	return trouble, victims, who
}
