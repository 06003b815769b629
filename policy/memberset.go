package policy

import "math/rand/v2"

// part is a part of the members.
type part uint8

const (
	outside part = iota // nothing is drawn from it
	near
	far
	cold
)

// sets holds members in parts, in the order in which they were put there, and the mean of their sizes.
type sets struct {
	parts [cold + 1][]*host
	mean  float64
}

// measure takes the mean size of members, if sizes can be compared.
func (s *sets) measure(members []*host, known bool) {
	s.mean = 0
	for _, h := range members {
		if !known {
			return
		}
		s.mean += h.Size / float64(len(members))
	}
}

// part returns a host's size beside the mean, 1 where that is more or not known. Danger: a small host bears less than the
// others.
func (s *sets) part(h *host) float64 {
	if s.mean <= 0 || h.Size <= 0 {
		return 1
	}
	return min(h.Size/s.mean, 1)
}

func (s *sets) clear() {
	for i := range s.parts {
		s.parts[i] = s.parts[i][:0]
	}
}

func (s *sets) put(h *host, in part) {
	h.set = in
	s.parts[in] = append(s.parts[in], h)
}

// draw returns any member of a part, nil if it has none.
func (s *sets) draw(rng *rand.Rand, from int) *host {
	if n := len(s.parts[from]); n > 0 {
		return s.parts[from][rng.IntN(n)]
	}
	return nil
}
