package quota

import "math"

const (
	// poolFraction of a window's quota is what a pool holds. Danger: all that lies in buckets and pools can be taken at once,
	// beyond what a window brings; and a pool that holds less than some requests has nothing to lend.
	poolFraction    = 1.0 / 8
	minPoolRequests = 2.0
	// quietFraction of a window is how long a group must have taken nothing before its overflow counts as a stream. Until then
	// it is deposited when somebody looks.
	quietFraction = 1.0 / 16
	// epochFraction of a window is how long a group counts as wanting after it has asked.
	epochFraction = 1.0 / 8
	// minScheduleSeconds is the least time until an account is looked at again.
	minScheduleSeconds = 1e-3
	// maxDuePerCall accounts are looked at for one request. Danger: after a long silence all groups are due at once, and the
	// loop would stand still for them; late, a deposit is made as a lump.
	maxDuePerCall = 32
)

// account is the account of a group in one book. Danger: with 100,000 groups a decision costs what it reads from memory; what
// a group without children needs for it comes first.
// Amounts are in the limit's unit, rates in units a second.
//
// Of a group with children the account is a pool: Level = Equity + the children's balances - Balance, always.
type account struct {
	Level         float64 // below 0: what has been charged beyond it
	Capacity      float64
	Inflow        float64 // what comes in: of a pool, its own and that of all children that overflow
	SettledAt     float64 // until when all this is settled
	Balance       float64 // deposited with the parent less drawn there; below 0 it is a debt
	LastDrawnAt   float64 // when it was last drawn on
	CapRate       float64 // +Inf: none
	IsOverflowing bool    // the account is full, and Rate goes to the parent

	Reserve     float64 // that only requests with a right to the floor may touch
	OwnInflow   float64 // what comes in by the tree; of a pool, what no child has
	OfferedSeen float64 // the parent's Offered until which the overflow is settled
	RecentSeen  float64 // and its Recent
	Tally       Tally

	Equity  float64 // of a pool: what is nobody's deposit
	Offered float64 // of a pool: seconds for which what came in found room, here or above
	Recent  float64 // the same, less what has faded since
	Drawn   float64 // drawn on the parent for each unit of weight, within bounds of the parent's Turn

	Epoch             int64   // of a pool: that Wanting is of
	Wanting, Wanted   float64 // of a pool: the weights of the children that ask in this epoch, and in the one before
	Claiming, Claimed float64 // of these, whose balance was above 0
	Turn              float64 // of a pool: what has come in for each unit of weight
	AskedEpoch        int64   // the epoch in which it last asked its parent

	Stretch      float64 // by how much a part of a fleet's quota is stretched
	Demand       float64 // asked for in this epoch
	DemandWindow int64   // the epoch
	DemandRate   float64 // a second

	CapLevel, CapSettledAt float64

	Padding [1]float64 // to whole lines of a processor's cache
}

// Tally adds up what has happened to a group's account, in the limit's unit. All of it is cumulative, and
// balance = Lent - Returned - Borrowed + Repaid + Forgiven - Expired.
type Tally struct {
	Used     float64 `json:"used"` // by it and all below it
	Lent     float64 `json:"lent"` // deposited beyond its debts
	Repaid   float64 `json:"repaid"`
	Returned float64 `json:"returned"` // of its deposits, that it has had back
	Borrowed float64 `json:"borrowed"` // drawn on pools as a loan
	Forgiven float64 `json:"forgiven"` // of its debts
	Expired  float64 `json:"expired"`  // of its deposits
	Free     float64 `json:"free"`     // drawn on pools of what was nobody's
}

// dueCell is an account in the queue, a heap by when they are looked at again. Danger: 100,000 accounts do not fit into a
// processor's cache; so what the heap compares lies in the heap.
type dueCell struct {
	Due  float64
	Cell int32
}

// accountTable is the accounts of one limit.
type accountTable struct {
	limit         Limit
	tree          *Tree
	accounts      []account
	queue         []dueCell
	queueIndex    []int32 // of each cell in the queue, from 1; 0: it is not in it
	overflow      float64 // what found no room
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
	least := 0.0
	if limit.Measure == Requests {
		least = 1 // a quota below one request a window still comes to one in time
	}
	for n := range t.accounts {
		group, a := &tree.nodes[n], &t.accounts[n]
		a.SettledAt, a.CapSettledAt, a.LastDrawnAt, a.Epoch, a.AskedEpoch, a.DemandWindow = now, now, math.Inf(-1), -1, -1, -1
		a.OwnInflow = group.unassigned[i] / limit.WindowSeconds * part
		if group.inner {
			// Each account below holds less than what comes to it in the time for which it may be left alone.
			a.Capacity = max(group.quota[i]*part*poolFraction, minPoolRequests*least)
		} else {
			a.Level = group.quota[i] * part
			a.Capacity = max(a.Level, least)
		}
		// Danger: a floor that leaves less than a request would keep all other requests out for good.
		a.Reserve = min(a.Capacity*group.floor, max(a.Capacity-least, 0))
		if a.CapRate = group.cap[i] * part / limit.WindowSeconds; a.CapRate < math.Inf(1) {
			a.CapLevel = max(a.CapRate*limit.WindowSeconds, least)
		}
	}
	t.resetFlows(now)
	return t
}

