package maintenance

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/msgpacklimit"
)

// State is what is agreed. Its version is that of the record that holds it.
type State struct {
	LastNumber uint64 `msgpack:"l"` // number of the last plan
	Plans      []Plan `msgpack:"p,omitempty"`
}

// Agreed is a State with what the electors know of it.
type Committed struct {
	Epoch   uint64 // of their founding
	Version uint64 // grows with each State; 0: there was none yet
	State   State
}

// Bounds of what is agreed. Danger: it is one entry of the electors' log and goes over links in one frame.
const (
	MaxServers    = 250 // of all plans that have not ended
	MaxPlans      = 16  // with those that have ended
	MaxStateBytes = 40 << 10
)

// ErrState is the fault of a State that can't be read, or is larger than may be agreed.
var ErrInvalidState = errors.New("works: the state can't be used")

// Encode returns a State as a record's body.
func (s *State) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(s)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrInvalidState, err)
	case len(b) > MaxStateBytes:
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrInvalidState, len(b), MaxStateBytes)
	}
	return b, nil
}

// Decode reads one. What comes from a disk or over a link may be anything.
func Decode(b []byte) (s State, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s, err = State{}, fmt.Errorf("%w: %v", ErrInvalidState, cause)
		}
	}()
	if len(b) == 0 {
		return State{}, nil
	}
	if err := msgpacklimit.Whole(b); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	if err := msgpack.Unmarshal(b, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	if len(s.Plans) > MaxPlans {
		return State{}, fmt.Errorf("%w: %d plans", ErrInvalidState, len(s.Plans))
	}
	for i := range s.Plans {
		if own := s.Plans[i].BaselineRejection; !(own >= 0 && own <= 1) {
			return State{}, fmt.Errorf("%w: a part of %g", ErrInvalidState, own)
		}
	}
	return s, nil
}

// Out calls yield with each box that nothing new may be sent to, and the version since which.
func (s *State) Cordoned(yield func(box string, since uint64) bool) {
	for i := range s.Plans {
		for _, b := range s.Plans[i].Servers {
			if b.Stage.IsCordoned() && !yield(b.Name, b.SinceVersion) {
				return
			}
		}
	}
}

// out returns the boxes that are out by any plan, or come back, with their stage.
func (s *State) outOfService() map[string]Stage {
	out := map[string]Stage{}
	for i := range s.Plans {
		for _, b := range s.Plans[i].Servers {
			if b.Stage.IsCordoned() || b.Stage == WarmingUp {
				out[b.Name] = b.Stage
			}
		}
	}
	return out
}

// ofSite counts boxes of a site that are out or come back, by any plan.
func (s *State) countOutAtSite(site string) (n int) {
	for i := range s.Plans {
		for _, b := range s.Plans[i].Servers {
			if b.Site == site && b.Stage >= Draining && b.Stage <= WarmingUp {
				n++
			}
		}
	}
	return n
}

// busy tells whether a box is out by any plan, or comes back. One that was lost is the fleet's as it is.
func (s *State) hasServerOut() bool {
	for i := range s.Plans {
		for j := range s.Plans[i].Servers {
			if g := s.Plans[i].Servers[j].Stage; g >= Draining && g <= WarmingUp {
				return true
			}
		}
	}
	return false
}

func (s *State) clone() *State {
	n := &State{LastNumber: s.LastNumber, Plans: slices.Clone(s.Plans)}
	for i := range n.Plans {
		n.Plans[i].Servers = slices.Clone(n.Plans[i].Servers)
	}
	return n
}

// same tells whether two states say the same; ages may differ, which clocks add to.
func sameState(a, b *State) bool {
	x, err := a.withoutAges().Encode()
	y, fault := b.withoutAges().Encode()
	return err == nil && fault == nil && bytes.Equal(x, y)
}

func (s *State) withoutAges() *State {
	s = s.clone()
	for i := range s.Plans {
		s.Plans[i].AgeSeconds = 0
	}
	return s
}

// growth is what a box of a plan can still come to weigh, in bytes: token, version, mechanic and cause.
const serverGrowthBytes = 110

// trim drops plans that have ended until there is room for what those that have not may come to say, and tells whether there is.
// Danger: one that has lost a box is what bans it.
func (s *State) trimToSize() bool {
	for {
		room := MaxStateBytes
		for i := range s.Plans {
			if p := &s.Plans[i]; !p.Ended {
				room -= serverGrowthBytes * len(p.Servers)
			}
		}
		b, err := s.Encode()
		if err == nil && len(s.Plans) <= MaxPlans && len(b) <= room {
			return true
		}
		i := slices.IndexFunc(s.Plans, func(p Plan) bool {
			return p.Ended && !slices.ContainsFunc(p.Servers, func(b Server) bool { return b.Stage == Lost })
		})
		if i < 0 {
			return false
		}
		s.Plans = slices.Delete(s.Plans, i, i+1)
	}
}
