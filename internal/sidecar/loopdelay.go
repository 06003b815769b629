package sidecar

import "hazelwheel/internal/netio"

const (
	// sampleIntervalSeconds is the time between two samples of how long data lay in its socket. From lateThresholdSeconds on each request
	// and each response is measured; the threshold is above the resolution of the system's timestamps.
	sampleIntervalSeconds = 0.001
	lateThresholdSeconds  = 0.006
	// stallThresholdSeconds is the delay of a callback that was due from which on the loop counts as stalled.
	stallThresholdSeconds = 0.03
	// postStallSeconds is how long after a stall each request and each response is measured.
	postStallSeconds = 0.1
)

// loopDelay measures the sidecar's own delay. Danger: a response is seen when the loop reads it. Under load that is later than its arrival
// by more than many servers take; counted as the servers' latency it lowers their limits, and requests are rejected that idle servers would
// have served.
type loopDelay struct {
	sampledAt        float64
	lastWaitSeconds  float64 // the last sample
	lastCallbackAt   float64 // start of the last callback
	lastStallEndedAt float64 // end of the last stall
}

// socketWait returns for how many seconds what a connection brings has lain in its socket, 0 while the loop keeps up.
func (s *Sidecar) socketWait(c netio.Conn) float64 {
	d, now := &s.loopDelay, s.now()
	// Danger: after a stall some data has just arrived and some has waited for all of it, so one sample says nothing about the next.
	// Counted as new, a request would be forwarded whose client closed long ago.
	if d.lastWaitSeconds < lateThresholdSeconds && now-d.sampledAt < sampleIntervalSeconds && now-d.lastStallEndedAt > postStallSeconds {
		return 0
	}
	d.sampledAt, d.lastWaitSeconds = now, s.net.ReceiveDelaySeconds(c)
	if d.lastWaitSeconds < lateThresholdSeconds {
		return 0
	}
	return d.lastWaitSeconds
}

// detectStall reports a stall to the policy: the loop has not run since the last callback, or since the time of the alarm if that is later.
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
	s.log.Debug("event loop stalled", "seconds", seconds)
	s.pushEvent(func(now float64) {
		s.capture.RecordStall(now, seconds)
		s.balancer.ObserveStall(now, seconds)
	})
}
