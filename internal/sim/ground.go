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
	vm   *virtual.Machine
	proc *virtual.Process // the last life; nil: there was none
}

// instance is a sidecar, over all its lives.
type instance struct {
	d       *day
	number  int
	spec    environment.SidecarSpec
	vm      *virtual.Machine
	proc    *virtual.Process // the last life; nil: there was none
	program Program
	termed  bool
	told    int // the descriptors that the judge knows of
	denied  int
	stalls  *rand.Rand

	fleet     *coordination.Node      // of the last life; nil: sidecars do not know each other
	saved     coordination.SavedState // on its disk
	older     [][]byte                // what it held before, the oldest first
	lives     int
	gone      map[string]uint64 // by identity, the incarnation by which the present life has held one for gone; looked up, never walked
	goneLife  int
	frozen    bool
	spoilt    bool    // its disk was lost, torn or put back since its last start
	blind     bool    // its present life knew nothing of boxes that are out, and could ask nobody
	unheardAt float64 // since when most of the others do not reach it; 0: they do
	full      bool    // its disk takes nothing
	rate      float64 // of its clock; 0: as that of the others
	upAt      float64 // since when it has been there; 0: it has not been yet
	downAt    float64 // since when it is not; 0: it is there
}

var _ environment.Hosts = (*day)(nil)

// lay puts the machines into the network, with the ways between them.
func (d *day) lay() {
	sites := map[*virtual.Machine]int{} // looked up, never walked
	var all []*virtual.Machine
	place := func(ip string, site int) *virtual.Machine {
		vm := d.net.Machine(ip)
		if _, known := sites[vm]; !known {
			sites[vm] = site
			all = append(all, vm)
		}
		return vm
	}
	for i, s := range d.spec.Sidecars {
		d.sidecars = append(d.sidecars, &instance{d: d, number: i, spec: s, vm: place(s.IP, s.Site),
			stalls: rand.New(rand.NewPCG(d.spec.Seed, uint64(i)+0x7374))})
	}
	for _, m := range d.world.Machines() {
		d.machines = append(d.machines, &machine{Machine: m, vm: place(m.IP, m.Site)})
	}
	for _, a := range all {
		for _, b := range all {
			way := d.spec.ClientPathSeconds
			if a != b {
				way = d.spec.PathBetween(sites[a], sites[b])
			}
			d.net.SetPath(a, b, virtual.Path{LatencySeconds: way, JitterSeconds: way * d.spec.Jitter})
		}
	}
}

// begin starts all that stands at the day's beginning.
func (d *day) begin() error {
	standing := len(d.sidecars) - d.script.StandbySidecars()
	waits := map[string]bool{} // looked up, never walked
	for _, s := range d.sidecars[standing:] {
		waits[s.spec.IP] = true
	}
	for _, m := range d.machines {
		if !m.StartsLater && !waits[m.IP] {
			if err := m.begin(d); err != nil {
				return err
			}
		}
	}
	for _, s := range d.sidecars[:standing] {
		if err := s.begin(); err != nil {
			return err
		}
	}
	return nil
}

// begin begins a life of a machine's program.
func (m *machine) begin(d *day) error {
	o := virtual.ProcessOptions{Name: m.Name, Shuffle: d.weather.shuffle}
	if m.Listen != "" {
		o.Listen = []string{m.Listen}
	}
	m.proc = m.vm.Process(o)
	return m.proc.Run(m.Boot(m.proc))
}

// begin begins a life of a sidecar, with the configuration that the platform writes now.
func (s *instance) begin() error {
	d := s.d
	cfg, err := sidecarconfig.Parse(d.world.StartConfiguration(s.number, d.net.Now()))
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.spec.Name, err)
	}
	if d.told > 0 {
		cfg.Settings.Policy.Replicas, cfg.Settings.Policy.Self = d.told, s.number%d.told
	}
	w := &d.weather
	// A process holds descriptors beside its links: standard streams, pollers, files.
	listen := []string{s.spec.Address}
	if d.spec.Protocol.IsThrift() {
		listen = append(listen, environment.ThriftAddress(s.spec.Address))
	}
	s.proc = s.vm.Process(virtual.ProcessOptions{Name: s.spec.Name, Listen: listen, MaxDescriptors: d.spec.MaxDescriptors,
		ReservedDescriptors: 8, Backlog: w.backlog, SendBuffer: w.send, ReceiveBuffer: w.receive, MaxWakeDelaySeconds: w.wakeS, CallSeconds: w.callS, Shuffle: w.shuffle,
		OnExit: s.exited})
	s.termed, s.told, s.denied = false, 0, 0
	core := d.core
	if d.together {
		core = d.withFleet(s)
	}
	s.frozen = false
	if s.program, err = core(cfg, s.proc, slog.New(&logs{s: s})); err != nil {
		return fmt.Errorf("%s: %w", s.spec.Name, err)
	}
	if err := s.proc.Run(s.program); err != nil {
		return err
	}
	if s.rate != 0 {
		s.proc.SetClockRate(s.rate)
	}
	if w.everyS > 0 {
		s.stall(s.proc)
	}
	return nil
}

// stall has the loop of a life stand still now and then.
func (s *instance) stall(life *virtual.Process) {
	w := &s.d.weather
	s.d.net.Schedule(s.d.net.Now()+w.everyS*s.stalls.ExpFloat64(), func() {
		if s.proc == life && life.IsRunning() {
			life.Stall(s.d.net.Now() + w.stallS*s.stalls.Float64())
			s.stall(life)
		}
	})
}

