package sidecar

import "container/heap"

// timer is a call that is due at a time.
type timer struct {
	at    float64
	call  func()
	index int // in the heap; -1: fired or stopped
}

// timers holds what is due on the event loop, and sets the loop's one alarm for the first of it.
type timers struct {
	heap  timerHeap
	armed float64          // when the alarm goes off; 0: it is not set
	alarm func(at float64) // sets it
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

// due tells whether the time of any call has come.
func (t *timers) due(now float64) bool { return len(t.heap) > 0 && t.heap[0].at <= now }

// pop takes out the call whose time comes first.
func (t *timers) pop() *timer { return heap.Pop(&t.heap).(*timer) }

// arm sets the alarm to the first call.
func (t *timers) arm() {
	if len(t.heap) == 0 || t.alarm == nil || t.armed > 0 && t.armed <= t.heap[0].at {
		return
	}
	t.armed = t.heap[0].at
	t.alarm(t.armed)
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
