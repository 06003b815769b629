package sidecar

import (
	"container/heap"
	"time"
)

// clock gives the time in seconds of Unix time, read once and then counted by the monotonic clock: a step of
// the machine's clock moves nothing. Danger: on a clock that began at 0, whatever started before this program
// would have a start of 0 or less, which the decisions read as long ago, and a cold server as warm.
type clock struct {
	start time.Time
	base  float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.base + time.Since(c.start).Seconds() }

// time returns the point of time that at stands for.
func (c clock) time(at float64) time.Time {
	return c.start.Add(time.Duration((at - c.base) * float64(time.Second)))
}

// timer is a call that is due at a time.
type timer struct {
	at    float64
	call  func()
	index int // in the heap; -1: fired or stopped
}

// timers holds what is due on the event loop, and one runtime timer for the first of it.
type timers struct {
	heap  timerHeap
	clock clock
	armed float64 // when the runtime timer fires; 0: it is not armed
	alarm *time.Timer
	ring  func() // called off the loop when the alarm fires
}

// at arranges a call.
func (t *timers) at(at float64, call func()) *timer {
	n := &timer{at: at, call: call}
	heap.Push(&t.heap, n)
	t.arm()
	return n
}

// stop takes back a call; a nil timer is none.
func (t *timers) stop(n *timer) {
	if n != nil && n.index >= 0 {
		heap.Remove(&t.heap, n.index)
	}
}

// due returns the next call whose time has come, nil if there is none.
func (t *timers) due(now float64) *timer {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil
	}
	return heap.Pop(&t.heap).(*timer)
}

// arm sets the alarm to the first call.
func (t *timers) arm() {
	if len(t.heap) == 0 || t.ring == nil || t.armed > 0 && t.armed <= t.heap[0].at {
		return
	}
	t.armed = t.heap[0].at
	wait := max(time.Until(t.clock.time(t.armed)), 0)
	if t.alarm == nil {
		t.alarm = time.AfterFunc(wait, t.ring)
		return
	}
	t.alarm.Reset(wait)
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
	n.index = -1
	return n
}
