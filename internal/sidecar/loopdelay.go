package sidecar

import "hazelwheel/internal/netio"

const (
	// sampleEveryS is the time between two looks at how long what comes has lain in its socket; lateS is from when on
	// each answer and each request is looked at. It must be above what the machine counts in.
	sampleIntervalSeconds = 0.001
	lateThresholdSeconds  = 0.006
	// stallS is how long the loop may not have turned though something was due before that counts as a stall.
	stallThresholdSeconds = 0.03
	// afterStallS is for how long after a stall each request and answer is looked at.
	postStallSeconds = 0.1
)

// lateness is what the sidecar knows of its own load. Danger: it sees an answer when the loop comes round to it. Under
// load that is later than the answer was there, by more than many boxes take; read as the boxes' time it cuts their
// limits, and requests are refused that idle boxes would have served.
type loopDelay struct {
	sampledAt        float64
	lastWaitSeconds  float64 // what the last sample had lain there
	maxWaitSeconds   float64 // since the counters were last asked for
	lastCallbackAt   float64 // when the last callback began
	lastStallEndedAt float64 // when the last stall ended
}

// waited returns for how long what a connection brings has lain in its socket, 0 while the loop is in time.
func (s *Sidecar) socketWait(c netio.Conn) float64 {
	d, now := &s.loopDelay, s.now()
	// Danger: after a stall some have just come and others have waited for all of it; one sample is no word on the next. Taken for
	// new, a request would be sent on whose client has long gone.
	if d.lastWaitSeconds < lateThresholdSeconds && now-d.sampledAt < sampleIntervalSeconds && now-d.lastStallEndedAt > postStallSeconds {
		return 0
	}
	d.sampledAt, d.lastWaitSeconds = now, s.net.ReceiveDelaySeconds(c)
	d.maxWaitSeconds = max(d.maxWaitSeconds, d.lastWaitSeconds)
	if d.lastWaitSeconds < lateThresholdSeconds {
		return 0
	}
	return d.lastWaitSeconds
}

// noteStall tells the decisions if the loop has not turned for a while: since the last callback began, or since the time for
// which the alarm was set if that is later.
func (s *Sidecar) detectStall(now float64) {
	d := &s.loopDelay
	due := max(d.lastCallbackAt, s.timers.alarmAt)
	seconds := now - due
	if d.lastCallbackAt == 0 || seconds <= stallThresholdSeconds {
		return
	}
	d.lastStallEndedAt = now
	s.counters.Stalls++
	s.fitness.stalledSeconds += seconds
	s.log.Debug("the loop stood still", "seconds", seconds)
	s.pushEvent(func(now float64) {
		s.capture.RecordStall(now, seconds)
		s.balancer.ObserveStall(now, seconds)
	})
}
