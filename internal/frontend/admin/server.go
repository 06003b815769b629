// Package admin is the operators' door: an address of its own at which one line is one call. It runs beside the event loop:
// what it tells is what the loop has last published, and what it does is posted to the loop, so neither a late loop nor a
// silent caller holds anybody up.
package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"hazelwheel/internal/sidecar"
)

const (
	// mostCallers bounds those at the door. Who has been there longest without ending a line goes for a newcomer.
	mostCallers = sidecar.AdminDescriptors - 2
	// mostLine bounds a call, in bytes, and MostWork one that is WORK, both with their end.
	mostLine, MaxMaintenanceLine = 512, 32 << 10
	// callS is how long a caller may take for its line.
	callS = 10
	// doneS is how long the loop may take for what a caller wants; callers wait for a second.
	doneS = 0.7
	// lingerS is how long a caller may take to read its answer and go. Danger: closing on bytes that nobody has read would
	// reset the connection, and the caller could lose the answer.
	lingerS    = 1
	mostLinger = 64 << 10
	// mostStillS is how old the loop's word may be before the process no longer says that it can serve.
	mostStillS = 3.0
)

// Controller is what the door asks of the sidecar. All but Figures and Do is for the loop.
type Controller interface {
	StatusSnapshot() *sidecar.StatusSnapshot
	Do(f func())
	CordonServer(server string) error
	UncordonServer(server string) error
	DrainByOperator() error
	UndrainByOperator() error
}

// Server is the operators' door.
type Server struct {
	address string
	desk    Controller
	now     func() float64 // on the clock of the figures
	listen  net.Listener

	// Peers, if it is set, tells on the loop who is there, for the call PEERS. Without it there is no such call.
	Peers func() []byte

	// Owners, if it is set, is asked on the loop who does what on behalf of all.
	Leases *LeaseCommands

	mu      sync.Mutex
	waiting []net.Conn // whose line has not come whole, the oldest first
	n       int        // callers
}

// New returns a door that is not open yet.
func New(address string, desk Controller, now func() float64) *Server {
	return &Server{address: address, desk: desk, now: now}
}

// ErrListen is the fault of an address that the door can't be opened at.
var ErrListen = errors.New("ops")

// Listen opens the door. An error names the key at fault.
func (d *Server) Listen() (err error) {
	if d.listen, err = net.Listen("tcp", d.address); err != nil {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	go d.accept()
	return nil
}

// Close shuts the door; calls that have begun go on.
func (d *Server) Close() { d.listen.Close() }

func (d *Server) accept() {
	for {
		c, err := d.listen.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // no descriptor is to be had at the moment
			time.Sleep(5 * time.Millisecond)
		case d.enter(c):
			go d.serve(c)
		default:
			c.Close()
		}
	}
}

// enter finds room for a caller.
func (d *Server) enter(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.n >= mostCallers {
		if len(d.waiting) == 0 {
			return false
		}
		d.waiting[0].Close()
		d.waiting = d.waiting[1:]
	}
	d.n++
	d.waiting = append(d.waiting, c)
	return true
}

// spoken notes that a caller has said all that it will.
func (d *Server) spoken(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, w := range d.waiting {
		if w == c {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return
		}
	}
}

// serve answers one call.
func (d *Server) serve(c net.Conn) {
	defer func() {
		d.mu.Lock()
		d.n--
		d.mu.Unlock()
		c.Close()
	}()
	_ = c.SetDeadline(time.Now().Add(callS * time.Second)) // fails only on a closed connection
	line, err := readLine(c)
	d.spoken(c)
	var answer []byte
	switch {
	case errors.Is(err, errLong), errors.Is(err, errHalf):
		answer = fmt.Appendf(nil, "ERR %v\n", err)
	case err != nil:
		return
	default:
		answer = d.call(line)
	}
	_ = c.SetDeadline(time.Now().Add(lingerS * time.Second))
	if _, err := c.Write(answer); err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only if the caller has gone
	}
	_, _ = io.CopyN(io.Discard, c, mostLinger) // ends with the caller or with the deadline
}
