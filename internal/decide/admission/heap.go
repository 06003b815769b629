package admission

import "slices"

// heapElement is an element of a heap. It stores its own index plus 1 (0 if it is not in the heap), so that any element can be
// removed or moved in O(log n).
type heapElement[T any] interface {
	comparable
	isAbove(T) bool
	heapPosition() *int
}

// heap is a binary heap. No element is above the first one.
type heap[T heapElement[T]] struct{ elements []T }

func (h *heap[T]) len() int { return len(h.elements) }

// first returns the first element. The heap must not be empty.
func (h *heap[T]) first() T { return h.elements[0] }

// push adds an element, or restores the order if the element is in the heap and has changed.
func (h *heap[T]) push(x T) {
	if *x.heapPosition() == 0 {
		h.elements = append(h.elements, x)
		*x.heapPosition() = len(h.elements)
	}
	h.fix(*x.heapPosition() - 1)
}

// remove removes an element if it is in the heap.
func (h *heap[T]) remove(x T) {
	i := *x.heapPosition() - 1
	if i < 0 {
		return
	}
	last := len(h.elements) - 1
	h.swap(i, last)
	h.elements = slices.Delete(h.elements, last, last+1)
	*x.heapPosition() = 0
	if i < last {
		h.fix(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.elements[i].heapPosition() = i + 1
	*h.elements[j].heapPosition() = j + 1
}

// fix moves the element at an index up or down to where it belongs.
func (h *heap[T]) fix(i int) {
	for i > 0 && h.elements[i].isAbove(h.elements[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		top := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.elements); child++ {
			if h.elements[child].isAbove(h.elements[top]) {
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

// byReclaimable orders clients by their reclaimable bytes.
type byReclaimable struct{ *client }

func (c byReclaimable) isAbove(other byReclaimable) bool {
	return c.reclaimableBytes > other.reclaimableBytes
}
func (c byReclaimable) heapPosition() *int { return &c.bytesHeapIndex }

// Within a group, clients are ordered by weight.
func (c *client) isAbove(other *client) bool { return c.countedWeight > other.countedWeight }
func (c *client) heapPosition() *int         { return &c.heapIndex }

// Groups are ordered by weight.
func (g *group) isAbove(other *group) bool { return g.weight > other.weight }
func (g *group) heapPosition() *int        { return &g.heapIndex }
