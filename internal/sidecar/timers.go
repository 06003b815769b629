package sidecar

import (
	"container/heap"
	"math/bits"
)

// timerTarget is what a timer calls once its time has come.
type timerTarget interface{ expire() }

// timerFunc is a function as a timer's target.
type timerFunc func()

func (f timerFunc) expire() { f() }

// timer is a call that is due at a time. Its zero value is not set.
type timer struct {
	at            float64
	who           timerTarget
	where         place
	index         int    // in a heap, or the wheel's slot
	before, after *timer // in the slot
}

// place is where a timer waits.
type place uint8

const (
	nowhere place = iota // fired or stopped
	near
	inWheel
	far
)

const (
	// slotS is the length of a slot of the wheel, and slots how many there are: two and four seconds, in which most
	// timers are stopped again.
	slotS = 1.0 / 256
	slots = 1024
)

// timers holds what is due on the event loop, and sets the loop's one alarm for the first of it. Danger: each request
// sets two timers and stops them long before they are due; in one heap each of these costs by how many there are. So what
// is not due soon waits in a wheel, where setting and stopping cost the same however many there are; what is due in the
// present slot is in a heap, in order; and what is beyond the wheel in another.
type timers struct {
	near, far timerHeap
	wheel     [slots]*timer
	some      [slots / 64]uint64 // which slots hold any
	tick      int64              // the slot up to which all is near
	n         int
	armed     float64          // when the alarm goes off, never later than the first call; 0: it is not set
	alarm     func(at float64) // sets it
}

// at arranges a call of a function.
func (t *timers) at(at float64, call func()) *timer {
	n := &timer{}
	t.set(n, at, timerFunc(call))
	return n
}

// set arranges a call by a timer that is not set.
func (t *timers) set(n *timer, at float64, who timerTarget) {
	n.at, n.who = at, who
	t.put(n)
	t.n++
	if t.alarm != nil && (t.armed == 0 || at < t.armed) {
		t.armed = at
		t.alarm(at)
	}
}

// put has a timer wait where it belongs.
func (t *timers) put(n *timer) {
	switch tick := int64(n.at / slotS); {
	case tick <= t.tick:
		n.where = near
		heap.Push(&t.near, n)
	case tick < t.tick+slots:
		n.where, n.index = inWheel, int(tick%slots)
		if n.after = t.wheel[n.index]; n.after != nil {
			n.after.before = n
		}
		t.wheel[n.index] = n
		t.some[n.index/64] |= 1 << (n.index % 64)
	default:
		n.where = far
		heap.Push(&t.far, n)
	}
}

// stop takes back a call; a nil timer is none.
func (t *timers) stop(n *timer) {
	if n == nil || n.where == nowhere {
		return
	}
	switch t.n--; n.where {
	case near:
		heap.Remove(&t.near, n.index)
	case far:
		heap.Remove(&t.far, n.index)
	case inWheel:
		if n.after != nil {
			n.after.before = n.before
		}
		if n.before != nil {
			n.before.after = n.after
		} else if t.wheel[n.index] = n.after; n.after == nil {
			t.some[n.index/64] &^= 1 << (n.index % 64)
		}
		n.before, n.after = nil, nil
	}
	n.where, n.who = nowhere, nil
}

// due tells whether the time of any call has come.
func (t *timers) due(now float64) bool {
	if t.armed > now || t.n == 0 {
		return false
	}
	t.advance(int64(now / slotS))
	return len(t.near) > 0 && t.near[0].at <= now
}

// pop takes out the call whose time comes first; due has told that there is one.
func (t *timers) pop() *timer {
	n := heap.Pop(&t.near).(*timer)
	n.where = nowhere
	t.n--
	return n
}

// advance brings near what is due up to a slot.
func (t *timers) advance(tick int64) {
	for t.tick < tick {
		free := t.empty(int((t.tick + 1) % slots))
		next := t.tick + 1 + int64(free)
		if free == slots || next > tick {
			t.tick = tick
			break
		}
		t.tick = next
		i := int(t.tick % slots)
		for n := t.wheel[i]; n != nil; {
			after := n.after
			n.where, n.before, n.after = near, nil, nil
			heap.Push(&t.near, n)
			n = after
		}
		t.wheel[i] = nil
		t.some[i/64] &^= 1 << (i % 64)
	}
	for len(t.far) > 0 && int64(t.far[0].at/slotS) < t.tick+slots {
		t.put(heap.Pop(&t.far).(*timer))
	}
}

// empty returns how many slots from one on hold nothing, at most all.
func (t *timers) empty(from int) (n int) {
	for n < slots {
		i := (from + n) % slots
		if word := t.some[i/64] >> (i % 64); word != 0 {
			return n + bits.TrailingZeros64(word)
		}
		n += 64 - i%64
	}
	return slots
}

// arm sets the alarm to the first call, once it has gone off.
func (t *timers) arm() {
	if t.armed != 0 || t.n == 0 || t.alarm == nil {
		return
	}
	t.armed = t.first()
	t.alarm(t.armed)
}

// first returns the time of the first call.
func (t *timers) first() (at float64) {
	switch i := t.empty(int((t.tick + 1) % slots)); {
	case len(t.near) > 0:
		return t.near[0].at
	case i < slots:
		n := t.wheel[(int(t.tick%slots)+1+i)%slots]
		for at = n.at; n != nil; n = n.after {
			at = min(at, n.at)
		}
		if len(t.far) > 0 { // one that came near the wheel since it last turned
			at = min(at, t.far[0].at)
		}
		return at
	}
	return t.far[0].at
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	n := x.(*timer)
	n.index = len(*h)
	*h = append(*h, n)
}
func (h *timerHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
