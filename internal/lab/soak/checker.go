package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Rule names a check.
type Rule string

// The checks.
const (
	AtMostOnce   Rule = "at-most-once"   // a request that may run once has run twice
	OwnAnswer    Rule = "own-answer"     // a client got what no server answered to it
	Intact       Rule = "intact"         // a server got another body than the client sent
	Promise      Rule = "promise"        // a request was refused as not run and has run
	Answered     Rule = "answered"       // a request neither had an answer nor its connection closed, or it was closed for no reason
	InForce      Rule = "in-force"       // a confirmed configuration was not in force in time
	NeverOlder   Rule = "never-older"    // a process went by an older configuration than before
	Confirmed    Rule = "confirmed"      // a proper change was refused, or what was confirmed is not told in the end
	AddedRoutes  Rule = "added-routes"   // routes that were added are served under a quarter as often as the first ones
	Starved      Rule = "starved"        // a kind of request is served under a quarter as often as all
	Recovered    Rule = "recovered"      // under a quarter is served once RecoveryS is over
	Voters       Rule = "voters"         // a control machine does not vote CatchUpS after it has come back
	EndsInGrace  Rule = "ends-in-grace"  // a process did not end in GraceS, or with a failure
	EndsByItself Rule = "ends-by-itself" // a process ended though nobody ended it
	Growth       Rule = "growth"         // memory or descriptors of a process grow
)

// Kind is what may be done with a request.
type Kind string

// The kinds of requests.
const (
	Once   Kind = "once"   // it may run once
	Safe   Kind = "safe"   // it may be repeated
	Prompt Kind = "prompt" // an answer of events
	Feed   Kind = "feed"   // an answer of events that another server may go on with
)

// Outcome is what a client saw of a request.
type Outcome struct {
	ID      string
	Kind    Kind
	Edge    string // name of the machine
	Life    int    // of its proxy
	Route   int    // number of an added route, 0: a first route
	Sent    time.Time
	Ended   time.Time
	Status  int    // 0: no answer
	Body    string // of a 200, as far as it came
	Stamp   bool   // the answer has a server's stamp
	Closed  bool   // the connection ended without a whole answer
	Fresh   bool   // no connection could be had
	Silent  bool   // there was no answer when the time was over
	Trouble bool   // something was done to the machine from shortly before until the end
}

// Checker collects what was seen and says which rules were broken. It is safe for use by several goroutines.
type Checker struct {
	mu       sync.Mutex
	broken   map[Rule][]string
	runs     map[string]int // by request
	kinds    map[string]Kind
	refused  map[string]bool
	highest  map[life]int // the newest added route that a proxy's life has known
	acked    map[int]time.Time
	counts   map[bool]served // of added routes, of first ones
	byKind   map[Kind]served
	outcomes map[string]int // by what clients saw
	resumed  int            // feeds that another attempt went on with
	hungUp   int            // processes that SIGHUP ended before they can have begun
	since    time.Time      // from when on requests count as after the last fault; zero: not yet
	after    served
}

type life struct {
	edge  string
	count int
}

// served counts requests.
type served struct{ sent, ok int }

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{broken: map[Rule][]string{}, runs: map[string]int{}, kinds: map[string]Kind{}, refused: map[string]bool{},
		highest: map[life]int{}, acked: map[int]time.Time{}, counts: map[bool]served{}, byKind: map[Kind]served{}, outcomes: map[string]int{}}
}

const mostToldOfARule = 5

// Break notes that a rule was broken.
func (c *Checker) Break(rule Rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakLocked(rule, format, args...)
}

func (c *Checker) breakLocked(rule Rule, format string, args ...any) {
	c.broken[rule] = append(c.broken[rule], fmt.Sprintf(format, args...))
}

// Broken returns the rules that were broken, with the first cases of each.
func (c *Checker) Broken() map[Rule][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Rule][]string{}
	for rule, cases := range c.broken {
		out[rule] = slices.Clone(cases[:min(len(cases), mostToldOfARule)])
	}
	return out
}

// Ran tells that a server has begun to run a request.
func (c *Checker) Ran(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.kinds[id] != Once {
		return
	}
	if c.runs[id] > 1 {
		c.breakLocked(AtMostOnce, "%s has run %d times", id, c.runs[id])
	}
	if c.refused[id] {
		c.breakLocked(Promise, "%s was refused and runs later", id)
	}
}

// bodyOf is the body of a request.
func bodyOf(id string) string { return "body of " + id }

// Got takes the body with which a request came to a server.
func (c *Checker) Got(id, body string) {
	if body != bodyOf(id) {
		c.Break(Intact, "%s came with the body %.60q", id, body)
	}
}

// Sending tells that a client sends a request.
func (c *Checker) Sending(id string, kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[id] = kind
}

// Acknowledged tells that a configuration was confirmed. Each adds the route of its number.
func (c *Checker) Acknowledged(route int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked[route] = at
}

// FaultsEnded tells that requests which are sent from a time on are to be served again.
func (c *Checker) FaultsEnded(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = from
}

// Resumed counts a feed that goes on after an event that its client has.
func (c *Checker) Resumed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed++
}

