package quota

import "math"

const (
	// poolPart of a window's quota is what a pool holds. Danger: all that lies in buckets and pools can be taken at once,
	// beyond what a window brings; and a pool that holds less than some requests has nothing to lend.
	poolPart  = 1.0 / 8
	leastPool = 2.0
	// grainPart of a window is how long a group must have taken nothing before its overflow counts as a stream. Until then
	// it is deposited when somebody looks.
	grainPart = 1.0 / 16
	// epochPart of a window is how long a group counts as wanting after it has asked.
	epochPart = 1.0 / 8
	// aheadS is the least time until an account is looked at again.
	aheadS = 1e-3
	// mostFired accounts are looked at for one request. Danger: after a long silence all groups are due at once, and the
	// loop would stand still for them; late, a deposit is made as a lump.
	mostFired = 32
)

// cell is the account of a group in one book. Danger: with 100,000 groups a decision costs what it reads from memory; what
// a group without children needs for it comes first.
// Amounts are in the limit's unit, rates in units a second.
//
// Of a group with children the account is a pool: Level = Equity + the children's balances - Balance, always.
type cell struct {
	Level   float64 // below 0: what has been charged beyond it
	Depth   float64
	Rate    float64 // what comes in: of a pool, its own and that of all children that overflow
	Last    float64 // until when all this is settled
	Balance float64 // deposited with the parent less drawn there; below 0 it is a debt
	Quiet   float64 // when it was last drawn on
	CapRate float64 // +Inf: none
	Idle    bool    // the account is full, and Rate goes to the parent

	Reserve     float64 // that only requests with a right to the floor may touch
	Own         float64 // what comes in by the tree; of a pool, what no child has
	Since       float64 // the parent's Offered until which the overflow is settled
	SinceRecent float64 // and its Recent
	Tally       Tally

	Equity  float64 // of a pool: what is nobody's deposit
	Offered float64 // of a pool: seconds for which what came in found room, here or above
	Recent  float64 // the same, less what has faded since
	Drawn   float64 // drawn on the parent for each unit of weight, within bounds of the parent's Turn

	Epoch             int64   // of a pool: that Wanting is of
	Wanting, Wanted   float64 // of a pool: the weights of the children that ask in this epoch, and in the one before
	Claiming, Claimed float64 // of these, whose balance was above 0
	Turn              float64 // of a pool: what has come in for each unit of weight
	Asked             int64   // the epoch in which it last asked its parent

	Boost     float64 // by how much a part of a fleet's quota is stretched
	Demand    float64 // asked for in this epoch
	DemandIn  int64   // the epoch
	DemandAvg float64 // a second

	CapLevel, CapLast float64

	Spare [1]float64 // to whole lines of a processor's cache
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

// book is the accounts of one limit.
type book struct {
	limit  Limit
	tree   *Tree
	cells  []cell
	queue  []dueCell
	place  []int32 // of each cell in the queue, from 1; 0: it is not in it
	lost   float64 // what found no room
	epochS float64
	grainS float64
	repay  float64
	fadeS  float64
}

func newBook(t *Tree, i int, s *Settings, now float64) *book {
	l := t.Limits[i]
	b := &book{limit: l, tree: t, cells: make([]cell, len(t.nodes)), epochS: epochPart * l.WindowSeconds, grainS: grainPart * l.WindowSeconds,
		repay: s.RepayFraction, fadeS: s.FadeSeconds, queue: make([]dueCell, 0, len(t.nodes)), place: make([]int32, len(t.nodes))}
	part := 1 / float64(max(s.Replicas, 1))
	least := 0.0
	if l.Measure == Requests {
		least = 1 // a quota below one request a window still comes to one in time
	}
	for n := range b.cells {
		g, c := &t.nodes[n], &b.cells[n]
		c.Last, c.CapLast, c.Quiet, c.Epoch, c.Asked, c.DemandIn = now, now, math.Inf(-1), -1, -1, -1
		c.Own = g.rest[i] / l.WindowSeconds * part
		if g.inner {
			// Each account below holds less than what comes to it in the time for which it may be left alone.
			c.Depth = max(g.quota[i]*part*poolPart, leastPool*least)
		} else {
			c.Level = g.quota[i] * part
			c.Depth = max(c.Level, least)
		}
		// Danger: a floor that leaves less than a request would keep all other requests out for good.
		c.Reserve = min(c.Depth*g.floor, max(c.Depth-least, 0))
		if c.CapRate = g.cap[i] * part / l.WindowSeconds; c.CapRate < math.Inf(1) {
			c.CapLevel = max(c.CapRate*l.WindowSeconds, least)
		}
	}
	b.arrange(now)
	return b
}

// arrange has every account that is full flow over, and looks after the others. It is for accounts that are settled and
// that nothing flows between yet.
func (b *book) arrange(now float64) {
	b.queue = b.queue[:0]
	clear(b.place)
	for n := range b.cells {
		b.cells[n].Rate = b.cells[n].Own * (1 + b.cells[n].Boost)
	}
	for n := len(b.cells) - 1; n >= 0; n-- { // children before their parents
		c := &b.cells[n]
		c.Idle = c.Rate > 0 && c.Level >= c.Depth && now >= c.Quiet+b.grainS
		if c.Idle && n > 0 {
			p := &b.cells[b.tree.links[n].parent]
			p.Rate += c.Rate
			c.Since, c.SinceRecent = p.Offered, p.Recent
		}
	}
	for n := range b.cells {
		b.schedule(int32(n), now)
	}
}

// settle brings an account up to a time. Its ancestors are settled.
func (b *book) settle(n int32, now float64) {
	c := &b.cells[n]
	dt := now - c.Last
	if dt <= 0 {
		return
	}
	c.Last = now
	parent := b.tree.links[n].parent
	if parent < 0 {
		b.settleRoot(c, dt)
		return
	}
	p, inner := &b.cells[parent], b.tree.links[n].inner
	kept := exp(-dt / b.fadeS)
	b.fade(c, p, c.Balance*(1-kept), inner)
	if c.Idle {
		took, recent := p.Offered-c.Since, p.Recent-c.SinceRecent*kept
		c.Since, c.SinceRecent = p.Offered, p.Recent
		if inner {
			c.Offered += took
			c.Recent = c.Recent*kept + recent
			c.Equity += c.Own * took
		}
		b.credit(c, c.Rate*took)
		// Danger: a claim that only begins to fade when somebody looks outlives the debt that it is of.
		b.fade(c, p, min(c.Rate*(took-recent), max(c.Balance, 0)), inner)
		return
	}
	if inner {
		c.Recent *= kept
	}
	in := c.Rate * dt
	if in <= 0 {
		return
	}
	if !inner && c.Balance >= 0 && c.Level+in <= c.Depth {
		c.Level += in
		return
	}
	paid := 0.0
	if c.Balance < 0 {
		paid = b.deposit(parent, min(in*b.repay, -c.Balance), true)
		b.credit(c, paid)
	}
	c.fill(in - paid)
	lost := 0.0
	if over := c.Level - c.Depth; over > 0 {
		c.Level = c.Depth
		took := b.deposit(parent, over, false)
		b.credit(c, took)
		lost = over - took
	}
	if inner {
		c.offer(dt * (1 - lost/in))
	}
}

// offer notes for how long what came into a pool has found room.
func (c *cell) offer(s float64) {
	c.Offered += s
	c.Recent += s
	c.Equity += c.Own * s
}

func (b *book) settleRoot(c *cell, dt float64) {
	c.Recent *= exp(-dt / b.fadeS)
	in := c.Rate * dt
	if in <= 0 {
		return
	}
	lost := max(0, c.Level+in-c.Depth)
	c.fill(in - lost)
	b.lost += lost
	c.offer(dt * (1 - lost/in))
}

// exp is math.Exp; of a number that is hardly below 0 it takes less time.
func exp(x float64) float64 {
	if x > -1e-3 {
		return 1 + x*(1+x*(0.5+x*(1.0/6+x/24)))
	}
	return math.Exp(x)
}

// fill puts an amount into an account; of a pool, those who want of it each have their part.
func (c *cell) fill(amount float64) {
	if c.Level += amount; c.Wanted > 0 {
		c.Turn += amount / c.Wanted
	}
}

// credit notes that a parent holds more of a group.
func (b *book) credit(c *cell, amount float64) {
	back := min(amount, max(-c.Balance, 0))
	c.Tally.Repaid += back
	c.Tally.Lent += amount - back
	c.Balance += amount
}

// fade takes a part off a balance: what was lent long ago is neither owed nor claimed any more.
func (b *book) fade(c, p *cell, gone float64, pool bool) {
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
func (b *book) deposit(n int32, amount float64, repays bool) (took float64) {
	c, parent := &b.cells[n], b.tree.links[n].parent
	if repays && c.Balance < 0 && parent >= 0 {
		took = b.deposit(parent, min(amount, -c.Balance), true)
		b.credit(c, took)
		amount -= took
	}
	in := min(amount, max(c.Depth-c.Level, 0))
	c.fill(in)
	if took, amount = took+in, amount-in; amount <= 0 {
		return took
	}
	if parent < 0 {
		b.lost += amount
		return took
	}
	up := b.deposit(parent, amount, false)
	b.credit(c, up)
	return took + up
}

// flow has another rate come to an account, which is settled like its ancestors.
func (b *book) flow(n int32, rate, now float64) {
	c := &b.cells[n]
	rate = max(rate, 0)
	change := rate - c.Rate
	c.Rate = rate
	if !c.Idle {
		b.schedule(n, now)
	} else if parent := b.tree.links[n].parent; parent >= 0 {
		b.flow(parent, b.cells[parent].Rate+change, now)
	}
}

// touch notes that an account is drawn on: it does not overflow any more.
func (b *book) touch(n int32, now float64) {
	c := &b.cells[n]
	c.Quiet = now
	if c.Idle {
		c.Idle = false
		if parent := b.tree.links[n].parent; parent >= 0 {
			b.flow(parent, b.cells[parent].Rate-c.Rate, now)
		}
	}
	if b.place[n] == 0 {
		b.schedule(n, now)
	}
}

// fire looks at the accounts that are due, at no more than so many.
func (b *book) fire(now float64, most int, stretch float64) {
	for ; most > 0 && len(b.queue) > 0 && b.queue[0].Due <= now; most-- {
		n := b.queue[0].Cell
		b.drop(n)
		b.settleChain(n, now)
		c := &b.cells[n]
		if c.Level < c.Depth || now < c.Quiet+b.grainS {
			b.schedule(n, now)
			continue
		}
		if stretch > 0 {
			b.calm(n)
		}
		c.Idle = true
		if parent := b.tree.links[n].parent; parent >= 0 {
			p := &b.cells[parent]
			c.Since, c.SinceRecent = p.Offered, p.Recent
			b.flow(parent, p.Rate+c.Rate, now)
		}
	}
}

// settleChain settles an account and all above it.
func (b *book) settleChain(n int32, now float64) {
	if parent := b.tree.links[n].parent; parent >= 0 {
		b.settleChain(parent, now)
	}
	b.settle(n, now)
}

// settleAll settles all accounts.
func (b *book) settleAll(now float64) {
	for n := range b.cells { // parents before their children
		b.settle(int32(n), now)
	}
}

// schedule has an account looked at when it will be full. Danger: one that is looked at too late only deposits late, one
// that is never looked at lends nothing.
func (b *book) schedule(n int32, now float64) {
	c := &b.cells[n]
	if c.Idle || c.Rate <= 0 {
		return
	}
	due := max(now+(c.Depth-c.Level)/c.Rate, c.Quiet+b.grainS, now+aheadS)
	if at := b.place[n]; at == 0 {
		b.queue = append(b.queue, dueCell{due, n})
		b.up(len(b.queue) - 1)
	} else if due < b.queue[at-1].Due {
		b.queue[at-1].Due = due
		b.up(int(at) - 1)
	}
}

// drop takes an account out of the queue.
func (b *book) drop(n int32) {
	i, last := int(b.place[n])-1, len(b.queue)-1
	moved := b.queue[last]
	b.queue, b.place[n] = b.queue[:last], 0
	if i < last {
		b.queue[i] = moved
		b.down(i)
		b.up(int(b.place[moved.Cell]) - 1)
	}
}

// fan is how many elements of the queue are below each: as many as lie beside each other in a cache.
const fan = 4

// before orders the queue; at one time the group with the lower number is first, whatever came before.
func (x dueCell) before(y dueCell) bool { return x.Due < y.Due || x.Due == y.Due && x.Cell < y.Cell }

// up moves an element towards the front, to where it belongs.
func (b *book) up(i int) {
	x := b.queue[i]
	for ; i > 0 && x.before(b.queue[(i-1)/fan]); i = (i - 1) / fan {
		b.queue[i] = b.queue[(i-1)/fan]
		b.place[b.queue[i].Cell] = int32(i + 1)
	}
	b.queue[i], b.place[x.Cell] = x, int32(i+1)
}

// down moves an element towards the back.
func (b *book) down(i int) {
	x := b.queue[i]
	for {
		child := fan*i + 1
		if child >= len(b.queue) {
			break
		}
		for other := child + 1; other < min(fan*i+1+fan, len(b.queue)); other++ {
			if b.queue[other].before(b.queue[child]) {
				child = other
			}
		}
		if !b.queue[child].before(x) {
			break
		}
		b.queue[i] = b.queue[child]
		b.place[b.queue[i].Cell] = int32(i + 1)
		i = child
	}
	b.queue[i], b.place[x.Cell] = x, int32(i+1)
}
