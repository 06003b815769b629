package policy

import "math/rand/v2"

// memberGroup is a group of members from which candidates are drawn at random.
type memberGroup uint8

const (
	groupExcluded memberGroup = iota // withdrawn or unavailable; never drawn
	groupNear
	groupFar
	groupWarming
)

// memberGroups holds the members by group, in the order in which they were added, and their mean size.
type memberGroups struct {
	groups   [groupWarming + 1][]*host
	meanSize float64 // 0 if sizes can't be compared
}

// updateMeanSize computes the mean size of the members if sizes can be compared.
func (s *memberGroups) updateMeanSize(members []*host, sizesComparable bool) {
	s.meanSize = 0
	if !sizesComparable {
		return
	}
	for _, h := range members {
		s.meanSize += h.Size / float64(len(members))
	}
}

// relativeSize returns a host's size relative to the mean one, at most 1, and 1 if the sizes can't be compared: the slow start
// budget is reduced for smaller hosts but not raised for larger ones.
func (s *memberGroups) relativeSize(h *host) float64 {
	if s.meanSize <= 0 || h.Size <= 0 {
		return 1
	}
	return min(h.Size/s.meanSize, 1)
}

// clear empties all groups.
func (s *memberGroups) clear() {
	for i := range s.groups {
		s.groups[i] = s.groups[i][:0]
	}
}

// add puts a member into a group.
func (s *memberGroups) add(h *host, group memberGroup) {
	h.group = group
	s.groups[group] = append(s.groups[group], h)
}

// draw returns a random member of a group, nil if the group is empty.
func (s *memberGroups) draw(rng *rand.Rand, group memberGroup) *host {
	if n := len(s.groups[group]); n > 0 {
		return s.groups[group][rng.IntN(n)]
	}
	return nil
}
