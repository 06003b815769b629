package environment

import "slices"

// eachPeerPair calls visit with each pair of sidecars that a fault separates.
func (f *FaultInjector) eachPeerPair(fault *Fault, visit func(a, b int)) {
	to := fault.To
	if len(to) == 0 {
		for i := range f.environment.Applications {
			if !slices.Contains(fault.From, i) {
				to = append(to, i)
			}
		}
	}
	for _, a := range fault.From {
		for _, b := range to {
			if a != b {
				visit(a, b)
			}
		}
	}
}

// overPeerPaths applies an effect to the paths between sidecars until the fault is over. Faults that overlap are counted.
func (f *FaultInjector) overPeerPaths(fault *Fault, now float64, apply func(from, to int, enabled bool)) {
	applyPath := func(a, b int) {
		key := peerPath{fault.Kind, a, b}
		if f.peerFaults[key]++; f.peerFaults[key] == 1 {
			apply(a, b, true)
		}
		f.atEnd(fault, now, func(float64) {
			if f.peerFaults[key]--; f.peerFaults[key] == 0 {
				apply(a, b, false)
			}
		})
	}
	f.eachPeerPath(fault, applyPath)
}

// eachPeerPath calls visit with each path that a fault separates, in both directions unless the fault is one-way.
func (f *FaultInjector) eachPeerPath(fault *Fault, visit func(from, to int)) {
	f.eachPeerPair(fault, func(a, b int) {
		if visit(a, b); !fault.OneWay {
			visit(b, a)
		}
	})
}

// limitPeerTraffic limits the rate of bytes between sidecars until the fault is over; of several rates the lowest counts.
func (f *FaultInjector) limitPeerTraffic(fault *Fault, now float64) {
	f.eachPeerPath(fault, func(a, b int) {
		key := peerPath{fault.Kind, a, b}
		applyRate := func() {
			if all := f.peerRates[key]; len(all) > 0 {
				f.hosts.LimitPeerTraffic(a, b, slices.Min(all))
			} else {
				f.hosts.LimitPeerTraffic(a, b, 0)
			}
		}
		f.peerRates[key] = append(f.peerRates[key], fault.RatePerSecond)
		applyRate()
		f.atEnd(fault, now, func(float64) {
			i := slices.Index(f.peerRates[key], fault.RatePerSecond)
			f.peerRates[key] = slices.Delete(f.peerRates[key], i, i+1)
			applyRate()
		})
	})
}

// peerPath is a path between two sidecars that faults of a kind affect.
type peerPath struct {
	kind     FaultKind
	from, to int
}

// resetPeersRepeatedly resets connections between peers now and at the fault's rate until a time.
func (f *FaultInjector) resetPeersRepeatedly(fault *Fault, now, until float64) {
	if now >= until {
		return
	}
	f.eachPeerPair(fault, f.hosts.ResetPeerConnections)
	f.after(now, 1/fault.RatePerSecond, func(now float64) { f.resetPeersRepeatedly(fault, now, until) })
}

// dropPeerTraffic loses bytes between peers until the fault is over.
func (f *FaultInjector) dropPeerTraffic(fault *Fault, now float64) {
	f.overPeerPaths(fault, now, f.hosts.DropPeerTraffic)
}

// holdPeerTraffic delays bytes between peers until the fault is over.
func (f *FaultInjector) holdPeerTraffic(fault *Fault, now float64) {
	f.overPeerPaths(fault, now, f.hosts.HoldPeerTraffic)
}

// resetPeers resets connections between peers until the fault is over.
func (f *FaultInjector) resetPeers(fault *Fault, now float64) {
	f.resetPeersRepeatedly(fault, now, f.endsAt(fault, now))
}

// queryWithoutReading has a client query sidecars as a peer does, without reading the answers, until the fault is over.
func (f *FaultInjector) queryWithoutReading(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		f.hosts.QueryWithoutReading(i, fault.RatePerSecond, f.endsAt(fault, now))
	}
}
