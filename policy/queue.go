package policy

import (
	"cmp"
	"container/heap"
	"slices"
)

// queue holds the requests that wait, by the time at which they are placed. It is structure alone; who waits how long
// is decided in policy.go. Danger: with thousands waiting, a look at each of them for every event would be the work
// of the whole program.
type queue struct {
	heap   queueHeap
	popped []*request // memory for take
}

// put has a request wait until a time, also one that waits already.
func (q *queue) schedule(r *request, until float64) {
	if r.dispatchAt = until; r.queueIndex > 0 {
		heap.Fix(&q.heap, r.queueIndex-1)
		return
	}
	heap.Push(&q.heap, r)
}

// drop takes a request out; one that does not wait is none.
func (q *queue) remove(r *request) {
	if r.queueIndex > 0 {
		heap.Remove(&q.heap, r.queueIndex-1)
	}
}

// take takes out and returns all whose time has come: those within their tenant's share first, and in order of time.
// The result is valid until the next call.
func (q *queue) popDue(now float64) []*request {
	q.popped = q.popped[:0]
	for len(q.heap) > 0 && q.heap[0].dispatchAt <= now {
		q.popped = append(q.popped, heap.Pop(&q.heap).(*request))
	}
	slices.SortStableFunc(q.popped, func(x, y *request) int {
		switch {
		case x.isOverShare == y.isOverShare:
			return 0
		case x.isOverShare:
			return 1
		}
		return -1
	})
	return q.popped
}

// first returns the request whose time comes first, nil if none waits.
func (q *queue) peek() *request {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

func (q *queue) len() int { return len(q.heap) }

// queueHeap orders by time; among equals by id, so that the same events give the same order.
type queueHeap []*request

func (h queueHeap) Len() int { return len(h) }
func (h queueHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].dispatchAt, h[j].dispatchAt), cmp.Compare(h[i].ID, h[j].ID)) < 0
}
func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex, h[j].queueIndex = i+1, j+1
}
func (h *queueHeap) Push(x any) {
	r := x.(*request)
	*h = append(*h, r)
	r.queueIndex = len(*h)
}
func (h *queueHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.queueIndex = 0
	return r
}
