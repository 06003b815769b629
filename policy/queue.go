package policy

import (
	"cmp"
	"container/heap"
	"slices"
)

// queue holds the requests that wait for a host, ordered by the time at which they are dispatched. It is a heap, since visiting
// each of thousands of requests for every event would take all of the CPU time.
type queue struct {
	heap   queueHeap
	popped []*request // result of popDue, reused
}

// schedule queues a request, or moves one that is queued, to be dispatched at a time.
func (q *queue) schedule(r *request, dispatchAt float64) {
	r.dispatchAt = dispatchAt
	if r.queueIndex > 0 {
		heap.Fix(&q.heap, r.queueIndex-1)
		return
	}
	heap.Push(&q.heap, r)
}

// remove removes a request if it is queued.
func (q *queue) remove(r *request) {
	if r.queueIndex > 0 {
		heap.Remove(&q.heap, r.queueIndex-1)
	}
}

// popDue removes and returns the requests that are due: first those within their tenant's share, then the others, each in order
// of time. The result is valid until the next call.
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

// peek returns the request that is dispatched next, or nil if the queue is empty.
func (q *queue) peek() *request {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

func (q *queue) len() int { return len(q.heap) }

// queueHeap implements heap.Interface. Requests with the same time are ordered by ID, so that the order is deterministic.
type queueHeap []*request

// Len implements heap.Interface.
func (h queueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h queueHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].dispatchAt, h[j].dispatchAt), cmp.Compare(h[i].ID, h[j].ID)) < 0
}

// Swap implements heap.Interface.
func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex = i + 1
	h[j].queueIndex = j + 1
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	r := x.(*request)
	*h = append(*h, r)
	r.queueIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.queueIndex = 0
	return r
}
