// Package virtual is a netio.EventLoop whose clock and network are simulated: any number of processes on any number of
// machines, in one goroutine, as a discrete-event world. A seed and the same calls give the same history, to the byte.
//
// Its connections are as hostile as Linux's are on a bad day: bytes come cut at any place, sockets take less than is
// written, a peer reads slowly or not at all, resets destroy what is under way, machines fall silent with their
// connections open. Order is kept within one direction of one connection alone.
package virtual

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// World is a clock and a network. It belongs to one goroutine.
type Network struct {
	// Path is how packets travel between two machines of which SetPath has said nothing; Loopback, within one.
	Path, Loopback Path
	// CutShare is how many of the segments are cut once more, at a place drawn from the seed, from 0 to 1.
	SplitProbability float64
	// EveryByte has each byte travel alone.
	SplitEveryByte bool
	// Trace, where it is set, is told of all that happens.
	Trace func(Event)

	now          float64
	seq          uint64
	queue        []queueEntry
	events       []scheduledEvent
	free         []int32
	rand         *rand.Rand
	digest       *xxhash.Digest
	hashBuffer   [40]byte
	steps        uint64
	connCount    uint64
	processCount int

	machines []*Machine
	byIP     map[string]*Machine // looked up, never walked
	paths    [][]Path            // by the numbers of two machines
}

// New returns a world at a time in seconds of Unix time. Danger: programs take a start of 0 for "long ago"; the time
// should be that of a real day.
func New(seed uint64, start float64) *Network {
	return &Network{
		Path: Path{LatencySeconds: 0.0003, JitterSeconds: 0.0002}, Loopback: Path{LatencySeconds: 0.00002, JitterSeconds: 0.00001},
		SplitProbability: 0.1, now: start, rand: rand.New(rand.NewPCG(seed, 0x6e6574)), digest: xxhash.NewWithSeed(seed),
		byIP: map[string]*Machine{},
	}
}

// Now returns the time in seconds of Unix time.
func (n *Network) Now() float64 { return n.now }

// Steps returns how many events have happened.
func (n *Network) Steps() uint64 { return n.steps }

// Hash returns a hash of all calls that programs have had, with their times and bytes: two histories that differ
// anywhere differ in it.
func (n *Network) Hash() uint64 { return n.digest.Sum64() }

// At has f called at a time. It is for whoever drives the world; programs have their own alarms.
func (n *Network) Schedule(at float64, f func()) {
	n.schedule(at, scheduledEvent{kind: callEvent, call: f})
}

// Step has the next event happen; false: there is none.
func (n *Network) Step() bool {
	if len(n.queue) == 0 {
		return false
	}
	first := n.pop()
	n.now = first.at
	e := n.events[first.event]
	n.events[first.event] = scheduledEvent{}
	n.free = append(n.free, first.event)
	n.steps++
	n.dispatch(&e)
	return true
}

// Until has all events happen up to a time, which is then the present.
func (n *Network) RunUntil(t float64) {
	for len(n.queue) > 0 && n.queue[0].at <= t {
		n.Step()
	}
	n.now = max(n.now, t)
}

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

// event is what happens at a time. Its fields are those of its action.
type scheduledEvent struct {
	kind    eventKind
	fin     bool
	n       int32
	epoch   uint32
	conn    *Conn
	process *Process
	dial    *dial
	call    func()
}

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

// slot is an event's place in the queue, a heap of four children: by time, and at one time in the order of asking.
type queueEntry struct {
	at    float64
	seq   uint64
	event int32
}

func (a *queueEntry) before(b *queueEntry) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (n *Network) schedule(at float64, e scheduledEvent) {
	if !(at > n.now) { // also what is no number
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
	s := queueEntry{at, n.seq, index}
	i := len(n.queue)
	n.queue = append(n.queue, s)
	for i > 0 {
		parent := (i - 1) / 4
		if !s.before(&n.queue[parent]) {
			break
		}
		n.queue[i], i = n.queue[parent], parent
	}
	n.queue[i] = s
}

func (n *Network) pop() queueEntry {
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

// Kind is what an Event tells of.
type EventKind uint8

// The kinds of events.
const (
	Opened               EventKind = iota // a process has been given a connection
	Received                              // a process has been given N bytes
	Sent                                  // a process has written N bytes
	Closed                                // a process has been told of a connection's end
	Dialed                                // a process has begun to dial
	DialFailed                            // a dial has failed
	AlarmFired                            // a process has had its alarm
	Lost                                  // a segment of N bytes was lost on the way
	ResetSent                             // a reset was sent
	DescriptorsExhausted                  // a process has found no descriptor
	StateChanged                          // a process or machine was started, stopped, killed, lost
)

var kindNames = [...]string{"opened", "received", "sent", "ended", "dialed", "not up", "alarm", "lost", "reset", "no descriptor", "changed"}

func (k EventKind) String() string { return kindNames[k] }

// Event is what Trace is told.
type Event struct {
	At      float64
	Kind    EventKind
	Process string
	Peer    string // the other side's process or address, where there is one
	Conn    uint64 // both ends of a connection have one number; 0: it is about none
	N       int
	Err     error
	Data    []byte // of Received and Sent; valid until Trace returns
}

// String returns the event as one line, less its time.
func (e Event) String() string {
	s := fmt.Sprintf("%-12s %s", e.Process, e.Kind)
	if e.Peer != "" {
		s += " " + e.Peer
	}
	if e.Conn != 0 {
		s += fmt.Sprintf(" #%d", e.Conn)
	}
	if e.N != 0 {
		s += fmt.Sprintf(" %d B", e.N)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// mix adds a call to the hash of the history.
func (n *Network) hashCall(at float64, kind EventKind, p *Process, conn uint64, data []byte) {
	b := n.hashBuffer[:]
	binary.LittleEndian.PutUint64(b, bits(at))
	b[8] = byte(kind)
	binary.LittleEndian.PutUint32(b[12:], uint32(p.number))
	binary.LittleEndian.PutUint64(b[16:], conn)
	binary.LittleEndian.PutUint64(b[24:], uint64(len(data)))
	_, _ = n.digest.Write(b)
	if len(data) > 0 {
		_, _ = n.digest.Write(data)
	}
}
