package admin

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// LeaseCommands are what the calls OWNERS, ELECTORS, STEPDOWN JOB, REPORT, WORKS and WORK COMMAND have done on the loop.
type LeaseCommands struct {
	Status, Voters, Report func() ([]byte, error)
	StepDown               func(job string) error
	Maintenance            func() ([]byte, error)
	SubmitMaintenance      func(command []byte) ([]byte, error)
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
