package lease

import (
	"errors"
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// persistRetrySeconds is the time between two attempts to write the state while writes fail.
const persistRetrySeconds = 1

// sendAfterPersist sends a message once the present state is on disk.
func (n *Node) sendAfterPersist(to swim.ID, m *Message) {
	n.deferred = append(n.deferred, outgoing{to, m})
}

// persist passes the state to Actions.Persist if it has changed. Otherwise it sends what is deferred.
func (n *Node) persist() {
	if n.persisting || n.retired {
		return
	}
	if !n.dirty {
		messages := n.deferred
		n.deferred = nil
		for _, o := range messages {
			n.send(o.to, o.m)
		}
		return
	}
	if n.persistFailed {
		if n.now < n.persistRetryAt {
			return
		}
		n.persistRetryAt = n.now + persistRetrySeconds
	}
	n.dirty, n.persisting, n.persistedEpoch = false, true, n.highestEpoch
	n.awaitingPersist, n.deferred = append(n.awaitingPersist, n.deferred...), nil
	n.serial++
	n.lineage = n.lineage.extended(uint32(n.bootID>>32)|1, n.serial)
	n.stats.Persists++
	n.actions.Persist(n.encodeState())
}

// HandlePersisted handles the result of the last Persist. After an error the member does not vote until a later write succeeds; the
// write is tried again after persistRetrySeconds.
func (n *Node) HandlePersisted(now float64, err error) {
	n.advanceTo(now)
	if n.retired || !n.persisting {
		return
	}
	n.persisting = false
	if err != nil {
		if !n.persistFailed {
			n.actions.Log("lease state not persisted: this member does not vote", "error", err)
		}
		// Danger: messages that depend on the state must go on waiting. A vote that was sent and not stored can be given twice.
		n.persistFailed, n.dirty, n.persistRetryAt = true, true, n.now+persistRetrySeconds
		return
	}
	if n.persistFailed {
		n.persistFailed = false
		n.actions.Log("lease state persisted again: this member votes")
	}
	messages := n.awaitingPersist
	n.awaitingPersist = nil
	for _, o := range messages {
		n.send(o.to, o.m)
	}
	if n.group != nil && n.group.ready != nil {
		n.completeReady()
	}
	n.finishCall()
}

// replaceIdentity ends all leases and retires the Node, since its state can't be trusted any more.
func (n *Node) replaceIdentity(reason string) {
	if n.retired {
		return
	}
	n.endAllLeases(ReasonIdentityReplaced)
	n.retired, n.group, n.loopback, n.deferred, n.awaitingPersist = true, nil, nil, nil, nil
	n.actions.ReplaceIdentity(reason)
}

// stateFormatVersion is the version of the persisted form. States of another version are rejected.
const stateFormatVersion = 1

// persistedState is what a member stores, as one msgpack value in one write.
type persistedState struct {
	Version   uint8     `msgpack:"v"`
	MemberID  swim.ID   `msgpack:"i"`
	Serial    uint64    `msgpack:"s"` // grows with each write
	Lineage   lineage   `msgpack:"w,omitempty"`
	Epoch     uint64    `msgpack:"e"` // the highest known
	Promised  uint64    `msgpack:"p,omitempty"`
	Accepted  *Founding `msgpack:"a,omitempty"`
	Founding  *Founding `msgpack:"g,omitempty"` // of the group that this member belongs to
	HardState []byte    `msgpack:"h,omitempty"`
	Snapshot  []byte    `msgpack:"n,omitempty"`
	Entries   [][]byte  `msgpack:"l,omitempty"` // after the snapshot
}

// ErrInvalidState is wrapped by the errors of New for a state that can't be used: damaged, of another version or of another
// member.
var ErrInvalidState = errors.New("lease: invalid persisted state")

// decodeState decodes a state as a whole or not at all: in a state that is read in part, votes would be missing.
func decodeState(b []byte, self swim.ID) (persistedState, error) {
	var s persistedState
	if err := decode(b, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	switch {
	case s.Version != stateFormatVersion:
		return s, fmt.Errorf("%w: version %d", ErrInvalidState, s.Version)
	case s.MemberID != self:
		return s, fmt.Errorf("%w: of member %v", ErrInvalidState, s.MemberID)
	}
	return s, nil
}

// encodeState returns the present state in its persisted form.
func (n *Node) encodeState() []byte {
	s := persistedState{
		Version:  stateFormatVersion,
		MemberID: n.self,
		Serial:   n.serial,
		Lineage:  n.lineage,
		Epoch:    n.highestEpoch,
		Promised: n.promisedBallot,
		Accepted: n.acceptedFounding,
		Founding: n.founding,
	}
	if g := n.group; g != nil {
		s.HardState, s.Snapshot, s.Entries = g.storage.encode()
	}
	return encode(&s)
}
