package sim

import (
	"fmt"
	"math/rand/v2"

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
