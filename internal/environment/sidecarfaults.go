package environment

import "hazelwheel/internal/checker"

// terminate tells a sidecar's process to shut down gracefully, and notifies its clients.
func (f *FaultInjector) terminate(sidecar int, now float64) {
	f.observeSidecar(checker.SidecarTerminating, sidecar, now)
	f.environment.notifyDraining(sidecar, now)
	f.hosts.Terminate(sidecar)
}

// defaultDrainSeconds is how long a sidecar that leaves for good may take if the fault does not say.
const defaultDrainSeconds = 8.0

// leaveForGood shuts so many of the running sidecars down for good, from the last one on; the first one stays.
func (f *FaultInjector) leaveForGood(fault *Fault, now float64) {
	drainSeconds := fault.DrainSeconds
	if drainSeconds == 0 {
		drainSeconds = defaultDrainSeconds
	}
	remaining := fault.SidecarCount
	for i := len(f.isGone) - 1; i > 0 && remaining > 0; i-- {
		if f.isGone[i] || f.isTerminating[i] || f.isSuspended[i] {
			continue
		}
		remaining--
		f.isGone[i] = true
		f.terminate(i, now)
		f.after(now, drainSeconds, func(now float64) { // a platform kills what has not exited
			f.observeSidecar(checker.SidecarKilled, i, now)
			f.hosts.Kill(f.environment.Day.Sidecars[i].IP)
		})
	}
}

// damageState damages what a sidecar that was just killed has stored, as the fault says.
func (f *FaultInjector) damageState(sidecar int, fault *Fault) {
	if fault.State == StateLost || fault.State == StateTorn || fault.State == StateOld {
		f.hosts.DamageState(sidecar, fault.State)
	}
}

// suspend suspends processes until the fault is over. What they don't answer meanwhile is excused by a path fault: to a
// client, a suspended process and a killed one are the same.
func (f *FaultInjector) suspend(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		if f.isGone[i] || f.isSuspended[i] {
			continue
		}
		f.isSuspended[i] = true
		f.observeSidecar(checker.SidecarSuspended, i, now)
		f.observePath(int32(i), checker.PathToClients, true, now)
		f.hosts.Suspend(i, true)
		f.atEnd(fault, now, func(now float64) {
			if f.isSuspended[i] {
				f.isSuspended[i] = false
				f.hosts.Suspend(i, false)
				f.observeSidecar(checker.SidecarResumed, i, now)
			}
			f.observePath(int32(i), checker.PathToClients, false, now)
		})
	}
}

// RestartSidecar kills a sidecar and starts it again after a while, with what it has stored, unless it is stopped already.
func (f *FaultInjector) RestartSidecar(sidecar int, afterSeconds, now float64) {
	f.killSidecar(sidecar, afterSeconds, now)
}

// limitReads has applications read slowly until the fault is over.
func (f *FaultInjector) limitReads(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		f.slowReads[i]++
		f.hosts.LimitReading(i, fault.Share)
		f.observePath(int32(i), checker.PathToClients, true, now)
		f.atEnd(fault, now, func(now float64) {
			if f.slowReads[i]--; f.slowReads[i] == 0 {
				f.hosts.LimitReading(i, 1)
			}
			f.observePath(int32(i), checker.PathToClients, false, now)
		})
	}
}

// observeSidecar reports an event of a sidecar.
func (f *FaultInjector) observeSidecar(kind checker.Kind, sidecar int, now float64) {
	f.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: int32(sidecar), Server: -1})
}

// killSidecar kills a sidecar's process and starts the next one after a while.
func (f *FaultInjector) killSidecar(sidecar int, afterSeconds, now float64) {
	if f.isGone[sidecar] {
		return // another fault has stopped it
	}
	f.isGone[sidecar] = true
	if f.isSuspended[sidecar] {
		f.isSuspended[sidecar] = false
		f.hosts.Suspend(sidecar, false)
	}
	ip := f.environment.Day.Sidecars[sidecar].IP
	f.observeSidecar(checker.SidecarKilled, sidecar, now)
	f.hosts.Kill(ip)
	f.after(now, afterSeconds, func(float64) {
		f.isGone[sidecar] = false
		f.environment.notifyReplaced(sidecar)
		f.hosts.Start(ip)
	})
}

// moveDiscovery moves discovery to its next address and has the sidecars reload a configuration with it.
func (f *FaultInjector) moveDiscovery(_ *Fault, now float64) {
	ip, ok := f.environment.Discovery.nextIP()
	if !ok {
		return
	}
	f.hosts.Start(ip)
	f.environment.Discovery.Move()
	for i := range f.environment.Applications {
		f.observeSidecar(checker.SidecarReloaded, i, now)
		f.hosts.Reload(i, f.environment.ReloadConfiguration(i))
	}
}

// scaleIn has sidecars leave for good if the fault counts some, and servers drain otherwise.
func (f *FaultInjector) scaleIn(fault *Fault, now float64) {
	if fault.SidecarCount > 0 {
		f.leaveForGood(fault, now)
	} else {
		f.drainServers(f.servers(fault), fault, now)
	}
}

// scaleOut starts the next standby sidecars.
func (f *FaultInjector) scaleOut(fault *Fault, _ float64) {
	for range fault.SidecarCount {
		f.isGone[f.firstStandby] = false
		f.hosts.StartStandby(f.firstStandby)
		f.firstStandby++
	}
}

// killSidecars kills sidecars, may damage what they have stored, and starts them again when the fault is over.
func (f *FaultInjector) killSidecars(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		f.killSidecar(i, f.endsAt(fault, now)-now, now)
		f.damageState(i, fault)
	}
}

// restartAll kills all sidecars and starts them again when the fault is over.
func (f *FaultInjector) restartAll(fault *Fault, now float64) {
	for i := range f.environment.Applications {
		f.killSidecar(i, f.endsAt(fault, now)-now, now)
	}
}

// terminateSidecars shuts sidecars down gracefully. What has not exited by the end of the fault is killed, as a platform
// does, before the next process starts.
func (f *FaultInjector) terminateSidecars(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		if f.isGone[i] {
			continue
		}
		f.terminate(i, now)
		f.isTerminating[i] = true
		f.after(now, fault.DurationSeconds, func(now float64) {
			f.isTerminating[i] = false
			f.killSidecar(i, 0, now)
			f.damageState(i, fault)
		})
	}
}

// fillDisks has writes to sidecars' disks fail until the fault is over.
func (f *FaultInjector) fillDisks(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		f.whileAny(f.fullDisks, i, fault, now, f.hosts.FillDisk)
	}
}

// setClocks has sidecars' clocks run at the fault's rate until it is over.
func (f *FaultInjector) setClocks(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		f.whileAny(f.clockFaults, i, fault, now, func(i int, enabled bool) {
			rate := 1.0
			if enabled {
				rate = fault.ClockRate
			}
			f.hosts.SetClockRate(i, rate)
		})
	}
}
