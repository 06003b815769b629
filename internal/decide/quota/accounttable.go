package quota

import "math"

const (
	// poolFraction of a window's quota is the capacity of a pool. Danger: all tokens in buckets and pools can be used at once, in
	// addition to a window's quota; but a pool smaller than a request can't lend. minPoolRequests is the minimum, in requests.
	poolFraction    = 1.0 / 8
	minPoolRequests = 2.0
	// quietFraction of a window must pass without a draw before an account overflows to the parent continuously. Until then its
	// excess is deposited when the account is next settled.
	quietFraction = 1.0 / 16
	// epochFraction of a window is the length of an epoch. A group that asks for tokens counts as wanting them in the next epoch.
	epochFraction = 1.0 / 8
	// minScheduleSeconds is the minimum time until an account is due again.
	minScheduleSeconds = 1e-3
	// maxDuePerCall bounds the due accounts that one request processes. Danger: after a long idle time all groups are due at once,
	// and the event loop would stall. An account that is processed late deposits its excess all at once.
	maxDuePerCall = 32
)

// accountTable holds the accounts of one limit.
type accountTable struct {
	limit         Limit
	tree          *Tree
	accounts      []account
	queue         []dueCell
	queueIndex    []int32 // position of each account in the queue, from 1; 0 if it is not queued
	overflow      float64 // tokens that found no room
	epochSeconds  float64
	quietSeconds  float64
	repayFraction float64
	fadeSeconds   float64
}

func newAccountTable(tree *Tree, i int, settings *Settings, now float64) *accountTable {
	limit := tree.Limits[i]
	t := &accountTable{limit: limit, tree: tree, accounts: make([]account, len(tree.nodes)), epochSeconds: epochFraction * limit.WindowSeconds, quietSeconds: quietFraction * limit.WindowSeconds,
		repayFraction: settings.RepayFraction, fadeSeconds: settings.FadeSeconds, queue: make([]dueCell, 0, len(tree.nodes)), queueIndex: make([]int32, len(tree.nodes))}
	part := 1 / float64(max(settings.Replicas, 1))
	minCapacity := 0.0
	if limit.Measure == Requests {
		minCapacity = 1 // so that a quota below one request per window accumulates to one request
	}
	for n := range t.accounts {
		group, a := &tree.nodes[n], &t.accounts[n]
		a.SettledAt, a.CapSettledAt, a.LastDrawnAt, a.Epoch, a.AskedEpoch, a.DemandWindow = now, now, math.Inf(-1), -1, -1, -1
		a.OwnInflow = group.unassigned[i] / limit.WindowSeconds * part
		if group.inner {
			// The pool must have room for what its children may deposit at once.
			a.Capacity = max(group.quota[i]*part*poolFraction, minPoolRequests*minCapacity)
		} else {
			a.Level = group.quota[i] * part
			a.Capacity = max(a.Level, minCapacity)
		}
		// Danger: a floor that leaves less than one request would reject all other requests forever.
		a.Reserve = min(a.Capacity*group.floor, max(a.Capacity-minCapacity, 0))
		if a.CapRate = group.cap[i] * part / limit.WindowSeconds; a.CapRate < math.Inf(1) {
			a.CapLevel = max(a.CapRate*limit.WindowSeconds, minCapacity)
		}
	}
	t.resetFlows(now)
	return t
}

// resetFlows recomputes all inflows and schedules the accounts that do not overflow. All accounts must be settled.
func (t *accountTable) resetFlows(now float64) {
	t.queue = t.queue[:0]
	clear(t.queueIndex)
	for n := range t.accounts {
		t.accounts[n].Inflow = t.accounts[n].OwnInflow * (1 + t.accounts[n].Stretch)
	}
	for n := len(t.accounts) - 1; n >= 0; n-- { // children before parents
		a := &t.accounts[n]
		a.IsOverflowing = a.Inflow > 0 && a.Level >= a.Capacity && now >= a.LastDrawnAt+t.quietSeconds
		if a.IsOverflowing && n > 0 {
			pool := &t.accounts[t.tree.links[n].parent]
			pool.Inflow += a.Inflow
			a.OfferedSeen, a.RecentSeen = pool.Offered, pool.Recent
		}
	}
	for n := range t.accounts {
		t.schedule(int32(n), now)
	}
}

// setInflow changes the inflow of an account. It and all accounts above it must be settled.
func (t *accountTable) setInflow(n int32, rate, now float64) {
	a := &t.accounts[n]
	rate = max(rate, 0)
	change := rate - a.Inflow
	a.Inflow = rate
	if !a.IsOverflowing {
		t.schedule(n, now)
	} else if parent := t.tree.links[n].parent; parent >= 0 {
		t.setInflow(parent, t.accounts[parent].Inflow+change, now)
	}
}

// markDrawn records a draw from an account, which ends its overflow.
func (t *accountTable) markDrawn(n int32, now float64) {
	a := &t.accounts[n]
	a.LastDrawnAt = now
	if a.IsOverflowing {
		a.IsOverflowing = false
		if parent := t.tree.links[n].parent; parent >= 0 {
			t.setInflow(parent, t.accounts[parent].Inflow-a.Inflow, now)
		}
	}
	if t.queueIndex[n] == 0 {
		t.schedule(n, now)
	}
}
