package placement

// Engine describes the model servers of a service.
type Engine struct {
	IsPresent     bool    // the service runs on model servers
	KVTokenBytes  float64 // size of a token in the KV cache
	KVTokens      float64 // tokens that one server's KV cache holds
	LinkMbps      float64 // of a server, 0: unknown
	SwitchSeconds float64 // how long a change of the stage takes
}

// engineState is what a proxy knows of the load and the cache of a model server.
type engineState struct {
	prefillTokens  float64 // of prefills of this proxy in progress
	waitSeconds    float64 // wait of the last prefill of this proxy
	waitObservedAt float64 // when waitSeconds was observed
	loadReportedAt float64 // when the server had running and waiting requests
	hasNewLoad     bool    // the load was reported to this proxy and not forwarded yet
	running        int
	waiting        int
	kvTokens       float64            // of answers of this proxy in progress
	chunkUsedAt    map[string]float64 // when prompts of this proxy last used a chunk there
	prefills       []*Prefill         // of this proxy in progress
}

// Plan says where a prompt is processed. If PrefillServer is set it does the prefill, and the caller picks the decode server
// by PickDecodeServer afterwards. Else DecodeServer does both.
type Plan struct {
	PrefillServer *Endpoint
	DecodeServer  *Endpoint
}

// uncachedTokens returns the tokens of a prompt that a server has to read, as far as this proxy knows. The home of the shared
// prefix counts as having it cached, since other proxies send such prompts there too.
func (e *Endpoint) uncachedTokens(q *Prompt, now, cacheSeconds float64, isHome bool) float64 {
	left := q.Tokens
	for i, chunk := range q.Chunks {
		if i == len(q.Chunks)-1 {
			break
		}
		usedAt, isKnown := e.engine.chunkUsedAt[chunk.ID]
		if !isHome && (!isKnown || now-usedAt > cacheSeconds) {
			break
		}
		left -= chunk.Tokens
	}
	return float64(max(left, 1))
}
