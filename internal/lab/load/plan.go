// Package load is the laboratory's client: it asks a sidecar for what a plan says, from a few threads that cost little,
// and tells what came of each request. In an open loop the time to an answer counts from when the request was due, so a
// sidecar that stalls, and a client that stalls, show as waiting and not as requests that were never sent.
//
// Danger: it reads answers that say their length (Content-Length); an answer in chunks counts as failed.
package load

import (
	"fmt"
	"net/netip"
	"time"
)

// Class is one kind of request that a plan sends.
type Class struct {
	Name  string  `json:"name"`  // the first part of the path
	Safe  bool    `json:"safe"`  // a GET without a body; otherwise a POST
	Keyed bool    `json:"keyed"` // with an Idempotency-Key
	Share float64 `json:"share"` // of all requests, in proportion to the other classes' shares; above 0
	// Worth is what a served request is worth, and LateShare which part of it where the answer came after Aim. Where Aim
	// is 0 no answer is late. A worth of 0 counts as 1.
	Worth     float64       `json:"worth"`
	LateShare float64       `json:"late_share"`
	Aim       time.Duration `json:"aim_ns"`
}

// Stage is a part of an open loop: the rate goes from one figure to another, both in requests a second.
type Stage struct {
	From, To float64
	For      time.Duration
}

// Plan is what to send, and for how long.
type Plan struct {
	Target   string        // the sidecar's address and port
	From     netip.Addr    // the address to send from; the zero value leaves it to the system
	Classes  []Class       // at least one
	Stages   []Stage       // the open loop; none: a closed loop, in which each link asks again with each answer
	For      time.Duration // how long a closed loop lasts; an open one lasts as long as its stages
	Poisson  bool          // arrivals by chance; otherwise evenly
	Links    int           // kept connections, at least 1
	New      float64       // the share of requests that each come on a connection of their own, 0 to 1
	Body     int           // bytes of a POST's body
	Patience time.Duration // the Request-Timeout, after which the client gives up
	Retries  int           // how often a request is tried again that was refused, or, if it may run twice, failed or broke
	Backoff  time.Duration // before the first retry, doubled before each further one; a longer Retry-After is kept
	Threads  int           // at least 1; each has its share of the links and of the rate
	Seed     uint64        // of ids, classes and arrivals
	Step     time.Duration // of the result's series; 0: a second
	// Slack above 0 has what comes judged: the time after its client's patience within which a request is still to be
	// answered. Who has given up listens for so long; the result has such a request as unanswered either way. 0: nothing
	// is judged, and who gives up closes the connection at once.
	Slack time.Duration
	// Calm says that the sidecar has room for all that the plan opens. A connection that it closes on its first request
	// is a break of a rule then; otherwise it is the sidecar's right.
	Calm bool
	// Began is called with the time at which the first request may be due, once the links are up, from any goroutine; nil:
	// nobody is told.
	Began func(time.Time) `json:"-"`
}

const (
	mostLinks = 20000
	mostFor   = time.Hour
	mostSteps = 4000 // of the series: each has a histogram on each thread
)

// Err returns what is wrong with the plan, in words that name the field.
func (p *Plan) Err() error {
	total := p.Length()
	checks := []struct {
		ok   bool
		what string
	}{
		{len(p.Classes) > 0, "classes: none"},
		{p.Links >= 1 && p.Links <= mostLinks, fmt.Sprintf("links: %d, not 1 to %d", p.Links, mostLinks)},
		{p.Threads >= 1 && p.Threads <= p.Links, fmt.Sprintf("threads: %d, not 1 to the number of links", p.Threads)},
		{p.New >= 0 && p.New <= 1, fmt.Sprintf("new: %g, not 0 to 1", p.New)},
		{p.Body >= 0 && p.Body <= 64<<10, fmt.Sprintf("body: %d, not 0 to 65536", p.Body)},
		{p.Patience > 0, "patience: not above 0"},
		{p.Retries >= 0 && p.Retries <= 10, fmt.Sprintf("retries: %d, not 0 to 10", p.Retries)},
		{p.Slack >= 0 && p.Slack <= time.Minute, fmt.Sprintf("slack: %s, not 0 to 1 minute", p.Slack)},
		{p.Backoff >= 0 && p.Backoff <= time.Minute, fmt.Sprintf("backoff: %s, not 0 to 1 minute", p.Backoff)},
		{p.Step >= 0 && total <= mostSteps*p.step(), fmt.Sprintf("step: %s, below 0 or more than %d steps", p.Step, mostSteps)},
		{total > 0 && total <= mostFor, fmt.Sprintf("for: %s, not above 0 and at most %s", total, mostFor)},
	}
	for _, c := range checks {
		if !c.ok {
			return fmt.Errorf("%s", c.what)
		}
	}
	target, err := netip.ParseAddrPort(p.Target)
	switch {
	case err != nil:
		return fmt.Errorf("target: %q is not an address and port", p.Target)
	case p.From.IsValid() && p.From.Is6() != target.Addr().Is6():
		return fmt.Errorf("from: %s and the target %s are not of one family", p.From, p.Target)
	}
	for _, c := range p.Classes {
		if c.Name == "" || c.Share <= 0 {
			return fmt.Errorf("classes: %q with share %g: a name and a share above 0 are wanted", c.Name, c.Share)
		}
	}
	for _, s := range p.Stages {
		if s.From < 0 || s.To < 0 || s.For <= 0 {
			return fmt.Errorf("stages: %g to %g for %s: no rate may be below 0 and no time 0", s.From, s.To, s.For)
		}
	}
	return nil
}

func (p *Plan) step() time.Duration {
	if p.Step == 0 {
		return time.Second
	}
	return p.Step
}

// Length returns how long requests are sent.
func (p *Plan) Length() time.Duration {
	if len(p.Stages) == 0 {
		return p.For
	}
	var d time.Duration
	for _, s := range p.Stages {
		d += s.For
	}
	return d
}

// arrivals are the times at which requests of an open loop are due, for one of several threads.
type arrivals struct {
	stages []Stage
	share  float64               // of the rate that is this thread's
	gap    func(float64) float64 // from the mean number of requests to the next one's number
	began  time.Duration         // of the present stage
	at     time.Duration
}

// next returns when the request after the one before is due; ok is false after the last.
func (a *arrivals) next() (at time.Duration, ok bool) {
	left := a.gap(1) // in requests
	for len(a.stages) > 0 {
		s := a.stages[0]
		end := a.began + s.For
		// The number of requests until x seconds from here is r*x + slope*x*x/2; the stage is walked in steps that
		// are short beside it.
		slope := (s.To - s.From) * a.share / s.For.Seconds()
		for a.at < end {
			rate := s.From*a.share + slope*(a.at-a.began).Seconds()
			step := end - a.at
			if slope != 0 {
				step = min(step, 10*time.Millisecond)
			}
			if mass := rate * step.Seconds(); mass < left {
				left -= mass
				a.at += step
				continue
			}
			a.at += time.Duration(left / rate * float64(time.Second))
			return a.at, a.at < end || len(a.stages) > 1
		}
		a.stages, a.began, a.at = a.stages[1:], end, end
	}
	return 0, false
}

func (c *Class) worth() float64 {
	if c.Worth == 0 {
		return 1
	}
	return c.Worth
}
