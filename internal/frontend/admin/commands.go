package admin

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// loopTimeout limits how long a command waits for the event loop. Clients wait for one second.
	loopTimeout = 700 * time.Millisecond
	// maxSnapshotAgeSeconds is how old the published snapshot may be before HEALTH reports that the event loop is stalled.
	maxSnapshotAgeSeconds = 3.0
)

// LeaseCommands are the functions behind the commands about leases, roles and maintenance. Each is called on the event loop and returns the
// answer with its line feed, or an error to show to the operator.
type LeaseCommands struct {
	Status            func() ([]byte, error)               // OWNERS
	Voters            func() ([]byte, error)               // ELECTORS
	Report            func() ([]byte, error)               // REPORT
	StepDown          func(role string) error              // STEPDOWN role
	Maintenance       func() ([]byte, error)               // WORKS
	SubmitMaintenance func(command []byte) ([]byte, error) // WORK command, which is JSON
}

// command is a command that does not depend on the fleet.
type command struct {
	word        string
	needsServer bool                                    // its argument is the name of a server
	run         func(s *Server, argument string) []byte // argument is the command's word if it takes none
}

// commands are the commands that every sidecar has.
var commands = []command{
	{"HEALTH", false, (*Server).health},
	{"DUMP", false, (*Server).dump},
	{"OFFLINE", true, func(s *Server, server string) []byte {
		return s.runOnLoop(server+" is left out", func() error { return s.controller.CordonServer(server) })
	}},
	{"ONLINE", true, func(s *Server, server string) []byte {
		return s.runOnLoop(server+" may serve", func() error { return s.controller.UncordonServer(server) })
	}},
	{"LEAVE", false, func(s *Server, _ string) []byte {
		return s.runOnLoop("draining", func() error { return s.controller.DrainByOperator() })
	}},
	{"JOIN", false, func(s *Server, _ string) []byte {
		return s.runOnLoop("serving", func() error { return s.controller.UndrainByOperator() })
	}},
}

// execute executes the command in a line and returns its answer with the line feed. Words are separated by spaces; case is ignored in the
// first one.
func (s *Server) execute(line string) []byte {
	words := strings.Fields(line)
	if len(words) == 0 {
		return []byte("ERR an empty line\n")
	}
	for _, c := range commands {
		if !strings.EqualFold(c.word, words[0]) {
			continue
		}
		wanted := 1
		if c.needsServer {
			wanted = 2
		}
		switch {
		case len(words) < wanted:
			return fmt.Appendf(nil, "ERR %s needs a server's id\n", c.word)
		case len(words) > wanted:
			return fmt.Appendf(nil, "ERR %s takes nothing after %q\n", c.word, words[wanted-1])
		}
		return c.run(s, words[wanted-1])
	}
	if answer, known := s.executeFleetCommand(words, line); known {
		return answer
	}
	return fmt.Appendf(nil, "ERR unknown call %.40q\n", words[0])
}

// executeFleetCommand executes a command that only members of a fleet have; known is false if the line is no such command.
func (s *Server) executeFleetCommand(words []string, line string) (answer []byte, known bool) {
	switch word := strings.ToUpper(words[0]); {
	case s.Peers != nil && len(words) == 1 && word == "PEERS":
		return s.queryLoop(func() ([]byte, error) { return s.Peers(), nil }), true
	case s.Leases == nil:
	case len(words) == 1 && word == "OWNERS":
		return s.queryLoop(s.Leases.Status), true
	case len(words) == 1 && word == "ELECTORS":
		return s.queryLoop(s.Leases.Voters), true
	case len(words) == 1 && word == "REPORT":
		return s.queryLoop(s.Leases.Report), true
	case len(words) == 1 && word == "WORKS":
		return s.queryLoop(s.Leases.Maintenance), true
	case len(words) > 1 && word == "WORK":
		command := strings.TrimSpace(line)[len("WORK"):]
		return s.queryLoop(func() ([]byte, error) { return s.Leases.SubmitMaintenance([]byte(command)) }), true
	case len(words) == 2 && word == "STEPDOWN":
		return s.runOnLoop("the job "+words[1]+" is to go to another owner", func() error { return s.Leases.StepDown(words[1]) }), true
	}
	return nil, false
}

// queryLoop calls query on the event loop and returns its text, or a line with the error.
func (s *Server) queryLoop(query func() ([]byte, error)) []byte {
	result := make(chan []byte, 1)
	answer := s.runOnLoop("", func() error {
		text, err := query()
		result <- text
		return err
	})
	if bytes.HasPrefix(answer, []byte("OK")) {
		return <-result
	}
	return answer
}

// runOnLoop calls f on the event loop and returns an OK line with the message, or a line with the error. If the loop does not get to it within
// loopTimeout, f is still called later.
func (s *Server) runOnLoop(message string, f func() error) []byte {
	done := make(chan error, 1)
	s.controller.Do(func() { done <- f() })
	select {
	case err := <-done:
		if err != nil {
			return fmt.Appendf(nil, "ERR %v\n", err)
		}
		return fmt.Appendf(nil, "OK %s\n", message)
	case <-time.After(loopTimeout):
		return []byte("ERR the event loop is late: it will be done, ask again for a yes\n")
	}
}

// health answers HEALTH, which reports whether this process can serve.
func (s *Server) health(string) []byte {
	switch f := s.controller.StatusSnapshot(); {
	case f == nil:
		return []byte("ERR not serving yet\n")
	case f.IsShuttingDown:
		return []byte("ERR this process has been told to end\n")
	case s.now()-f.TakenAt > maxSnapshotAgeSeconds:
		return fmt.Appendf(nil, "ERR the event loop has stood still for %.1f s\n", s.now()-f.TakenAt)
	}
	return []byte("OK serving\n")
}

// dump answers DUMP with the published metrics, one per line. Operators' tools depend on the names.
func (s *Server) dump(string) []byte {
	f := s.controller.StatusSnapshot()
	if f == nil {
		return []byte("ERR no figures yet\n")
	}
	var b []byte
	add := func(name string, value uint64) {
		b = append(strconv.AppendUint(append(append(b, "gw_"+name...), ' '), value, 10), '\n')
	}
	for _, c := range f.Classes {
		label := `{lane="` + c.Class + `"}`
		add("completed"+label, c.Served)
		add("rejected"+label, c.Throttled)
		add("failed"+label, c.Failed)
	}
	add("upstream_requests", f.RequestsWritten)
	add("pending", uint64(f.OpenRequests))
	add("members", uint64(f.Servers))
	add("members_unavailable", uint64(f.UnavailableServers))
	for _, g := range f.FleetMetrics {
		add(g.Name, g.Value)
	}
	return append(b, "END\n"...)
}
