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
	operatorPort = 20
	frontPort    = 21
	readyPort    = 22
	portsEach    = 4
	// All ports are below those that the system gives to connections by itself (32768 and above).
	lowestPort  = 10000
	portChoices = 21000
)

// fleet is all processes, with the addresses at which they are met.
type fleet struct {
	settings *Settings
	checker  *Checker
	dir      string
	log      io.Writer
	base     int
	platform string
	controls []*machine
	edges    []*machine
}

func newFleet(s *Settings, checker *Checker, dir, platform string) *fleet {
	f := &fleet{settings: s, checker: checker, dir: dir, log: &lockedWriter{out: s.Log}, platform: platform,
		base: lowestPort + rand.IntN(portChoices)}
	for i := range s.controls() {
		m := &machine{name: fmt.Sprint("core-", i), ip: fmt.Sprintf("127.0.8.%d", 10+i), disk: true}
		if s.ControlInAgents {
			f.controls = append(f.controls, f.equip(m, roleAgent, roleProxy))
		} else {
			f.controls = append(f.controls, f.equip(m, roleControl))
		}
	}
	for i := range s.edges() {
		m := &machine{name: fmt.Sprint("edge-", i), ip: fmt.Sprintf("127.0.9.%d", 10+i)}
		f.edges = append(f.edges, f.equip(m, roleAgent, roleProxy))
	}
	return f
}

func (f *fleet) equip(m *machine, roles ...string) *machine {
	m.file = filepath.Join(f.dir, m.name+".yaml")
	for _, role := range roles {
		m.processes = append(m.processes, &process{role: role, machine: m, fleet: f})
	}
	return m
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.controls...), f.edges...)
}

// fronts are the machines that take requests.
func (f *fleet) fronts() []*machine {
	if f.settings.ControlInAgents {
		return f.machines()
	}
	return f.edges
}

func (f *fleet) operator(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.base+operatorPort) }
func (f *fleet) front(m *machine) string    { return fmt.Sprintf("%s:%d", m.ip, f.base+frontPort) }
func (f *fleet) ready(m *machine) string    { return fmt.Sprintf("%s:%d", m.ip, f.base+readyPort) }

// write puts a machine's settings file in place. Seeds are three control machines, other ones each time.
func (f *fleet) write(m *machine, bootstrap bool, rng *rand.Rand) error {
	const seedCount = 3
	order := rng.Perm(len(f.controls))
	if bootstrap {
		order = []int{0, 1, 2} // all processes of a first start are told the same
	}
	var seeds []string
	for _, i := range order[:seedCount] {
		seeds = append(seeds, f.operator(f.controls[i]))
	}
	text := fmt.Sprintf("NodeId: %q\nIp: %q\nZone: \"z%d\"\nBootstrap: %v\nCountsForQuorum: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sDataDir: %q\n"+
		"FaultTolerance: {Machines: %d}\nBounds: {GraceS: %v, CatchUpS: %v, RecoveryS: %v, ContactMs: 3000, AckMs: 4000, DrainMs: 3000, ConfigApplyMs: %v, "+
		"LeaseMs: %d, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 60, again_s: 8}\nCloud: {Address: %q, RatePerS: 50}\nListen:\n",
		m.name, m.ip, len(m.name)%3, bootstrap, m.disk, f.base, f.base+portsEach-1, quoted(seeds), m.dataDir(f.dir),
		f.settings.tolerate(), graceS, catchUpS, recoveryS, configApplyS*1000, leaseMs, f.platform)
	text += fmt.Sprintf("  Control: %q\n", f.operator(m))
	if m.process(roleProxy) != nil {
		text += fmt.Sprintf("  Front: %q\n  Ready: %q\n", f.front(m), f.ready(m))
	}
	// A process that begins meanwhile finds the old file or the new one, and no half of either.
	next := m.file + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, m.file))
}

// start begins all processes at once.
func (f *fleet) start(rng *rand.Rand) error {
	for _, m := range f.machines() {
		if err := f.write(m, true, rng); err != nil {
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
func (f *fleet) end() {
	for _, m := range f.machines() {
		for _, p := range m.processes {
			p.kill()
		}
	}
}
