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

func newAccountTable(t *Tree, i int, s *Settings, now float64) *accountTable {
	l := t.Limits[i]
	b := &accountTable{limit: l, tree: t, accounts: make([]account, len(t.nodes)), epochSeconds: epochFraction * l.WindowSeconds, quietSeconds: quietFraction * l.WindowSeconds,
		repayFraction: s.RepayFraction, fadeSeconds: s.FadeSeconds, queue: make([]dueCell, 0, len(t.nodes)), queueIndex: make([]int32, len(t.nodes))}
	part := 1 / float64(max(s.Replicas, 1))
	least := 0.0
	if l.Measure == Requests {
		least = 1 // a quota below one request a window still comes to one in time
	}
	for n := range b.accounts {
		g, c := &t.nodes[n], &b.accounts[n]
		c.SettledAt, c.CapSettledAt, c.LastDrawnAt, c.Epoch, c.AskedEpoch, c.DemandWindow = now, now, math.Inf(-1), -1, -1, -1
		c.OwnInflow = g.unassigned[i] / l.WindowSeconds * part
		if g.inner {
			// Each account below holds less than what comes to it in the time for which it may be left alone.
			c.Capacity = max(g.quota[i]*part*poolFraction, minPoolRequests*least)
		} else {
			c.Level = g.quota[i] * part
			c.Capacity = max(c.Level, least)
		}
		// Danger: a floor that leaves less than a request would keep all other requests out for good.
		c.Reserve = min(c.Capacity*g.floor, max(c.Capacity-least, 0))
		if c.CapRate = g.cap[i] * part / l.WindowSeconds; c.CapRate < math.Inf(1) {
			c.CapLevel = max(c.CapRate*l.WindowSeconds, least)
		}
	}
	b.resetFlows(now)
	return b
}

// resetFlows has every account that is full flow over, and looks after the others. It is for accounts that are settled and
// that nothing flows between yet.
func (b *accountTable) resetFlows(now float64) {
	b.queue = b.queue[:0]
	clear(b.queueIndex)
	for n := range b.accounts {
		b.accounts[n].Inflow = b.accounts[n].OwnInflow * (1 + b.accounts[n].Stretch)
	}
	for n := len(b.accounts) - 1; n >= 0; n-- { // children before their parents
		c := &b.accounts[n]
		c.IsOverflowing = c.Inflow > 0 && c.Level >= c.Capacity && now >= c.LastDrawnAt+b.quietSeconds
		if c.IsOverflowing && n > 0 {
			p := &b.accounts[b.tree.links[n].parent]
			p.Inflow += c.Inflow
			c.OfferedSeen, c.RecentSeen = p.Offered, p.Recent
		}
	}
	for n := range b.accounts {
		b.schedule(int32(n), now)
	}
}

// settle brings an account up to a time. Its ancestors are settled.
func (b *accountTable) settle(n int32, now float64) {
	c := &b.accounts[n]
	dt := now - c.SettledAt
	if dt <= 0 {
		return
	}
	c.SettledAt = now
	parent := b.tree.links[n].parent
	if parent < 0 {
		b.settleRoot(c, dt)
		return
	}
	p, inner := &b.accounts[parent], b.tree.links[n].inner
	kept := fastExp(-dt / b.fadeSeconds)
	b.fadeBalance(c, p, c.Balance*(1-kept), inner)
	if c.IsOverflowing {
		took, recent := p.Offered-c.OfferedSeen, p.Recent-c.RecentSeen*kept
		c.OfferedSeen, c.RecentSeen = p.Offered, p.Recent
		if inner {
			c.Offered += took
			c.Recent = c.Recent*kept + recent
			c.Equity += c.OwnInflow * took
		}
		b.recordDeposit(c, c.Inflow*took)
		// Danger: a claim that only begins to fade when somebody looks outlives the debt that it is of.
		b.fadeBalance(c, p, min(c.Inflow*(took-recent), max(c.Balance, 0)), inner)
		return
	}
	if inner {
		c.Recent *= kept
	}
	in := c.Inflow * dt
	if in <= 0 {
		return
	}
	if !inner && c.Balance >= 0 && c.Level+in <= c.Capacity {
		c.Level += in
		return
	}
	paid := 0.0
	if c.Balance < 0 {
		paid = b.deposit(parent, min(in*b.repayFraction, -c.Balance), true)
		b.recordDeposit(c, paid)
	}
	c.addInflow(in - paid)
	lost := 0.0
	if over := c.Level - c.Capacity; over > 0 {
		c.Level = c.Capacity
		took := b.deposit(parent, over, false)
		b.recordDeposit(c, took)
		lost = over - took
	}
	if inner {
		c.addOffered(dt * (1 - lost/in))
	}
}

