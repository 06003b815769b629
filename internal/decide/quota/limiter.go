package quota

import "math"

// Limiter admits requests by the quotas of their groups. Calls must not overlap.
type Limiter struct {
	tree       *Tree
	settings   Settings
	tables     []*accountTable // by limit; nil for Open
	openCounts []*openCounts
	now        float64
	stats      []Stats // by group
	refusals   []Refusal
	treeNumber int       // number of the current tree: how many were replaced before
	groupMoves [][]int32 // for each of the last replaced trees, the number of each group in the next tree; -1 if it was removed
}

// Decision is the result of Admit.
type Decision struct {
	Allowed           bool
	Limit             int     // index in Tree.Limits of the limit that rejects the request
	RetryAfterSeconds float64 // time until the request could be admitted
}

// Request describes a request before it is admitted.
type Request struct {
	Group       int32 // number of the group, which must accept requests; see Tree.AcceptsRequests
	Bytes       float64
	MayUseFloor bool // it may use the floors of the groups

	tree int // number of the tree that Group refers to
}

// NewRequest returns a request of a group of the current tree.
func (l *Limiter) NewRequest(g int32, bytes float64, mayUseFloor bool) Request {
	return Request{Group: g, Bytes: bytes, MayUseFloor: mayUseFloor, tree: l.treeNumber}
}

// New returns a limiter with full buckets, whose groups have used nothing yet.
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

// Tree returns the current tree.
func (l *Limiter) Tree() *Tree { return l.tree }

// advance moves the clock. A time before the last one, or +Inf or NaN, counts as the last one.
func (l *Limiter) advance(now float64) float64 {
	if now > l.now && !math.IsInf(now, 1) {
		l.now = now
	}
	return l.now
}

// Admit decides whether a request is admitted. An admitted request is charged the part of its cost that is known before it runs.
func (l *Limiter) Admit(now float64, q Request) Decision {
	now = l.advance(now)
	q.tree = l.treeNumber
	decision := Decision{Allowed: true}
	for i, table := range l.tables {
		if table == nil {
			if retryAfter := l.openCounts[i].waitSeconds(q.Group, q.MayUseFloor); retryAfter > 0 && retryAfter > decision.RetryAfterSeconds {
				decision = Decision{Limit: i, RetryAfterSeconds: retryAfter}
				l.recordRefusal(i, retryAfter, 1, 0, false, &q)
			}
			continue
		}
		table.processDue(now, maxDuePerCall, l.settings.StretchFraction)
		cost, need := table.cost(&q)
		table.settleChain(q.Group, now)
		if l.settings.StretchFraction > 0 {
			table.recordDemand(q.Group, max(cost, need), l.settings.StretchFraction, now)
		}
		retryAfter, shortfall, capped := table.capWaitSeconds(q.Group, need, now), 0.0, true
		if retryAfter == 0 {
			if shortfall = table.shortfall(q.Group, need, q.MayUseFloor, now); shortfall > 0 {
				retryAfter, capped = table.retryAfterSeconds(q.Group, need, q.MayUseFloor), false
			}
		}
		if retryAfter > decision.RetryAfterSeconds {
			decision = Decision{Limit: i, RetryAfterSeconds: retryAfter}
			l.recordRefusal(i, retryAfter, shortfall, table.accounts[q.Group].Level, capped, &q)
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

// recordRefusal records why a request was rejected, for Explain.
func (l *Limiter) recordRefusal(limit int, retryAfterSeconds, shortfall, level float64, capped bool, q *Request) {
	l.refusals[q.Group] = Refusal{At: l.now, Limit: int32(limit), Capped: capped, Lacked: shortfall, AfterS: retryAfterSeconds, Own: level}
}

// Complete charges the rest of an admitted request's cost: the response's bytes and the server's work, which may overdraw the
// account. elapsedSeconds is how long the request was in flight. Complete must be called once for each admitted request.
func (l *Limiter) Complete(now float64, q Request, elapsedSeconds, bytes, workSeconds float64) {
	now = l.advance(now)
	if q.Group = l.currentGroup(&q); q.Group < 0 {
		return
	}
	for i, table := range l.tables {
		amount := 0.0
		switch l.tree.Limits[i].Measure {
		case Open:
			if counts := l.openCounts[i]; q.tree >= counts.sinceTree { // requests of earlier trees were not counted
				counts.add(q.Group, -1)
				counts.recordDuration(elapsedSeconds)
			}
			continue
		case Bytes:
			amount = bytes
		case Work:
			amount = workSeconds
		}
		if amount > 0 && l.tree.AcceptsRequests(q.Group) {
			table.settleChain(q.Group, now)
			table.charge(q.Group, amount, q.MayUseFloor, now)
		}
	}
}
