package maintenance

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// From is one sidecar that has spoken.
type Reporter struct {
	ID      swim.ID `msgpack:"d"`
	BootID  uint64  `msgpack:"l"` // of its process, as in member.Version
	Version uint64  `msgpack:"v"` // of the State by which it goes: what that bans gets nothing new there, and has not for SettleS
}

// Open says that a sidecar does not hold a box for empty.
type InUse struct {
	Server     string  `msgpack:"b"`
	Member     swim.ID `msgpack:"d"`
	Uncordoned bool    `msgpack:"h,omitempty"` // it was given back there by hand: it is in use
	InFlight   int     `msgpack:"n,omitempty"` // executions that are out; 0: the ban has held there for less than SettleS
}

// Seen is what sidecars say of a box, summed.
type ServerStatus struct {
	Server             string  `msgpack:"b"`
	Site               string  `msgpack:"s,omitempty"`
	Type               string  `msgpack:"y,omitempty"`
	Capacity           float64 `msgpack:"z,omitempty"` // as listed; 0: not told. Of sums the greatest
	ListedBy           int     `msgpack:"l,omitempty"` // sidecars that have it on their list
	DrainingBy         int     `msgpack:"d,omitempty"` // whose list says that it drains
	CordonedBy         int     `msgpack:"h,omitempty"` // where it is out by hand
	WarmingUpBy        int     `msgpack:"c,omitempty"` // that hold it for cold
	UnresponsiveBy     int     `msgpack:"q,omitempty"` // that hold it for silent, suspected or failing
	CompletedPerSecond float64 `msgpack:"p,omitempty"` // executions a second that ended
	InFlight           int     `msgpack:"o,omitempty"` // executions that are out
	Busy               bool    `msgpack:"u,omitempty"` // its own report says that it works or has a line
}

// Sum is what some sidecars say, of which each says its own. It goes the way of the question back, summed.
type Report struct {
	Reporters          []Reporter     `msgpack:"f,omitempty"` // by ID
	InUse              []InUse        `msgpack:"o,omitempty"` // by box and ID
	Servers            []ServerStatus `msgpack:"s,omitempty"` // by box
	CompletedPerSecond float64        `msgpack:"p,omitempty"` // requests a second that ended
	RejectedPerSecond  float64        `msgpack:"r,omitempty"` // of these refused or failed, a second
	StaleMembers       int            `msgpack:"l,omitempty"` // sidecars whose list is late
}

// Bounds of a Sum. Danger: sums come from outside, and are summed again.
const (
	maxReporters      = 3000
	maxServerStatuses = 2000
	maxInUse          = 2000
)

var errInvalidReport = errors.New("works: a sum makes no sense")

func isValidRate(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Add adds what others say. Nobody is added twice: who comes by two ways is left out of the second, and with it all that came along.
func (s *Report) Merge(o *Report) error {
	if len(o.Reporters) > maxReporters || len(o.Servers) > maxServerStatuses || len(o.InUse) > maxInUse || !isValidRate(o.CompletedPerSecond) || !isValidRate(o.RejectedPerSecond) || o.StaleMembers < 0 {
		return errInvalidReport
	}
	for i := range o.Servers {
		if b := &o.Servers[i]; len(b.Server) > maxNameLen || len(b.Site) > maxNameLen || len(b.Type) > maxNameLen || !isValidRate(b.CompletedPerSecond) || !isValidRate(b.Capacity) ||
			min(b.ListedBy, b.DrainingBy, b.CordonedBy, b.WarmingUpBy, b.UnresponsiveBy, b.InFlight) < 0 {
			return errInvalidReport
		}
	}
	for i := range o.Reporters {
		if _, twice := s.reporterIndex(&o.Reporters[i]); twice {
			return errInvalidReport
		}
	}
	for i := range o.Reporters {
		at, _ := s.reporterIndex(&o.Reporters[i])
		s.Reporters = slices.Insert(s.Reporters, at, o.Reporters[i])
	}
	for _, open := range o.InUse {
		at, twice := slices.BinarySearchFunc(s.InUse, open, func(a, b InUse) int { return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Member, b.Member)) })
		if !twice {
			s.InUse = slices.Insert(s.InUse, at, open)
		}
	}
	for _, b := range o.Servers {
		at, known := slices.BinarySearchFunc(s.Servers, b, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
		if !known {
			s.Servers = slices.Insert(s.Servers, at, b)
			continue
		}
		k := &s.Servers[at]
		k.Site, k.Type, k.Capacity = cmp.Or(k.Site, b.Site), cmp.Or(k.Type, b.Type), max(k.Capacity, b.Capacity)
		k.ListedBy, k.DrainingBy, k.CordonedBy = k.ListedBy+b.ListedBy, k.DrainingBy+b.DrainingBy, k.CordonedBy+b.CordonedBy
		k.WarmingUpBy, k.UnresponsiveBy, k.InFlight = k.WarmingUpBy+b.WarmingUpBy, k.UnresponsiveBy+b.UnresponsiveBy, k.InFlight+b.InFlight
		k.CompletedPerSecond, k.Busy = k.CompletedPerSecond+b.CompletedPerSecond, k.Busy || b.Busy
	}
	s.CompletedPerSecond, s.RejectedPerSecond, s.StaleMembers = s.CompletedPerSecond+o.CompletedPerSecond, s.RejectedPerSecond+o.RejectedPerSecond, s.StaleMembers+o.StaleMembers
	return nil
}

func (s *Report) reporterIndex(f *Reporter) (at int, known bool) {
	return slices.BinarySearchFunc(s.Reporters, *f, func(a, b Reporter) int { return cmp.Compare(a.ID, b.ID) })
}

// Has tells whether a member has spoken.
func (s *Report) HasReporter(f Reporter) bool {
	_, known := s.reporterIndex(&f)
	return known
}
