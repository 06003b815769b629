package placement

import (
	"math"

	"hazelwheel/internal/message"
)

const (
	// waitTimeConstant is the time constant with which an observed wait fades, in seconds.
	waitTimeConstant = 0.6
	// latePenaltySeconds is the cost of a prefill that is certainly too late for the latency target. It grows from 0 between
	// latenessStart and latenessEnd, fractions of the target.
	latePenaltySeconds = 0.5
	latenessStart      = 0.6
	latenessEnd        = 1.1
	// crossZonePrefillSeconds is the cost of prefill in another zone, crossZoneDecodeLoad that of decode in another zone, as a
	// fraction of a server's slots.
	crossZonePrefillSeconds = 0.003
	crossZoneDecodeLoad     = 0.08
	// repeatedTokenSeconds is the cost of a token of a shared prefix that is read again where it is not cached.
	repeatedTokenSeconds = 100e-6
	// interferencePenalty is the cost of each answer in progress at a server that does prefill beside it, as a fraction of the
	// prefill's cost.
	interferencePenalty = 0.5
	// gapPenaltyStart is the fraction of the gap target up to which a prefill doesn't delay the answers beside it too much.
	gapPenaltyStart = 0.5
	// transferSetupSeconds is the duration of a transfer of the KV cache beside that of its bytes.
	transferSetupSeconds = 0.004
)

// prefillSeconds returns the duration of a prefill at a server of a stage that does nothing else.
func (l *Planner) prefillSeconds(stage message.Stage, tokens float64) float64 {
	return l.paces.forStage(stage).latencySeconds + tokens/l.tokensPerSecond(stage)
}

// tokensPerSecond returns the speed of prefill at servers of a stage.
func (l *Planner) tokensPerSecond(stage message.Stage) float64 {
	return 1 / l.paces.forStage(stage).secondsPerToken
}

// prefillCost returns the cost of the prefill of a prompt at a server, in seconds: its duration with all waits, the cost of
// tokens that are read again, and a penalty if it is late.
func (l *Planner) prefillCost(e *Endpoint, q *Prompt, now float64, isHome bool) float64 {
	uncached := e.uncachedTokens(q, now, l.cacheSeconds, isHome)
	seconds := e.engine.expectedWait(now) + l.prefillSeconds(e.Stage, e.engine.prefillTokens+uncached)
	if e.Zone != l.pool.Zone {
		seconds += crossZonePrefillSeconds
	}
	return seconds + repeatedTokenSeconds*max(uncached-q.ownTokens(), 0) + latenessPenalty(seconds, q.LatencyTargetSeconds)
}

// latenessPenalty returns the cost of a prefill that ends after some seconds, where there is a latency target.
func latenessPenalty(seconds, targetSeconds float64) float64 {
	if targetSeconds <= 0 {
		return 0
	}
	return latePenaltySeconds * min(max((seconds/targetSeconds-latenessStart)/(latenessEnd-latenessStart), 0), 1)
}

// expectedWait returns how long a prompt is expected to wait at a server: the wait that was last observed, which fades, or the
// time by which a prefill there is overdue.
func (v *engineState) expectedWait(now float64) float64 {
	wait := v.waitSeconds * math.Exp(-(now-v.waitObservedAt)/waitTimeConstant)
	for _, r := range v.prefills {
		wait = max(wait, now-r.startedAt-r.expectedSeconds)
	}
	return wait
}

// interferenceFactor returns the factor by which answers in progress raise the cost of a colocated prefill.
func (e *Endpoint) interferenceFactor() float64 {
	return 1 + interferencePenalty*float64(max(e.engine.running, e.InFlight))
}

// gapPenalty returns the cost of the gaps in answers in progress at a server during a colocated prefill, in seconds. The server
// alternates between prefill and decode, so that events come several times as slowly while a prefill lasts.
func (l *Planner) gapPenalty(now float64, q *Prompt, e *Endpoint) float64 {
	if q.GapTargetSeconds <= 0 {
		return 0
	}
	prefillSeconds := l.prefillSeconds(e.Stage, e.engine.prefillTokens+e.uncachedTokens(q, now, l.cacheSeconds, false))
	late := min(max(prefillSeconds/q.GapTargetSeconds-gapPenaltyStart, 0)/(1-gapPenaltyStart), 1)
	return latePenaltySeconds * late * float64(max(e.engine.running, e.InFlight))
}

// decodeLoad returns the known fraction of a server's slots in use, plus the cost of a transfer from a zone.
func (e *Endpoint) decodeLoad(zone string) float64 {
	taken := float64(max(e.engine.running+e.engine.waiting, e.InFlight)) / float64(max(e.Slots, 1))
	if e.Zone != zone {
		taken += crossZoneDecodeLoad
	}
	return taken
}

// transferSeconds returns the duration of the transfer of a prompt's KV cache between two servers.
func (l *Planner) transferSeconds(q *Prompt, from, to *Endpoint) float64 {
	if l.pool.Engine.LinkMbps <= 0 {
		return transferSetupSeconds
	}
	seconds := float64(q.Tokens) * l.pool.Engine.KVTokenBytes * 8 / (l.pool.Engine.LinkMbps * 1e6)
	if from.Zone != to.Zone {
		seconds *= 2
	}
	return seconds + transferSetupSeconds
}
