package seeds

import "math"

// Queue is the clock and the event queue of a simulation. Events run in the order of their times, those of equal times in the order in which they were
// scheduled. It is for one goroutine.
type Queue struct {
	now       float64
	scheduled uint64
	steps     uint64
	trace     uint64
	events    events
}

// Receiver receives what Queue.Deliver has scheduled.
type Receiver interface{ Receive(message any) }

// NewQueue returns an empty queue whose clock stands at a time, in seconds.
func NewQueue(now float64) Queue { return Queue{now: now} }

// Now returns the time, in seconds.
func (q *Queue) Now() float64 { return q.now }

// Steps returns how many events have run.
func (q *Queue) Steps() uint64 { return q.steps }

// Scheduled returns how many events were scheduled, those that have run included.
func (q *Queue) Scheduled() uint64 { return q.scheduled }

// Trace returns a hash of the times and the order of all events that have run: equal runs have equal traces.
func (q *Queue) Trace() uint64 { return q.trace }

// At schedules a call at a time. One in the past runs now, after all that was scheduled for now before.
func (q *Queue) At(at float64, do func()) { q.schedule(event{at: at, do: do}) }

// After schedules a call so many seconds from now.
func (q *Queue) After(s float64, do func()) { q.At(q.now+s, do) }

// Deliver schedules the delivery of a message. It is there beside At since a simulation of thousands of members would spend more time on a closure for
// each message than on the message.
func (q *Queue) Deliver(at float64, to Receiver, message any) {
	q.schedule(event{at: at, to: to, message: message})
}

// schedule adds an event.
func (q *Queue) schedule(e event) {
	q.scheduled++
	e.at, e.sequence = max(e.at, q.now), q.scheduled
	q.events.push(e)
}

// RunUntil runs the events up to a time, those that they schedule included, and sets the clock to it.
func (q *Queue) RunUntil(t float64) {
	for len(q.events) > 0 && q.events[0].at <= t {
		e := q.events.pop()
		q.now = e.at
		q.steps++
		q.trace = (q.trace ^ math.Float64bits(e.at) ^ e.sequence) * 0x9e3779b97f4a7c15
		if e.do != nil {
			e.do()
		} else {
			e.to.Receive(e.message)
		}
	}
	q.now = max(q.now, t)
}

// event is a call, or the delivery of a message.
type event struct {
	at       float64
	sequence uint64
	do       func()
	to       Receiver
	message  any
}

// isBefore reports whether the event runs before another one.
func (e *event) isBefore(o *event) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// events is a heap whose nodes have four children each; the next event to run is the first.
type events []event

func (q *events) push(e event) {
	all := append(*q, e)
	i := len(all) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.isBefore(&all[parent]) {
			break
		}
		all[i] = all[parent]
		i = parent
	}
	all[i] = e
	*q = all
}

func (q *events) pop() event {
	all := *q
	first, last := all[0], all[len(all)-1]
	all[len(all)-1] = event{}
	all = all[:len(all)-1]
	*q = all
	if len(all) == 0 {
		return first
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(all) {
			break
		}
		for child := least + 1; child < min(4*i+5, len(all)); child++ {
			if all[child].isBefore(&all[least]) {
				least = child
			}
		}
		if !all[least].isBefore(&last) {
			break
		}
		all[i] = all[least]
		i = least
	}
	all[i] = last
	return first
}
