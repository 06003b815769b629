package sim

func (d *day) peerIP(sidecar int) string { return d.sidecars[sidecar].spec.IP }

// PeersCut loses what goes from one sidecar to another: all that they say is said to peers.
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

// PeersHold is the same here: what TCP has lost on the way it sends again.
func (d *day) HoldPeerTraffic(from, to int, on bool) { d.DropPeerTraffic(from, to, on) }

// PeersSlow has what one sends to another go at a rate.
func (d *day) LimitPeerTraffic(from, to int, perS float64) {
	way := [2]int{from, to}
	switch was := d.peerRates[way]; {
	case was == 0 && perS > 0:
		d.activePeerFaults++
	case was > 0 && perS == 0:
		d.activePeerFaults--
	}
	d.peerRates[way] = perS
	d.network.SetRate(d.network.Machine(d.peerIP(from)), d.network.Machine(d.peerIP(to)), perS)
	d.lastFaultAt = d.network.Now()
}

// Begin begins a sidecar that has stood by, with what is beside it.
func (d *day) StartStandby(sidecar int) {
	d.lastFaultAt = d.network.Now()
	d.Start(d.peerIP(sidecar))
}

// Clock has a sidecar's clock run at a rate, over all lives of its process.
func (d *day) SetClockRate(sidecar int, rate float64) {
	s := d.sidecars[sidecar]
	if s.clockRate = rate; s.process != nil && s.process.IsRunning() {
		s.process.SetClockRate(rate)
	}
}

// PeersReset breaks the links between two.
func (d *day) ResetPeerConnections(a, b int) {
	d.ResetConnections(d.peerIP(a), d.peerIP(b))
	d.lastFaultAt = d.network.Now()
}

// endless is long after any day.
const foreverSeconds = 1e12

// Freeze has a process stand still.
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
