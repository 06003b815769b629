// Package soak plays a router fleet of real processes on loopback addresses for minutes: clients that keep their connections, an operator
// that keeps changing the configuration, and signals, kills, restarts and lost disks that come in series and overlap. All of it is drawn
// from a seed. What is checked is what crossed the sockets of its own clients, servers and operator, and what the system tells of the
// processes.
package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak")

// The bounds that the fleet's settings name, and what a busy machine adds to them before a check fails.
const (
	graceS          = 6.0
	catchUpS        = 4.0
	recoveryS       = 12.0
	configApplyS    = 2.0
	leaseMs         = 3000
	machineSlack    = 3 * time.Second
	requestDeadline = 2500 * time.Millisecond
)

const (
	leastProcesses = 7 // three control processes, two agents and two proxies
	leastBeside    = 8 // four machines with an agent and a proxy, three of them with a disk
	mostProcesses  = 300
	// processMB is what one process takes at most, in megabytes of 2^20 bytes.
	processMB = 32
	// manyProcesses is from how many on the control side has five processes.
	manyProcesses = 60
	leastFor      = 10 * time.Second
)

// Settings says what is played.
type Settings struct {
	Seed            uint64
	FaultDuration   time.Duration // how long there are faults
	Processes       int
	ControlInAgents bool      // control runs within agents, on machines that take requests
	Binary          string    // hazelfleet's file
	Dir             string    // for disks and settings; empty: a folder that is removed
	Log             io.Writer // what the processes write
}

// Check tells what of the settings can't be kept, in one line that names the flag.
func (s *Settings) Validate() error {
	switch {
	case s.Processes < leastProcesses:
		return Error.New("--processes %d: want %d at least (three control processes, two agents, two proxies)", s.Processes, leastProcesses)
	case s.ControlInAgents && s.Processes < leastBeside:
		return Error.New("--processes %d: want %d at least with --beside (four machines with an agent and a proxy)", s.Processes, leastBeside)
	case s.Processes > mostProcesses:
		return Error.New("--processes %d: want %d at most", s.Processes, mostProcesses)
	case s.FaultDuration < leastFor:
		return Error.New("--minutes: %v are too short, want %v at least", s.FaultDuration, leastFor)
	}
	memory, err := memoryMB()
	if err != nil {
		return err
	}
	if need := s.Processes * processMB; need > memory/2 {
		return Error.New("--processes %d: they may take %d MB, more than half of the memory (%d MB)", s.Processes, need, memory)
	}
	if _, err := os.Stat(s.Binary); err != nil {
		return Error.New("--binary: %v", err)
	}
	return nil
}

// memoryMB is the machine's memory.
func memoryMB() (int, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = file.Close() }() // read only
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var kilobytes int
		if n, _ := fmt.Sscanf(lines.Text(), "MemTotal: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10, nil
		}
	}
	return 0, Error.New("/proc/meminfo tells no MemTotal")
}

// controls is the number of control processes, edges that of machines with an agent and a proxy.
func (s *Settings) controls() int {
	if s.Processes >= manyProcesses {
		return 5
	}
	return 3
}

func (s *Settings) edges() int { return (s.Processes - s.controlProcesses()) / 2 }

// controlProcesses is the number of processes on machines that hold a part of the configuration.
func (s *Settings) controlProcesses() int {
	if s.ControlInAgents {
		return 2 * s.controls()
	}
	return s.controls()
}

// tolerate is how many control machines may be lost at once.
func (s *Settings) tolerate() int { return (s.controls() - 1) / 2 }

func quoted(items []string) string {
	var out strings.Builder
	for _, item := range items {
		fmt.Fprintf(&out, "  - %q\n", item)
	}
	return out.String()
}
