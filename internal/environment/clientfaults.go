package environment

// connectHostileClients has hostile clients connect to sidecars until the fault is over. A sidecar whose machine has not
// started is left out.
func (f *FaultInjector) connectHostileClients(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		if i < f.firstStandby {
			f.environment.HostileClients[i].Connect(fault.RatePerSecond, f.endsAt(fault, now), fault.Kind == SilentFlood)
		}
	}
}

// abandonRequests has a share of the clients abandon their requests early until the fault is over. A sidecar whose machine
// has not started is left out.
func (f *FaultInjector) abandonRequests(fault *Fault, now float64) {
	for _, i := range fault.Sidecars {
		if i < f.firstStandby {
			f.environment.Applications[i].AbandonEarly(fault.Share, f.endsAt(fault, now))
		}
	}
}
