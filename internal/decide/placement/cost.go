package placement

import (
	"math"

	"hazelwheel/internal/message"
)

const (
	// waitTimeConstant is the time constant of the exponential decay of an observed wait, in seconds.
	waitTimeConstant = 0.6
	// latePenaltySeconds is the cost of a prefill that is certain to miss the latency target. The penalty grows linearly from 0 at
	// latenessStart to its full value at latenessEnd, both fractions of the target.
	latePenaltySeconds = 0.5
	latenessStart      = 0.6
	latenessEnd        = 1.1
	// crossZonePrefillSeconds is the additional cost of prefill in another zone. crossZoneDecodeLoad is that of decode in another
	// zone, as a fraction of a server's slots.
	crossZonePrefillSeconds = 0.003
	crossZoneDecodeLoad     = 0.08
	// repeatedTokenSeconds is the cost of processing a token of a shared prefix again at a server that has not cached it.
	repeatedTokenSeconds = 100e-6
	// interferencePenalty is the additional cost of a prefill for each answer in progress at the same server, as a fraction of the
	// prefill's cost.
	interferencePenalty = 0.5
	// gapPenaltyStart is a fraction of the gap target. A prefill that takes longer counts as delaying the answers at the same
	// server.
	gapPenaltyStart = 0.5
	// transferSetupSeconds is the fixed part of the duration of a KV cache transfer.
	transferSetupSeconds = 0.004
)

// prefillSeconds returns the duration of a prefill at a server of a stage that has no other work.
func (l *Planner) prefillSeconds(stage message.Stage, tokens float64) float64 {
	return l.speeds.forStage(stage).latencySeconds + tokens/l.tokensPerSecond(stage)
}

// tokensPerSecond returns the speed of prefill at servers of a stage.
func (l *Planner) tokensPerSecond(stage message.Stage) float64 {
	return 1 / l.speeds.forStage(stage).secondsPerToken
}

// prefillCost returns the cost of the prefill of a prompt at a server, in seconds: its duration including waits, the cost of
// tokens that are processed again, and a penalty if it is late.
func (l *Planner) prefillCost(e *Endpoint, q *Prompt, now float64, isHome bool) float64 {
	uncached := e.uncachedTokens(q, now, l.cacheSeconds, isHome)
	seconds := e.engine.expectedWait(now) + l.prefillSeconds(e.Stage, e.engine.prefillTokens+uncached)
	if e.Zone != l.pool.Zone {
		seconds += crossZonePrefillSeconds
	}
	return seconds + repeatedTokenSeconds*max(uncached-q.ownTokens(), 0) + latenessPenalty(seconds, q.LatencyTargetSeconds)
}

// latenessPenalty returns the penalty for a prefill that ends after the given seconds; 0 if there is no latency target.
func latenessPenalty(seconds, targetSeconds float64) float64 {
	if targetSeconds <= 0 {
		return 0
	}
	return latePenaltySeconds * min(max((seconds/targetSeconds-latenessStart)/(latenessEnd-latenessStart), 0), 1)
}

// expectedWait returns how long a prompt is expected to wait at a server: the last observed wait, which decays, or the time by
// which a prefill there is overdue, whichever is longer.
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

// gapPenalty returns the cost, in seconds, of the gaps that a colocated prefill causes in the answers in progress at a server.
// The server alternates between prefill and decode, so events come several times more slowly during a prefill.
func (l *Planner) gapPenalty(now float64, q *Prompt, e *Endpoint) float64 {
	if q.GapTargetSeconds <= 0 {
		return 0
	}
	prefillSeconds := l.prefillSeconds(e.Stage, e.engine.prefillTokens+e.uncachedTokens(q, now, l.cacheSeconds, false))
	late := min(max(prefillSeconds/q.GapTargetSeconds-gapPenaltyStart, 0)/(1-gapPenaltyStart), 1)
	return latePenaltySeconds * late * float64(max(e.engine.running, e.InFlight))
}

// decodeLoad returns the known fraction of a server's slots in use, plus the cost of a transfer if the server is not in the given
// zone.
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
