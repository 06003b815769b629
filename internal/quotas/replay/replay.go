package replay

import (
	"container/heap"
	"math"

	"hazelwheel/internal/decide/quota"
)

// Use is compared with shares in each hour, and unused quota with unmet demand in each minute.
const (
	hourSeconds   = 3600.0
	minuteSeconds = 60.0
)

// Hour is what a group asked for and got in an hour. Share, Used and the loans are those of Result.Limit.
type Hour struct {
	Asked, Served, Rejected int
	Share                   float64 // the group's own quota, in the limit's unit
	Used                    float64
	Borrowed, Repaid        float64
	Lent, Returned          float64
	WantsShare              bool // it asked for its share or more throughout the hour
}

// Result is the outcome of the replay of a load.
type Result struct {
	Tree        *quota.Tree
	Limit       int      // index in Tree.Limits of the limit whose shares are compared
	Hours       [][]Hour // by group, by hour
	Total       []Hour   // by group
	Forgiven    []float64
	Expired     []float64
	Balance     []float64 // by group, at the end; below 0: it owes
	Offered     float64   // quota in the minutes with unmet demand, in which a request was rejected for lack of quota
	Unused      float64   // part of Offered that was lost because no bucket had room for it
	Unserved    float64   // part of Offered that was not used in the same minute, including the part that filled the buckets of idle groups
	Decisions   int
	Discrepancy float64 // of the accounts at the end; see quota.Limiter.Audit
}

// source generates the requests of a group.
type source struct {
	step   Step
	nextAt float64 // of its next request
	lastAt float64 // of its last request
}

// sourceQueue is a heap of sources by the times of their next requests, and then by group.
type sourceQueue []*source

