package policy

// request is a request that has no final answer yet.
type request struct {
	Request
	class    *Class
	arrived  float64
	units    float64 // work, as a multiple of the usual
	aim      float64 // when the answer loses its worth
	decideAt float64 // when it is placed, if it waits
	queued   int     // its place in the queue, from 1; 0: it is not there
	waiting  bool    // wants a send
	held     bool    // nobody could take it; fresh reports come first
	over     bool    // beyond its tenant's share
	suspect  *host   // lost this request with its connection; must be seen alive before another send
	lostAt   float64
	attempts []attempt
	index    int // in Balancer.live
}
