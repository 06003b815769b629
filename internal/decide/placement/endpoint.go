package placement

import "hazelwheel/internal/message"

const (
	// firstEjectionSeconds is the duration of the first ejection. It doubles with each further failure, up to maxEjectionSeconds.
	firstEjectionSeconds = 0.4
	maxEjectionSeconds   = 6.0
	// ejectionFailures is the number of consecutive failures after which a server is ejected.
	ejectionFailures = 2
)

// Endpoint is a server as one proxy knows it.
type Endpoint struct {
	message.Instance
	InFlight int // number of this proxy's requests in progress

	loadKey         uint32 // see message.Load.InstanceKey
	isMember        bool   // is in the proxy's subset
	probeGaps       gapWindow
	nextProbeAt     float64
	isProbing       bool
	failures        int // number of consecutive failures
	ejectedUntil    float64
	isWrongInstance bool // the last instance that answered at the address was another one
	stageChange     stageChange
	engine          engineState
}

// ownLoad returns the fraction of a server's slots that is used by requests of this proxy.
func (e *Endpoint) ownLoad() float64 { return float64(e.InFlight) / float64(max(e.Slots, 1)) }

// StartRequest counts a request that this proxy starts.
func (e *Endpoint) StartRequest() { e.InFlight++ }

// FinishRequest counts a request that has ended.
func (e *Endpoint) FinishRequest() { e.InFlight-- }

// RecordSuccess records that a server has served a request. It ends an ejection.
func (e *Endpoint) RecordSuccess() { e.failures, e.ejectedUntil = 0, 0 }

// RecordFailure records that a request has failed because of the server. The server is probed at once. It is ejected after
// ejectionFailures consecutive failures, or at once if it is unreachable.
func (e *Endpoint) RecordFailure(now float64, unreachable bool) {
	e.failures++
	e.nextProbeAt = min(e.nextProbeAt, now)
	if e.failures >= ejectionFailures || unreachable {
		doublings := min(max(e.failures-ejectionFailures, 0), 4)
		e.ejectedUntil = now + min(firstEjectionSeconds*float64(int(1)<<doublings), maxEjectionSeconds)
	}
}

// RecordIdentity records which instance an answer from the server's address names, "" if it names none. After another instance
// has answered, the server gets no requests until it answers itself.
func (e *Endpoint) RecordIdentity(instance string) {
	if instance != "" {
		e.isWrongInstance = instance != e.ID
	}
}

// RecordMisdirected records that the server has rejected a request as misdirected. That tells only about the one request: the
// reason may be the instance, but also the stage, the weights or the request itself. So the server is only ejected and probed.
// Which instance is at the address is known only from answers that name one.
func (e *Endpoint) RecordMisdirected(now float64) { e.RecordFailure(now, true) }

// RecordProbe records the result of a probe that DueProbes has requested.
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
