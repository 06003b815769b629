package policy

// request is a request that has no final answer yet. A field that is added here is added to checkpoint.go.
type request struct {
	Request
	class        *Class
	arrivedAt    float64
	relativeWork float64 // work in units of the mean work; 1 where it is not known
	targetAt     float64 // latency target as a point in time; a later answer has lost value
	dispatchAt   float64 // when a queued request is dispatched
	queueIndex   int     // index in queue.heap plus 1; 0 if not queued
	isWaiting    bool    // waits for a host
	isHeld       bool    // no host could take it at the last dispatch; reports are refreshed before the next
	isOverShare  bool    // its tenant has exceeded its share
	suspectHost  *host   // host whose connection was reset during this request; it must report before the next send
	lostAt       float64 // time of that reset
	attempts     []attempt
	liveIndex    int // index in Balancer.liveRequests
}

// attempt is one send of a request to a host.
type attempt struct {
	host       *host
	sentAt     float64
	isDone     bool
	mayHaveRun bool // the host may have executed it; true until an outcome proves otherwise
}
