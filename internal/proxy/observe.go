package proxy

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

const (
	// misdirectedEvery is the least time between log lines about servers that turn requests away as not theirs.
	misdirectedEvery = 2 * time.Second
	// unservedEvery is the time between log lines about requests that were not served.
	unservedEvery = 5 * time.Second
)

// observations counts what operators need to see of requests that no server took, and keeps its log lines few.
type observations struct {
	misdirected rate.Sometimes

	mu       sync.Mutex
	unserved map[string]unserved // since the last line, by service
	logged   time.Time

	streams       map[string]*streamCounts // since the last line, by route
	streamsLogged time.Time
}

// streamCounts counts the streams of a route that were served, and those of them that came late by what made them so.
type streamCounts struct {
	Served      int
	LateReading int // more than half of the objective was over when the prompt had been read
	LateFirst   int // the first event came late all the same
	LatePause   int // a pause between events was too long
}

// streamTimes is when what mattered to a stream happened.
type streamTimes struct {
	read  time.Time // the prompt had been read apart; zero: it was not
	first time.Time // the first event went out
	last  time.Time // the newest event went out
	pause time.Duration
}

// event notes that an event goes out.
func (s *streamTimes) event(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.last = now
}

// readingPart is the part of the objective after which a prompt has been read late.
const readingPart = 0.5

// add counts a stream of a route that was served.
func (c *streamCounts) add(route *routeconfig.Route, arrived time.Time, times *streamTimes) {
	c.Served++
	target := nodeconfig.FromMillis(route.LatencyTargetMs)
	switch {
	case target > 0 && times.first.Sub(arrived) > target:
		if !times.read.IsZero() && float64(times.read.Sub(arrived)) > readingPart*float64(target) {
			c.LateReading++
		} else {
			c.LateFirst++
		}
	case route.TokenGapTargetMs > 0 && times.pause > nodeconfig.FromMillis(route.TokenGapTargetMs):
		c.LatePause++
	}
}

// stream counts a stream that was served.
func (o *observations) stream(j *proxyRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.streams[j.route.Name]
	if counts == nil {
		counts = &streamCounts{}
		o.streams[j.route.Name] = counts
	}
	counts.add(j.route, j.arrivedAt, &j.timing)
}

// dueStreams returns the counts of streams once it is time for a line, nil before.
func (o *observations) dueStreams(now time.Time) map[string]*streamCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.streams) == 0 || now.Sub(o.streamsLogged) < unservedEvery {
		return nil
	}
	counts := o.streams
	o.streams, o.streamsLogged = map[string]*streamCounts{}, now
	return counts
}

// logStreams tells of routes whose streams came late, and by what.
func (p *Proxy) logStreams(now time.Time) {
	for route, counts := range p.observed.dueStreams(now) {
		if counts.LateReading+counts.LateFirst+counts.LatePause == 0 {
			continue
		}
		p.log.WithField("route", route).WithField("served", counts.Served).WithField("late_reading", counts.LateReading).
			WithField("late_first", counts.LateFirst).WithField("late_pause", counts.LatePause).Info("streams late")
	}
}

// unserved counts requests that brought no answer of a server.
type unserved struct {
	Refused   int // none has run
	BrokenOff int // the server broke off and may have run it
	OutOfTime int // the time was over and a server may have run it
}

func newObservations() *observations {
	return &observations{misdirected: rate.Sometimes{Interval: misdirectedEvery}, unserved: map[string]unserved{}, logged: time.Now(),
		streams: map[string]*streamCounts{}, streamsLogged: time.Now()}
}

// count adds to what is counted for a service.
func (o *observations) count(service string, add func(counts *unserved)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.unserved[service]
	add(&counts)
	o.unserved[service] = counts
}

// due returns the counts once it is time for a line, nil before.
func (o *observations) due(now time.Time) map[string]unserved {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.unserved) == 0 || now.Sub(o.logged) < unservedEvery {
		return nil
	}
	counts := o.unserved
	o.unserved, o.logged = map[string]unserved{}, now
	return counts
}

// logUnserved tells how many requests were not served, and why the servers of their services were not chosen.
func (p *Proxy) logUnserved(now time.Time) {
	for service, counts := range p.observed.due(now) {
		var standing placement.Status
		p.state.withService(service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
			if pool != nil {
				standing = pool.Status(now)
			}
		})
		p.log.WithField("service", service).WithField("refused", counts.Refused).WithField("broken_off", counts.BrokenOff).
			WithField("out_of_time", counts.OutOfTime).WithField("listed", standing.Listed).WithField("draining", standing.Draining).
			WithField("switching", standing.Switching).WithField("members", standing.Members).WithField("free", standing.Available).
			WithField("misplaced", standing.WrongInstance).WithField("cooling", standing.Ejected).WithField("full", standing.Full).
			WithField("suspected", standing.Suspected).Warn("requests not served")
	}
}

// logMisdirected tells of a server that turned a request away as not its own, and which of the system's fields the client had sent.
func (p *Proxy) logMisdirected(j *proxyRequest, endpoint *placement.Endpoint, answer *http.Response) {
	p.observed.misdirected.Do(func() {
		p.log.WithField("server", endpoint.ID).WithField("address", endpoint.Address).WithField("stage", endpoint.Stage).
			WithField("request", j.id).WithField("answered_by", answer.Header.Get(headerInstanceID)).
			WithField("client_fields", systemFieldsOf(j.incoming.Header)).Warn("misdirected")
	})
}

// systemFieldsOf returns those of the system's fields that a client has sent, but for the time that it has.
func systemFieldsOf(header http.Header) (names []string) {
	for _, name := range systemFields {
		if _, sent := header[name]; sent && name != headerDeadline {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
