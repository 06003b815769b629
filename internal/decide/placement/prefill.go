package placement

import (
	"slices"
)

const (
	// waitPersistence is the part of the wait that a prompt met that is taken to last.
	waitPersistence = 0.5
	// maxChunks bounds the parts that are remembered of a server.
	maxChunks = 4096
)

// StartPrefill counts a prompt that a server begins to read.
func (l *Planner) StartPrefill(now float64, e *Endpoint, q *Prompt) *Prefill {
	tokens := e.uncachedTokens(q, now, l.cacheSeconds, false)
	r := &Prefill{tokens: tokens, ownTokens: q.ownTokens(), startedAt: now, expectedSeconds: l.prefillSeconds(e.Stage, tokens)}
	e.engine.prefills = append(e.engine.prefills, r)
	e.engine.prefillTokens += tokens
	l.prefillRate.add(now, tokens)
	if e.engine.chunkUsedAt == nil || len(e.engine.chunkUsedAt) > maxChunks {
		e.engine.chunkUsedAt = map[string]float64{}
	}
	for i, part := range q.Chunks {
		if i < len(q.Chunks)-1 {
			e.engine.chunkUsedAt[part.ID] = now
		}
	}
	return r
}

// FinishPrefill takes a prompt away. read tells whether it was read to its end.
func (l *Planner) FinishPrefill(now float64, e *Endpoint, r *Prefill, isComplete bool) {
	e.engine.prefillTokens -= r.tokens
	e.engine.prefills = slices.DeleteFunc(e.engine.prefills, func(other *Prefill) bool { return other == r })
	if !isComplete {
		return
	}
	seconds := now - r.startedAt
	// Danger: what other proxies had read there is not known here. Only the part that nobody shares was read for certain.
	l.paces.forStage(e.Stage).observe(r.ownTokens, seconds)
	e.engine.waitSeconds, e.engine.waitObservedAt = (seconds-l.prefillSeconds(e.Stage, r.tokens))*waitPersistence, now
}

// StartDecode counts an answer that a server makes, EndAnswer takes it away.
func (e *Endpoint) StartDecode(q *Prompt) { e.engine.kvTokens += float64(q.Tokens + q.MaxOutputTokens) }

// FinishDecode takes an answer away that BeginAnswer counted.
func (e *Endpoint) FinishDecode(q *Prompt) {
	e.engine.kvTokens -= float64(q.Tokens + q.MaxOutputTokens)
}

// Prefill is a prompt that a server reads.
type Prefill struct {
	tokens          float64
	ownTokens       float64 // tokens that nobody shares
	startedAt       float64
	expectedSeconds float64 // seconds, if it is read at once
}
