package sim

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/coordination"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/sidecarconfig"
)

// machine is one of the world's hosts on its virtual machine.
type machine struct {
	environment.Machine
	vm      *virtual.Machine
	process *virtual.Process // the last life; nil: there was none
}

// instance is a sidecar, over all its lives.
type instance struct {
	day                 *day
	number              int
	spec                environment.SidecarSpec
	vm                  *virtual.Machine
	process             *virtual.Process // the last life; nil: there was none
	program             Program
	isTerminating       bool
	reportedDescriptors int // the descriptors that the judge knows of
	reportedFailures    int
	stallRand           *rand.Rand

	node             *coordination.Node      // of the last life; nil: sidecars do not know each other
	state            coordination.SavedState // on its disk
	oldStates        [][]byte                // what it held before, the oldest first
	starts           int
	goneIncarnations map[string]uint64 // by identity, the incarnation by which the present life has held one for gone; looked up, never walked
	goneInStart      int
	isSuspended      bool
	isStateDamaged   bool    // its disk was lost, torn or put back since its last start
	startedBlind     bool    // its present life knew nothing of boxes that are out, and could ask nobody
	isolatedSince    float64 // since when most of the others do not reach it; 0: they do
	isDiskFull       bool    // its disk takes nothing
	clockRate        float64 // of its clock; 0: as that of the others
	upSince          float64 // since when it has been there; 0: it has not been yet
	downSince        float64 // since when it is not; 0: it is there
}

var _ environment.Hosts = (*day)(nil)

// lay puts the machines into the network, with the ways between them.
func (d *day) createMachines() {
	sites := map[*virtual.Machine]int{} // looked up, never walked
	var all []*virtual.Machine
	place := func(ip string, site int) *virtual.Machine {
		vm := d.network.Machine(ip)
		if _, known := sites[vm]; !known {
			sites[vm] = site
			all = append(all, vm)
		}
		return vm
	}
	for i, s := range d.spec.Sidecars {
		d.sidecars = append(d.sidecars, &instance{day: d, number: i, spec: s, vm: place(s.IP, s.Site),
			stallRand: rand.New(rand.NewPCG(d.spec.Seed, uint64(i)+0x7374))})
	}
	for _, m := range d.environment.Machines() {
		d.machines = append(d.machines, &machine{Machine: m, vm: place(m.IP, m.Site)})
	}
	for _, a := range all {
		for _, b := range all {
			way := d.spec.ClientPathSeconds
			if a != b {
				way = d.spec.PathBetween(sites[a], sites[b])
			}
			d.network.SetPath(a, b, virtual.Path{LatencySeconds: way, JitterSeconds: way * d.spec.Jitter})
		}
	}
}

