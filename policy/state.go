// What a Balancer remembers. This file holds types alone; every decision is in policy.go. What is added here is added
// to checkpoint.go, too.

package policy

import "math/rand/v2"

// attempt is one send of a request.
type attempt struct {
	host   *host
	sentAt float64
	done   bool
	ran    bool // may have run; true until an outcome proves otherwise
}

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

// out is an attempt in flight, as its host sees it.
type out struct {
	id       uint32
	class    int
	sentAt   float64
	expected float64
	line     float64 // the line that was expected
	idle     float64 // seconds since its connection brought the last answer
}

// host is what is known of one host.
type host struct {
	HostInfo
	bound  bool    // told that it drains or is gone: nothing new
	goneAt float64 // when the list dropped it
	member bool
	was    bool // a member, while the subset is taken
	set    part // where it was sorted to last

	gaps      []float32 // between answers on cadence, in cadences
	mean      float64   // of the gaps
	sigma     float64
	every     float64 // the cadence by which its present silence is judged
	planned   float64 // the cadence from the last probe to the next
	answered  float64 // last probe answer on cadence
	nextProbe float64
	met       bool    // has answered on cadence in this life
	probedAt  float64 // send time of the cadence probe that is out; 0: none
	polledAt  float64 // send time of the poll that is out; 0: none
	phi       float64 // suspicion at the last reading
	refused   int     // connections refused or broken in a row
	refusedAt float64
	rampFrom  float64   // when trust began to come back
	turned    []float64 // attempts of each class turned away or failed in a row; each answer forgives half
	shunned   []float64 // until then it gets nothing new of the class

	outs     []out
	servedAt float64 // last answer over a connection
	reported float64 // requests held, by the last report
	seenAt   float64 // send time of the probe that brought it; 0: never
	ratio    float64 // delay against what is usual
	ratioAt  float64
	line     float64 // seconds that the last probe waited beyond what an idle host takes, where reports are absent
	lineAt   float64
	limit    float64 // own requests in flight, where reports are absent
	cutAt    float64

	winFrom          float64
	winSent, winPrev float64
	winLuck          float64 // drawn for the window
}

// Balancer decides for one proxy.
type Balancer struct {
	s     Settings
	do    Actions
	pcg   *rand.PCG // the state of rng
	rng   *rand.Rand
	now   float64
	wake  float64 // the next wake-up, if armed
	armed bool

	hosts    map[uint32]*host
	order    []*host // all hosts, by id
	members  []*host
	need     float64 // warm members wanted
	peers    float64 // proxies that share a host
	watching bool
	askAt    float64 // when the list is asked for again
	askWait  float64 // the last wait after a call that failed, about; 0: none has since the list came

	aim       float64 // the tightest class's
	rtt       float64 // usual probe delay
	base      float64 // probe delay at an idle host, where reports are absent
	crowd     float64 // usual line, as a part of the tightest aim
	meanGap   float64
	slow      float64 // mean of the members' delays against what is usual
	phiAt     float64
	sets      sets
	scanAt    float64 // no look at all members before
	found     *host   // by the last one
	capacity  float64 // of the members, in warm hosts
	brisk     float64 // what a warm member was sent in the last whole window
	polls     bool    // reports come with probes and are fetched for a pick
	field     int     // of the report: requests held
	svc       float64 // usual service time for each place in a host's line
	meanWork  float64
	classMean []float64
	kinds     kinds
	tries     []try

	deadIdle  float64 // attempts in a row lost on idle connections
	dropAge   float64 // connections that are idle for longer are closed before a send
	dropUntil float64

	unserved unserved
	live     []*request
	queue    queue // of those that wait
	byID     map[uint32]*request
	budget   float64
	errors   float64   // part of the attempts that end with an error, at whatever host
	sends    fading    // units of work sent, a second
	told     int       // how many proxies there are by the settings; b.s has what is so now
	placed   bool      // b.s has what others' word says
	asks     fading    // requests a second, sent or not
	asked    []float64 // requests of each tenant, fading
	askedAt  float64
}

// try is the usual length of a class's tries, with the votes for it.
type try struct {
	usual float64
	votes int
}

// ended is a request that was not served, as far as its client's next try shares it.
type ended struct {
	class, tenant int
	key           uint64
	aim, until    float64 // until when an answer had its worth, and the client's total wait
}
