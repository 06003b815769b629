package virtual

import (
	"encoding/binary"
	"fmt"
	"math"
)

func (n *Network) trace(e Event) {
	if n.Trace != nil {
		if e.At == 0 {
			e.At = n.now
		}
		n.Trace(e)
	}
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
