package placement

// Engine describes the model servers of a service.
type Engine struct {
	IsPresent     bool    // whether the service runs on model servers
	KVTokenBytes  float64 // size of a token in the KV cache
	KVTokens      float64 // tokens that one server's KV cache holds
	LinkMbps      float64 // bandwidth of a server's network link; 0 if unknown
	SwitchSeconds float64 // how long a change of the stage takes
}

// engineState is what a proxy knows about the load and the cache of a model server.
type engineState struct {
	prefillTokens  float64 // tokens of this proxy's prefills in progress
	waitSeconds    float64 // expected wait, derived from the last prefill of this proxy
	waitObservedAt float64 // when waitSeconds was observed
	loadReportedAt float64 // when running and waiting were measured
	hasNewLoad     bool    // the load was reported to this proxy and has not been forwarded yet
	running        int
	waiting        int
	kvTokens       float64            // tokens of this proxy's answers in progress
	chunkUsedAt    map[string]float64 // by chunk ID: when a prompt of this proxy last used it at this server
	prefills       []*Prefill         // prefills of this proxy in progress
}

// Plan tells where a prompt is processed. If PrefillServer is set, it does the prefill, and the caller picks the decode server
// with PickDecodeServer afterwards. Otherwise DecodeServer does both.
type Plan struct {
	PrefillServer *Endpoint
	DecodeServer  *Endpoint
}

// uncachedTokens returns how many tokens of a prompt a server has to process, as far as this proxy knows. The home of the shared
// prefix is assumed to have it cached, since other proxies send such prompts there, too.
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
