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
}

// unserved counts requests that brought no answer of a server.
type unserved struct {
	Refused   int // none has run
	BrokenOff int // the server broke off and may have run it
	OutOfTime int // the time was over and a server may have run it
}

func newObservations() *observations {
	return &observations{misdirected: rate.Sometimes{Interval: misdirectedEvery}, unserved: map[string]unserved{}, logged: time.Now()}
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
		var standing placement.Standing
		p.state.do(service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
			if pool != nil {
				standing = pool.Standing(now)
			}
		})
		p.log.WithField("service", service).WithField("refused", counts.Refused).WithField("broken_off", counts.BrokenOff).
			WithField("out_of_time", counts.OutOfTime).WithField("listed", standing.Listed).WithField("draining", standing.Draining).
			WithField("switching", standing.Switching).WithField("members", standing.Members).WithField("free", standing.Free).
			WithField("misplaced", standing.Misplaced).WithField("cooling", standing.Cooling).WithField("full", standing.Full).
			WithField("suspected", standing.Suspected).Warn("requests not served")
	}
}

// logMisdirected tells of a server that turned a request away as not its own, and which of the system's fields the client had sent.
func (p *Proxy) logMisdirected(j *job, endpoint *placement.Endpoint, answer *http.Response) {
	p.observed.misdirected.Do(func() {
		p.log.WithField("server", endpoint.ID).WithField("address", endpoint.Address).WithField("stage", endpoint.Stage).
			WithField("request", j.id).WithField("answered_by", answer.Header.Get(headerInstanceID)).
			WithField("client_fields", systemFieldsOf(j.request.Header)).Warn("misdirected")
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
