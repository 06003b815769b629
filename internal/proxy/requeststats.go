package proxy

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hazelwheel/internal/decide/placement"
)

const (
	// misdirectedEvery is the least time between log lines about servers that turn requests away as not theirs.
	misdirectedLogInterval = 2 * time.Second
	// unservedEvery is the time between log lines about requests that were not served.
	unservedLogInterval = 5 * time.Second
)

// observations counts what operators need to see of requests that no server took, and keeps its log lines few.
type requestStats struct {
	misdirectedLog rate.Sometimes

	mu               sync.Mutex
	unserved         map[string]unservedCounts // since the last line, by service
	unservedLoggedAt time.Time

	streams         map[string]*streamCounts // since the last line, by route
	streamsLoggedAt time.Time
}

// stream counts a stream that was served.
func (o *requestStats) countStream(j *proxyRequest) {
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
func (o *requestStats) takeDueStreams(now time.Time) map[string]*streamCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.streams) == 0 || now.Sub(o.streamsLoggedAt) < unservedLogInterval {
		return nil
	}
	counts := o.streams
	o.streams, o.streamsLoggedAt = map[string]*streamCounts{}, now
	return counts
}

// logStreams tells of routes whose streams came late, and by what.
func (p *Proxy) logStreams(now time.Time) {
	for route, counts := range p.stats.takeDueStreams(now) {
		if counts.LatePrefill+counts.LateFirstEvent+counts.LateGap == 0 {
			continue
		}
		p.log.WithField("route", route).WithField("served", counts.Served).WithField("late_reading", counts.LatePrefill).
			WithField("late_first", counts.LateFirstEvent).WithField("late_pause", counts.LateGap).Info("streams late")
	}
}

// unserved counts requests that brought no answer of a server.
type unservedCounts struct {
	Rejected      int // none has run
	BackendFailed int // the server broke off and may have run it
	TimedOut      int // the time was over and a server may have run it
}

func newRequestStats() *requestStats {
	return &requestStats{misdirectedLog: rate.Sometimes{Interval: misdirectedLogInterval}, unserved: map[string]unservedCounts{}, unservedLoggedAt: time.Now(),
		streams: map[string]*streamCounts{}, streamsLoggedAt: time.Now()}
}

// count adds to what is counted for a service.
func (o *requestStats) countUnserved(service string, add func(counts *unservedCounts)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.unserved[service]
	add(&counts)
	o.unserved[service] = counts
}

// due returns the counts once it is time for a line, nil before.
func (o *requestStats) takeDueUnserved(now time.Time) map[string]unservedCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.unserved) == 0 || now.Sub(o.unservedLoggedAt) < unservedLogInterval {
		return nil
	}
	counts := o.unserved
	o.unserved, o.unservedLoggedAt = map[string]unservedCounts{}, now
	return counts
}

// logUnserved tells how many requests were not served, and why the servers of their services were not chosen.
func (p *Proxy) logUnserved(now time.Time) {
	for service, counts := range p.stats.takeDueUnserved(now) {
		var standing placement.Status
		p.state.withService(service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
			if pool != nil {
				standing = pool.Status(now)
			}
		})
		p.log.WithField("service", service).WithField("refused", counts.Rejected).WithField("broken_off", counts.BackendFailed).
			WithField("out_of_time", counts.TimedOut).WithField("listed", standing.Listed).WithField("draining", standing.Draining).
			WithField("switching", standing.Switching).WithField("members", standing.Members).WithField("free", standing.Available).
			WithField("misplaced", standing.WrongInstance).WithField("cooling", standing.Ejected).WithField("full", standing.Full).
			WithField("suspected", standing.Suspected).Warn("requests not served")
	}
}

// logMisdirected tells of a server that turned a request away as not its own, and which of the system's fields the client had sent.
func (p *Proxy) logMisdirected(j *proxyRequest, endpoint *placement.Endpoint, response *http.Response) {
	p.stats.misdirectedLog.Do(func() {
		p.log.WithField("server", endpoint.ID).WithField("address", endpoint.Address).WithField("stage", endpoint.Stage).
			WithField("request", j.id).WithField("answered_by", response.Header.Get(headerInstanceID)).
			WithField("client_fields", sentReservedHeaders(j.incoming.Header)).Warn("misdirected")
	})
}

// systemFieldsOf returns those of the system's fields that a client has sent, but for the time that it has.
func sentReservedHeaders(header http.Header) (names []string) {
	for _, name := range reservedHeaders {
		if _, sent := header[name]; sent && name != headerDeadline {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
