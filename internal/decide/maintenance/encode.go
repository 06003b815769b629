package maintenance

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/msgpacklimit"
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

// Out tells whether a box of a stage is banned.
func (g Stage) IsCordoned() bool { return g >= Draining && g <= InMaintenance || g == Lost }