// begin starts all that stands at the day's beginning.
func (d *day) startAll() error {
	started := len(d.sidecars) - d.script.StandbySidecars()
	standby := map[string]bool{} // looked up, never walked
	for _, s := range d.sidecars[started:] {
		standby[s.spec.IP] = true
	}
	for _, m := range d.machines {
		if !m.StartsLater && !standby[m.IP] {
			if err := m.start(d); err != nil {
				return err
			}
		}
	}
	for _, s := range d.sidecars[:started] {
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// begin begins a life of a machine's program.
func (m *machine) start(d *day) error {
	o := virtual.ProcessOptions{Name: m.Name, Shuffle: d.conditions.shuffle}
	if m.Listen != "" {
		o.Listen = []string{m.Listen}
	}
	m.process = m.vm.Process(o)
	return m.process.Run(m.Boot(m.process))
}

// begin begins a life of a sidecar, with the configuration that the platform writes now.
func (s *instance) start() error {
	d := s.day
	cfg, err := sidecarconfig.Parse(d.environment.StartConfiguration(s.number, d.network.Now()))
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.spec.Name, err)
	}
	if d.configuredSidecars > 0 {
		cfg.Settings.Policy.Replicas, cfg.Settings.Policy.Self = d.configuredSidecars, s.number%d.configuredSidecars
	}
	w := &d.conditions
	// A process holds descriptors beside its links: standard streams, pollers, files.
	listen := []string{s.spec.Address}
	if d.spec.Protocol.IsThrift() {
		listen = append(listen, environment.ThriftAddress(s.spec.Address))
	}
	s.process = s.vm.Process(virtual.ProcessOptions{Name: s.spec.Name, Listen: listen, MaxDescriptors: d.spec.MaxDescriptors,
		ReservedDescriptors: 8, Backlog: w.backlog, SendBuffer: w.sendBuffer, ReceiveBuffer: w.receiveBuffer, MaxWakeDelaySeconds: w.maxWakeDelaySeconds, CallSeconds: w.callSeconds, Shuffle: w.shuffle,
		OnExit: s.exited})
	s.isTerminating, s.reportedDescriptors, s.reportedFailures = false, 0, 0
	core := d.factory
	if d.hasFleet {
		core = d.fleetFactory(s)
	}
	s.isSuspended = false
	if s.program, err = core(cfg, s.process, slog.New(&logHandler{sidecar: s})); err != nil {
		return fmt.Errorf("%s: %w", s.spec.Name, err)
	}
	if err := s.process.Run(s.program); err != nil {
		return err
	}
	if s.clockRate != 0 {
		s.process.SetClockRate(s.clockRate)
	}
	if w.stallIntervalSeconds > 0 {
		s.scheduleStall(s.process)
	}
	return nil
}

// stall has the loop of a life stand still now and then.
func (s *instance) scheduleStall(process *virtual.Process) {
	w := &s.day.conditions
	s.day.network.Schedule(s.day.network.Now()+w.stallIntervalSeconds*s.stallRand.ExpFloat64(), func() {
		if s.process == process && process.IsRunning() {
			process.Stall(s.day.network.Now() + w.maxStallSeconds*s.stallRand.Float64())
			s.scheduleStall(process)
		}
	})
}

// exited takes the end of a process that has ended by itself.
func (s *instance) exited() {
	s.day.observeNow(checker.Event{Kind: checker.SidecarExited, Sidecar: int32(s.number)})
}

// Kill ends the process of a machine: that of a sidecar, where there is one, and else all that is there.
func (d *day) Kill(ip string) {
	if s := d.sidecarAt(ip); s != nil {
		if s.process != nil {
			s.process.Kill()
		}
		return
	}
	for _, m := range d.machines {
		if m.IP == ip && m.process != nil {
			m.process.Kill()
		}
	}
}

// Vanish takes a machine away without a word, with all that runs there.
func (d *day) Vanish(ip string) { d.network.Machine(ip).PowerOff() }

// Return begins what does not run on a machine.
func (d *day) Start(ip string) {
	if vm := d.network.Machine(ip); vm.IsDown() {
		vm.PowerOn()
	}
	var err error
	for _, m := range d.machines {
		if m.IP == ip && (m.process == nil || !m.process.IsRunning()) && err == nil {
			err = m.start(d)
		}
	}
	if s := d.sidecarAt(ip); s != nil && (s.process == nil || !s.process.IsRunning()) && err == nil {
		err = s.start()
	}
	if err != nil {
		// Danger: a process that can't begin again would make a day easier without a word.
		panic(fmt.Sprintf("%s does not come back: %v", ip, err))
	}
}

// Terminate tells a sidecar's process to end in its own time.
func (d *day) Terminate(sidecar int) {
	s := d.sidecars[sidecar]
	if s.process == nil || !s.process.IsRunning() || s.isTerminating {
		return
	}
	s.isTerminating = true
	s.program.Do(s.program.Drain)
}

// Hangup has a sidecar's process read its configuration again.
func (d *day) Reload(sidecar int, configuration []byte) {
	s := d.sidecars[sidecar]
	if s.process == nil || !s.process.IsRunning() {
		return
	}
	cfg, err := sidecarconfig.Parse(configuration)
	s.program.Do(func() { s.program.Reload(cfg, err) })
}

