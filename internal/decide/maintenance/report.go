package maintenance

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Reporter identifies a sidecar that contributed to a Report, and the version of the State that it applies.
type Reporter struct {
	ID      swim.ID `msgpack:"d"`
	BootID  uint64  `msgpack:"l"` // of its process, as in swim.Version
	Version uint64  `msgpack:"v"` // of the State that it applies: it sends no new requests to the servers cordoned there
}

// InUse states that one sidecar does not consider a cordoned server empty.
type InUse struct {
	Server     string  `msgpack:"b"`
	Member     swim.ID `msgpack:"d"`
	Uncordoned bool    `msgpack:"h,omitempty"` // an operator put it back in service at that sidecar
	InFlight   int     `msgpack:"n,omitempty"` // requests in flight from that sidecar; 0: it was cordoned less than the quiet period ago, or uncordoned
}

// ServerStatus is what the reporting sidecars know of a server. Counts are numbers of sidecars unless a comment says otherwise.
type ServerStatus struct {
	Server             string  `msgpack:"b"`
	Site               string  `msgpack:"s,omitempty"`
	Type               string  `msgpack:"y,omitempty"`
	Capacity           float64 `msgpack:"z,omitempty"` // from the endpoint lists, the highest of all reports; 0: unknown
	ListedBy           int     `msgpack:"l,omitempty"` // sidecars that have it on their endpoint list
	DrainingBy         int     `msgpack:"d,omitempty"` // sidecars whose list marks it as draining
	CordonedBy         int     `msgpack:"h,omitempty"` // sidecars at which an operator has cordoned it
	WarmingUpBy        int     `msgpack:"c,omitempty"` // sidecars that have it in slow start
	UnresponsiveBy     int     `msgpack:"q,omitempty"` // sidecars that consider it silent, suspect or failing
	CompletedPerSecond float64 `msgpack:"p,omitempty"` // attempts completed per second, at all sidecars
	InFlight           int     `msgpack:"o,omitempty"` // attempts in flight, at all sidecars
	Busy               bool    `msgpack:"u,omitempty"` // its own load report shows work in progress or a queue
}

// Report is what a set of sidecars know. The reports of several sidecars are merged on the way to the lease holder that requested
// them.
type Report struct {
	Reporters          []Reporter     `msgpack:"f,omitempty"` // by ID
	InUse              []InUse        `msgpack:"o,omitempty"` // by server and member
	Servers            []ServerStatus `msgpack:"s,omitempty"` // by name
	CompletedPerSecond float64        `msgpack:"p,omitempty"` // requests per second, including rejected ones
	RejectedPerSecond  float64        `msgpack:"r,omitempty"` // requests per second that were rejected or failed
	StaleMembers       int            `msgpack:"l,omitempty"` // sidecars whose endpoint list is stale
}

// Bounds of a report that is merged, since reports come from peers.
const (
	maxReporters      = 3000
	maxServerStatuses = 2000
	maxInUse          = 2000
)

var errInvalidReport = errors.New("works: a sum makes no sense")

// Merge adds another report. It returns an error and changes nothing if a reporter of the other report is already included, so that a
// sidecar that is reached by two paths is not counted twice, or if values are out of bounds.
func (r *Report) Merge(other *Report) error {
	if !other.isValid() {
		return errInvalidReport
	}
	for i := range other.Reporters {
		if r.HasReporter(other.Reporters[i]) {
			return errInvalidReport
		}
	}
	for i := range other.Reporters {
		index, _ := r.reporterIndex(&other.Reporters[i])
		r.Reporters = slices.Insert(r.Reporters, index, other.Reporters[i])
	}
	for _, use := range other.InUse {
		index, known := slices.BinarySearchFunc(r.InUse, use, func(a, b InUse) int {
			return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Member, b.Member))
		})
		if !known {
			r.InUse = slices.Insert(r.InUse, index, use)
		}
	}
	for _, status := range other.Servers {
		index, known := slices.BinarySearchFunc(r.Servers, status, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
		if known {
			r.Servers[index].merge(&status)
		} else {
			r.Servers = slices.Insert(r.Servers, index, status)
		}
	}
	r.CompletedPerSecond += other.CompletedPerSecond
	r.RejectedPerSecond += other.RejectedPerSecond
	r.StaleMembers += other.StaleMembers
	return nil
}

// HasReporter reports whether a sidecar has contributed to the report. Only Reporter.ID is compared.
func (r *Report) HasReporter(reporter Reporter) bool {
	_, known := r.reporterIndex(&reporter)
	return known
}

func (r *Report) reporterIndex(reporter *Reporter) (index int, known bool) {
	return slices.BinarySearchFunc(r.Reporters, *reporter, func(a, b Reporter) int { return cmp.Compare(a.ID, b.ID) })
}

func (r *Report) isValid() bool {
	if len(r.Reporters) > maxReporters || len(r.Servers) > maxServerStatuses || len(r.InUse) > maxInUse ||
		!isValidRate(r.CompletedPerSecond) || !isValidRate(r.RejectedPerSecond) || r.StaleMembers < 0 {
		return false
	}
	for i := range r.Servers {
		if !r.Servers[i].isValid() {
			return false
		}
	}
	return true
}

func (s *ServerStatus) isValid() bool {
	return len(s.Server) <= maxNameLen && len(s.Site) <= maxNameLen && len(s.Type) <= maxNameLen &&
		isValidRate(s.CompletedPerSecond) && isValidRate(s.Capacity) &&
		min(s.ListedBy, s.DrainingBy, s.CordonedBy, s.WarmingUpBy, s.UnresponsiveBy, s.InFlight) >= 0
}

// merge adds what other sidecars report of the same server.
func (s *ServerStatus) merge(other *ServerStatus) {
	s.Site = cmp.Or(s.Site, other.Site)
	s.Type = cmp.Or(s.Type, other.Type)
	s.Capacity = max(s.Capacity, other.Capacity)
	s.ListedBy += other.ListedBy
	s.DrainingBy += other.DrainingBy
	s.CordonedBy += other.CordonedBy
	s.WarmingUpBy += other.WarmingUpBy
	s.UnresponsiveBy += other.UnresponsiveBy
	s.CompletedPerSecond += other.CompletedPerSecond
	s.InFlight += other.InFlight
	s.Busy = s.Busy || other.Busy
}

// isValidRate reports whether a number is finite and not negative. NaN is neither.
func isValidRate(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
