package environment

import (
	"slices"

	"hazelwheel/internal/checker"
)

// oneWayCut is a way that is cut between a sidecar and whatever boxes are at an IP meanwhile.
type oneWayFault struct {
	sidecar int32
	ip      string
	servers []int32
}

// connectLate has connections to boxes come up late, at the machines where they are now.
func (p *FaultInjector) delayConnects(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		ip := b.currentIP()
		p.whileAny(p.lateConnects, b.Spec.Number, t, now, func(_ int, on bool) {
			if on {
				p.hosts.DelayConnects(ip, t.Share, t.DelaySeconds)
			} else {
				p.hosts.DelayConnects(ip, 0, 0)
			}
		})
	}
}

// share returns the share of answers that a trouble is about.
func (m *Misbehavior) shareOf(kind string) *float64 {
	switch kind {
	case MalformedAnswers:
		return &m.Malformed
	case TrailingBytes:
		return &m.TrailingBytes
	case EarlyClose:
		return &m.EarlyClose
	default:
		return &m.InterimResponses
	}
}

// hang counts how many troubles hold a box, so that the end of one does not end the others.
func (p *FaultInjector) hangServers(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		n := b.Spec.Number
		p.hangs[n]++
		b.SetHung(true)
		p.atEnd(t, now, func(float64) {
			if p.hangs[n]--; p.hangs[n] == 0 {
				b.SetHung(false)
			}
		})
	}
}

// end ends a box's process, or has its machine vanish; false: it has none.
func (p *FaultInjector) stopServer(b *Server, silent bool, now float64) bool {
	if !b.IsAlive() {
		return false
	}
	if silent {
		p.observePath(-1, int32(b.Spec.Number), true, now)
	}
	b.Stopped(now) // before its connections' ends come
	if silent {
		p.hosts.Vanish(b.currentIP())
	} else {
		p.hosts.Kill(b.currentIP())
	}
	p.environment.Discovery.ServerStopped(b.Spec.Number, silent, now)
	return true
}

// back begins a box's next life at an IP.
func (p *FaultInjector) startServer(b *Server, ip string, silent bool, now float64) {
	if tenant := p.environment.serverByIP[ip]; b.IsAlive() || tenant.IsAlive() && tenant.currentIP() == ip {
		return // it is back already, or another has its place
	}
	if silent {
		p.observePath(-1, int32(b.Spec.Number), false, now)
	}
	p.environment.serverByIP[ip] = b
	for _, c := range p.oneWayFaults {
		if n := int32(b.Spec.Number); c.ip == ip && !slices.Contains(c.servers, n) {
			c.servers = append(c.servers, n)
			p.observePath(c.sidecar, n, true, now)
		}
	}
	p.hosts.Start(ip)
}

// Down ends a server's process, as the maintenance agent does.
func (p *FaultInjector) StopServer(box int, now float64) {
	p.stopServer(p.environment.Servers[box], false, now)
}

// Up starts the next process of a server whose process Down has ended, unless a fault ended it as well.
func (p *FaultInjector) StartServer(box int, now float64) {
	b := p.environment.Servers[box]
	p.startServer(b, b.currentIP(), false, now)
}

func (p *FaultInjector) stopAndReturn(boxes []*Server, t *Fault, now float64, silent, moved bool) {
	for _, b := range boxes {
		if !p.stopServer(b, silent, now) {
			continue
		}
		ip := b.currentIP()
		if moved {
			if ip == b.Spec.IP {
				ip = alternateIP(&b.Spec)
			} else {
				ip = b.Spec.IP
			}
		}
		p.atEnd(t, now, func(now float64) { p.startServer(b, ip, silent, now) })
	}
}

func (p *FaultInjector) loseSite(t *Fault, now float64) {
	for i, site := range p.environment.Day.Sites {
		if site != t.Site {
			continue
		}
		var boxes []*Server
		for _, b := range p.environment.Servers {
			if b.Spec.Site == i {
				boxes = append(boxes, b)
			}
		}
		p.stopAndReturn(boxes, t, now, t.Silent, false)
		for k, s := range p.environment.Day.Sidecars {
			if t.WithSidecars && s.Site == i {
				p.killSidecar(k, p.endsAt(t, now)-now, now)
			}
		}
	}
}

