package policy

// request is a request that has no final answer yet.
type request struct {
	Request
	class        *Class
	arrivedAt    float64
	relativeWork float64 // work, as a multiple of the usual
	targetAt     float64 // when the answer loses its worth
	dispatchAt   float64 // when it is placed, if it waits
	queueIndex   int     // its place in the queue, from 1; 0: it is not there
	isWaiting    bool    // wants a send
	isHeld       bool    // nobody could take it; fresh reports come first
	isOverShare  bool    // beyond its tenant's share
	suspectHost  *host   // lost this request with its connection; must be seen alive before another send
	lostAt       float64
	attempts     []attempt
	liveIndex    int // in Balancer.live
}