func (d sourceQueue) Len() int { return len(d) }
func (d sourceQueue) Less(i, j int) bool {
	return d[i].nextAt < d[j].nextAt || d[i].nextAt == d[j].nextAt && d[i].step.Group < d[j].step.Group
}
func (d sourceQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *sourceQueue) Push(x any)   { *d = append(*d, x.(*source)) }
func (d *sourceQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// startTime is the limiter's time at the start of a load; the value is arbitrary.
const startTime = 1.8e9

// run is the state of a replay.
type run struct {
	limiter            *quota.Limiter
	result             *Result
	sources            []*source // by group; nil before its first request
	queue              sourceQueue
	hour               int
	talliesAtHourStart []quota.Tally             // by group
	leastRates         []float64                 // by group: the lowest rate in this hour
	minuteEnd          float64                   // of the current minute
	lostAtMinuteStart  float64                   // quota lost by the start of the current minute
	usedAtMinuteStart  float64                   // quota used by all groups by the start of the current minute
	hasUnmetDemand     bool                      // a request was rejected in the current minute for lack of quota
	rootRate           float64                   // quota of the limit per second, for one sidecar
	dispatch           func(g int32, at float64) // if set, handles the requests instead of the limiter
}

// Run replays a load against a tree of quotas. Each request completes at once; rejected requests are not retried.
func Run(tree *quota.Tree, series *Series, settings quota.Settings) *Result {
	groups := tree.Len()
	r := &run{limiter: quota.New(tree, settings, startTime), sources: make([]*source, groups), talliesAtHourStart: make([]quota.Tally, groups), leastRates: make([]float64, groups), minuteEnd: minuteSeconds}
	r.result = &Result{Tree: tree, Hours: make([][]Hour, groups), Total: make([]Hour, groups), Forgiven: make([]float64, groups), Expired: make([]float64, groups),
		Balance: make([]float64, groups)}
	for r.result.Limit = 0; r.result.Limit < len(tree.Limits)-1 && tree.Limits[r.result.Limit].Measure == quota.Open; r.result.Limit++ {
	}
	r.rootRate = tree.Limits[r.result.Limit].Quota / tree.Limits[r.result.Limit].WindowSeconds / float64(max(settings.Replicas, 1))
	r.beginHour()
	for _, step := range series.Steps {
		r.advanceTo(step.AtSeconds)
		r.startStep(step)
	}
	r.advanceTo(series.EndSeconds)
	r.endMinute(series.EndSeconds)
	if series.EndSeconds > float64(r.hour)*hourSeconds {
		r.endHour(series.EndSeconds - float64(r.hour)*hourSeconds)
	}
	r.result.Discrepancy, _ = r.limiter.Audit(startTime + series.EndSeconds)
	for g := range groups {
		_, r.result.Balance[g] = r.limiter.Tally(int32(g), r.result.Limit)
	}
	return r.result
}

// startStep changes a group's load.
func (r *run) startStep(step Step) {
	g := step.Group
	r.leastRates[g] = min(r.leastRates[g], step.RequestsPerSecond)
	src := r.sources[g]
	switch {
	case src != nil:
		src.step = step
		src.nextAt = max(step.AtSeconds, src.lastAt+1/max(step.RequestsPerSecond, 1e-12))
		heap.Init(&r.queue)
	case step.RequestsPerSecond > 0:
		// Groups that start at the same time get different phases: otherwise groups with equal rates would send all their requests at the
		// same instants.
		src = &source{step: step, lastAt: step.AtSeconds - float64(g%97)/97/step.RequestsPerSecond}
		src.nextAt = src.lastAt + 1/step.RequestsPerSecond
		r.sources[g] = src
		heap.Push(&r.queue, src)
	}
}

// advanceTo replays the load up to a time.
func (r *run) advanceTo(at float64) {
	for len(r.queue) > 0 && r.queue[0].nextAt < at {
		src := r.queue[0]
		if r.dispatch != nil {
			r.dispatch(src.step.Group, src.nextAt)
		} else {
			r.closeIntervals(src.nextAt)
			r.admit(src)
		}
		src.lastAt = src.nextAt
		src.nextAt += 1 / src.step.RequestsPerSecond
		heap.Fix(&r.queue, 0)
	}
	if r.dispatch == nil {
		r.closeIntervals(at)
	}
}

// closeIntervals ends the minutes and hours that have passed at a time.
func (r *run) closeIntervals(at float64) {
	for at >= r.minuteEnd {
		r.endMinute(r.minuteEnd)
		if r.minuteEnd >= float64(r.hour+1)*hourSeconds {
			r.endHour(hourSeconds)
			r.hour++
			r.beginHour()
		}
		r.minuteEnd += minuteSeconds
	}
}

// admit passes the next request of a source to the limiter and counts the decision.
func (r *run) admit(src *source) {
	g, now := src.step.Group, startTime+src.nextAt
	q := r.limiter.NewRequest(g, src.step.Bytes, false)
	h := &r.result.Hours[g][r.hour]
	h.Asked++
	r.result.Decisions++
	if v := r.limiter.Admit(now, q); v.Allowed {
		h.Served++
		r.limiter.Complete(now, q, 0, 0, src.step.WorkSeconds)
	} else {
		h.Rejected++
		r.hasUnmetDemand = r.hasUnmetDemand || v.Limit == r.result.Limit && !r.limiter.WasCapped(g)
	}
}

// endMinute adds up the quota that was left over in a minute with unmet demand. Quota that fills the buckets of idle groups is not
// lost; only quota for which no bucket has room is.
func (r *run) endMinute(at float64) {
	lost := r.limiter.LostAt(startTime+at, r.result.Limit)
	root, _ := r.limiter.Tally(0, r.result.Limit)
	if r.hasUnmetDemand {
		r.result.Offered += r.rootRate * minuteSeconds
		r.result.Unused += lost - r.lostAtMinuteStart
		r.result.Unserved += max(0, r.rootRate*minuteSeconds-(root.Used-r.usedAtMinuteStart))
	}
	r.hasUnmetDemand, r.lostAtMinuteStart, r.usedAtMinuteStart = false, lost, root.Used
}

// beginHour records the state at the start of an hour.
func (r *run) beginHour() {
	for g := range r.result.Hours {
		r.result.Hours[g] = append(r.result.Hours[g], Hour{})
		r.talliesAtHourStart[g], _ = r.limiter.Tally(int32(g), r.result.Limit)
		if r.leastRates[g] = 0; r.sources[g] != nil {
			r.leastRates[g] = r.sources[g].step.RequestsPerSecond
		}
	}
}

// endHour computes the values of an hour, the last of which may be shorter than hourSeconds.
func (r *run) endHour(seconds float64) {
	limit := r.result.Tree.Limits[r.result.Limit]
	for g := range r.result.Hours {
		tally, _ := r.limiter.Tally(int32(g), r.result.Limit)
		before, h := &r.talliesAtHourStart[g], &r.result.Hours[g][r.hour]
		shareRate := r.result.Tree.Quota(int32(g), r.result.Limit) / limit.WindowSeconds
		h.Share, h.Used = shareRate*seconds, tally.Used-before.Used
		h.Borrowed, h.Repaid = tally.Borrowed-before.Borrowed, tally.Repaid-before.Repaid
		h.Lent, h.Returned = tally.Lent-before.Lent, tally.Returned-before.Returned
		h.WantsShare = limit.Measure == quota.Requests && shareRate > 0 && r.leastRates[g] >= shareRate
		t := &r.result.Total[g]
		t.Asked, t.Served, t.Rejected, t.Used = t.Asked+h.Asked, t.Served+h.Served, t.Rejected+h.Rejected, t.Used+h.Used
		t.Share, t.Borrowed, t.Repaid, t.Lent, t.Returned = t.Share+h.Share, t.Borrowed+h.Borrowed, t.Repaid+h.Repaid, t.Lent+h.Lent, t.Returned+h.Returned
		r.result.Forgiven[g], r.result.Expired[g] = tally.Forgiven, tally.Expired
	}
}

// WorstShare returns the lowest fraction of its share that any group got in an hour in which it wanted the whole share, and the number
// of such hours over all groups. With lessRepaid, repayments are subtracted from the share first.
func (r *Result) WorstShare(lessRepaid bool) (share float64, hours int) {
	share = math.Inf(1)
	for g := range r.Hours {
		for _, h := range r.Hours[g] {
			ownShare := h.Share
			if lessRepaid {
				ownShare -= h.Repaid
			}
			if h.WantsShare && ownShare > 0 {
				hours++
				share = min(share, float64(h.Served)/ownShare)
			}
		}
	}
	return share, hours
}

// Imbalance returns the largest discrepancy of any group between its borrowing and what it repaid, was forgiven and still owes, or
// between its lending and what was returned, expired and is still due to it.
func (r *Result) Imbalance() (worst float64) {
	for g := 1; g < len(r.Total); g++ {
		t := &r.Total[g]
		debt, credit := max(-r.Balance[g], 0), max(r.Balance[g], 0)
		for _, discrepancy := range []float64{t.Borrowed - t.Repaid - r.Forgiven[g] - debt, t.Lent - t.Returned - r.Expired[g] - credit} {
			worst = max(worst, discrepancy, -discrepancy)
		}
	}
	return worst
}
