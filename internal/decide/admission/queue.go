package admission

import (
	"cmp"
	"slices"
)

// maxWaitFraction is the fraction of its latency target that a request may wait in the queue; the rest is left for its backend.
const maxWaitFraction = 0.5

// QueuedRequest is a request that has been received but not yet passed to package policy.
type QueuedRequest[T any] struct {
	Request   T
	Class     int     // index of the class
	ArrivedAt float64 // when its last byte was received
}

// Class configures a class of requests.
type Class struct {
	PriorityWeight       float64
	LatencyTargetSeconds float64
}

// Queue holds the requests that arrive faster than the event loop handles them. They are ordered by the weight of their class,
// and within a class by arrival. A request that has waited for more than maxWaitFraction of its target is shed. In a lasting
// overload these are the requests with the lowest weight, since they wait longest.
//
// Without the queue, a sidecar that lacks CPU time would pass all requests to package policy at once. Hundreds would be in flight
// before the first answer is read, and policy would consider the backends full and refuse requests that idle backends could
// serve.
type Queue[T any] struct {
	order          []int     // classes by weight, the highest first
	maxWaitSeconds []float64 // by class
	fifos          []fifo[T] // by class
	length         int
}

// NewQueue returns an empty queue for requests of the given classes.
func NewQueue[T any](classes []Class) *Queue[T] {
	q := &Queue[T]{fifos: make([]fifo[T], len(classes))}
	for i, c := range classes {
		q.order = append(q.order, i)
		q.maxWaitSeconds = append(q.maxWaitSeconds, maxWaitFraction*c.LatencyTargetSeconds)
	}
	slices.SortStableFunc(q.order, func(x, y int) int {
		return cmp.Compare(classes[y].PriorityWeight, classes[x].PriorityWeight)
	})
	return q
}

// Len returns how many requests are queued.
func (q *Queue[T]) Len() int { return q.length }

// Enqueue adds a request. Requests of a class must be added in order of arrival, at least roughly.
func (q *Queue[T]) Enqueue(r QueuedRequest[T]) {
	q.fifos[r.Class].push(r)
	q.length++
}

// Dequeue removes and returns the next request. If shed is true, it has waited too long and is to be rejected at once. ok is
// false if the queue is empty.
func (q *Queue[T]) Dequeue(now float64) (r QueuedRequest[T], shed, ok bool) {
	if q.length == 0 {
		return r, false, false
	}
	q.length--
	// Requests to be shed go first: nothing is gained by delaying their answer.
	for i := len(q.order) - 1; i >= 0; i-- {
		class := q.order[i]
		if f := &q.fifos[class]; f.len() > 0 && now-f.first().ArrivedAt > q.maxWaitSeconds[class] {
			return f.pop(), true, true
		}
	}
	for _, class := range q.order {
		if f := &q.fifos[class]; f.len() > 0 {
			return f.pop(), false, true
		}
	}
	panic("admission: queue length is wrong")
}

// fifo is a first-in-first-out queue in a slice that is compacted in place.
type fifo[T any] struct {
	items []QueuedRequest[T]
	head  int // index of the first item
}

func (f *fifo[T]) len() int                 { return len(f.items) - f.head }
func (f *fifo[T]) first() *QueuedRequest[T] { return &f.items[f.head] }

func (f *fifo[T]) push(r QueuedRequest[T]) {
	if f.head > 0 && len(f.items) == cap(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
	f.items = append(f.items, r)
}

func (f *fifo[T]) pop() QueuedRequest[T] {
	r := f.items[f.head]
	f.items[f.head] = QueuedRequest[T]{}
	f.head++
	if f.head == len(f.items) {
		f.items = f.items[:0]
		f.head = 0
	}
	return r
}
