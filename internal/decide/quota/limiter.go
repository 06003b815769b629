package quota

import "math"

// Limiter decides who may take what. Calls come one at a time.
type Limiter struct {
	tree       *Tree
	settings   Settings
	tables     []*accountTable // of the limits with a window
	openCounts []*openCounts
	now        float64
	stats      []Stats // by group
	refusals   []Refusal
	treeNumber int       // that there have been before this one
	groupMoves [][]int32 // for the last of them: where their groups' open requests count now; -1: nowhere
}

// Decision says whether a request may be taken up.
type Decision struct {
	Allowed           bool
	Limit             int     // that refuses
	RetryAfterSeconds float64 // when it could be had
}

// Request is what is known of a request before it is taken up.
type Request struct {
	Group       int32 // that takes requests, see Tree.Takes
	Bytes       float64
	MayUseFloor bool // it may touch the floors

	tree int // which of the machine's trees, one after the other, Group is in
}

// NewRequest returns a request of a group of the present tree.
func (l *Limiter) NewRequest(g int32, bytes float64, floor bool) Request {
	return Request{Group: g, Bytes: bytes, MayUseFloor: floor, tree: l.treeNumber}
}

// New returns a machine in which nothing has been used.
func New(tree *Tree, settings Settings, now float64) *Limiter {
	if settings.FadeSeconds <= 0 {
		settings.FadeSeconds = DefaultFadeSeconds
	}
	l := &Limiter{tree: tree, settings: settings, now: now, stats: make([]Stats, tree.Len()), refusals: make([]Refusal, tree.Len())}
	for i, limit := range tree.Limits {
		if limit.Measure == Open {
			l.tables, l.openCounts = append(l.tables, nil), append(l.openCounts, newOpenCounts(tree, i, &l.settings))
		} else {
			l.tables, l.openCounts = append(l.tables, newAccountTable(tree, i, &l.settings, now)), append(l.openCounts, nil)
		}
	}
	for i := range l.refusals {
		l.refusals[i].Limit = -1
	}
	return l
}

// Tree returns the machine's tree.
func (l *Limiter) Tree() *Tree { return l.tree }

// advance takes a time. One that is before the last, or no number, counts as the last.
func (l *Limiter) advance(now float64) float64 {
	if now > l.now && !math.IsInf(now, 1) {
		l.now = now
	}
	return l.now
}

// Admit decides on a request and books what it costs so far. It takes nothing where it refuses.
func (l *Limiter) Admit(now float64, q Request) Decision {
	now = l.advance(now)
	q.tree = l.treeNumber
	decision := Decision{Allowed: true}
	for i, table := range l.tables {
		if table == nil {
			if after := l.openCounts[i].waitSeconds(q.Group, q.MayUseFloor); after > 0 && after > decision.RetryAfterSeconds {
				decision = Decision{Limit: i, RetryAfterSeconds: after}
				l.recordRefusal(i, after, 1, 0, false, &q)
			}
			continue
		}
		table.processDue(now, maxDuePerCall, l.settings.StretchFraction)
		cost, need := table.cost(&q)
		table.settleChain(q.Group, now)
		if l.settings.StretchFraction > 0 {
			table.recordDemand(q.Group, max(cost, need), l.settings.StretchFraction, now)
		}
		after, lacks, capped := table.capWaitSeconds(q.Group, need, now), 0.0, true
		if after == 0 {
			if lacks = table.shortfall(q.Group, need, q.MayUseFloor, now); lacks > 0 {
				after, capped = table.retryAfterSeconds(q.Group, need, q.MayUseFloor), false
			}
		}
		if after > decision.RetryAfterSeconds {
			decision = Decision{Limit: i, RetryAfterSeconds: after}
			l.recordRefusal(i, after, lacks, table.accounts[q.Group].Level, capped, &q)
		}
	}
	if !decision.Allowed {
		l.stats[q.Group].Refused++
		return decision
	}
	l.stats[q.Group].Served++
	for i, table := range l.tables {
		if table == nil {
			l.openCounts[i].add(q.Group, 1)
		} else if cost, _ := table.cost(&q); cost > 0 {
			table.charge(q.Group, cost, q.MayUseFloor, now)
		}
	}
	return decision
}

// recordRefusal remembers why.
func (l *Limiter) recordRefusal(limit int, afterS, lacks, own float64, capped bool, q *Request) {
	l.refusals[q.Group] = Refusal{At: l.now, Limit: int32(limit), Capped: capped, Lacked: lacks, AfterS: afterS, Own: own}
}

// Complete notes that a request that has been taken up is answered, after a time, with an answer of so many bytes that took
// so much work. What they cost may go beyond what is there; the debt counts.
func (l *Limiter) Complete(now float64, q Request, afterS, bytes, workS float64) {
	now = l.advance(now)
	if q.Group = l.presentGroup(&q); q.Group < 0 {
		return
	}
	for i, table := range l.tables {
		amount := 0.0
		switch l.tree.Limits[i].Measure {
		case Open:
			if counts := l.openCounts[i]; q.tree >= counts.sinceTree { // what was open before has not been counted
				counts.add(q.Group, -1)
				counts.recordDuration(afterS)
			}
			continue
		case Bytes:
			amount = bytes
		case Work:
			amount = workS
		}
		if amount > 0 && l.tree.AcceptsRequests(q.Group) {
			table.settleChain(q.Group, now)
			table.charge(q.Group, amount, q.MayUseFloor, now)
		}
	}
}
