package environment

// delayDiscovery has discovery learn of everything later until the fault is over. Delays of faults that overlap add up.
func (f *FaultInjector) delayDiscovery(fault *Fault, now float64) {
	discovery := f.environment.Discovery
	discovery.DelaySeconds += fault.DelaySeconds
	f.atEnd(fault, now, func(float64) { discovery.DelaySeconds -= fault.DelaySeconds })
}

// stopDiscovery takes discovery's service down until the fault is over.
func (f *FaultInjector) stopDiscovery(fault *Fault, now float64) {
	f.environment.Discovery.SetDown(true, now)
	f.atEnd(fault, now, func(now float64) { f.environment.Discovery.SetDown(false, now) })
}

// stallWatches stalls all open watches for good.
func (f *FaultInjector) stallWatches(*Fault, float64) { f.environment.Discovery.StallWatches() }

// resetWatches resets all connections between sidecars and discovery.
func (f *FaultInjector) resetWatches(*Fault, float64) {
	for i := range f.environment.Applications {
		f.hosts.ResetConnections(f.environment.Day.Sidecars[i].IP, f.environment.Discovery.currentIP())
	}
}

// sendFullLists has watches start with the complete list until the fault is over.
func (f *FaultInjector) sendFullLists(fault *Fault, now float64) {
	f.environment.Discovery.SendFullLists(true)
	f.atEnd(fault, now, func(float64) { f.environment.Discovery.SendFullLists(false) })
}