// addOffered notes for how long what came into a pool has found room.
func (c *account) addOffered(s float64) {
	c.Offered += s
	c.Recent += s
	c.Equity += c.OwnInflow * s
}

func (b *accountTable) settleRoot(c *account, dt float64) {
	c.Recent *= fastExp(-dt / b.fadeSeconds)
	in := c.Inflow * dt
	if in <= 0 {
		return
	}
	lost := max(0, c.Level+in-c.Capacity)
	c.addInflow(in - lost)
	b.overflow += lost
	c.addOffered(dt * (1 - lost/in))
}

// fastExp is math.Exp; of a number that is hardly below 0 it takes less time.
func fastExp(x float64) float64 {
	if x > -1e-3 {
		return 1 + x*(1+x*(0.5+x*(1.0/6+x/24)))
	}
	return math.Exp(x)
}

// addInflow puts an amount into an account; of a pool, those who want of it each have their part.
func (c *account) addInflow(amount float64) {
	if c.Level += amount; c.Wanted > 0 {
		c.Turn += amount / c.Wanted
	}
}

// recordDeposit notes that a parent holds more of a group.
func (b *accountTable) recordDeposit(c *account, amount float64) {
	back := min(amount, max(-c.Balance, 0))
	c.Tally.Repaid += back
	c.Tally.Lent += amount - back
	c.Balance += amount
}

// fadeBalance takes a part off a balance: what was lent long ago is neither owed nor claimed any more.
func (b *accountTable) fadeBalance(c, p *account, gone float64, pool bool) {
	if gone == 0 {
		return
	}
	if math.Abs(c.Balance) < 1e-6 {
		gone = c.Balance
	}
	if c.Balance -= gone; gone < 0 {
		c.Tally.Forgiven -= gone
	} else {
		c.Tally.Expired += gone
	}
	if p.Equity += gone; pool {
		c.Equity -= gone
	}
}

// deposit puts an amount into a pool and what does not fit into those above it; it returns how much has found room. A
// repayment goes first to whom the pool's own group owes.
func (b *accountTable) deposit(n int32, amount float64, repays bool) (took float64) {
	c, parent := &b.accounts[n], b.tree.links[n].parent
	if repays && c.Balance < 0 && parent >= 0 {
		took = b.deposit(parent, min(amount, -c.Balance), true)
		b.recordDeposit(c, took)
		amount -= took
	}
	in := min(amount, max(c.Capacity-c.Level, 0))
	c.addInflow(in)
	if took, amount = took+in, amount-in; amount <= 0 {
		return took
	}
	if parent < 0 {
		b.overflow += amount
		return took
	}
	up := b.deposit(parent, amount, false)
	b.recordDeposit(c, up)
	return took + up
}

// setInflow has another rate come to an account, which is settled like its ancestors.
func (b *accountTable) setInflow(n int32, rate, now float64) {
	c := &b.accounts[n]
	rate = max(rate, 0)
	change := rate - c.Inflow
	c.Inflow = rate
	if !c.IsOverflowing {
		b.schedule(n, now)
	} else if parent := b.tree.links[n].parent; parent >= 0 {
		b.setInflow(parent, b.accounts[parent].Inflow+change, now)
	}
}

// markDrawn notes that an account is drawn on: it does not overflow any more.
func (b *accountTable) markDrawn(n int32, now float64) {
	c := &b.accounts[n]
	c.LastDrawnAt = now
	if c.IsOverflowing {
		c.IsOverflowing = false
		if parent := b.tree.links[n].parent; parent >= 0 {
			b.setInflow(parent, b.accounts[parent].Inflow-c.Inflow, now)
		}
	}
	if b.queueIndex[n] == 0 {
		b.schedule(n, now)
	}
}

