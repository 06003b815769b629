package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Writer is a process that wrote persisted states of its member, from FirstSerial until the FirstSerial of the next Writer.
type Writer struct {
	ID          uint32 `msgpack:"l"`
	FirstSerial uint64 `msgpack:"f"`
}

// lineage lists the writers of the states that a state descends from, oldest first. A serial alone does not identify a state: one
// that is written after a restart on an old copy repeats a serial that was used before.
type lineage []Writer

const (
	maxWriters             = 8   // in a lineage; older states are identified by their serial alone
	lineageIntervalSeconds = 1.0 // time between two messages to a member that carry the lineage
)

// writerOf returns the writer of the state with a serial, 0 if it is not known.
func (l lineage) writerOf(serial uint64) uint32 {
	for _, w := range slices.Backward(l) {
		if w.FirstSerial <= serial {
			return w.ID
		}
	}
	return 0
}

// extended returns the lineage of the next state, which a writer writes under a serial.
func (l lineage) extended(writerID uint32, serial uint64) lineage {
	if len(l) > 0 && l[len(l)-1].ID == writerID {
		return l
	}
	return append(slices.Clone(l[max(len(l)+1-maxWriters, 0):]), Writer{writerID, serial})
}

// contains reports whether this lineage may include the state with a serial and writer. An unknown writer counts as included.
func (l lineage) contains(serial uint64, writerID uint32) bool {
	knownWriter := l.writerOf(serial)
	return knownWriter == 0 || writerID == 0 || knownWriter == writerID
}

// peerState is what is known of another member's persisted state, and when that member was last sent this one's lineage.
type peerState struct {
	id           swim.ID
	serial       uint64
	writerID     uint32  // of that state; 0: the peer's version does not send it
	sentWriterID uint32  // the last writer of the lineage that the peer was sent; 0: the lineage is due
	sentAt       float64 // when the peer was sent the lineage
}

// maxPeers bounds the members whose states are remembered, since their identities come from other processes.
const maxPeers = 256

// peer returns the state of a member, created if it is new; nil if there are too many.
func (n *Node) peer(id swim.ID) *peerState {
	i, known := slices.BinarySearchFunc(n.peers, id, func(p peerState, id swim.ID) int { return cmp.Compare(p.id, id) })
	if !known {
		if len(n.peers) >= maxPeers {
			return nil
		}
		n.peers = slices.Insert(n.peers, i, peerState{id: id})
	}
	return &n.peers[i]
}

// sendRaft sends a Raft message with the serial and, when it is due, the lineage of the state that the message depends on.
func (n *Node) sendRaft(to swim.ID, raft []byte) {
	m := &Message{Epoch: n.founding.Epoch, Serial: n.serial, WriterID: n.lineage.writerOf(n.serial), Raft: raft}
	switch peer := n.peer(to); {
	case peer == nil:
		m.Lineage = n.lineage
	case peer.sentWriterID == 0 || peer.sentWriterID != m.WriterID || n.now-peer.sentAt >= lineageIntervalSeconds:
		m.Lineage = n.lineage
		peer.sentWriterID, peer.sentAt = m.WriterID, n.now
	}
	n.actions.Send(to, m)
}

// checkSerial reports whether a message depends on the latest state known of its sender, or on one that descends from it. A member
// that restarted on an old copy of its state has lost votes that others count on: it is sent the latest serial and replaces its
// identity.
func (n *Node) checkSerial(from swim.ID, m *Message) bool {
	peer := n.peer(from)
	if m.Raft == nil { // the message reports the latest state that the sender knows of this member
		switch {
		case m.Serial > n.serial || !n.lineage.contains(m.Serial, m.WriterID):
			n.replaceIdentity("peers know a later state of this identity: this one is an old copy")
		case peer != nil:
			peer.sentWriterID = 0
		}
		return false
	}
	if peer == nil {
		return true
	}
	// A state of a new writer needs a lineage that contains the known state, unless the peer's version sends no writers.
	isNewWriter := m.WriterID != peer.writerID && m.WriterID != 0 && peer.writerID != 0
	descends := len(m.Lineage) > 0 && lineage(m.Lineage).contains(peer.serial, peer.writerID)
	if m.Serial < peer.serial || isNewWriter && !descends {
		n.stats.DroppedStale++
		n.actions.Send(from, &Message{Serial: peer.serial, WriterID: peer.writerID})
		return false
	}
	peer.serial, peer.writerID = m.Serial, m.WriterID
	return true
}
