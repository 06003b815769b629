package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
)

// The roles of processes.
const (
	roleControl = "control"
	roleAgent   = "agent"
	roleProxy   = "proxy"
)

// Ports, counted from the fleet's first one. Each machine has an address of its own.
const (
	operatorPortOffset = 20
	frontPortOffset    = 21
	readyPortOffset    = 22
	portsPerMachine    = 4
	// All ports are below those that the system gives to connections by itself (32768 and above).
	minBasePort   = 10000
	basePortRange = 21000
)

// fleet is all processes, with the addresses at which they are met.
type fleet struct {
	settings            *Settings
	checker             *Checker
	dir                 string
	log                 io.Writer
	basePort            int
	endpointListAddress string
	controlMachines     []*machine
	edgeMachines        []*machine
}

func newFleet(s *Settings, checker *Checker, dir, endpointListAddress string) *fleet {
	f := &fleet{settings: s, checker: checker, dir: dir, log: &lockedWriter{out: s.Log}, endpointListAddress: endpointListAddress,
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

func (f *fleet) addProcesses(m *machine, roles ...string) *machine {
	m.configFile = filepath.Join(f.dir, m.name+".yaml")
	for _, role := range roles {
		m.processes = append(m.processes, &process{role: role, machine: m, fleet: f})
	}
	return m
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.controlMachines...), f.edgeMachines...)
}

// fronts are the machines that take requests.
func (f *fleet) frontMachines() []*machine {
	if f.settings.ControlInAgents {
		return f.machines()
	}
	return f.edgeMachines
}

func (f *fleet) operatorAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.basePort+operatorPortOffset)
}
func (f *fleet) frontAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.basePort+frontPortOffset)
}
func (f *fleet) readyAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.basePort+readyPortOffset)
}

// write puts a machine's settings file in place. Seeds are three control machines, other ones each time.
func (f *fleet) writeConfig(m *machine, bootstrap bool, rng *rand.Rand) error {
	const seedCount = 3
	order := rng.Perm(len(f.controlMachines))
	if bootstrap {
		order = []int{0, 1, 2} // all processes of a first start are told the same
	}
	var seeds []string
	for _, i := range order[:seedCount] {
		seeds = append(seeds, f.operatorAddress(f.controlMachines[i]))
	}
	text := fmt.Sprintf("NodeId: %q\nIp: %q\nZone: \"z%d\"\nBootstrap: %v\nCountsForQuorum: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sDataDir: %q\n"+
		"FaultTolerance: {Machines: %d}\nBounds: {GraceS: %v, CatchUpS: %v, RecoveryS: %v, ContactMs: 3000, AckMs: 4000, DrainMs: 3000, ConfigApplyMs: %v, "+
		"LeaseMs: %d, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 60, again_s: 8}\nCloud: {Address: %q, RatePerS: 50}\nListen:\n",
		m.name, m.ip, len(m.name)%3, bootstrap, m.hasDisk, f.basePort, f.basePort+portsPerMachine-1, yamlList(seeds), m.dataDir(f.dir),
		f.settings.tolerableLosses(), graceSeconds, catchUpSeconds, recoverySeconds, configApplySeconds*1000, leaseMilliseconds, f.endpointListAddress)
	text += fmt.Sprintf("  Control: %q\n", f.operatorAddress(m))
	if m.process(roleProxy) != nil {
		text += fmt.Sprintf("  Front: %q\n  Ready: %q\n", f.frontAddress(m), f.readyAddress(m))
	}
	// A process that begins meanwhile finds the old file or the new one, and no half of either.
	next := m.configFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, m.configFile))
}

// start begins all processes at once.
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

// end ends what is left, by its own process ids.
func (f *fleet) killAll() {
	for _, m := range f.machines() {
		for _, p := range m.processes {
			p.kill()
		}
	}
}
