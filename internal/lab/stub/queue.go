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

// entries are a heap by time.
type entries []entry

func (e entries) Len() int           { return len(e) }
func (e entries) Less(i, j int) bool { return e[i].due.Before(e[j].due) }
func (e entries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)        { *e = append(*e, x.(entry)) }
func (e *entries) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = entry{} // what was answered must not be held
	*e = old[:len(old)-1]
	return x
}

// queue sends answers when they are due.
type queue struct {
	mu      sync.Mutex
	entries entries
	sooner  chan struct{} // told when another entry has become the first
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

// due returns what is due, and how long until the next; that is below 0 while there is none.
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

// run sends until ctx ends.
func (q *queue) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		due, wait := q.due(time.Now())
		for _, e := range due {
			if !e.state.gone.Load() {
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
