package admission

// Waiting is a request that has come and that the decisions have not been given yet.
type QueuedRequest[T any] struct {
	Request   T
	Class     int
	ArrivedAt float64 // when its last byte reached the machine
}

// Queue holds the requests that have come faster than the loop takes them up: the worthiest class first, and in each
// class the oldest. A request that has waited for shedPart of its class's aim is shed; under a load that lasts the least
// worthy wait longest, so they are the ones to be shed.
//
// It is what stands between a sidecar that is short of its own core and decisions that know of boxes alone. Danger: given
// all at once, requests by the hundred are out before the first answer is read; to the decisions that looks like boxes
// that are full, and they turn away what idle boxes would have served.
type Queue[T any] struct {
	order []int // classes, the worthiest first
	most  []float64
	lines []line[T]
	n     int
}

// shedPart is the part of its aim that a request may wait here; the rest is for its box.
const shedPart = 0.5

// Class is what the queue knows of a class of requests.
type Class struct {
	PriorityWeight       float64
	LatencyTargetSeconds float64
}

// NewQueue returns an empty queue for requests of the given classes, by their place.
func NewQueue[T any](classes []Class) *Queue[T] {
	q := &Queue[T]{lines: make([]line[T], len(classes))}
	for i, c := range classes {
		q.order = append(q.order, i)
		q.most = append(q.most, shedPart*c.LatencyTargetSeconds)
	}
	for i := range q.order { // an insertion sort: equals stay as the settings have them
		for j := i; j > 0 && classes[q.order[j]].PriorityWeight > classes[q.order[j-1]].PriorityWeight; j-- {
			q.order[j], q.order[j-1] = q.order[j-1], q.order[j]
		}
	}
	return q
}

// Len returns how many wait.
func (q *Queue[T]) Len() int { return q.n }

// Put has a request wait. Requests of a class come in the order of their arrival, or nearly so.
func (q *Queue[T]) Enqueue(w QueuedRequest[T]) {
	q.lines[w.Class].put(w)
	q.n++
}

// Next takes out the request whose turn it is; shed tells that it has waited too long and is to be turned away at once.
// ok is false once none waits.
func (q *Queue[T]) Dequeue(now float64) (w QueuedRequest[T], shed, ok bool) {
	if q.n == 0 {
		return w, false, false
	}
	q.n--
	// What is shed goes first: it is owed its answer at once, and nothing is gained by keeping it.
	for i := len(q.order) - 1; i >= 0; i-- {
		class := q.order[i]
		if l := &q.lines[class]; l.len() > 0 && now-l.first().ArrivedAt > q.most[class] {
			return l.take(), true, true
		}
	}
	for _, class := range q.order {
		if l := &q.lines[class]; l.len() > 0 {
			return l.take(), false, true
		}
	}
	panic("admission: a queue that counts more than it holds")
}

// line is a queue in a slice that is compacted in place.
type line[T any] struct {
	all  []QueuedRequest[T]
	head int
}

func (l *line[T]) len() int                 { return len(l.all) - l.head }
func (l *line[T]) first() *QueuedRequest[T] { return &l.all[l.head] }

func (l *line[T]) put(w QueuedRequest[T]) {
	if l.head > 0 && len(l.all) == cap(l.all) {
		n := copy(l.all, l.all[l.head:])
		clear(l.all[n:])
		l.all, l.head = l.all[:n], 0
	}
	l.all = append(l.all, w)
}

func (l *line[T]) take() QueuedRequest[T] {
	w := l.all[l.head]
	l.all[l.head] = QueuedRequest[T]{}
	if l.head++; l.head == len(l.all) {
		l.all, l.head = l.all[:0], 0
	}
	return w
}
