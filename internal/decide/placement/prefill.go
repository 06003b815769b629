package placement

import "slices"

const (
	// waitPersistence is the fraction of an observed wait that is expected for the next prompt.
	waitPersistence = 0.5
	// maxChunks bounds the chunks that are remembered for one server.
	maxChunks = 4096
)

// StartPrefill records a prefill that starts at a server. The caller must end it with FinishPrefill.
func (l *Planner) StartPrefill(now float64, e *Endpoint, q *Prompt) *Prefill {
	tokens := e.uncachedTokens(q, now, l.cacheSeconds, false)
	r := &Prefill{tokens: tokens, ownTokens: q.ownTokens(), startedAt: now, expectedSeconds: l.prefillSeconds(e.Stage, tokens)}
	e.engine.prefills = append(e.engine.prefills, r)
	e.engine.prefillTokens += tokens
	l.prefillRate.add(now, tokens)
	if e.engine.chunkUsedAt == nil || len(e.engine.chunkUsedAt) > maxChunks {
		e.engine.chunkUsedAt = map[string]float64{}
	}
	for i, chunk := range q.Chunks {
		if i < len(q.Chunks)-1 {
			e.engine.chunkUsedAt[chunk.ID] = now
		}
	}
	return r
}

// FinishPrefill records the end of a prefill. isComplete is true if it was not aborted, so that its duration is a measurement.
func (l *Planner) FinishPrefill(now float64, e *Endpoint, r *Prefill, isComplete bool) {
	e.engine.prefillTokens -= r.tokens
	e.engine.prefills = slices.DeleteFunc(e.engine.prefills, func(other *Prefill) bool { return other == r })
	if !isComplete {
		return
	}
	seconds := now - r.startedAt
	// Which prefixes other proxies have caused to be cached there is unknown. Only the tokens that no other prompt shares have
	// certainly been processed.
	l.speeds.forStage(e.Stage).observe(r.ownTokens, seconds)
	e.engine.waitSeconds, e.engine.waitObservedAt = (seconds-l.prefillSeconds(e.Stage, r.tokens))*waitPersistence, now
}

// StartDecode records an answer that starts at a server. The caller must end it with FinishDecode for the same prompt.
func (e *Endpoint) StartDecode(q *Prompt) { e.engine.kvTokens += float64(q.Tokens + q.MaxOutputTokens) }

// FinishDecode records the end of an answer recorded by StartDecode.
func (e *Endpoint) FinishDecode(q *Prompt) {
	e.engine.kvTokens -= float64(q.Tokens + q.MaxOutputTokens)
}

// Prefill is a prefill in progress.
type Prefill struct {
	tokens          float64 // tokens that the server was expected to process
	ownTokens       float64 // tokens that no other prompt shares
	startedAt       float64
	expectedSeconds float64 // duration without a wait
}
