package sim

// peerIP returns a sidecar's address.
func (d *day) peerIP(sidecar int) string { return d.sidecars[sidecar].spec.IP }

// DropPeerTraffic implements environment.Hosts: it loses what one sidecar sends to another, which are peer messages alone.
func (d *day) DropPeerTraffic(from, to int, on bool) {
	if on {
		d.DropTraffic(d.peerIP(from), d.peerIP(to))
		d.activePeerFaults++
	} else {
		d.RestoreTraffic(d.peerIP(from), d.peerIP(to))
		d.activePeerFaults--
	}
	d.lastFaultAt = d.network.Now()
}

// HoldPeerTraffic implements environment.Hosts. Here it is DropPeerTraffic: TCP retransmits what was lost.
func (d *day) HoldPeerTraffic(from, to int, on bool) { d.DropPeerTraffic(from, to, on) }

// LimitPeerTraffic implements environment.Hosts.
func (d *day) LimitPeerTraffic(from, to int, bytesPerSecond float64) {
	path := [2]int{from, to}
	switch before := d.peerRates[path]; {
	case before == 0 && bytesPerSecond > 0:
		d.activePeerFaults++
	case before > 0 && bytesPerSecond == 0:
		d.activePeerFaults--
	}
	d.peerRates[path] = bytesPerSecond
	d.network.SetRate(d.network.Machine(d.peerIP(from)), d.network.Machine(d.peerIP(to)), bytesPerSecond)
	d.lastFaultAt = d.network.Now()
}

// StartStandby implements environment.Hosts.
func (d *day) StartStandby(sidecar int) {
	d.lastFaultAt = d.network.Now()
	d.Start(d.peerIP(sidecar))
}

// SetClockRate implements environment.Hosts; the rate holds for later processes, too.
func (d *day) SetClockRate(sidecar int, rate float64) {
	s := d.sidecars[sidecar]
	if s.clockRate = rate; s.process != nil && s.process.IsRunning() {
		s.process.SetClockRate(rate)
	}
}

// ResetPeerConnections implements environment.Hosts.
func (d *day) ResetPeerConnections(a, b int) {
	d.ResetConnections(d.peerIP(a), d.peerIP(b))
	d.lastFaultAt = d.network.Now()
}

// foreverSeconds is longer than any day.
const foreverSeconds = 1e12

// Suspend implements environment.Hosts: the process does not run, and its connections stay open.
func (d *day) Suspend(sidecar int, on bool) {
	s := d.sidecars[sidecar]
	d.lastFaultAt = d.network.Now()
	if s.process == nil || !s.process.IsRunning() {
		return
	}
	if s.isSuspended = on; on {
		s.process.Stall(foreverSeconds)
	} else {
		s.process.EndStall()
	}
}
