package placement

// Engine tells what model servers of a service are like.
type Engine struct {
	IsPresent     bool
	KVTokenBytes  float64
	KVTokens      float64
	LinkMbps      float64
	SwitchSeconds float64 // what a change of the stage takes, in seconds
}

// engineState is what a proxy knows of a model server.
type engineState struct {
	prefillTokens  float64 // own prompt tokens that are being read there
	waitSeconds    float64 // seconds waited beyond the reading itself, as seen last
	waitObservedAt float64
	loadReportedAt float64 // when the server told running and waiting
	hasNewLoad     bool    // this was told here and not passed on yet
	running        int
	waiting        int
	kvTokens       float64            // tokens that own answers hold in memory
	chunkUsedAt    map[string]float64 // when own requests used them last there
	prefills       []*Prefill         // that are under way
}

// Plan says where a prompt is read: at Reader, after which Runner has to be asked for, or where Reader is nil at Runner, which makes
// the answer too.
type Plan struct {
	PrefillServer *Endpoint
	DecodeServer  *Endpoint
}

// uncachedTokens returns the tokens of a prompt that a server has to read, as far as is known here. Its home is taken to hold the shared
// parts, since other proxies send them there too.
func (e *Endpoint) uncachedTokens(q *Prompt, now, cacheSeconds float64, isHome bool) float64 {
	left := q.Tokens
	for i, part := range q.Chunks {
		if i == len(q.Chunks)-1 {
			break
		}
		used, known := e.engine.chunkUsedAt[part.ID]
		if !isHome && (!known || now-used > cacheSeconds) {
			break
		}
		left -= part.Tokens
	}
	return float64(max(left, 1))
}
