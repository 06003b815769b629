package placement

import (
	"math"

	"hazelwheel/internal/message"
)

const (
	// waitTimeConstant is the time in seconds in which a wait that was seen counts for a third.
	waitTimeConstant = 0.6
	// latePenaltySeconds is what it counts for that a prompt is surely too late, in seconds; between lateFrom and lateTo, in parts of the
	// objective, it grows.
	latePenaltySeconds = 0.5
	latenessStart      = 0.6
	latenessEnd        = 1.1
	// crossZonePrefillSeconds is what another zone counts for when a prompt is read, in seconds; crossRunner when its answer is made, as a part of
	// a server's slots.
	crossZonePrefillSeconds = 0.003
	crossZoneDecodeLoad     = 0.08
	// repeatedTokenSeconds is what a token of a shared part counts for that is read where it is not held, in seconds.
	repeatedTokenSeconds = 100e-6
	// interferencePenalty is what each answer under way counts for that is held up by a prompt read beside it, as a part of the time.
	interferencePenalty = 0.5
	// gapPenaltyStart is the part of the longest pause in time for which a prompt may be read beside answers without making them late.
	gapPenaltyStart = 0.5
	// transferSetupSeconds is what a move takes beside its bytes, in seconds.
	transferSetupSeconds = 0.004
)

// prefillSeconds is what a server of a stage takes to read so many tokens at once.
func (l *Planner) prefillSeconds(stage message.Stage, tokens float64) float64 {
	return l.paces.forStage(stage).latencySeconds + tokens/l.tokensPerSecond(stage)
}

func (l *Planner) tokensPerSecond(stage message.Stage) float64 {
	return 1 / l.paces.forStage(stage).secondsPerToken
}

// prefillCost estimates the cost of having a server read a prompt, in seconds: the time until it is read, and what reading shared
// parts again counts for.
func (l *Planner) prefillCost(e *Endpoint, q *Prompt, now float64, isHome bool) float64 {
	uncached := e.uncachedTokens(q, now, l.cacheSeconds, isHome)
	seconds := e.engine.expectedWait(now) + l.prefillSeconds(e.Stage, e.engine.prefillTokens+uncached)
	if e.Zone != l.pool.Zone {
		seconds += crossZonePrefillSeconds
	}
	return seconds + repeatedTokenSeconds*max(uncached-q.ownTokens(), 0) + latenessPenalty(seconds, q.LatencyTargetSeconds)
}

// latenessPenalty is what it counts for that a prompt is read too late for its objective, in seconds.
func latenessPenalty(seconds, targetSeconds float64) float64 {
	if targetSeconds <= 0 {
		return 0
	}
	return latePenaltySeconds * min(max((seconds/targetSeconds-latenessStart)/(latenessEnd-latenessStart), 0), 1)
}

// expectedWait is how long a prompt is taken to wait before it is read: by what the server told or was seen to take, which fades, and by
// the prompts that are overdue there now.
func (v *engineState) expectedWait(now float64) float64 {
	wait := v.waitSeconds * math.Exp(-(now-v.waitObservedAt)/waitTimeConstant)
	for _, r := range v.prefills {
		wait = max(wait, now-r.startedAt-r.expectedSeconds)
	}
	return wait
}

// interferenceFactor is by how much a prompt counts more that is read beside answers under way.
func (e *Endpoint) interferenceFactor() float64 {
	return 1 + interferencePenalty*float64(max(e.engine.running, e.InFlight))
}

// gapPenalty is what it counts for that answers under way at a server pause for too long while it reads a prompt, in seconds. Reading takes
// turns with them, and for as long as it goes on they come several times as slowly.
func (l *Planner) gapPenalty(now float64, q *Prompt, e *Endpoint) float64 {
	if q.GapTargetSeconds <= 0 {
		return 0
	}
	prefillSeconds := l.prefillSeconds(e.Stage, e.engine.prefillTokens+e.uncachedTokens(q, now, l.cacheSeconds, false))
	late := min(max(prefillSeconds/q.GapTargetSeconds-gapPenaltyStart, 0)/(1-gapPenaltyStart), 1)
	return latePenaltySeconds * late * float64(max(e.engine.running, e.InFlight))
}

// decodeLoad is the part of a server's slots that is taken, as far as is known, and what a move from another zone counts for.
func (e *Endpoint) decodeLoad(zone string) float64 {
	taken := float64(max(e.engine.running+e.engine.waiting, e.InFlight)) / float64(max(e.Slots, 1))
	if e.Zone != zone {
		taken += crossZoneDecodeLoad
	}
	return taken
}

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
