package sidecar

import (
	"container/heap"
	"math/bits"
)

// timerTarget is called when its timer fires.
type timerTarget interface{ expire() }

// timerFunc is a function as a timerTarget.
type timerFunc func()

func (f timerFunc) expire() { f() }

// timer is a call that is due at a certain time. The zero value is a timer that is not set.
type timer struct {
	dueAt          float64
	target         timerTarget
	location       timerLocation
	index          int    // in its heap, or of its slot in the wheel
	previous, next *timer // neighbors in the wheel's slot
}

// timerLocation is the data structure that holds a timer.
type timerLocation uint8

const (
	unset timerLocation = iota // fired, stopped or never set
	inNearHeap
	inWheel
	inFarHeap
)

const (
	// slotSeconds is the duration of a slot of the wheel, about 4 ms, and slotCount the number of slots. The wheel spans 4 s, and most
	// timers are stopped within that time.
	slotSeconds = 1.0 / 256
	slotCount   = 1024
)

// timers holds the timers of the event loop, and sets the loop's single alarm for the earliest. Each request sets two timers and stops them
// long before they are due; in a heap each of these operations would take time logarithmic in the number of timers. So timers are kept in a
// timing wheel, where setting and stopping take constant time. Timers up to the current slot are in a heap, ordered by time, and those
// beyond the wheel in another.
type timers struct {
	near, far   timerHeap
	wheel       [slotCount]*timer
	occupied    [slotCount / 64]uint64 // bitmap of the slots that hold timers
	currentSlot int64                  // all timers up to this slot are in near
	count       int
	alarmAt     float64          // time of the alarm, never later than the earliest timer; 0 if it is not set
	setAlarm    func(at float64) // sets the alarm of the event loop; nil before Start
}

// schedule sets a timer that calls a function at the given time, and returns it.
func (t *timers) schedule(at float64, call func()) *timer {
	n := &timer{}
	t.start(n, at, timerFunc(call))
	return n
}

// start sets a timer, which must not be set already.
func (t *timers) start(n *timer, at float64, target timerTarget) {
	n.dueAt, n.target = at, target
	t.insert(n)
	t.count++
	if t.setAlarm != nil && (t.alarmAt == 0 || at < t.alarmAt) {
		t.alarmAt = at
		t.setAlarm(at)
	}
}

// insert adds a timer to the wheel or to one of the heaps, depending on its time.
func (t *timers) insert(n *timer) {
	switch slot := int64(n.dueAt / slotSeconds); {
	case slot <= t.currentSlot:
		n.location = inNearHeap
		heap.Push(&t.near, n)
	case slot < t.currentSlot+slotCount:
		n.location, n.index = inWheel, int(slot%slotCount)
		if n.next = t.wheel[n.index]; n.next != nil {
			n.next.previous = n
		}
		t.wheel[n.index] = n
		t.occupied[n.index/64] |= 1 << (n.index % 64)
	default:
		n.location = inFarHeap
		heap.Push(&t.far, n)
	}
}

// stop cancels a timer. It does nothing if the timer is nil or not set.
func (t *timers) stop(n *timer) {
	if n == nil || n.location == unset {
		return
	}
	switch t.count--; n.location {
	case inNearHeap:
		heap.Remove(&t.near, n.index)
	case inFarHeap:
		heap.Remove(&t.far, n.index)
	case inWheel:
		if n.next != nil {
			n.next.previous = n.previous
		}
		if n.previous != nil {
			n.previous.next = n.next
		} else if t.wheel[n.index] = n.next; n.next == nil {
			t.occupied[n.index/64] &^= 1 << (n.index % 64)
		}
		n.previous, n.next = nil, nil
	}
	n.location, n.target = unset, nil
}

// isDue reports whether any timer is due.
func (t *timers) isDue(now float64) bool {
	if t.alarmAt > now || t.count == 0 {
		return false
	}
	t.advance(int64(now / slotSeconds))
	return len(t.near) > 0 && t.near[0].dueAt <= now
}

// pop removes the earliest timer and returns it. It may be called only after isDue has returned true.
func (t *timers) pop() *timer {
	n := heap.Pop(&t.near).(*timer)
	n.location = unset
	t.count--
	return n
}

// advance moves the wheel's timers up to the given slot to the near heap, and far timers that the wheel now covers into the wheel.
func (t *timers) advance(slot int64) {
	for t.currentSlot < slot {
		emptyCount := t.emptySlots(int((t.currentSlot + 1) % slotCount))
		next := t.currentSlot + 1 + int64(emptyCount)
		if emptyCount == slotCount || next > slot {
			t.currentSlot = slot
			break
		}
		t.currentSlot = next
		i := int(t.currentSlot % slotCount)
		for n := t.wheel[i]; n != nil; {
			after := n.next
			n.location, n.previous, n.next = inNearHeap, nil, nil
			heap.Push(&t.near, n)
			n = after
		}
		t.wheel[i] = nil
		t.occupied[i/64] &^= 1 << (i % 64)
	}
	for len(t.far) > 0 && int64(t.far[0].dueAt/slotSeconds) < t.currentSlot+slotCount {
		t.insert(heap.Pop(&t.far).(*timer))
	}
}

// emptySlots returns the number of consecutive empty slots starting at the given one, at most slotCount.
func (t *timers) emptySlots(from int) (n int) {
	for n < slotCount {
		i := (from + n) % slotCount
		if word := t.occupied[i/64] >> (i % 64); word != 0 {
			return n + bits.TrailingZeros64(word)
		}
		n += 64 - i%64
	}
	return slotCount
}

// arm sets the alarm for the earliest timer again after the alarm has fired.
func (t *timers) arm() {
	if t.alarmAt != 0 || t.count == 0 || t.setAlarm == nil {
		return
	}
	t.alarmAt = t.earliest()
	t.setAlarm(t.alarmAt)
}

// earliest returns the time of the earliest timer.
func (t *timers) earliest() (at float64) {
	switch i := t.emptySlots(int((t.currentSlot + 1) % slotCount)); {
	case len(t.near) > 0:
		return t.near[0].dueAt
	case i < slotCount:
		n := t.wheel[(int(t.currentSlot%slotCount)+1+i)%slotCount]
		for at = n.dueAt; n != nil; n = n.next {
			at = min(at, n.dueAt)
		}
		if len(t.far) > 0 { // it may have come within the wheel's span since the last advance
			at = min(at, t.far[0].dueAt)
		}
		return at
	}
	return t.far[0].dueAt
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
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