// exited takes the end of a process that has ended by itself.
func (s *instance) exited() {
	s.d.see(checker.Event{Kind: checker.SidecarExited, Sidecar: int32(s.number)})
}

// Kill ends the process of a machine: that of a sidecar, where there is one, and else all that is there.
func (d *day) Kill(ip string) {
	if s := d.sidecarAt(ip); s != nil {
		if s.proc != nil {
			s.proc.Kill()
		}
		return
	}
	for _, m := range d.machines {
		if m.IP == ip && m.proc != nil {
			m.proc.Kill()
		}
	}
}

// Vanish takes a machine away without a word, with all that runs there.
func (d *day) Vanish(ip string) { d.net.Machine(ip).PowerOff() }

// Return begins what does not run on a machine.
func (d *day) Start(ip string) {
	if vm := d.net.Machine(ip); vm.IsDown() {
		vm.PowerOn()
	}
	var err error
	for _, m := range d.machines {
		if m.IP == ip && (m.proc == nil || !m.proc.IsRunning()) && err == nil {
			err = m.begin(d)
		}
	}
	if s := d.sidecarAt(ip); s != nil && (s.proc == nil || !s.proc.IsRunning()) && err == nil {
		err = s.begin()
	}
	if err != nil {
		// Danger: a process that can't begin again would make a day easier without a word.
		panic(fmt.Sprintf("%s does not come back: %v", ip, err))
	}
}

// Terminate tells a sidecar's process to end in its own time.
func (d *day) Terminate(sidecar int) {
	s := d.sidecars[sidecar]
	if s.proc == nil || !s.proc.IsRunning() || s.termed {
		return
	}
	s.termed = true
	s.program.Do(s.program.Drain)
}

// Hangup has a sidecar's process read its configuration again.
func (d *day) Reload(sidecar int, configuration []byte) {
	s := d.sidecars[sidecar]
	if s.proc == nil || !s.proc.IsRunning() {
		return
	}
	cfg, err := sidecarconfig.Parse(configuration)
	s.program.Do(func() { s.program.Reload(cfg, err) })
}

// Now returns the network's time.
func (d *day) Now() float64 { return d.net.Now() }

// TakeOut calls at a sidecar's door.
func (d *day) Cordon(sidecar int, box string, on bool, yes func()) {
	s := d.sidecars[sidecar]
	if s.proc == nil || !s.proc.IsRunning() {
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
	d.cuts[[2]string{from, to}]++
	d.net.SetPartitioned(d.net.Machine(from), d.net.Machine(to), true)
}

// Mend ends that.
func (d *day) RestoreTraffic(from, to string) {
	way := [2]string{from, to}
	if d.cuts[way]--; d.cuts[way] == 0 {
		d.net.SetPartitioned(d.net.Machine(from), d.net.Machine(to), false)
	}
}

// LateConnects has connections to a machine come up late.
func (d *day) DelayConnects(ip string, share, mostS float64) {
	d.net.Machine(ip).SetHandshakeDelay(share, mostS)
}

// Reset breaks all connections between two machines.
func (d *day) ResetConnections(a, b string) {
	far := d.net.Machine(b)
	for _, p := range d.processes(a) {
		for _, c := range p.Conns() {
			if peer := c.Peer(); peer != nil && peer.Process().Machine() == far {
				d.net.Reset(c)
			}
		}
	}
}

// slowestRate is what an application reads of each connection in a second, in bytes, where it gives all its time to a
// trouble of slow reading; answers are some 200 bytes.
const slowestRate = 4000.0

// Stall slows what a sidecar's application reads.
func (d *day) LimitReading(sidecar int, share float64) {
	for _, m := range d.machines {
		if m.vm == d.sidecars[sidecar].vm && m.proc != nil {
			if share >= 1 {
				m.proc.SetReadRate(0)
			} else {
				m.proc.SetReadRate(max(share, 0.001) * slowestRate)
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
	if s := d.sidecarAt(ip); s != nil && s.proc != nil {
		all = append(all, s.proc)
	}
	for _, m := range d.machines {
		if m.IP == ip && m.proc != nil {
			all = append(all, m.proc)
		}
	}
	return all
}

// logs is where a sidecar's log goes: to the trace; and the judge is told of its panics.
type logs struct{ s *instance }

func (l *logs) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError || l.s.d.trace != nil
}

func (l *logs) Handle(_ context.Context, r slog.Record) error {
	d := l.s.d
	if r.Level >= slog.LevelError && r.Message == "panic" {
		text := ""
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "cause" {
				text = a.Value.String()
			}
			return true
		})
		d.see(checker.Event{Kind: checker.SidecarPanicked, Sidecar: int32(l.s.number), Text: text})
	}
	if d.trace != nil {
		line := fmt.Sprintf("%-12s log: %s", l.s.spec.Name, r.Message)
		r.Attrs(func(a slog.Attr) bool {
			line += fmt.Sprintf(" %s=%s", a.Key, a.Value)
			return true
		})
		d.trace(d.net.Now()-d.spec.Start, line)
	}
	return nil
}

func (l *logs) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l *logs) WithGroup(string) slog.Handler      { return l }
