package lease

import (
	"errors"
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// sendAfterPersist sends a message once the state as it is now is kept.
func (n *Node) sendAfterPersist(to swim.ID, m *Message) {
	n.deferred = append(n.deferred, outgoing{to, m})
}

// persist keeps the state, if there is anything to keep.
func (n *Node) persist() {
	if n.persisting || n.retired {
		return
	}
	if !n.dirty {
		later := n.deferred
		n.deferred = nil
		for _, o := range later {
			n.send(o.to, o.m)
		}
		return
	}
	if n.persistFailed {
		if n.now < n.persistRetryAt {
			return
		}
		n.persistRetryAt = n.now + 1
	}
	n.dirty, n.persisting, n.persistedEpoch = false, true, n.highestEpoch
	n.awaitingPersist, n.deferred = append(n.awaitingPersist, n.deferred...), nil
	n.serial++
	n.lineage = n.lineage.extended(uint32(n.bootID>>32)|1, n.serial)
	n.stats.Persists++
	n.actions.Persist(n.encodeState())
}

// HandlePersisted takes the end of the last Save.
func (n *Node) HandlePersisted(now float64, err error) {
	n.advanceTo(now)
	if n.retired || !n.persisting {
		return
	}
	n.persisting = false
	if err != nil {
		if !n.persistFailed {
			n.actions.Log("the state can't be kept: this member does not vote", "error", err)
		}
		// Danger: what waits for it must go on waiting; a vote that was told and not kept is a vote that can be given twice.
		n.persistFailed, n.dirty, n.persistRetryAt = true, true, n.now+1
		return
	}
	if n.persistFailed {
		n.persistFailed = false
		n.actions.Log("the state is kept again: this member votes")
	}
	inflight := n.awaitingPersist
	n.awaitingPersist = nil
	for _, o := range inflight {
		n.send(o.to, o.m)
	}
	if n.group != nil && n.group.ready != nil {
		n.completeReady()
	}
	n.finishCall()
}

// replaceIdentity gives up the identity: nothing is said under it any more.
func (n *Node) replaceIdentity(reason string) {
	if n.retired {
		return
	}
	n.endAllLeases("the identity is given up")
	n.retired, n.group, n.loopback, n.deferred, n.awaitingPersist = true, nil, nil, nil, nil
	n.actions.ReplaceIdentity(reason)
}

// stateFormatVersion is that of the saved state. One of another version is not read.
const stateFormatVersion = 1

// persistedState is what a member keeps: whole, in one write.
type persistedState struct {
	Version   uint8     `msgpack:"v"`
	MemberID  swim.ID   `msgpack:"i"`
	Serial    uint64    `msgpack:"s"` // of this state; each later one's is greater
	Lineage   lineage   `msgpack:"w,omitempty"`
	Epoch     uint64    `msgpack:"e"` // the greatest heard of
	Promised  uint64    `msgpack:"p,omitempty"`
	Accepted  *Founding `msgpack:"a,omitempty"`
	Founding  *Founding `msgpack:"g,omitempty"` // the group that this member is or was in
	HardState []byte    `msgpack:"h,omitempty"`
	Snapshot  []byte    `msgpack:"n,omitempty"`
	Entries   [][]byte  `msgpack:"l,omitempty"` // after the snapshot
}

// ErrInvalidState is the fault of a saved state that can't be used.
var ErrInvalidState = errors.New("tenure: the saved state can't be used")

// decodeState reads a state. What is not usable as a whole is an error: a vote that was half read would be a vote forgotten.
func decodeState(b []byte, self swim.ID) (persistedState, error) {
	var s persistedState
	if err := decode(b, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	switch {
	case s.Version != stateFormatVersion:
		return s, fmt.Errorf("%w: it is of version %d", ErrInvalidState, s.Version)
	case s.MemberID != self:
		return s, fmt.Errorf("%w: it is of %v", ErrInvalidState, s.MemberID)
	}
	return s, nil
}

// encodeState returns what is to be kept now.
func (n *Node) encodeState() []byte {
	s := persistedState{Version: stateFormatVersion, MemberID: n.self, Serial: n.serial, Lineage: n.lineage, Epoch: n.highestEpoch, Promised: n.promisedBallot, Accepted: n.acceptedFounding, Founding: n.founding}
	if g := n.group; g != nil {
		s.HardState, s.Snapshot, s.Entries = g.storage.encode()
	}
	return encode(&s)
}
