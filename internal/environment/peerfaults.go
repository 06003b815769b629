package environment

import "slices"

// sides calls f with each two sidecars that a trouble stands between.
func (p *FaultInjector) eachPeerPair(t *Fault, f func(a, b int)) {
	to := t.To
	if len(to) == 0 {
		for i := range p.environment.Applications {
			if !slices.Contains(t.From, i) {
				to = append(to, i)
			}
		}
	}
	for _, a := range t.From {
		for _, b := range to {
			if a != b {
				f(a, b)
			}
		}
	}
}

// between has something befall the ways between sidecars until the trouble is over. Troubles that overlap are counted.
func (p *FaultInjector) overPeerPaths(t *Fault, now float64, befall func(from, to int, on bool)) {
	way := func(a, b int) {
		key := peerPath{t.Kind, a, b}
		if p.peerFaults[key]++; p.peerFaults[key] == 1 {
			befall(a, b, true)
		}
		p.atEnd(t, now, func(float64) {
			if p.peerFaults[key]--; p.peerFaults[key] == 0 {
				befall(a, b, false)
			}
		})
	}
	p.eachPeerPath(t, way)
}

// ways calls f with each way between two sides, both ways unless the trouble is of one alone.
func (p *FaultInjector) eachPeerPath(t *Fault, f func(from, to int)) {
	p.eachPeerPair(t, func(a, b int) {
		if f(a, b); !t.OneWay {
			f(b, a)
		}
	})
}

// slowPeers has bytes between sidecars go at a rate until the trouble is over; of several rates the least counts.
func (p *FaultInjector) limitPeerTraffic(t *Fault, now float64) {
	p.eachPeerPath(t, func(a, b int) {
		key := peerPath{t.Kind, a, b}
		tell := func() {
			if all := p.peerRates[key]; len(all) > 0 {
				p.hosts.LimitPeerTraffic(a, b, slices.Min(all))
			} else {
				p.hosts.LimitPeerTraffic(a, b, 0)
			}
		}
		p.peerRates[key] = append(p.peerRates[key], t.RatePerSecond)
		tell()
		p.atEnd(t, now, func(float64) {
			i := slices.Index(p.peerRates[key], t.RatePerSecond)
			p.peerRates[key] = slices.Delete(p.peerRates[key], i, i+1)
			tell()
		})
	})
}

// peerWay is a way between two sidecars that a kind of trouble befalls.
type peerPath struct {
	kind     string
	from, to int
}

func (p *FaultInjector) resetPeersRepeatedly(t *Fault, now, until float64) {
	if now >= until {
		return
	}
	p.eachPeerPair(t, p.hosts.ResetPeerConnections)
	p.after(now, 1/t.RatePerSecond, func(now float64) { p.resetPeersRepeatedly(t, now, until) })
}
