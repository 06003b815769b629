package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// role is what a process of the router fleet does. It is the subcommand that starts it.
type role string

// The roles of processes.
const (
	roleControl role = "control"
	roleAgent   role = "agent"
	roleProxy   role = "proxy"
)

// Ports of each machine, as offsets from the base port of the fleet. Each machine has an IP address of its own.
const (
	operatorPortOffset = 20
	frontPortOffset    = 21
	readyPortOffset    = 22
	portsPerMachine    = 4
	// The base port is drawn from basePortRange ports, all below the ephemeral ports (32768 and above).
	minBasePort   = 10000
	basePortRange = 21000
)

// fleet is the machines of a router fleet with their processes and addresses.
type fleet struct {
	settings            *Settings
	checker             *Checker
	dir                 string         // for configuration files and disks
	log                 io.Writer      // for the output of all processes
	outputs             sync.WaitGroup // of processes, while they are copied to log
	basePort            int
	endpointListAddress string
	controlMachines     []*machine
	edgeMachines        []*machine
}

// newFleet lays out the machines of a fleet. Nothing is written or started before start.
func newFleet(s *Settings, checker *Checker, dir, endpointListAddress string) *fleet {
	f := &fleet{settings: s, checker: checker, dir: dir, log: &lockedWriter{destination: &keyDetector{checker: checker, destination: s.Log}}, endpointListAddress: endpointListAddress,
		basePort: minBasePort + rand.IntN(basePortRange)}
	for i := range s.controlMachineCount() {
		m := &machine{name: fmt.Sprint("core-", i), ip: fmt.Sprintf("127.0.8.%d", 10+i), hasDisk: true}
		if s.ControlInAgents {
			f.controlMachines = append(f.controlMachines, f.addProcesses(m, roleAgent, roleProxy))
		} else {
			f.controlMachines = append(f.controlMachines, f.addProcesses(m, roleControl))
		}
	}
	for i := range s.edgeMachineCount() {
		m := &machine{name: fmt.Sprint("edge-", i), ip: fmt.Sprintf("127.0.9.%d", 10+i)}
		f.edgeMachines = append(f.edgeMachines, f.addProcesses(m, roleAgent, roleProxy))
	}
	return f
}

// addProcesses gives a machine its configuration file and a process of each role, and returns it.
func (f *fleet) addProcesses(m *machine, roles ...role) *machine {
	m.configFile = filepath.Join(f.dir, m.name+".yaml")
	for _, role := range roles {
		m.processes = append(m.processes, &process{role: role, machine: m, fleet: f})
	}
	return m
}

// machines returns all machines, control machines first.
func (f *fleet) machines() []*machine {
	return slices.Concat(f.controlMachines, f.edgeMachines)
}

// frontMachines returns the machines with a proxy.
func (f *fleet) frontMachines() []*machine {
	if f.settings.ControlInAgents {
		return f.machines()
	}
	return f.edgeMachines
}

// operatorAddress is where a machine takes the configuration.
func (f *fleet) operatorAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.basePort+operatorPortOffset)
}

// frontAddress is where a machine's proxy takes requests.
func (f *fleet) frontAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.basePort+frontPortOffset)
}

// readyAddress is where a machine's proxy answers readiness checks.
func (f *fleet) readyAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.basePort+readyPortOffset)
}

// drawBinary returns the program for the start of a process: where there is an earlier version, agents and control run that one at about every
// other start. Proxies don't: they are what is checked.
func (f *fleet) drawBinary(role role) string {
	if f.settings.OtherBinary != "" && role != roleProxy && rand.IntN(2) == 0 {
		return f.settings.OtherBinary
	}
	return f.settings.Binary
}

// writeConfig writes a machine's configuration file. Its seeds are three control machines: the first three with bootstrap, else drawn ones.
func (f *fleet) writeConfig(m *machine, bootstrap bool, rng *rand.Rand) error {
	const seedCount = 3
	order := rng.Perm(len(f.controlMachines))
	if bootstrap {
		order = []int{0, 1, 2} // all processes of a first start need the same seeds
	}
	var seeds []string
	for _, i := range order[:seedCount] {
		seeds = append(seeds, f.operatorAddress(f.controlMachines[i]))
	}
	text := fmt.Sprintf("NodeId: %q\nIp: %q\nZone: \"z%d\"\nBootstrap: %v\nCountsForQuorum: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sDataDir: %q\n"+
		"FaultTolerance: {Machines: %d}\nBounds: {GraceS: %v, CatchUpS: %v, RecoveryS: %v, ContactMs: 3000, AckMs: 4000, DrainMs: 3000, ConfigApplyMs: %v, "+
		"Revoked: true, LeaseMs: %d, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 60, again_s: 8, "+
		"QuotaWindowS: %v, QuotaOverage: %v, QuotaSlack: %v}\nCloud: {Address: %q, RatePerS: 50}\nListen:\n",
		m.name, m.ip, len(m.name)%3, bootstrap, m.hasDisk, f.basePort, f.basePort+portsPerMachine-1, yamlList(seeds), m.dataDir(f.dir),
		f.settings.tolerableLosses(), graceSeconds, catchUpSeconds, recoverySeconds, configApplySeconds*1000, leaseMilliseconds, limitWindow.Seconds(), limitOverage, limitSlackTokens,
		f.endpointListAddress)
	text += fmt.Sprintf("  Control: %q\n", f.operatorAddress(m))
	if m.process(roleProxy) != nil {
		text += fmt.Sprintf("  Front: %q\n  Ready: %q\n", f.frontAddress(m), f.readyAddress(m))
	}
	// A process that starts meanwhile must read the old file or the new one, and never a part of one.
	next := m.configFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, m.configFile))
}

// start writes all configuration files for a first start, then starts all processes.
func (f *fleet) start(rng *rand.Rand) error {
	for _, m := range f.machines() {
		if err := f.writeConfig(m, true, rng); err != nil {
			return err
		}
	}
	for _, m := range f.machines() {
		for _, p := range m.processes {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// killAll kills the processes that are still running, and only those that the fleet started. It returns once all output is copied.
func (f *fleet) killAll() {
	for _, m := range f.machines() {
		for _, p := range m.processes {
			p.kill()
		}
	}
	f.outputs.Wait()
}
