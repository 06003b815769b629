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
	// refusedEvery is the time between log lines about requests that were refused.
	refusedEvery = 5 * time.Second
)

// observations counts what operators need to see of requests that no server took, and keeps its log lines few.
type observations struct {
	misdirected rate.Sometimes

	mu      sync.Mutex
	refused map[string]int // requests refused since the last line, by service
	logged  time.Time
}

func newObservations() *observations {
	return &observations{misdirected: rate.Sometimes{Interval: misdirectedEvery}, refused: map[string]int{}, logged: time.Now()}
}

// refuse counts a request that is refused.
func (o *observations) refuse(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused[service]++
}

// due returns the counts once it is time for a line, nil before.
func (o *observations) due(now time.Time) map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.refused) == 0 || now.Sub(o.logged) < refusedEvery {
		return nil
	}
	counts := o.refused
	o.refused, o.logged = map[string]int{}, now
	return counts
}

// logRefused tells how many requests were refused, and why the servers of their services were not chosen.
func (p *Proxy) logRefused(now time.Time) {
	for service, count := range p.observed.due(now) {
		var standing placement.Standing
		p.state.do(service, func(now float64, pool *placement.Pool, _ *placement.Planner) {
			if pool != nil {
				standing = pool.Standing(now)
			}
		})
		p.log.WithField("service", service).WithField("requests", count).WithField("listed", standing.Listed).
			WithField("draining", standing.Draining).WithField("switching", standing.Switching).WithField("members", standing.Members).
			WithField("free", standing.Free).WithField("misplaced", standing.Misplaced).
			WithField("cooling", standing.Cooling).WithField("full", standing.Full).WithField("suspected", standing.Suspected).
			Warn("requests refused")
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