// HungUpEarly counts a process that SIGHUP ended before it can have begun.
func (c *Checker) HungUpEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hungUp++
}

// answerTo is the body that servers answer.
func answerTo(kind Kind, id string) string {
	switch kind {
	case Prompt:
		return fmt.Sprintf(twoEvents, id)
	case Feed:
		return feedFrom(id, 1)
	default:
		return "answer to " + id
	}
}

// feedEvents is the number of events in the answer to a feed.
const feedEvents = 6

// feedFrom returns the events of a feed from one of them on.
func feedFrom(id string, first int) (events string) {
	for event := first; event <= feedEvents; event++ {
		events += feedEvent(id, event)
	}
	return events
}

func feedEvent(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)
}

// Ended takes what a client saw of a request.
func (c *Checker) Ended(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[o.class()]++
	c.checkAnswer(&o)
	c.checkRoute(&o)
	if o.Status == 503 && o.Kind == Once {
		c.refused[o.ID] = true
		if c.runs[o.ID] > 0 {
			c.breakLocked(Promise, "%s has run and was refused", o.ID)
		}
	}
	if !c.since.IsZero() && o.Sent.After(c.since) {
		c.after = c.after.with(o.Status == 200)
	}
	if !o.Trouble && !o.Fresh {
		c.counts[o.Route > 0] = c.counts[o.Route > 0].with(o.Status == 200)
		c.byKind[o.Kind] = c.byKind[o.Kind].with(o.Status == 200)
	}
}

func (s served) with(ok bool) served {
	s.sent++
	if ok {
		s.ok++
	}
	return s
}

// class says in a word what a client saw.
func (o *Outcome) class() string {
	switch {
	case o.Fresh:
		return "no connection"
	case o.Silent:
		return "silent"
	case o.Closed:
		return "closed"
	}
	return fmt.Sprint(o.Status)
}

// checkAnswer looks at the answer, or at the lack of one.
func (c *Checker) checkAnswer(o *Outcome) {
	switch {
	case o.Status == 200 && (o.Body != answerTo(o.Kind, o.ID) || !o.Stamp):
		c.breakLocked(OwnAnswer, "%s got %.60q, stamp %v", o.ID, o.Body, o.Stamp)
	case o.Kind == Feed && o.Closed && o.Body != "":
		// A feed that breaks off more often than the route has attempts ends with what came in order.
		if !strings.HasPrefix(answerTo(Feed, o.ID), o.Body) {
			c.breakLocked(OwnAnswer, "%s broke off after %.80q", o.ID, o.Body)
		}
	case o.Silent && !o.Trouble:
		c.breakLocked(Answered, "%s (%s) at %s: no answer and no end after %v", o.ID, o.Kind, o.Edge, o.Ended.Sub(o.Sent))
	case o.Closed && !o.Trouble:
		c.breakLocked(Answered, "%s (%s) at %s: closed without an answer after %v, and nothing was done to the machine", o.ID, o.Kind, o.Edge, o.Ended.Sub(o.Sent))
	}
}

// checkRoute looks at what the answer tells of the configuration at the proxy.
func (c *Checker) checkRoute(o *Outcome) {
	if o.Route == 0 || o.Status == 0 {
		return
	}
	at := life{o.Edge, o.Life}
	if o.Status != 404 {
		c.highest[at] = max(c.highest[at], o.Route)
		return
	}
	if o.Route <= c.highest[at] {
		c.breakLocked(NeverOlder, "%s, life %d: no route %d, though it has known route %d", o.Edge, o.Life, o.Route, c.highest[at])
	}
	acked, ok := c.acked[o.Route]
	if late := o.Sent.Sub(acked); ok && !o.Trouble && late > time.Duration(configApplyS*float64(time.Second))+machineSlack {
		c.breakLocked(InForce, "%s: no route %d %v after it was confirmed", o.Edge, o.Route, late)
	}
}

// leastRequests is from how many requests on a share is judged, leastShare the part that must be served.
const (
	leastRequests = 20
	leastShare    = 0.25
)

// Finish judges what can be judged in the end alone.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	added, first := c.counts[true], c.counts[false]
	if added.sent >= leastRequests && first.sent >= leastRequests && added.share() < leastShare*first.share() {
		c.breakLocked(AddedRoutes, "of %d requests on routes that were added %d were served; of %d on the first routes %d", added.sent, added.ok,
			first.sent, first.ok)
	}
	all := served{}
	for _, kind := range c.byKind {
		all.sent, all.ok = all.sent+kind.sent, all.ok+kind.ok
	}
	for kind, counts := range c.byKind {
		if counts.sent >= leastRequests && counts.share() < leastShare*all.share() {
			c.breakLocked(Starved, "of %d requests of the kind %s %d were served, of all %d %d", counts.sent, kind, counts.ok, all.sent, all.ok)
		}
	}
	if !c.since.IsZero() && c.after.share() < leastShare {
		c.breakLocked(Recovered, "after the last fault %d of %d requests were served", c.after.ok, c.after.sent)
	}
}

// share is 0 where nothing was sent.
func (s served) share() float64 { return float64(s.ok) / float64(max(s.sent, 1)) }
