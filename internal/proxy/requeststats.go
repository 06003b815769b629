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
func (s *requestStats) countStream(req *proxyRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.streams[req.route.Name]
	if counts == nil {
		counts = &streamCounts{}
		s.streams[req.route.Name] = counts
	}
	counts.add(req.route, req.arrivedAt, &req.timing)
}

// dueStreams returns the counts of streams once it is time for a line, nil before.
func (s *requestStats) takeDueStreams(now time.Time) map[string]*streamCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) == 0 || now.Sub(s.streamsLoggedAt) < unservedLogInterval {
		return nil
	}
	counts := s.streams
	s.streams, s.streamsLoggedAt = map[string]*streamCounts{}, now
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
func (s *requestStats) countUnserved(service string, add func(counts *unservedCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.unserved[service]
	add(&counts)
	s.unserved[service] = counts
}

// due returns the counts once it is time for a line, nil before.
func (s *requestStats) takeDueUnserved(now time.Time) map[string]unservedCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unserved) == 0 || now.Sub(s.unservedLoggedAt) < unservedLogInterval {
		return nil
	}
	counts := s.unserved
	s.unserved, s.unservedLoggedAt = map[string]unservedCounts{}, now
	return counts
}

// logUnserved tells how many requests were not served, and why the servers of their services were not chosen.
func (p *Proxy) logUnserved(now time.Time) {
	for service, counts := range p.stats.takeDueUnserved(now) {
		var status placement.Status
		p.state.withService(service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
			if pool != nil {
				status = pool.Status(now)
			}
		})
		p.log.WithField("service", service).WithField("refused", counts.Rejected).WithField("broken_off", counts.BackendFailed).
			WithField("out_of_time", counts.TimedOut).WithField("listed", status.Listed).WithField("draining", status.Draining).
			WithField("switching", status.Switching).WithField("members", status.Members).WithField("free", status.Available).
			WithField("misplaced", status.WrongInstance).WithField("cooling", status.Ejected).WithField("full", status.Full).
			WithField("suspected", status.Suspected).Warn("requests not served")
	}
}

// logMisdirected tells of a server that turned a request away as not its own, and which of the system's fields the client had sent.
func (p *Proxy) logMisdirected(req *proxyRequest, endpoint *placement.Endpoint, response *http.Response) {
	p.stats.misdirectedLog.Do(func() {
		p.log.WithField("server", endpoint.ID).WithField("address", endpoint.Address).WithField("stage", endpoint.Stage).
			WithField("request", req.id).WithField("answered_by", response.Header.Get(headerInstanceID)).
			WithField("client_fields", sentReservedHeaders(req.incoming.Header)).Warn("misdirected")
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
