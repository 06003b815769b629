package stub

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// entry is an answer that is due later.
type entry struct {
	due    time.Time
	c      gnet.Conn
	state  *conn
	answer []byte
}

// entries is a heap by time; it implements heap.Interface.
type entries []entry

// Len returns the number of entries.
func (e entries) Len() int { return len(e) }

// Less orders entries by time.
func (e entries) Less(i, j int) bool { return e[i].due.Before(e[j].due) }

// Swap swaps two entries.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an entry.
func (e *entries) Push(x any) { *e = append(*e, x.(entry)) }

// Pop removes the last entry.
func (e *entries) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = entry{} // so that its answer can be collected
	*e = old[:len(old)-1]
	return x
}

// queue sends delayed answers.
type queue struct {
	mu      sync.Mutex
	entries entries
	sooner  chan struct{} // receives a signal when another entry has become the first
}

func newQueue() *queue { return &queue{sooner: make(chan struct{}, 1)} }

func (q *queue) push(e entry) {
	q.mu.Lock()
	heap.Push(&q.entries, e)
	first := q.entries[0].due.Equal(e.due)
	q.mu.Unlock()
	if first {
		select {
		case q.sooner <- struct{}{}:
		default:
		}
	}
}

// due returns the entries that are due, and the time until the next one, below 0 where there is none.
func (q *queue) due(now time.Time) (due []entry, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.entries) > 0 {
		if wait := q.entries[0].due.Sub(now); wait > 0 {
			return due, wait
		}
		due = append(due, heap.Pop(&q.entries).(entry))
	}
	return due, -1
}

// run sends answers until ctx ends.
func (q *queue) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		due, wait := q.due(time.Now())
		for _, e := range due {
			if !e.state.closed.Load() {
				_ = e.c.AsyncWrite(e.answer, nil) // fails only where the connection has gone
			}
		}
		var next <-chan time.Time
		if wait >= 0 {
			timer.Reset(wait)
			next = timer.C
		}
		select {
		case <-next:
		case <-q.sooner:
		case <-ctx.Done():
		}
	}
}