// processDue looks at the accounts that are due, at no more than so many.
func (b *accountTable) processDue(now float64, most int, stretch float64) {
	for ; most > 0 && len(b.queue) > 0 && b.queue[0].Due <= now; most-- {
		n := b.queue[0].Cell
		b.dequeue(n)
		b.settleChain(n, now)
		c := &b.accounts[n]
		if c.Level < c.Capacity || now < c.LastDrawnAt+b.quietSeconds {
			b.schedule(n, now)
			continue
		}
		if stretch > 0 {
			b.resetStretch(n)
		}
		c.IsOverflowing = true
		if parent := b.tree.links[n].parent; parent >= 0 {
			p := &b.accounts[parent]
			c.OfferedSeen, c.RecentSeen = p.Offered, p.Recent
			b.setInflow(parent, p.Inflow+c.Inflow, now)
		}
	}
}

// settleChain settles an account and all above it.
func (b *accountTable) settleChain(n int32, now float64) {
	if parent := b.tree.links[n].parent; parent >= 0 {
		b.settleChain(parent, now)
	}
	b.settle(n, now)
}

// settleAll settles all accounts.
func (b *accountTable) settleAll(now float64) {
	for n := range b.accounts { // parents before their children
		b.settle(int32(n), now)
	}
}

// schedule has an account looked at when it will be full. Danger: one that is looked at too late only deposits late, one
// that is never looked at lends nothing.
func (b *accountTable) schedule(n int32, now float64) {
	c := &b.accounts[n]
	if c.IsOverflowing || c.Inflow <= 0 {
		return
	}
	due := max(now+(c.Capacity-c.Level)/c.Inflow, c.LastDrawnAt+b.quietSeconds, now+minScheduleSeconds)
	if at := b.queueIndex[n]; at == 0 {
		b.queue = append(b.queue, dueCell{due, n})
		b.siftUp(len(b.queue) - 1)
	} else if due < b.queue[at-1].Due {
		b.queue[at-1].Due = due
		b.siftUp(int(at) - 1)
	}
}

// dequeue takes an account out of the queue.
func (b *accountTable) dequeue(n int32) {
	i, last := int(b.queueIndex[n])-1, len(b.queue)-1
	moved := b.queue[last]
	b.queue, b.queueIndex[n] = b.queue[:last], 0
	if i < last {
		b.queue[i] = moved
		b.siftDown(i)
		b.siftUp(int(b.queueIndex[moved.Cell]) - 1)
	}
}

// heapFan is how many elements of the queue are below each: as many as lie beside each other in a cache.
const heapFan = 4

// isBefore orders the queue; at one time the group with the lower number is first, whatever came before.
func (x dueCell) isBefore(y dueCell) bool { return x.Due < y.Due || x.Due == y.Due && x.Cell < y.Cell }

// siftUp moves an element towards the front, to where it belongs.
func (b *accountTable) siftUp(i int) {
	x := b.queue[i]
	for ; i > 0 && x.isBefore(b.queue[(i-1)/heapFan]); i = (i - 1) / heapFan {
		b.queue[i] = b.queue[(i-1)/heapFan]
		b.queueIndex[b.queue[i].Cell] = int32(i + 1)
	}
	b.queue[i], b.queueIndex[x.Cell] = x, int32(i+1)
}

// siftDown moves an element towards the back.
func (b *accountTable) siftDown(i int) {
	x := b.queue[i]
	for {
		child := heapFan*i + 1
		if child >= len(b.queue) {
			break
		}
		for other := child + 1; other < min(heapFan*i+1+heapFan, len(b.queue)); other++ {
			if b.queue[other].isBefore(b.queue[child]) {
				child = other
			}
		}
		if !b.queue[child].isBefore(x) {
			break
		}
		b.queue[i] = b.queue[child]
		b.queueIndex[b.queue[i].Cell] = int32(i + 1)
		i = child
	}
	b.queue[i], b.queueIndex[x.Cell] = x, int32(i+1)
}
