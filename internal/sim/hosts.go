package sim

import (
	"fmt"
	"math/rand/v2"

	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/sidecarconfig"
)

// machine is a program of the environment on its virtual machine.
type machine struct {
	environment.Machine
	vm      *virtual.Machine
	process *virtual.Process // the last one; nil: none was started
}

var _ environment.Hosts = (*day)(nil)

// createMachines adds the machines to the network, with the paths between them.
func (d *day) createMachines() {
	sites := map[*virtual.Machine]int{} // for lookups, never iterated
	var all []*virtual.Machine
	addMachine := func(ip string, site int) *virtual.Machine {
		vm := d.network.Machine(ip)
		if _, known := sites[vm]; !known {
			sites[vm] = site
			all = append(all, vm)
		}
		return vm
	}
	for i, s := range d.spec.Sidecars {
		d.sidecars = append(d.sidecars, &simulatedSidecar{day: d, number: i, spec: s, vm: addMachine(s.IP, s.Site),
			stallRand: rand.New(rand.NewPCG(d.spec.Seed, uint64(i)+0x7374))})
	}
	for _, m := range d.environment.Machines() {
		d.machines = append(d.machines, &machine{Machine: m, vm: addMachine(m.IP, m.Site)})
	}
	for _, a := range all {
		for _, b := range all {
			latencySeconds := d.spec.ClientPathSeconds
			if a != b {
				latencySeconds = d.spec.PathBetween(sites[a], sites[b])
			}
			d.network.SetPath(a, b, virtual.Path{LatencySeconds: latencySeconds, JitterSeconds: latencySeconds * d.spec.Jitter})
		}
	}
}

// startAll starts all programs that run at the day's start.
func (d *day) startAll() error {
	started := len(d.sidecars) - d.script.StandbySidecars()
	standby := map[string]bool{} // for lookups, never iterated
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

// start starts a process of the machine's program.
func (m *machine) start(d *day) error {
	o := virtual.ProcessOptions{Name: m.Name, Shuffle: d.conditions.shuffle}
	if m.Listen != "" {
		o.Listen = []string{m.Listen}
	}
	m.process = m.vm.Process(o)
	return m.process.Run(m.Boot(m.process))
}

// Kill implements environment.Hosts: it kills the sidecar's process at an address, or else all programs there.
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

// Vanish implements environment.Hosts.
func (d *day) Vanish(ip string) { d.network.Machine(ip).PowerOff() }

// Start implements environment.Hosts: it powers the machine on and starts what does not run there.
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
		// Danger: a process that silently stays down would make the day easier.
		panic(fmt.Sprintf("%s does not come back: %v", ip, err))
	}
}

// Terminate implements environment.Hosts: the sidecar gets the signal of a graceful shutdown, once.
func (d *day) Terminate(sidecar int) {
	s := d.sidecars[sidecar]
	if s.process == nil || !s.process.IsRunning() || s.isTerminating {
		return
	}
	s.isTerminating = true
	s.program.Do(s.program.Drain)
}

// Reload implements environment.Hosts.
func (d *day) Reload(sidecar int, configuration []byte) {
	s := d.sidecars[sidecar]
	if s.process == nil || !s.process.IsRunning() {
		return
	}
	cfg, err := sidecarconfig.Parse(configuration)
	s.program.Do(func() { s.program.Reload(cfg, err) })
}

// Now implements environment.Hosts.
func (d *day) Now() float64 { return d.network.Now() }

// Cordon implements environment.Hosts by the sidecar's admin commands; yes is called if the sidecar accepts.
func (d *day) Cordon(sidecar int, server string, on bool, accepted func()) {
	s := d.sidecars[sidecar]
	if s.process == nil || !s.process.IsRunning() {
		return
	}
	s.program.Do(func() {
		call := s.program.UncordonServer
		if on {
			call = s.program.CordonServer
		}
		if call(server) == nil {
			accepted()
		}
	})
}

// DropTraffic implements environment.Hosts: it loses what one machine sends to another, until RestoreTraffic has been called as
// often.
func (d *day) DropTraffic(from, to string) {
	d.dropCounts[[2]string{from, to}]++
	d.network.SetPartitioned(d.network.Machine(from), d.network.Machine(to), true)
}

// RestoreTraffic implements environment.Hosts.
func (d *day) RestoreTraffic(from, to string) {
	path := [2]string{from, to}
	if d.dropCounts[path]--; d.dropCounts[path] == 0 {
		d.network.SetPartitioned(d.network.Machine(from), d.network.Machine(to), false)
	}
}

// DelayConnects implements environment.Hosts.
func (d *day) DelayConnects(ip string, share, maxSeconds float64) {
	d.network.Machine(ip).SetHandshakeDelay(share, maxSeconds)
}

// ResetConnections implements environment.Hosts.
func (d *day) ResetConnections(a, b string) {
	peerMachine := d.network.Machine(b)
	for _, p := range d.processes(a) {
		for _, c := range p.Conns() {
			if peer := c.Peer(); peer != nil && peer.Process().Machine() == peerMachine {
				d.network.Reset(c)
			}
		}
	}
}

// slowestBytesPerSecond is the read rate of each connection of an application at a share of 1; responses have some 200 bytes.
const slowestBytesPerSecond = 4000.0

// LimitReading implements environment.Hosts: the sidecar's application reads at a share of slowestBytesPerSecond; from 1 on,
// without a limit.
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

// sidecarAt returns the sidecar with an address, nil if there is none.
func (d *day) sidecarAt(ip string) *simulatedSidecar {
	for _, s := range d.sidecars {
		if s.spec.IP == ip {
			return s
		}
	}
	return nil
}

// processes returns the last processes of a machine's programs.
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
