package sidecar

import "hazelwheel/internal/faultinjection"

// maxDelayFraction bounds the delay of an injected fault, as a fraction of the request's remaining time. If the policy received a request
// just before its deadline, it could only fail it, and the drill would show a failure that it caused itself.
const maxDelayFraction = 0.8

// IsFaultInjectionArmed reports whether the configuration allows operators to start faults.
func (s *Sidecar) IsFaultInjectionArmed() bool { return s.faults.IsArmed() }

// StartFault starts a fault on behalf of an operator. It returns the error of faultinjection.Injector.Start. The secret must not be logged.
func (s *Sidecar) StartFault(secret []byte, name string) (faultinjection.Fault, error) {
	fault, err := s.faults.Start(s.now(), secret, name)
	if err != nil {
		s.log.Warn("drill refused", "error", err)
		return fault, err
	}
	s.log.Info("drill started", "drill", fault.Name, "class", fault.Class, "duration_s", fault.DurationSeconds)
	if s.fleet.faultObserver != nil {
		s.fleet.faultObserver.FaultStarted(fault.Name, fault.DurationSeconds, func(id uint64) []byte { return s.faults.Sign(id, fault.Name) })
	}
	return fault, nil
}

// FaultRunner runs faults that were started on another sidecar of the fleet.
type FaultRunner interface {
	// RunRemoteFault runs a fault for its remaining time. The signature proves that the secret was checked where the fault was started.
	RunRemoteFault(name string, id uint64, signature []byte, remainingSeconds float64) error
}

// FaultObserver is notified of faults that operators have started on this sidecar. sign returns the fault's signature for an ID.
type FaultObserver interface {
	FaultStarted(name string, durationSeconds float64, sign func(id uint64) []byte)
}

// SetFaultObserver sets the observer. It must be called before Start.
func (s *Sidecar) SetFaultObserver(observer FaultObserver) { s.fleet.faultObserver = observer }

// RunRemoteFault implements FaultRunner.
func (s *Sidecar) RunRemoteFault(name string, id uint64, signature []byte, remainingSeconds float64) error {
	fault, err := s.faults.StartRemote(s.net.Now(), id, name, signature, remainingSeconds)
	if err != nil {
		return err
	}
	s.log.Info("drill of the fleet started", "drill", fault.Name, "class", fault.Class, "left_s", min(remainingSeconds, fault.DurationSeconds))
	return nil
}

// faultDelaySeconds returns how long a fault delays a request with the given remaining time: the fault's delay, but at most
// maxDelayFraction of that time.
func faultDelaySeconds(fault *faultinjection.Fault, remainingSeconds float64) float64 {
	return min(fault.DelayMS/1000, maxDelayFraction*remainingSeconds)
}

// applyFault reports whether a fault applies to a request. If so, it calls submit or aborts the request when the fault's delay is over.
// Until then the request is open like any other: its client may disconnect, and its deadline applies. With its shortened remaining time the
// request looks like a client's late retry, which the policy rejects if the latency target has passed; so submit passes on how long the
// request was delayed.
func (s *Sidecar) applyFault(r *request, class int, submit func(heldSeconds float64)) bool {
	now := s.now()
	fault := s.faults.Match(now, s.cfg.Settings.Policy.Classes[class].Name)
	if fault == nil {
		return false
	}
	s.log.Info("drill hit", "drill", fault.Name, "request_id", r.clientID)
	r.faultTimer = s.timers.schedule(now+faultDelaySeconds(fault, r.deadline-now), func() {
		switch {
		case r.isAnswered:
		case fault.Abort == "503": // the request has not run, as a throttled response says
			s.answerRequest(r, throttled, func() { r.responder.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		default:
			submit(s.now() - now)
		}
	})
	return true
}
