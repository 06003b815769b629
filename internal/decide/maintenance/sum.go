package maintenance

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

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
