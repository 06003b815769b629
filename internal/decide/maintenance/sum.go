package maintenance

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// Bounds of a Sum. Danger: sums come from outside, and are summed again.
const (
	mostFrom = 3000
	mostSeen = 2000
	mostOpen = 2000
)

var errSum = errors.New("works: a sum makes no sense")

func sane(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Add adds what others say. Nobody is added twice: who comes by two ways is left out of the second, and with it all that came along.
func (s *Sum) Add(o *Sum) error {
	if len(o.From) > mostFrom || len(o.Seen) > mostSeen || len(o.Open) > mostOpen || !sane(o.PerS) || !sane(o.Refused) || o.Late < 0 {
		return errSum
	}
	for i := range o.Seen {
		if b := &o.Seen[i]; len(b.Server) > mostNameLen || len(b.Site) > mostNameLen || len(b.Type) > mostNameLen || !sane(b.PerS) || !sane(b.Size) ||
			min(b.Listed, b.Draining, b.Hand, b.Cold, b.Silent, b.Out) < 0 {
			return errSum
		}
	}
	for i := range o.From {
		if _, twice := s.from(&o.From[i]); twice {
			return errSum
		}
	}
	for i := range o.From {
		at, _ := s.from(&o.From[i])
		s.From = slices.Insert(s.From, at, o.From[i])
	}
	for _, open := range o.Open {
		at, twice := slices.BinarySearchFunc(s.Open, open, func(a, b Open) int { return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.ID, b.ID)) })
		if !twice {
			s.Open = slices.Insert(s.Open, at, open)
		}
	}
	for _, b := range o.Seen {
		at, known := slices.BinarySearchFunc(s.Seen, b, func(a, b Seen) int { return cmp.Compare(a.Server, b.Server) })
		if !known {
			s.Seen = slices.Insert(s.Seen, at, b)
			continue
		}
		k := &s.Seen[at]
		k.Site, k.Type, k.Size = cmp.Or(k.Site, b.Site), cmp.Or(k.Type, b.Type), max(k.Size, b.Size)
		k.Listed, k.Draining, k.Hand = k.Listed+b.Listed, k.Draining+b.Draining, k.Hand+b.Hand
		k.Cold, k.Silent, k.Out = k.Cold+b.Cold, k.Silent+b.Silent, k.Out+b.Out
		k.PerS, k.Busy = k.PerS+b.PerS, k.Busy || b.Busy
	}
	s.PerS, s.Refused, s.Late = s.PerS+o.PerS, s.Refused+o.Refused, s.Late+o.Late
	return nil
}

func (s *Sum) from(f *From) (at int, known bool) {
	return slices.BinarySearchFunc(s.From, *f, func(a, b From) int { return cmp.Compare(a.ID, b.ID) })
}

// Has tells whether a member has spoken.
func (s *Sum) Has(f From) bool {
	_, known := s.from(&f)
	return known
}
