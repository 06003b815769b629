package sidecar

import "hazelwheel/internal/faultinjection"

// delayPart is the part of a request's time that a drill may take. Danger: decisions that get a request just before
// its deadline can only fail it, and the rehearsal would show a failure of the balancer's own making.
const maxDelayFraction = 0.8

// IsFaultInjectionArmed tells whether drills can be started.
func (s *Sidecar) IsFaultInjectionArmed() bool { return s.faults.IsArmed() }

// StartFault starts a drill on the operators' word. Danger: the secret must not reach the log.
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

// FaultRunner is what a fleet tells a sidecar that runs drills together with others.
type FaultRunner interface {
	// RunRemoteFault has a drill run for what is left of it, which was started at another sidecar. The mark shows that the secret was
	// looked at there.
	RunRemoteFault(name string, id uint64, mark []byte, leftS float64) error
}

// FaultObserver is told of drills that operators have started here. Mark returns a drill's mark, by its id.
type FaultObserver interface {
	FaultStarted(name string, durationS float64, mark func(id uint64) []byte)
}

// SetFaultObserver has a fleet told of drills. It comes before Start.
func (s *Sidecar) SetFaultObserver(to FaultObserver) { s.fleet.faultObserver = to }

// RunRemoteFault is for the loop.
func (s *Sidecar) RunRemoteFault(name string, id uint64, signature []byte, remainingSeconds float64) error {
	fault, err := s.faults.StartRemote(s.net.Now(), id, name, signature, remainingSeconds)
	if err != nil {
		return err
	}
	s.log.Info("drill of the fleet started", "drill", fault.Name, "class", fault.Class, "left_s", min(remainingSeconds, fault.DurationSeconds))
	return nil
}

// heldFor returns for how many seconds a drill holds a request that has so many left: as long as the drill says, but never so long that
// less than a fifth of them is left for its send.
func faultDelaySeconds(fault *faultinjection.Fault, remainingSeconds float64) float64 {
	return min(fault.DelayMS/1000, maxDelayFraction*remainingSeconds)
}

// drilled tells whether a drill has taken a request up; then it calls decide when the delay is over, or aborts the
// request. Until then the request is open like any other: its client may go, and its deadline holds. Danger: what is left
// of its time looks like that of a client's later try, and one whose aim has passed since its first is refused; so the
// decisions are told how long it was held.
func (s *Sidecar) applyFault(r *request, class int, decide func(heldSeconds float64)) bool {
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
			decide(s.now() - now)
		}
	})
	return true
}
