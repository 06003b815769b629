package virtual

// eventKind determines what a scheduledEvent does.
type eventKind uint8

const (
	callEvent eventKind = iota
	turnEvent
	alarmEvent
	segmentEvent
	resetEvent
	retransmitEvent
	windowUpdateEvent
	readEvent
	rateEvent
	synEvent
	synAckEvent
	refusalEvent
	synRetryEvent
	dialTimeoutEvent
)

// scheduledEvent is an event in the queue; which fields are set depends on its kind.
type scheduledEvent struct {
	kind    eventKind
	fin     bool
	n       int32 // bytes of a segment; 1 for a reset injected by the network
	epoch   uint32
	conn    *Conn
	process *Process
	dial    *dial
	call    func()
}

// dispatch executes an event.
func (n *Network) dispatch(e *scheduledEvent) {
	switch e.kind {
	case callEvent:
		e.call()
	case turnEvent:
		e.process.runTurn()
	case alarmEvent:
		e.process.handleAlarmEvent()
	case segmentEvent:
		e.conn.deliverSegment(int(e.n), e.fin, e.epoch)
	case resetEvent:
		e.conn.receiveReset(e.n)
	case retransmitEvent:
		e.conn.retransmit()
	case windowUpdateEvent:
		e.conn.receiveWindowUpdate()
	case readEvent:
		e.conn.resumeRead()
	case rateEvent:
		e.conn.resumeTransmit()
	case synEvent:
		e.dial.receiveSyn()
	case synAckEvent:
		e.dial.receiveSynAck(e.conn)
	case refusalEvent:
		e.dial.receiveRefusal()
	case synRetryEvent:
		e.dial.sendSyn()
	case dialTimeoutEvent:
		e.dial.fail(errTimeout)
	}
}

// queueEntry is an entry of the event queue. The queue is a 4-ary heap, ordered by time and then by the order of scheduling.
type queueEntry struct {
	at    float64
	seq   uint64
	event int32
}

// before reports whether a comes before b.
func (a *queueEntry) before(b *queueEntry) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// enqueueEvent schedules an event. A time that has passed, or NaN, means now.
func (n *Network) enqueueEvent(at float64, e scheduledEvent) {
	if !(at > n.now) { // negated so that it is true for NaN
		at = n.now
	}
	var index int32
	if freeCount := len(n.free); freeCount > 0 {
		index, n.free = n.free[freeCount-1], n.free[:freeCount-1]
		n.events[index] = e
	} else {
		index, n.events = int32(len(n.events)), append(n.events, e)
	}
	n.seq++
	entry := queueEntry{at, n.seq, index}
	i := len(n.queue)
	n.queue = append(n.queue, entry)
	for i > 0 {
		parent := (i - 1) / 4
		if !entry.before(&n.queue[parent]) {
			break
		}
		n.queue[i], i = n.queue[parent], parent
	}
	n.queue[i] = entry
}

// dequeueEvent removes and returns the next entry. The queue must not be empty.
func (n *Network) dequeueEvent() queueEntry {
	q := n.queue
	first, last := q[0], q[len(q)-1]
	q = q[:len(q)-1]
	n.queue = q
	if len(q) == 0 {
		return first
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(q) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(q)); c++ {
			if q[c].before(&q[least]) {
				least = c
			}
		}
		if !q[least].before(&last) {
			break
		}
		q[i], i = q[least], least
	}
	q[i] = last
	return first
}
