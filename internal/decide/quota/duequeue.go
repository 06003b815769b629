package quota

// dueCell is an entry of the queue of accounts, a heap ordered by the time at which an account is due to overflow. Its field names
// are part of the stored form. Danger: 100,000 accounts do not fit into a processor's cache, so the heap contains the times that
// it compares.
type dueCell struct {
	Due  float64
	Cell int32
}

// heapFan is the number of children of each entry of the heap: as many as fit into a cache line.
const heapFan = 4

// isBefore orders the queue. Entries due at the same time are ordered by group, so that the order doesn't depend on history.
func (x dueCell) isBefore(y dueCell) bool { return x.Due < y.Due || x.Due == y.Due && x.Cell < y.Cell }

// schedule queues an account for the time at which it will be full. Danger: an account that is processed late deposits late, and one
// that is never processed lends nothing.
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

// dequeue removes an account from the queue.
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

// siftUp moves an entry towards the front.
func (t *accountTable) siftUp(i int) {
	x := t.queue[i]
	for ; i > 0 && x.isBefore(t.queue[(i-1)/heapFan]); i = (i - 1) / heapFan {
		t.queue[i] = t.queue[(i-1)/heapFan]
		t.queueIndex[t.queue[i].Cell] = int32(i + 1)
	}
	t.queue[i], t.queueIndex[x.Cell] = x, int32(i+1)
}

// siftDown moves an entry towards the back.
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

// processDue processes up to limit accounts that are due: full ones begin to overflow, the others are scheduled again.
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
