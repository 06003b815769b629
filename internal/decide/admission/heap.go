package admission

import "slices"

// placed is an element of a heap: it compares itself, and keeps its place, from 1; 0 is none.
type placed[T any] interface {
	comparable
	above(T) bool
	at() *int
}

// heap has the element first that is above all others.
type heap[T placed[T]] struct{ all []T }

func (h *heap[T]) len() int { return len(h.all) }

func (h *heap[T]) first() T { return h.all[0] }

// put puts an element in, or follows a change of one that is in it.
func (h *heap[T]) put(x T) {
	if *x.at() == 0 {
		h.all = append(h.all, x)
		*x.at() = len(h.all)
	}
	h.settle(*x.at() - 1)
}

// drop takes an element out, if it is in it.
func (h *heap[T]) drop(x T) {
	i := *x.at() - 1
	if i < 0 {
		return
	}
	last := len(h.all) - 1
	h.swap(i, last)
	h.all = slices.Delete(h.all, last, last+1)
	if *x.at() = 0; i < last {
		h.settle(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	*h.all[i].at(), *h.all[j].at() = i+1, j+1
}

// settle moves the element at a place up or down to where it belongs.
func (h *heap[T]) settle(i int) {
	for i > 0 && h.all[i].above(h.all[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		top := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.all); child++ {
			if h.all[child].above(h.all[top]) {
				top = child
			}
		}
		if top == i {
			return
		}
		h.swap(i, top)
		i = top
	}
}

// fatness is an address by what its links hold.
type fatness struct{ *address }

func (f fatness) above(other fatness) bool { return f.fat > other.fat }

func (f fatness) at() *int { return &f.fatPlace }

func (a *address) above(other *address) bool { return a.counted > other.counted }

func (a *address) at() *int { return &a.place }

func (g *group) above(other *group) bool { return g.weight > other.weight }

func (g *group) at() *int { return &g.place }
