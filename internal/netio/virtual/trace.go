package virtual

import (
	"encoding/binary"
	"fmt"
	"math"
)

// trace passes an event to Trace. If it has no time, it gets the current one.
func (n *Network) trace(e Event) {
	if n.Trace != nil {
		if e.At == 0 {
			e.At = n.now
		}
		n.Trace(e)
	}
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	Opened               EventKind = iota // Handler.Open was called
	Received                              // Handler.Traffic was called with N bytes
	Sent                                  // a process wrote N bytes
	Closed                                // Handler.Closed was called
	Dialed                                // a process started to dial
	DialFailed                            // a dial failed
	AlarmFired                            // Handler.Alarm was called
	Lost                                  // a segment of N bytes was lost
	ResetSent                             // a reset was sent
	DescriptorsExhausted                  // a process found no free descriptor
	StateChanged                          // a process was started, killed or ended, or a machine was powered off or on
)

var kindNames = [...]string{"opened", "received", "sent", "ended", "dialed", "not up", "alarm", "lost", "reset", "no descriptor", "changed"}

// String returns the name of the kind in traces.
func (k EventKind) String() string { return kindNames[k] }

// Event is an entry of the network's trace.
type Event struct {
	At      float64
	Kind    EventKind
	Process string
	Peer    string // the peer's process or address, if there is one
	Conn    uint64 // Conn.ID; 0 if the event concerns no connection
	N       int
	Err     error
	Data    []byte // the bytes, for Received and Sent; valid until Trace returns
}

// String returns the event as one line, without its time.
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

// hashCall adds a call to a handler to the hash of the history.
func (n *Network) hashCall(at float64, kind EventKind, p *Process, conn uint64, data []byte) {
	b := n.hashBuffer[:]
	binary.LittleEndian.PutUint64(b, math.Float64bits(at))
	b[8] = byte(kind)
	binary.LittleEndian.PutUint32(b[12:], uint32(p.number))
	binary.LittleEndian.PutUint64(b[16:], conn)
	binary.LittleEndian.PutUint64(b[24:], uint64(len(data)))
	_, _ = n.digest.Write(b)
	if len(data) > 0 {
		_, _ = n.digest.Write(data)
	}
}
