package sidecar

import "hazelwheel/internal/netio"

const (
	// sampleIntervalSeconds is the interval at which the wait of received data in its socket is sampled. Once a sample reaches
	// lateThresholdSeconds, which is above the resolution of the system's timestamps, each request and response is measured.
	sampleIntervalSeconds = 0.001
	lateThresholdSeconds  = 0.006
	// stallThresholdSeconds is the delay of a due callback beyond which the loop counts as stalled.
	stallThresholdSeconds = 0.03
	// postStallSeconds is how long after a stall each request and response is measured.
	postStallSeconds = 0.1
)

// loopDelay measures the delay that the sidecar itself adds. Under load, the loop may read a response later after its arrival than many
// servers take to respond. If that delay counted as latency of the servers, their limits would fall, and requests would be rejected that
// idle servers could have served.
type loopDelay struct {
	sampledAt        float64
	lastWaitSeconds  float64 // result of the last sample
	lastCallbackAt   float64 // start of the last callback
	lastStallEndedAt float64 // end of the last stall
}

// socketWait returns for how many seconds the data of a connection was in its socket before it was read, 0 while the loop keeps up.
func (s *Sidecar) socketWait(c netio.Conn) float64 {
	d, now := &s.loopDelay, s.now()
	// After a stall, some data has just arrived and some has waited for the whole stall, so one sample says nothing about the next. If an old
	// request counted as new, it would be forwarded although its client may have closed long ago.
	if d.lastWaitSeconds < lateThresholdSeconds && now-d.sampledAt < sampleIntervalSeconds && now-d.lastStallEndedAt > postStallSeconds {
		return 0
	}
	d.sampledAt, d.lastWaitSeconds = now, s.net.ReceiveDelaySeconds(c)
	if d.lastWaitSeconds < lateThresholdSeconds {
		return 0
	}
	return d.lastWaitSeconds
}

// detectStall reports a stall of the event loop to the policy. The stall counts from the last callback, or from the time of the alarm if
// that is later.
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
