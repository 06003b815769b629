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
	heap queueHeap
	due  []*request // memory for take
}

// put has a request wait until a time, also one that waits already.
func (q *queue) put(r *request, until float64) {
	if r.decideAt = until; r.queued > 0 {
		heap.Fix(&q.heap, r.queued-1)
		return
	}
	heap.Push(&q.heap, r)
}

// drop takes a request out; one that does not wait is none.
func (q *queue) drop(r *request) {
	if r.queued > 0 {
		heap.Remove(&q.heap, r.queued-1)
	}
}

// take takes out and returns all whose time has come: those within their tenant's share first, and in order of time.
// The result is valid until the next call.
func (q *queue) take(now float64) []*request {
	q.due = q.due[:0]
	for len(q.heap) > 0 && q.heap[0].decideAt <= now {
		q.due = append(q.due, heap.Pop(&q.heap).(*request))
	}
	slices.SortStableFunc(q.due, func(x, y *request) int {
		switch {
		case x.over == y.over:
			return 0
		case x.over:
			return 1
		}
		return -1
	})
	return q.due
}

// first returns the request whose time comes first, nil if none waits.
func (q *queue) first() *request {
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
	return cmp.Or(cmp.Compare(h[i].decideAt, h[j].decideAt), cmp.Compare(h[i].ID, h[j].ID)) < 0
}
func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queued, h[j].queued = i+1, j+1
}
func (h *queueHeap) Push(x any) {
	r := x.(*request)
	*h = append(*h, r)
	r.queued = len(*h)
}
func (h *queueHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.queued = 0
	return r
}
