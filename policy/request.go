package policy

// request is a request without a final answer. A field that is added here is added to checkpoint.go.
type request struct {
	Request
	class        *Class
	arrivedAt    float64
	relativeWork float64 // work in units of the mean work; 1 where it is not known
	targetAt     float64 // an answer after this time has lost its value
	dispatchAt   float64 // when it is dispatched, while it is queued
	queueIndex   int     // index in queue.heap plus 1; 0: not queued
	isWaiting    bool    // waits for a host
	isHeld       bool    // no host could take it at the last dispatch; reports are refreshed before the next
	isOverShare  bool    // its tenant is beyond its share
	suspectHost  *host   // host whose connection was reset under this request; must report before another send
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
