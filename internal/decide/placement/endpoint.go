package placement

import "hazelwheel/internal/message"

const (
	// firstEjectionSeconds is how long a server is ejected first. The time doubles with each further failure, up to
	// maxEjectionSeconds.
	firstEjectionSeconds = 0.4
	maxEjectionSeconds   = 6.0
	// ejectionFailures is the number of consecutive failures from which on a server is ejected.
	ejectionFailures = 2
)

// Endpoint is a server as one proxy knows it.
type Endpoint struct {
	message.Instance
	InFlight int // requests of this proxy in progress

	loadKey         uint32 // see message.Load.InstanceKey
	isMember        bool   // of the proxy's subset
	probeGaps       gapWindow
	nextProbeAt     float64
	isProbing       bool
	failures        int // consecutive ones
	ejectedUntil    float64
	isWrongInstance bool // another instance has answered at the address, and this one has not since
	stageChange     stageChange
	engine          engineState
}

// ownLoad returns the fraction of a server's slots that requests of this proxy take.
func (e *Endpoint) ownLoad() float64 { return float64(e.InFlight) / float64(max(e.Slots, 1)) }

// StartRequest counts a request that this proxy starts.
func (e *Endpoint) StartRequest() { e.InFlight++ }

// FinishRequest counts a request that has ended.
func (e *Endpoint) FinishRequest() { e.InFlight-- }

// RecordSuccess records that a server has served a request. It ends an ejection.
func (e *Endpoint) RecordSuccess() { e.failures, e.ejectedUntil = 0, 0 }

// RecordFailure records that a request has failed by the server's fault. The server is probed at once, and ejected after
// ejectionFailures consecutive failures, or at once if it is unreachable.
func (e *Endpoint) RecordFailure(now float64, unreachable bool) {
	e.failures++
	e.nextProbeAt = min(e.nextProbeAt, now)
	if e.failures >= ejectionFailures || unreachable {
		doublings := min(max(e.failures-ejectionFailures, 0), 4)
		e.ejectedUntil = now + min(firstEjectionSeconds*float64(int(1)<<doublings), maxEjectionSeconds)
	}
}

// RecordIdentity records the instance that an answer from the server's address names, "" where it names none. After another
// instance has answered, the server gets no requests until it answers itself.
func (e *Endpoint) RecordIdentity(instance string) {
	if instance != "" {
		e.isWrongInstance = instance != e.ID
	}
}

// RecordMisdirected records that the server has rejected a request as misdirected. Danger: that is a statement about one
// request. Its reason may be the stage, the weights or the request itself as well as the instance, so the server is only
// ejected and probed; which instance is at the address is known only from answers that name one.
func (e *Endpoint) RecordMisdirected(now float64) { e.RecordFailure(now, true) }

// RecordProbe records the result of a probe that DueProbes has returned.
func (e *Endpoint) RecordProbe(now float64, answered bool) {
	e.isProbing = false
	if answered {
		e.probeGaps.record(now)
		return
	}
	if !e.isWrongInstance {
		e.nextProbeAt = min(e.nextProbeAt, now+retryProbeSeconds)
	}
}