// resetFlows has every account that is full flow over, and looks after the others. It is for accounts that are settled and
// that nothing flows between yet.
func (t *accountTable) resetFlows(now float64) {
	t.queue = t.queue[:0]
	clear(t.queueIndex)
	for n := range t.accounts {
		t.accounts[n].Inflow = t.accounts[n].OwnInflow * (1 + t.accounts[n].Stretch)
	}
	for n := len(t.accounts) - 1; n >= 0; n-- { // children before their parents
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

// settle brings an account up to a time. Its ancestors are settled.
func (t *accountTable) settle(n int32, now float64) {
	a := &t.accounts[n]
	dt := now - a.SettledAt
	if dt <= 0 {
		return
	}
	a.SettledAt = now
	parent := t.tree.links[n].parent
	if parent < 0 {
		t.settleRoot(a, dt)
		return
	}
	pool, inner := &t.accounts[parent], t.tree.links[n].inner
	kept := fastExp(-dt / t.fadeSeconds)
	t.fadeBalance(a, pool, a.Balance*(1-kept), inner)
	if a.IsOverflowing {
		took, recent := pool.Offered-a.OfferedSeen, pool.Recent-a.RecentSeen*kept
		a.OfferedSeen, a.RecentSeen = pool.Offered, pool.Recent
		if inner {
			a.Offered += took
			a.Recent = a.Recent*kept + recent
			a.Equity += a.OwnInflow * took
		}
		t.recordDeposit(a, a.Inflow*took)
		// Danger: a claim that only begins to fade when somebody looks outlives the debt that it is of.
		t.fadeBalance(a, pool, min(a.Inflow*(took-recent), max(a.Balance, 0)), inner)
		return
	}
	if inner {
		a.Recent *= kept
	}
	in := a.Inflow * dt
	if in <= 0 {
		return
	}
	if !inner && a.Balance >= 0 && a.Level+in <= a.Capacity {
		a.Level += in
		return
	}
	paid := 0.0
	if a.Balance < 0 {
		paid = t.deposit(parent, min(in*t.repayFraction, -a.Balance), true)
		t.recordDeposit(a, paid)
	}
	a.addInflow(in - paid)
	lost := 0.0
	if over := a.Level - a.Capacity; over > 0 {
		a.Level = a.Capacity
		took := t.deposit(parent, over, false)
		t.recordDeposit(a, took)
		lost = over - took
	}
	if inner {
		a.addOffered(dt * (1 - lost/in))
	}
}

// addOffered notes for how long what came into a pool has found room.
func (a *account) addOffered(s float64) {
	a.Offered += s
	a.Recent += s
	a.Equity += a.OwnInflow * s
}

func (t *accountTable) settleRoot(a *account, dt float64) {
	a.Recent *= fastExp(-dt / t.fadeSeconds)
	in := a.Inflow * dt
	if in <= 0 {
		return
	}
	lost := max(0, a.Level+in-a.Capacity)
	a.addInflow(in - lost)
	t.overflow += lost
	a.addOffered(dt * (1 - lost/in))
}

// fastExp is math.Exp; of a number that is hardly below 0 it takes less time.
func fastExp(x float64) float64 {
	if x > -1e-3 {
		return 1 + x*(1+x*(0.5+x*(1.0/6+x/24)))
	}
	return math.Exp(x)
}

// addInflow puts an amount into an account; of a pool, those who want of it each have their part.
func (a *account) addInflow(amount float64) {
	if a.Level += amount; a.Wanted > 0 {
		a.Turn += amount / a.Wanted
	}
}

// recordDeposit notes that a parent holds more of a group.
func (t *accountTable) recordDeposit(a *account, amount float64) {
	back := min(amount, max(-a.Balance, 0))
	a.Tally.Repaid += back
	a.Tally.Lent += amount - back
	a.Balance += amount
}

// fadeBalance takes a part off a balance: what was lent long ago is neither owed nor claimed any more.
func (t *accountTable) fadeBalance(a, pool *account, amount float64, isPool bool) {
	if amount == 0 {
		return
	}
	if math.Abs(a.Balance) < 1e-6 {
		amount = a.Balance
	}
	if a.Balance -= amount; amount < 0 {
		a.Tally.Forgiven -= amount
	} else {
		a.Tally.Expired += amount
	}
	if pool.Equity += amount; isPool {
		a.Equity -= amount
	}
}

// deposit puts an amount into a pool and what does not fit into those above it; it returns how much has found room. A
// repayment goes first to whom the pool's own group owes.
func (t *accountTable) deposit(n int32, amount float64, repays bool) (took float64) {
	a, parent := &t.accounts[n], t.tree.links[n].parent
	if repays && a.Balance < 0 && parent >= 0 {
		took = t.deposit(parent, min(amount, -a.Balance), true)
		t.recordDeposit(a, took)
		amount -= took
	}
	in := min(amount, max(a.Capacity-a.Level, 0))
	a.addInflow(in)
	if took, amount = took+in, amount-in; amount <= 0 {
		return took
	}
	if parent < 0 {
		t.overflow += amount
		return took
	}
	up := t.deposit(parent, amount, false)
	t.recordDeposit(a, up)
	return took + up
}

// setInflow has another rate come to an account, which is settled like its ancestors.
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

// markDrawn notes that an account is drawn on: it does not overflow any more.
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

// processDue looks at the accounts that are due, at no more than so many.
func (t *accountTable) processDue(now float64, limit int, stretchFraction float64) {
	for ; limit > 0 && len(t.queue) > 0 && t.queue[0].Due <= now; limit-- {
		n := t.queue[0].Cell
		t.dequeue(n)
		t.settleChain(n, now)
		a := &t.accounts[n]
		if a.Level < a.Capacity || now < a.LastDrawnAt+t.quietSeconds {
			t.schedule(n, now)
			continue
		}
		if stretchFraction > 0 {
			t.resetStretch(n)
		}
		a.IsOverflowing = true
		if parent := t.tree.links[n].parent; parent >= 0 {
			pool := &t.accounts[parent]
			a.OfferedSeen, a.RecentSeen = pool.Offered, pool.Recent
			t.setInflow(parent, pool.Inflow+a.Inflow, now)
		}
	}
}

// settleChain settles an account and all above it.
func (t *accountTable) settleChain(n int32, now float64) {
	if parent := t.tree.links[n].parent; parent >= 0 {
		t.settleChain(parent, now)
	}
	t.settle(n, now)
}

// settleAll settles all accounts.
func (t *accountTable) settleAll(now float64) {
	for n := range t.accounts { // parents before their children
		t.settle(int32(n), now)
	}
}

// schedule has an account looked at when it will be full. Danger: one that is looked at too late only deposits late, one
// that is never looked at lends nothing.
func (t *accountTable) schedule(n int32, now float64) {
	a := &t.accounts[n]
	if a.IsOverflowing || a.Inflow <= 0 {
		return
	}
	due := max(now+(a.Capacity-a.Level)/a.Inflow, a.LastDrawnAt+t.quietSeconds, now+minScheduleSeconds)
	if at := t.queueIndex[n]; at == 0 {
		t.queue = append(t.queue, dueCell{due, n})
		t.siftUp(len(t.queue) - 1)
	} else if due < t.queue[at-1].Due {
		t.queue[at-1].Due = due
		t.siftUp(int(at) - 1)
	}
}

// dequeue takes an account out of the queue.
func (t *accountTable) dequeue(n int32) {
	i, last := int(t.queueIndex[n])-1, len(t.queue)-1
	moved := t.queue[last]
	t.queue, t.queueIndex[n] = t.queue[:last], 0
	if i < last {
		t.queue[i] = moved
		t.siftDown(i)
		t.siftUp(int(t.queueIndex[moved.Cell]) - 1)
	}
}

// heapFan is how many elements of the queue are below each: as many as lie beside each other in a cache.
const heapFan = 4

// isBefore orders the queue; at one time the group with the lower number is first, whatever came before.
func (x dueCell) isBefore(y dueCell) bool { return x.Due < y.Due || x.Due == y.Due && x.Cell < y.Cell }

// siftUp moves an element towards the front, to where it belongs.
func (t *accountTable) siftUp(i int) {
	x := t.queue[i]
	for ; i > 0 && x.isBefore(t.queue[(i-1)/heapFan]); i = (i - 1) / heapFan {
		t.queue[i] = t.queue[(i-1)/heapFan]
		t.queueIndex[t.queue[i].Cell] = int32(i + 1)
	}
	t.queue[i], t.queueIndex[x.Cell] = x, int32(i+1)
}

// siftDown moves an element towards the back.
func (t *accountTable) siftDown(i int) {
	x := t.queue[i]
	for {
		child := heapFan*i + 1
		if child >= len(t.queue) {
			break
		}
		for other := child + 1; other < min(heapFan*i+1+heapFan, len(t.queue)); other++ {
			if t.queue[other].isBefore(t.queue[child]) {
				child = other
			}
		}
		if !t.queue[child].isBefore(x) {
			break
		}
		t.queue[i] = t.queue[child]
		t.queueIndex[t.queue[i].Cell] = int32(i + 1)
		i = child
	}
	t.queue[i], t.queueIndex[x.Cell] = x, int32(i+1)
}
