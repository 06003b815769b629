package environment

import "math"

// schedule is a heap of values by their time, and by the order in which they were added. There is no removal: a value that
// is obsolete stays until its time, and the caller of pop checks it.
type schedule[T any] struct {
	heap []scheduled[T]
	seq  uint64
}

type scheduled[T any] struct {
	at    float64
	seq   uint64
	value T
}

func (d *scheduled[T]) before(o *scheduled[T]) bool {
	return d.at < o.at || d.at == o.at && d.seq < o.seq
}

func (a *schedule[T]) add(at float64, what T) {
	a.seq++
	a.heap = append(a.heap, scheduled[T]{at, a.seq, what})
	h := a.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// nextAt returns the time of the first value; +Inf: there is none.
func (a *schedule[T]) nextAt() float64 {
	if len(a.heap) == 0 {
		return math.Inf(1)
	}
	return a.heap[0].at
}

// pop removes and returns the first value whose time has come, with that time.
func (a *schedule[T]) pop(now float64) (what T, at float64, ok bool) {
	h := a.heap
	if len(h) == 0 || h[0].at > now {
		return what, 0, false
	}
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = scheduled[T]{}
	h = h[:last]
	a.heap = h
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && h[child+1].before(&h[child]) {
			child++
		}
		if !h[child].before(&h[i]) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	return first.value, first.at, true
}
