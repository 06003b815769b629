// Package admin is the operators' door: an address of its own at which one line is one call. It runs beside the event loop:
// what it tells is what the loop has last published, and what it does is posted to the loop, so neither a late loop nor a
// silent caller holds anybody up.
package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
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

// LeaseCommands are what the calls OWNERS, ELECTORS, STEPDOWN JOB, REPORT, WORKS and WORK COMMAND have done on the loop.
type LeaseCommands struct {
	Status, Voters, Report func() ([]byte, error)
	StepDown               func(job string) error
	Maintenance            func() ([]byte, error)
	SubmitMaintenance      func(command []byte) ([]byte, error)
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

// workCall begins the one call that may be long: a plan names boxes.
const workCall = "WORK "

var (
	errLong = errors.New("the line is longer than")
	errHalf = errors.New("the line has no end")
)

// readLine reads up to the first line feed; what comes behind it is not read.
func readLine(r io.Reader) (string, error) {
	b := make([]byte, mostLine)
	for n := 0; n < len(b); {
		k, err := r.Read(b[n:])
		if end := bytes.IndexByte(b[n:n+k], '\n'); end >= 0 {
			return string(bytes.TrimSuffix(b[:n+end], []byte{'\r'})), nil
		}
		if n += k; n == mostLine && len(b) == mostLine && bytes.EqualFold(b[:len(workCall)], []byte(workCall)) {
			b = append(b, make([]byte, MaxMaintenanceLine-mostLine)...)
		}
		switch {
		case errors.Is(err, io.EOF) && n > 0:
			return "", errHalf
		case err != nil:
			return "", err
		}
	}
	return "", fmt.Errorf("%w %d bytes", errLong, len(b))
}

// command is one word that operators say.
type command struct {
	word     string
	argument bool                                // it wants a server's id
	do       func(d *Server, last string) []byte // last is the last word of the call
}

// commands are all calls that there are.
var commands = []command{
	{"HEALTH", false, (*Server).health},
	{"DUMP", false, (*Server).dump},
	{"OFFLINE", true, func(d *Server, server string) []byte {
		return d.onLoop(server+" is left out", func() error { return d.desk.CordonServer(server) })
	}},
	{"ONLINE", true, func(d *Server, server string) []byte {
		return d.onLoop(server+" may serve", func() error { return d.desk.UncordonServer(server) })
	}},
	{"LEAVE", false, func(d *Server, _ string) []byte {
		return d.onLoop("draining", func() error { return d.desk.DrainByOperator() })
	}},
	{"JOIN", false, func(d *Server, _ string) []byte {
		return d.onLoop("serving", func() error { return d.desk.UndrainByOperator() })
	}},
}

// tell returns what is told on the loop.
func (d *Server) tell(what func() ([]byte, error)) []byte {
	told := make(chan []byte, 1)
	answer := d.onLoop("", func() error {
		text, err := what()
		told <- text
		return err
	})
	if bytes.HasPrefix(answer, []byte("OK")) {
		return <-told
	}
	return answer
}

// ofFleet answers what a sidecar is asked that knows others; false: it is no such call.
func (d *Server) ofFleet(words []string, line string) (answer []byte, ok bool) {
	switch call := strings.ToUpper(words[0]); {
	case d.Peers != nil && len(words) == 1 && call == "PEERS":
		return d.tell(func() ([]byte, error) { return d.Peers(), nil }), true
	case d.Leases == nil:
	case len(words) == 1 && call == "OWNERS":
		return d.tell(d.Leases.Status), true
	case len(words) == 1 && call == "ELECTORS":
		return d.tell(d.Leases.Voters), true
	case len(words) == 1 && call == "REPORT":
		return d.tell(d.Leases.Report), true
	case len(words) == 1 && call == "WORKS":
		return d.tell(d.Leases.Maintenance), true
	case len(words) > 1 && call == "WORK":
		command := strings.TrimSpace(line)[len("WORK"):]
		return d.tell(func() ([]byte, error) { return d.Leases.SubmitMaintenance([]byte(command)) }), true
	case len(words) == 2 && call == "STEPDOWN":
		return d.onLoop("the job "+words[1]+" is to go to another owner", func() error { return d.Leases.StepDown(words[1]) }), true
	}
	return nil, false
}

// call answers one line.
func (d *Server) call(line string) []byte {
	words := strings.Fields(line)
	if len(words) == 0 {
		return []byte("ERR an empty line\n")
	}
	for _, c := range commands {
		if !strings.EqualFold(c.word, words[0]) {
			continue
		}
		wanted := 1
		if c.argument {
			wanted = 2
		}
		switch {
		case len(words) < wanted:
			return fmt.Appendf(nil, "ERR %s needs a server's id\n", c.word)
		case len(words) > wanted:
			return fmt.Appendf(nil, "ERR %s takes nothing after %q\n", c.word, words[wanted-1])
		}
		return c.do(d, words[wanted-1])
	}
	if answer, ok := d.ofFleet(words, line); ok {
		return answer
	}
	return fmt.Appendf(nil, "ERR unknown call %.40q\n", words[0])
}

// health says whether this process can serve.
func (d *Server) health(string) []byte {
	switch f := d.desk.StatusSnapshot(); {
	case f == nil:
		return []byte("ERR not serving yet\n")
	case f.IsShuttingDown:
		return []byte("ERR this process has been told to end\n")
	case d.now()-f.TakenAt > mostStillS:
		return fmt.Appendf(nil, "ERR the event loop has stood still for %.1f s\n", d.now()-f.TakenAt)
	}
	return []byte("OK serving\n")
}

// onLoop has the loop do something, and says yes once it is done.
func (d *Server) onLoop(yes string, do func() error) []byte {
	done := make(chan error, 1)
	d.desk.Do(func() { done <- do() })
	select {
	case err := <-done:
		if err != nil {
			return fmt.Appendf(nil, "ERR %v\n", err)
		}
		return fmt.Appendf(nil, "OK %s\n", yes)
	case <-time.After(time.Duration(doneS * float64(time.Second))):
		return []byte("ERR the event loop is late: it will be done, ask again for a yes\n")
	}
}

// dump tells the figures.
func (d *Server) dump(string) []byte {
	f := d.desk.StatusSnapshot()
	if f == nil {
		return []byte("ERR no figures yet\n")
	}
	var b []byte
	one := func(name string, v uint64) {
		b = append(strconv.AppendUint(append(append(b, "gw_"+name...), ' '), v, 10), '\n')
	}
	for _, c := range f.Classes {
		label := `{lane="` + c.Class + `"}`
		one("completed"+label, c.Served)
		one("rejected"+label, c.Throttled)
		one("failed"+label, c.Failed)
	}
	one("upstream_requests", f.RequestsWritten)
	one("pending", uint64(f.OpenRequests))
	one("members", uint64(f.Servers))
	one("members_unavailable", uint64(f.UnavailableServers))
	for _, g := range f.FleetMetrics {
		one(g.Name, g.Value)
	}
	return append(b, "END\n"...)
}
