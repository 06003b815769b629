package policy

import "math/rand/v2"

// part is a part of the members.
type memberGroup uint8

const (
	groupExcluded memberGroup = iota // nothing is drawn from it
	groupNear
	groupFar
	groupWarming
)

// sets holds members in parts, in the order in which they were put there, and the mean of their sizes.
type memberGroups struct {
	groups   [groupWarming + 1][]*host
	meanSize float64
}

// measure takes the mean size of members, if sizes can be compared.
func (s *memberGroups) updateMeanSize(members []*host, known bool) {
	s.meanSize = 0
	for _, h := range members {
		if !known {
			return
		}
		s.meanSize += h.Size / float64(len(members))
	}
}

// part returns a host's size beside the mean, 1 where that is more or not known. Danger: a small host bears less than the
// others.
func (s *memberGroups) relativeSize(h *host) float64 {
	if s.meanSize <= 0 || h.Size <= 0 {
		return 1
	}
	return min(h.Size/s.meanSize, 1)
}

func (s *memberGroups) clear() {
	for i := range s.groups {
		s.groups[i] = s.groups[i][:0]
	}
}

func (s *memberGroups) add(h *host, in memberGroup) {
	h.group = in
	s.groups[in] = append(s.groups[in], h)
}

// draw returns any member of a part, nil if it has none.
func (s *memberGroups) draw(rng *rand.Rand, from int) *host {
	if n := len(s.groups[from]); n > 0 {
		return s.groups[from][rng.IntN(n)]
	}
	return nil
}
