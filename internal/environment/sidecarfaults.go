package environment

import "hazelwheel/internal/checker"

// terminate tells a sidecar's process to end, and its clients so.
func (p *FaultInjector) terminate(sidecar int, now float64) {
	p.observeSidecar(checker.SidecarTerminating, sidecar, now)
	p.environment.notifyDraining(sidecar, now)
	p.hosts.Terminate(sidecar)
}

// leaveS is how long a sidecar that leaves for good is given where its trouble says nothing.
const defaultDrainSeconds = 8.0

// leaveForGood has so many of the sidecars that are there end for good, from the last one on; the first one stays.
func (p *FaultInjector) leaveForGood(t *Fault, now float64) {
	within := t.DrainSeconds
	if within == 0 {
		within = defaultDrainSeconds
	}
	left := t.SidecarCount
	for i := len(p.isGone) - 1; i > 0 && left > 0; i-- {
		if p.isGone[i] || p.isTerminating[i] || p.isSuspended[i] {
			continue
		}
		left--
		p.isGone[i] = true
		p.terminate(i, now)
		p.after(now, within, func(now float64) { // as a platform does
			p.observeSidecar(checker.SidecarKilled, i, now)
			p.hosts.Kill(p.environment.Day.Sidecars[i].IP)
		})
	}
}

// spoil does to the disk of a sidecar that has just been killed what a trouble says.
func (p *FaultInjector) damageState(sidecar int, t *Fault) {
	if t.State == StateLost || t.State == StateTorn || t.State == StateOld {
		p.hosts.DamageState(sidecar, t.State)
	}
}

// freeze has processes stand still. What they owe meanwhile is excused as for one that was killed; a process that stood still
// and one that is killed are the same to a client.
func (p *FaultInjector) suspend(t *Fault, now float64) {
	for _, i := range t.Sidecars {
		if p.isGone[i] || p.isSuspended[i] {
			continue
		}
		p.isSuspended[i] = true
		p.observeSidecar(checker.SidecarSuspended, i, now)
		p.observePath(int32(i), checker.PathToClients, true, now)
		p.hosts.Suspend(i, true)
		p.atEnd(t, now, func(now float64) {
			if p.isSuspended[i] {
				p.isSuspended[i] = false
				p.hosts.Suspend(i, false)
				p.observeSidecar(checker.SidecarResumed, i, now)
			}
			p.observePath(int32(i), checker.PathToClients, false, now)
		})
	}
}

// Restart has a sidecar be killed and begin again after a while, with what is on its disk, unless it is gone already.
func (p *FaultInjector) RestartSidecar(sidecar int, afterS, now float64) {
	p.killSidecar(sidecar, afterS, now)
}

func (p *FaultInjector) limitReads(t *Fault, now float64) {
	for _, i := range t.Sidecars {
		p.slowReads[i]++
		p.hosts.LimitReading(i, t.Share)
		p.observePath(int32(i), checker.PathToClients, true, now)
		p.atEnd(t, now, func(now float64) {
			if p.slowReads[i]--; p.slowReads[i] == 0 {
				p.hosts.LimitReading(i, 1)
			}
			p.observePath(int32(i), checker.PathToClients, false, now)
		})
	}
}

func (p *FaultInjector) observeSidecar(kind checker.Kind, sidecar int, now float64) {
	p.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: int32(sidecar), Server: -1})
}

// killSidecar ends a sidecar's process and begins the next one after a while.
func (p *FaultInjector) killSidecar(sidecar int, afterS, now float64) {
	if p.isGone[sidecar] {
		return // another trouble has it
	}
	p.isGone[sidecar] = true
	if p.isSuspended[sidecar] {
		p.isSuspended[sidecar] = false
		p.hosts.Suspend(sidecar, false)
	}
	ip := p.environment.Day.Sidecars[sidecar].IP
	p.observeSidecar(checker.SidecarKilled, sidecar, now)
	p.hosts.Kill(ip)
	p.after(now, afterS, func(float64) {
		p.isGone[sidecar] = false
		p.environment.notifyReplaced(sidecar)
		p.hosts.Start(ip)
	})
}

// moveDiscovery has discovery go on elsewhere and tells the sidecars so by a new configuration.
func (p *FaultInjector) moveDiscovery(now float64) {
	ip, ok := p.environment.Discovery.nextIP()
	if !ok {
		return
	}
	p.hosts.Start(ip)
	p.environment.Discovery.Move()
	for i := range p.environment.Applications {
		p.observeSidecar(checker.SidecarReloaded, i, now)
		p.hosts.Reload(i, p.environment.ReloadConfiguration(i))
	}
}
