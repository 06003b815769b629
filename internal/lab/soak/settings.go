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

// The bounds in the fleet's configuration files, and busyMachineSlack, by which a check allows more because the machine may be busy.
const (
	graceSeconds       = 6.0
	catchUpSeconds     = 4.0
	recoverySeconds    = 12.0
	configApplySeconds = 2.0
	leaseMilliseconds  = 3000
	busyMachineSlack   = 3 * time.Second
	requestDeadline    = 2500 * time.Millisecond // of each client request
)

// Bounds of settings.
const (
	minProcesses         = 7 // three control processes, two agents and two proxies
	minProcessesInAgents = 8 // four machines with an agent and a proxy, three of them with a disk
	maxProcesses         = 300
	// maxProcessMegabytes is the most memory that one process needs, in megabytes of 2^20 bytes.
	maxProcessMegabytes = 32
	// largeFleetProcesses is the number of processes from which there are five control machines.
	largeFleetProcesses = 60
	minFaultDuration    = 10 * time.Second
)

// Settings configures a run.
type Settings struct {
	Seed            uint64
	FaultDuration   time.Duration // how long faults are injected
	Processes       int           // at most; rounded down to whole machines
	ControlInAgents bool          // control runs within agents, on machines with a proxy
	Binary          string        // path of the hazelfleet program
	WithoutFaults   bool          // nothing is done to machines, and no server is replaced, during FaultDuration
	OtherBinary     string        // an earlier version of it, which agents and control run at about every other start; empty: none
	Dir             string        // for disks and configuration files; empty: a temporary folder, removed at the end
	Log             io.Writer     // for the output of the processes; nil discards it
}

// Validate returns an error in one line that names the flag of the first setting that this machine or the fleet can't satisfy.
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
	if s.OtherBinary != "" {
		if _, err := os.Stat(s.OtherBinary); err != nil {
			return Error.New("--other: %v", err)
		}
	}
	return nil
}

// totalMemoryMegabytes returns the machine's memory in megabytes of 2^20 bytes.
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

// controlMachineCount is the number of machines with a replica of the configuration.
func (s *Settings) controlMachineCount() int {
	if s.Processes >= largeFleetProcesses {
		return 5
	}
	return 3
}

// edgeMachineCount is the number of machines that have an agent and a proxy, and no replica.
func (s *Settings) edgeMachineCount() int { return (s.Processes - s.controlProcessCount()) / 2 }

// controlProcessCount is the number of processes on control machines.
func (s *Settings) controlProcessCount() int {
	if s.ControlInAgents {
		return 2 * s.controlMachineCount()
	}
	return s.controlMachineCount()
}

// tolerableLosses is how many control machines may be unavailable at once without losing the quorum.
func (s *Settings) tolerableLosses() int { return (s.controlMachineCount() - 1) / 2 }

// yamlList formats items as the lines of a YAML list.
func yamlList(items []string) string {
	var out strings.Builder
	for _, item := range items {
		fmt.Fprintf(&out, "  - %q\n", item)
	}
	return out.String()
}
