package proxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"hazelwheel/internal/decide/placement"
)

// misdirectedLogInterval is the minimum time between log lines about misdirected requests.
const misdirectedLogInterval = 2 * time.Second

// requestStats counts rejected, failed and late requests for the log, and limits the rate of log lines. It is safe for concurrent use.
type requestStats struct {
	misdirectedLog rate.Sometimes
	rejected       *periodicCounts[rejection, int]
	unserved       *periodicCounts[string, unservedCounts] // by service
	streams        *periodicCounts[string, streamCounts]   // by route
	tenants        *periodicCounts[string, tenantCounts]   // by name
}

// newRequestStats returns counters at zero.
func newRequestStats() *requestStats {
	return &requestStats{misdirectedLog: rate.Sometimes{Interval: misdirectedLogInterval}, rejected: newPeriodicCounts[rejection, int](),
		unserved: newPeriodicCounts[string, unservedCounts](), streams: newPeriodicCounts[string, streamCounts](),
		tenants: newPeriodicCounts[string, tenantCounts]()}
}

// logDue writes the log lines of all counts whose interval has passed.
func (p *Proxy) logDue(now time.Time) {
	p.logRejected(now)
	p.logUnserved(now)
	p.logStreams(now)
	p.logTenants(now)
}

// rejection is why a request was rejected before a server was chosen for it. Its text is the name of a field in log lines.
type rejection string

// The reasons for a rejection.
const (
	rejectedNoConfiguration rejection = "no_configuration" // the proxy knows none yet
	rejectedNoRoute         rejection = "no_route"
	rejectedHeader          rejection = "header"       // too large
	rejectedBody            rejection = "body"         // too large, truncated, or not received in time
	rejectedUnauthorized    rejection = "unauthorized" // no key, or one that is not known
	rejectedOverLimit       rejection = "over_limit"   // its tenant has used its limit
	rejectedNoTokens        rejection = "no_tokens"    // its tenant has a limit, and no lessor could tell whether it has used it
)

// countRejected counts a request that was rejected for a reason.
func (s *requestStats) countRejected(reason rejection) {
	s.rejected.update(reason, func(count *int) { *count++ })
}

// logRejected logs how many requests were rejected for each reason, with the version of the current configuration. The version shows whether the
// proxy's configuration is out of date or clients ask for something that no configuration contains.
func (p *Proxy) logRejected(now time.Time) {
	counts := p.stats.rejected.takeDue(now)
	if counts == nil {
		return
	}
	fields := logrus.Fields{}
	for reason, count := range counts {
		fields[string(reason)] = *count
	}
	if table := p.state.currentTable(); table != nil {
		fields["version"] = table.version
	}
	p.log.WithFields(fields).Info("requests rejected")
}

// countStream counts a completed stream.
func (s *requestStats) countStream(req *proxyRequest) {
	s.streams.update(req.route.Name, func(counts *streamCounts) { counts.add(req.route, req.arrivedAt, &req.timing) })
}

// logStreams logs the routes with late streams, by the causes of the delay.
func (p *Proxy) logStreams(now time.Time) {
	for route, counts := range p.stats.streams.takeDue(now) {
		if counts.LatePrefill+counts.LateFirstEvent+counts.LateGap == 0 {
			continue
		}
		p.log.WithFields(logrus.Fields{"route": route, "served": counts.Served, "late_reading": counts.LatePrefill,
			"late_first": counts.LateFirstEvent, "late_pause": counts.LateGap}).Info("streams late")
	}
}

// unservedCounts counts requests that got no server's response.
type unservedCounts struct {
	Rejected      int // not executed
	BackendFailed int // a server failed and may have executed it
	TimedOut      int // the deadline passed, and a server may have executed it
}

// logUnserved logs how many requests were not served, with the state of the service's servers.
func (p *Proxy) logUnserved(now time.Time) {
	for service, counts := range p.stats.unserved.takeDue(now) {
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

// sentReservedHeaders returns the names of the reserved fields in a client's request, except the deadline, which clients may send.
func sentReservedHeaders(header http.Header) (names []string) {
	for _, name := range reservedHeaders {
		if _, sent := header[name]; sent && name != headerDeadline {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
