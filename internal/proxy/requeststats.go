package proxy

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"hazelwheel/internal/decide/placement"
)

const (
	// misdirectedLogInterval is the least time between log lines about misdirected requests.
	misdirectedLogInterval = 2 * time.Second
	// unservedLogInterval is the time between log lines about requests that were not served, and about streams that were late.
	unservedLogInterval = 5 * time.Second
)

// requestStats counts what operators need to see of failed and late requests, and limits the rate of log lines. It is safe for concurrent use.
type requestStats struct {
	misdirectedLog rate.Sometimes

	mu               sync.Mutex                // guards what follows
	unserved         map[string]unservedCounts // since the last line, by service
	unservedLoggedAt time.Time

	streams         map[string]*streamCounts // since the last line, by route
	streamsLoggedAt time.Time

	rejected         map[rejection]int // since the last line
	rejectedLoggedAt time.Time
}

// rejection is why a request was rejected before a server was chosen for it. Its text is a field of log lines.
type rejection string

// The reasons.
const (
	rejectedNoConfiguration rejection = "no_configuration" // the proxy knows none yet
	rejectedNoRoute         rejection = "no_route"
	rejectedBody            rejection = "body"         // too large, or broken off
	rejectedUnauthorized    rejection = "unauthorized" // no key, or one that is not known
)

// countRejected counts a rejected request.
func (s *requestStats) countRejected(reason rejection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[reason]++
}

// takeDueRejected returns the counts of rejected requests and resets them once a log line is due; it returns nil before.
func (s *requestStats) takeDueRejected(now time.Time) map[rejection]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rejected) == 0 || now.Sub(s.rejectedLoggedAt) < unservedLogInterval {
		return nil
	}
	counts := s.rejected
	s.rejected, s.rejectedLoggedAt = map[rejection]int{}, now
	return counts
}

// logRejected logs how many requests were rejected for each reason, with the configuration in force, where that is due. It tells a proxy whose
// configuration lags from clients that ask for what no configuration has.
func (p *Proxy) logRejected(now time.Time) {
	counts := p.stats.takeDueRejected(now)
	if counts == nil {
		return
	}
	fields := logrus.Fields{}
	for reason, count := range counts {
		fields[string(reason)] = count
	}
	if table := p.state.currentTable(); table != nil {
		fields["version"] = table.version
	}
	p.log.WithFields(fields).Info("requests rejected")
}

// countStream counts a completed stream.
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

// takeDueStreams returns the counts of streams and resets them once a log line is due; it returns nil before.
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

// logStreams logs the routes whose streams were late, with the causes, where that is due.
func (p *Proxy) logStreams(now time.Time) {
	for route, counts := range p.stats.takeDueStreams(now) {
		if counts.LatePrefill+counts.LateFirstEvent+counts.LateGap == 0 {
			continue
		}
		p.log.WithFields(logrus.Fields{"route": route, "served": counts.Served, "late_reading": counts.LatePrefill,
			"late_first": counts.LateFirstEvent, "late_pause": counts.LateGap}).Info("streams late")
	}
}

// unservedCounts counts requests without a server's response.
type unservedCounts struct {
	Rejected      int // not executed
	BackendFailed int // a server has failed, and may have executed it
	TimedOut      int // the deadline has passed, and a server may have executed it
}

// newRequestStats returns counters at zero.
func newRequestStats() *requestStats {
	return &requestStats{misdirectedLog: rate.Sometimes{Interval: misdirectedLogInterval},
		unserved: map[string]unservedCounts{}, unservedLoggedAt: time.Now(),
		streams: map[string]*streamCounts{}, streamsLoggedAt: time.Now(),
		rejected: map[rejection]int{}, rejectedLoggedAt: time.Now()}
}

// countUnserved has add change the counts of a service.
func (s *requestStats) countUnserved(service string, add func(counts *unservedCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.unserved[service]
	add(&counts)
	s.unserved[service] = counts
}

// takeDueUnserved returns the counts and resets them once a log line is due; it returns nil before.
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

// logUnserved logs how many requests were not served, with the state of the service's servers, where that is due.
func (p *Proxy) logUnserved(now time.Time) {
	for service, counts := range p.stats.takeDueUnserved(now) {
		var status placement.Status
		p.state.withService(service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
			if pool != nil {
				status = pool.Status(now)
			}
		})
		p.log.WithFields(logrus.Fields{
			"service":     service,
			"refused":     counts.Rejected,
			"broken_off":  counts.BackendFailed,
			"out_of_time": counts.TimedOut,
			"listed":      status.Listed,
			"draining":    status.Draining,
			"switching":   status.Switching,
			"members":     status.Members,
			"free":        status.Available,
			"misplaced":   status.WrongInstance,
			"cooling":     status.Ejected,
			"full":        status.Full,
			"suspected":   status.Suspected,
		}).Warn("requests not served")
	}
}

// logMisdirected logs that a server has rejected a request as misdirected, with the reserved fields that the client had sent.
func (p *Proxy) logMisdirected(req *proxyRequest, endpoint *placement.Endpoint, response *http.Response) {
	p.stats.misdirectedLog.Do(func() {
		p.log.WithFields(logrus.Fields{"server": endpoint.ID, "address": endpoint.Address, "stage": endpoint.Stage, "request": req.id,
			"answered_by":   response.Header.Get(headerInstanceID),
			"client_fields": sentReservedHeaders(req.incoming.Header)}).Warn("misdirected")
	})
}

// sentReservedHeaders returns the reserved fields in a client's request, but for the deadline, which clients may send.
func sentReservedHeaders(header http.Header) (names []string) {
	for _, name := range reservedHeaders {
		if _, sent := header[name]; sent && name != headerDeadline {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
