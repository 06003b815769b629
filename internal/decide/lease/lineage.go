package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Writer is a life of a process that wrote states of its member, from a serial up to where the next one begins.
type Writer struct {
	ID          uint32 `msgpack:"l"`
	FirstSerial uint64 `msgpack:"f"`
}

// lineage is whose states one came of, the first first. Danger: by its serial alone a state that was written on an old copy looks like
// the one that it took the place of.
type lineage []Writer

const (
	maxWriters             = 8   // that are kept; what older lives wrote is known by its serial alone
	lineageIntervalSeconds = 1.0 // between two messages to one member that have the lineage
)

// writerOf returns the life that wrote the state of a serial; 0: that is not known.
func (l lineage) writerOf(serial uint64) uint32 {
	for _, w := range slices.Backward(l) {
		if w.FirstSerial <= serial {
			return w.ID
		}
	}
	return 0
}

// extended returns the lineage of a state that a life writes.
func (l lineage) extended(life uint32, serial uint64) lineage {
	if len(l) > 0 && l[len(l)-1].ID == life {
		return l
	}
	return append(slices.Clone(l[max(len(l)+1-maxWriters, 0):]), Writer{life, serial})
}

// contains tells whether the state of a serial and its writer is among those that this lineage's state came of, as far as it can be known.
func (l lineage) contains(serial uint64, life uint32) bool {
	w := l.writerOf(serial)
	return w == 0 || life == 0 || w == life
}

// peerState is what was heard of another's state, and told it of this member's.
type peerState struct {
	id            swim.ID
	serial        uint64
	writerID      uint32  // that wrote it; 0: the other's version does not tell
	shownWriterID uint32  // the last life of the lineage that it was sent; 0: it is to be sent it
	shownAt       float64 // when it was
}

const maxPeers = 256

// peer returns what was heard of a member; nil: there is no room for more.
func (n *Node) peer(id swim.ID) *peerState {
	i, known := slices.BinarySearchFunc(n.peers, id, func(h peerState, id swim.ID) int { return cmp.Compare(h.id, id) })
	if !known {
		if len(n.peers) >= maxPeers {
			return nil
		}
		n.peers = slices.Insert(n.peers, i, peerState{id: id})
	}
	return &n.peers[i]
}

// sendRaft sends a message of the group, with the state that it rests on.
func (n *Node) sendRaft(to swim.ID, raft []byte) {
	m := &Message{Epoch: n.founding.Epoch, Serial: n.serial, WriterID: n.lineage.writerOf(n.serial), Raft: raft}
	if peer := n.peer(to); peer == nil || peer.shownWriterID == 0 || peer.shownWriterID != m.WriterID || n.now-peer.shownAt >= lineageIntervalSeconds {
		if m.Lineage = n.lineage; peer != nil {
			peer.shownWriterID, peer.shownAt = m.WriterID, n.now
		}
	}
	n.actions.Send(to, m)
}

// checkSerial tells whether a message of one member rests on the latest state that was heard of it, or on one that came of that. Danger:
// who came back with an old copy of its state has forgotten votes that others count on.
func (n *Node) checkSerial(from swim.ID, m *Message) bool {
	peer := n.peer(from)
	if m.Raft == nil { // what the other has heard of this member
		switch {
		case m.Serial > n.serial || !n.lineage.contains(m.Serial, m.WriterID):
			n.replaceIdentity("others know a later state of this identity: an old copy")
		case peer != nil:
			peer.shownWriterID = 0
		}
		return false
	}
	if peer == nil {
		return true
	}
	// Who wrote again since it was heard has to show what its state came of, unless its version knows of no such thing.
	if m.Serial < peer.serial || m.WriterID != peer.writerID && m.WriterID != 0 && peer.writerID != 0 && (len(m.Lineage) == 0 || !lineage(m.Lineage).contains(peer.serial, peer.writerID)) {
		n.stats.DroppedStale++
		n.actions.Send(from, &Message{Serial: peer.serial, WriterID: peer.writerID})
		return false
	}
	peer.serial, peer.writerID = m.Serial, m.WriterID
	return true
}
