package sidecar

import "hazelwheel/internal/faultinjection"

// maxDelayFraction bounds the part of a request's time that an injected fault may take. Danger: a policy that gets a request just before
// its deadline can only fail it, and the exercise would show a failure of its own making.
const maxDelayFraction = 0.8

// IsFaultInjectionArmed reports whether faults can be started.
func (s *Sidecar) IsFaultInjectionArmed() bool { return s.faults.IsArmed() }

// StartFault starts a fault for an operator, with the error of faultinjection.Injector.Start. Danger: the secret must not reach the log.
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

// FaultRunner runs faults that were started at another sidecar of the fleet.
type FaultRunner interface {
	// RunRemoteFault runs a fault for what is left of it. The signature proves that the secret was checked where it was started.
	RunRemoteFault(name string, id uint64, signature []byte, remainingSeconds float64) error
}

// FaultObserver is notified of faults that operators have started at this sidecar. sign returns a fault's signature for an ID.
type FaultObserver interface {
	FaultStarted(name string, durationSeconds float64, sign func(id uint64) []byte)
}

// SetFaultObserver sets the observer. It comes before Start.
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

// faultDelaySeconds returns for how long a fault delays a request that has so many seconds left: the fault's delay, but at most
// maxDelayFraction of them.
func faultDelaySeconds(fault *faultinjection.Fault, remainingSeconds float64) float64 {
	return min(fault.DelayMS/1000, maxDelayFraction*remainingSeconds)
}

// applyFault reports whether a fault applies to a request; then submit is called when its delay is over, or the request is aborted. Until
// then the request is open like any other: its client may close, and its deadline holds. Danger: what is left of its time looks like that
// of a client's late retry, and one whose latency target has passed since its first attempt is rejected; so the policy is given how long it
// was delayed.
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
		case fault.Abort == "503": // nothing has run, which is what a throttle says
			s.answerRequest(r, throttled, func() { r.responder.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		default:
			submit(s.now() - now)
		}
	})
	return true
}