// shrink has boxes drain, and ends them after their notice.
func (p *FaultInjector) drainServers(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		if !b.IsAlive() {
			continue
		}
		life := b.process
		p.environment.Discovery.ServerDraining(b.Spec.Number, now)
		b.Drain()
		p.after(now, t.DrainSeconds, func(now float64) {
			if b.process != life || !p.stopServer(b, false, now) || t.DurationSeconds == 0 {
				return
			}
			p.atEnd(t, now, func(now float64) { p.startServer(b, b.currentIP(), false, now) })
		})
	}
}

func (p *FaultInjector) resetRepeatedly(boxes []*Server, t *Fault, now, until float64) {
	n := 0
	var step func(now float64)
	step = func(now float64) {
		if now >= until || len(boxes) == 0 {
			return
		}
		b := boxes[n%len(boxes)]
		s := p.environment.Day.Sidecars[n/len(boxes)%len(p.environment.Day.Sidecars)]
		n++
		p.hosts.ResetConnections(s.IP, b.currentIP())
		p.after(now, 1/t.RatePerSecond, step)
	}
	step(now)
}

func (p *FaultInjector) dropOneWay(boxes []*Server, t *Fault, now float64) {
	sidecars := t.Sidecars
	if len(sidecars) == 0 {
		for i := range p.environment.Day.Sidecars {
			sidecars = append(sidecars, i)
		}
	}
	for _, b := range boxes {
		for _, i := range sidecars {
			from, to := p.environment.Day.Sidecars[i].IP, b.currentIP()
			if !t.ToServer {
				from, to = to, from
			}
			c := &oneWayFault{sidecar: int32(i), ip: b.currentIP(), servers: []int32{int32(b.Spec.Number)}}
			if other := p.environment.serverByIP[c.ip]; other != b && other.IsAlive() && other.currentIP() == c.ip {
				c.servers = append(c.servers, int32(other.Spec.Number)) // it has taken the place of the one that is meant
			}
			p.oneWayFaults = append(p.oneWayFaults, c)
			for _, n := range c.servers {
				p.observePath(c.sidecar, n, true, now)
			}
			p.hosts.DropTraffic(from, to)
			p.atEnd(t, now, func(now float64) {
				p.hosts.RestoreTraffic(from, to)
				p.oneWayFaults = slices.DeleteFunc(p.oneWayFaults, func(other *oneWayFault) bool { return other == c })
				for _, n := range c.servers {
					p.observePath(c.sidecar, n, false, now)
				}
			})
		}
	}
}

// takeOut has the operators of all sidecars take boxes out, or give them back.
func (p *FaultInjector) cordon(boxes []*Server, on bool) {
	kind := checker.ServerUncordoned
	if on {
		kind = checker.ServerCordoned
	}
	for i := range p.environment.Applications {
		for _, b := range boxes {
			p.hosts.Cordon(i, b.Spec.Name, on, func() {
				p.observer.Observe(checker.Event{Kind: kind, At: p.hosts.Now(), Sidecar: int32(i), Server: int32(b.Spec.Number)})
			})
		}
	}
}

// replace ends a box and begins another one at its address after a while. Danger: a sidecar that has not been told yet
// means the old one; a box of another site there would have it break the rules of groups unwittingly.
func (p *FaultInjector) replaceServer(b *Server, t *Fault, now float64) {
	next := slices.IndexFunc(p.environment.Servers, func(o *Server) bool {
		return o.Spec.Number >= p.environment.Day.InitialServers && o.incarnations == 0 && o.Spec.Site == b.Spec.Site && !p.replacementTaken[o.Spec.Number]
	})
	if next < 0 || !p.stopServer(b, false, now) {
		return
	}
	p.replacementTaken[next] = true
	ip := b.currentIP()
	p.atEnd(t, now, func(now float64) { p.startServer(p.environment.Servers[next], ip, false, now) })
}
