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
	graceSeconds       = 6.0
	catchUpSeconds     = 4.0
	recoverySeconds    = 12.0
	configApplySeconds = 2.0
	leaseMilliseconds  = 3000
	busyMachineSlack   = 3 * time.Second
	requestDeadline    = 2500 * time.Millisecond
)

const (
	minProcesses         = 7 // three control processes, two agents and two proxies
	minProcessesInAgents = 8 // four machines with an agent and a proxy, three of them with a disk
	maxProcesses         = 300
	// processMB is what one process takes at most, in megabytes of 2^20 bytes.
	maxProcessMegabytes = 32
	// manyProcesses is from how many on the control side has five processes.
	largeFleetProcesses = 60
	minFaultDuration    = 10 * time.Second
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
	case s.Processes < minProcesses:
		return Error.New("--processes %d: want %d at least (three control processes, two agents, two proxies)", s.Processes, minProcesses)
	case s.ControlInAgents && s.Processes < minProcessesInAgents:
		return Error.New("--processes %d: want %d at least with --beside (four machines with an agent and a proxy)", s.Processes, minProcessesInAgents)
	case s.Processes > maxProcesses:
		return Error.New("--processes %d: want %d at most", s.Processes, maxProcesses)
	case s.FaultDuration < minFaultDuration:
		return Error.New("--minutes: %v are too short, want %v at least", s.FaultDuration, minFaultDuration)
	}
	memory, err := totalMemoryMegabytes()
	if err != nil {
		return err
	}
	if need := s.Processes * maxProcessMegabytes; need > memory/2 {
		return Error.New("--processes %d: they may take %d MB, more than half of the memory (%d MB)", s.Processes, need, memory)
	}
	if _, err := os.Stat(s.Binary); err != nil {
		return Error.New("--binary: %v", err)
	}
	return nil
}

// memoryMB is the machine's memory.
func totalMemoryMegabytes() (int, error) {
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
func (s *Settings) controlMachineCount() int {
	if s.Processes >= largeFleetProcesses {
		return 5
	}
	return 3
}

func (s *Settings) edgeMachineCount() int { return (s.Processes - s.controlProcessCount()) / 2 }

// controlProcesses is the number of processes on machines that hold a part of the configuration.
func (s *Settings) controlProcessCount() int {
	if s.ControlInAgents {
		return 2 * s.controlMachineCount()
	}
	return s.controlMachineCount()
}

// tolerate is how many control machines may be lost at once.
func (s *Settings) tolerableLosses() int { return (s.controlMachineCount() - 1) / 2 }

func yamlList(items []string) string {
	var out strings.Builder
	for _, item := range items {
		fmt.Fprintf(&out, "  - %q\n", item)
	}
	return out.String()
}
