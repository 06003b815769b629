package admission

import "slices"

// Lists and heaps that their elements know their places in, so that any can be taken out at once.

// The lists that a link is in.
const (
	ofRoom = iota
	ofAddress
)

// hook is a link's place in a list.
type hook struct{ before, after *Conn }

// list holds links in the order in which they came.
type list struct {
	first, last *Conn
	n           int
	hook        int // which of a link's hooks is this list's
}

func (t *list) put(l *Conn) {
	l.hooks[t.hook] = hook{before: t.last}
	if t.last != nil {
		t.last.hooks[t.hook].after = l
	} else {
		t.first = l
	}
	t.last = l
	t.n++
}

// putBySince puts a link in by the time since which it is in its state. It is for the few that come from another list.
func (t *list) putBySince(l *Conn) {
	after := t.last
	for after != nil && after.since > l.since {
		after = after.hooks[t.hook].before
	}
	if after == t.last {
		t.put(l)
		return
	}
	h := hook{before: after}
	if after == nil {
		h.after, t.first = t.first, l
	} else {
		h.after = after.hooks[t.hook].after
		after.hooks[t.hook].after = l
	}
	h.after.hooks[t.hook].before = l
	l.hooks[t.hook] = h
	t.n++
}

func (t *list) drop(l *Conn) {
	h := l.hooks[t.hook]
	if h.before != nil {
		h.before.hooks[t.hook].after = h.after
	} else {
		t.first = h.after
	}
	if h.after != nil {
		h.after.hooks[t.hook].before = h.before
	} else {
		t.last = h.before
	}
	l.hooks[t.hook] = hook{}
	t.n--
}

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
func (f fatness) at() *int                 { return &f.fatPlace }

func (a *address) above(other *address) bool { return a.counted > other.counted }
func (a *address) at() *int                  { return &a.place }

func (g *group) above(other *group) bool { return g.weight > other.weight }
func (g *group) at() *int                { return &g.place }
