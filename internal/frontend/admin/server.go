// Package admin is the admin endpoint of a sidecar: an address of its own at which operators' tools send one command per connection,
// as a line of text, and receive one answer. docs/operators describes the commands.
//
// It runs on goroutines beside the event loop. It reports the snapshot that the loop has published last and posts changes to the loop, so
// that a delayed loop and a silent client do not block each other.
package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/sidecar"
)

const (
	// maxConnections limits concurrent connections. At the limit, a new one replaces the oldest one that has not sent its complete line.
	maxConnections = sidecar.AdminDescriptors - 2
	// commandTimeout limits how long a client may take to send its line.
	commandTimeout = 10 * time.Second
	// lingerTimeout limits how long a client may take to read the answer and close, and maxLingerBytes what it may send meanwhile. Danger:
	// closing with unread bytes would reset the connection, and the client could lose the answer.
	lingerTimeout  = time.Second
	maxLingerBytes = 64 << 10
	// acceptRetryInterval is the pause after a failed accept, for example when the process is out of descriptors.
	acceptRetryInterval = 5 * time.Millisecond
)

// Controller is the sidecar as the admin endpoint uses it. StatusSnapshot and Do may be called from any goroutine, all others on the event loop
// alone. The errors are shown to the operator.
type Controller interface {
	// StatusSnapshot returns the snapshot that the loop published last, nil before the first one.
	StatusSnapshot() *sidecar.StatusSnapshot
	// Do calls f on the event loop.
	Do(f func())
	// CordonServer takes a server out of use, UncordonServer undoes it.
	CordonServer(server string) error
	UncordonServer(server string) error
	// DrainByOperator drains the sidecar, UndrainByOperator undoes it.
	DrainByOperator() error
	UndrainByOperator() error
}

// Server is the admin endpoint. Peers and Leases must be set before Listen.
type Server struct {
	// Peers returns the answer of the command PEERS; it is called on the loop. nil: there is no such command.
	Peers func() []byte
	// Leases are the commands about leases, roles and maintenance; nil: there are none.
	Leases *LeaseCommands

	address    string
	controller Controller
	now        func() float64 // in seconds, by the same clock as sidecar.StatusSnapshot.TakenAt
	listener   net.Listener

	mu          sync.Mutex // guards the fields below
	waiting     []net.Conn // connections whose line is not complete, oldest first
	connections int
}

// ErrListen is wrapped by the errors of Listen. Its text is the key of the address in the settings.
var ErrListen = errors.New("ops")

// New returns a server that does not listen yet. now is the clock of the controller's snapshots.
func New(address string, controller Controller, now func() float64) *Server {
	return &Server{address: address, controller: controller, now: now}
}

// Listen starts to accept connections. The error wraps ErrListen.
func (s *Server) Listen() (err error) {
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	go s.accept()
	return nil
}

// Close stops accepting connections. Commands that have been accepted are still answered.
func (s *Server) Close() { s.listener.Close() }

// accept runs until Close.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
		case s.admit(c):
			go s.serve(c)
		default:
			c.Close()
		}
	}
}

// admit counts a new connection, which waits for its line. It returns false at the limit if no other connection can be replaced.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= maxConnections {
		if len(s.waiting) == 0 {
			return false
		}
		s.waiting[0].Close()
		s.waiting = s.waiting[1:]
	}
	s.connections++
	s.waiting = append(s.waiting, c)
	return true
}

// endWaiting records that a connection no longer waits for its line.
func (s *Server) endWaiting(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, c); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// serve reads a command from a connection, answers it and closes the connection.
func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		s.connections--
		s.mu.Unlock()
		c.Close()
	}()
	_ = c.SetDeadline(time.Now().Add(commandTimeout)) // fails only on a closed connection, as below
	line, err := readLine(c)
	s.endWaiting(c)
	var answer []byte
	switch {
	case errors.Is(err, errLineTooLong), errors.Is(err, errLineIncomplete):
		answer = fmt.Appendf(nil, "ERR %v\n", err)
	case err != nil:
		return
	default:
		answer = s.execute(line)
	}
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Write(answer); err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only if the client has gone
	}
	_, _ = io.CopyN(io.Discard, c, maxLingerBytes) // ends with the client or at the deadline
}
