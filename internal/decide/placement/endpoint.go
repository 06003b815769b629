package placement

import (
	"hazelwheel/internal/message"
)

const (
	// firstEjectionSeconds and coolMost bound how long a server that fails requests gets none, in seconds. It doubles from failure to failure.
	firstEjectionSeconds = 0.4
	maxEjectionSeconds   = 6.0
	// ejectionFailures is the number of failures in a row after which it does.
	ejectionFailures = 2
)

// Endpoint is a server as one proxy knows it.
type Endpoint struct {
	message.Instance
	InFlight int // own requests

	loadKey         uint32 // in loads
	isMember        bool   // of the proxy's part
	probeGaps       gapWindow
	nextProbeAt     float64
	isProbing       bool
	failures        int
	ejectedUntil    float64
	isWrongInstance bool // another instance answered at the address, and this one has not since
	stageChange     stageChange
	engine          engineState
}

// ownLoad is the part of a server's slots that own requests take.
func (e *Endpoint) ownLoad() float64 { return float64(e.InFlight) / float64(max(e.Slots, 1)) }

// StartRequest counts an own request.
func (e *Endpoint) StartRequest() { e.InFlight++ }

// FinishRequest takes it away.
func (e *Endpoint) FinishRequest() { e.InFlight-- }

// RecordSuccess tells that a server served a request.
func (e *Endpoint) RecordSuccess() { e.failures, e.ejectedUntil = 0, 0 }

// RecordFailure tells that a request failed at a server by the server's fault. After some in a row it gets none for a while, and
// it is probed at once.
func (e *Endpoint) RecordFailure(now float64, unreachable bool) {
	e.failures++
	e.nextProbeAt = min(e.nextProbeAt, now)
	if e.failures >= ejectionFailures || unreachable {
		doublings := min(max(e.failures-ejectionFailures, 0), 4)
		e.ejectedUntil = now + min(firstEjectionSeconds*float64(int(1)<<doublings), maxEjectionSeconds)
	}
}

// RecordIdentity takes the instance that an answer from the server's address names, "" where it names none. Another instance's keeps
// requests away until this one's own is heard again.
func (e *Endpoint) RecordIdentity(instance string) {
	if instance != "" {
		e.isWrongInstance = instance != e.ID
	}
}

// RecordMisdirected tells that the server did not take a request for its own. Danger: that is the word on one request. It may go by the
// stage, the weights or the request itself as well as by the instance, so that it holds the server back for a while and has it probed:
// who lives at the address is told by answers that name an instance, alone.
func (e *Endpoint) RecordMisdirected(now float64) { e.RecordFailure(now, true) }

// RecordProbe takes what came of a probe.
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
