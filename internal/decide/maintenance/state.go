package maintenance

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/msgpacklimit"
)

// State is what the voters commit: all plans that have not ended, and ended ones as long as there is room. Its version is that of the
// record that holds it.
type State struct {
	LastNumber uint64 `msgpack:"l"` // number of the last plan
	Plans      []Plan `msgpack:"p,omitempty"`
}

// Committed is a committed State with its epoch and version, which order all committed States.
type Committed struct {
	Epoch   uint64 // of the founding of the voters' group
	Version uint64 // grows with each State; 0: none was committed yet
	State   State
}

// Bounds of a State, which must fit into one entry of the voters' log and into one frame between peers.
const (
	MaxServers    = 250 // of all plans that have not ended
	MaxPlans      = 16  // including ended ones
	MaxStateBytes = 40 << 10
)

// serverGrowthBytes bounds by how much the encoded form of a server can grow while its plan advances: by token, version, agent and
// reason.
const serverGrowthBytes = 110

// ErrInvalidState is wrapped by the errors of Encode and Decode for a State that can't be decoded or exceeds its bounds.
var ErrInvalidState = errors.New("works: the state can't be used")

// Encode returns the State as the body of a record.
func (s *State) Encode() ([]byte, error) {
	body, err := msgpack.Marshal(s)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrInvalidState, err)
	case len(body) > MaxStateBytes:
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrInvalidState, len(body), MaxStateBytes)
	}
	return body, nil
}

// Decode decodes the body of a record; an empty body is the empty State. The bytes may come from disk or from a peer and are not
// trusted: every fault, including a panic of the decoder, is returned as an error that wraps ErrInvalidState.
func Decode(body []byte) (s State, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s, err = State{}, fmt.Errorf("%w: %v", ErrInvalidState, cause)
		}
	}()
	if len(body) == 0 {
		return State{}, nil
	}
	if err := msgpacklimit.Whole(body); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	if len(s.Plans) > MaxPlans {
		return State{}, fmt.Errorf("%w: %d plans", ErrInvalidState, len(s.Plans))
	}
	for i := range s.Plans {
		if baseline := s.Plans[i].BaselineRejection; !(baseline >= 0 && baseline <= 1) {
			return State{}, fmt.Errorf("%w: a part of %g", ErrInvalidState, baseline)
		}
	}
	return s, nil
}

// Cordoned calls yield with each cordoned server and the version of the State in which its present stage began.
func (s *State) Cordoned(yield func(server string, sinceVersion uint64) bool) {
	for i := range s.Plans {
		for _, server := range s.Plans[i].Servers {
			if server.Stage.IsCordoned() && !yield(server.Name, server.SinceVersion) {
				return
			}
		}
	}
}

// outOfService returns the stage of each server that any plan has cordoned or warming up, by name.
func (s *State) outOfService() map[string]Stage {
	out := map[string]Stage{}
	for i := range s.Plans {
		for _, server := range s.Plans[i].Servers {
			if server.Stage.IsCordoned() || server.Stage == WarmingUp {
				out[server.Name] = server.Stage
			}
		}
	}
	return out
}

// countOutAtSite counts the servers of a site that any plan has between Draining and WarmingUp.
func (s *State) countOutAtSite(site string) (n int) {
	for i := range s.Plans {
		for _, server := range s.Plans[i].Servers {
			if server.Site == site && server.Stage.isOut() {
				n++
			}
		}
	}
	return n
}

// hasServerOut reports whether any plan has a server between Draining and WarmingUp. Lost servers don't count, since the fleet has to
// do without them in any case.
func (s *State) hasServerOut() bool {
	for i := range s.Plans {
		for j := range s.Plans[i].Servers {
			if s.Plans[i].Servers[j].Stage.isOut() {
				return true
			}
		}
	}
	return false
}

// clone returns a copy whose plans and servers can be changed.
func (s *State) clone() *State {
	c := &State{LastNumber: s.LastNumber, Plans: slices.Clone(s.Plans)}
	for i := range c.Plans {
		c.Plans[i].Servers = slices.Clone(c.Plans[i].Servers)
	}
	return c
}

// sameState reports whether two states are equal except for the ages of plans, which depend on clocks.
func sameState(a, b *State) bool {
	bodyA, errA := a.withoutAges().Encode()
	bodyB, errB := b.withoutAges().Encode()
	return errA == nil && errB == nil && bytes.Equal(bodyA, bodyB)
}

func (s *State) withoutAges() *State {
	s = s.clone()
	for i := range s.Plans {
		s.Plans[i].AgeSeconds = 0
	}
	return s
}

// trimToSize drops ended plans, oldest first, until the State is within its bounds and has room for the growth of plans that have not
// ended. It reports whether it succeeded. Danger: a plan with a Lost server must not be dropped, since only the plan keeps that server
// cordoned.
func (s *State) trimToSize() bool {
	for {
		room := MaxStateBytes
		for i := range s.Plans {
			if p := &s.Plans[i]; !p.Ended {
				room -= serverGrowthBytes * len(p.Servers)
			}
		}
		body, err := s.Encode()
		if err == nil && len(s.Plans) <= MaxPlans && len(body) <= room {
			return true
		}
		i := slices.IndexFunc(s.Plans, func(p Plan) bool {
			return p.Ended && !slices.ContainsFunc(p.Servers, func(server Server) bool { return server.Stage == Lost })
		})
		if i < 0 {
			return false
		}
		s.Plans = slices.Delete(s.Plans, i, i+1)
	}
}
