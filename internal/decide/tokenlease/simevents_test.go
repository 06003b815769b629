package tokenlease_test

import (
	"container/heap"
)

// clock is the monotonic clock of a process.
type clock struct{ offset, rate float64 }

// read returns the time that the clock shows at the true time now.
func (c clock) read(now float64) float64 { return c.offset + c.rate*now }

// trueTime returns the true time at which the clock shows the given time.
func (c clock) trueTime(shown float64) float64 { return (shown - c.offset) / c.rate }

// event is a function to call at a time. order breaks ties.
type event struct {
	at    float64
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// at schedules a call of do at a time.
func (s *simulation) at(time float64, do func()) {
	s.order++
	heap.Push(&s.events, event{time, s.order, do})
}

// after schedules a call of do after some seconds.
func (s *simulation) after(seconds float64, do func()) { s.at(s.now+seconds, do) }

// uniform draws a uniformly distributed number.
func (s *simulation) uniform(from, to float64) float64 { return from + (to-from)*s.rng.Float64() }