// Now returns the network's time.
func (d *day) Now() float64 { return d.network.Now() }

// TakeOut calls at a sidecar's door.
func (d *day) Cordon(sidecar int, box string, on bool, yes func()) {
	s := d.sidecars[sidecar]
	if s.process == nil || !s.process.IsRunning() {
		return
	}
	s.program.Do(func() {
		call := s.program.UncordonServer
		if on {
			call = s.program.CordonServer
		}
		if call(box) == nil {
			yes()
		}
	})
}

// Cut loses what is sent from one machine to another, until as many Mends as there were Cuts.
func (d *day) DropTraffic(from, to string) {
	d.dropCounts[[2]string{from, to}]++
	d.network.SetPartitioned(d.network.Machine(from), d.network.Machine(to), true)
}

// Mend ends that.
func (d *day) RestoreTraffic(from, to string) {
	way := [2]string{from, to}
	if d.dropCounts[way]--; d.dropCounts[way] == 0 {
		d.network.SetPartitioned(d.network.Machine(from), d.network.Machine(to), false)
	}
}

// LateConnects has connections to a machine come up late.
func (d *day) DelayConnects(ip string, share, mostS float64) {
	d.network.Machine(ip).SetHandshakeDelay(share, mostS)
}

// Reset breaks all connections between two machines.
func (d *day) ResetConnections(a, b string) {
	far := d.network.Machine(b)
	for _, p := range d.processes(a) {
		for _, c := range p.Conns() {
			if peer := c.Peer(); peer != nil && peer.Process().Machine() == far {
				d.network.Reset(c)
			}
		}
	}
}

// slowestRate is what an application reads of each connection in a second, in bytes, where it gives all its time to a
// trouble of slow reading; answers are some 200 bytes.
const slowestBytesPerSecond = 4000.0

// Stall slows what a sidecar's application reads.
func (d *day) LimitReading(sidecar int, share float64) {
	for _, m := range d.machines {
		if m.vm == d.sidecars[sidecar].vm && m.process != nil {
			if share >= 1 {
				m.process.SetReadRate(0)
			} else {
				m.process.SetReadRate(max(share, 0.001) * slowestBytesPerSecond)
			}
		}
	}
}

func (d *day) sidecarAt(ip string) *instance {
	for _, s := range d.sidecars {
		if s.spec.IP == ip {
			return s
		}
	}
	return nil
}

// processes returns what runs on a machine.
func (d *day) processes(ip string) []*virtual.Process {
	var all []*virtual.Process
	if s := d.sidecarAt(ip); s != nil && s.process != nil {
		all = append(all, s.process)
	}
	for _, m := range d.machines {
		if m.IP == ip && m.process != nil {
			all = append(all, m.process)
		}
	}
	return all
}

// logs is where a sidecar's log goes: to the trace; and the judge is told of its panics.
type logHandler struct{ sidecar *instance }

func (l *logHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError || l.sidecar.day.trace != nil
}

func (l *logHandler) Handle(_ context.Context, r slog.Record) error {
	d := l.sidecar.day
	if r.Level >= slog.LevelError && r.Message == "panic" {
		text := ""
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "cause" {
				text = a.Value.String()
			}
			return true
		})
		d.observeNow(checker.Event{Kind: checker.SidecarPanicked, Sidecar: int32(l.sidecar.number), Text: text})
	}
	if d.trace != nil {
		line := fmt.Sprintf("%-12s log: %s", l.sidecar.spec.Name, r.Message)
		r.Attrs(func(a slog.Attr) bool {
			line += fmt.Sprintf(" %s=%s", a.Key, a.Value)
			return true
		})
		d.trace(d.network.Now()-d.spec.Start, line)
	}
	return nil
}

func (l *logHandler) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l *logHandler) WithGroup(string) slog.Handler      { return l }
