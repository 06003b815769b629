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
	mostWriters = 8   // that are kept; what older lives wrote is known by its serial alone
	showS       = 1.0 // between two messages to one member that have the lineage
)

// wrote returns the life that wrote the state of a serial; 0: that is not known.
func (l lineage) wrote(serial uint64) uint32 {
	for _, w := range slices.Backward(l) {
		if w.FirstSerial <= serial {
			return w.ID
		}
	}
	return 0
}

// with returns the lineage of a state that a life writes.
func (l lineage) with(life uint32, serial uint64) lineage {
	if len(l) > 0 && l[len(l)-1].ID == life {
		return l
	}
	return append(slices.Clone(l[max(len(l)+1-mostWriters, 0):]), Writer{life, serial})
}

// has tells whether the state of a serial and its writer is among those that this lineage's state came of, as far as it can be known.
func (l lineage) has(serial uint64, life uint32) bool {
	w := l.wrote(serial)
	return w == 0 || life == 0 || w == life
}

// heard is what was heard of another's state, and told it of this member's.
type heard struct {
	id     swim.ID
	serial uint64
	life   uint32  // that wrote it; 0: the other's version does not tell
	shown  uint32  // the last life of the lineage that it was sent; 0: it is to be sent it
	at     float64 // when it was
}

const mostHeard = 256

// heardOf returns what was heard of a member; nil: there is no room for more.
func (t *Node) heardOf(id swim.ID) *heard {
	i, known := slices.BinarySearchFunc(t.heard, id, func(h heard, id swim.ID) int { return cmp.Compare(h.id, id) })
	if !known {
		if len(t.heard) >= mostHeard {
			return nil
		}
		t.heard = slices.Insert(t.heard, i, heard{id: id})
	}
	return &t.heard[i]
}

// say sends a message of the group, with the state that it rests on.
func (t *Node) say(to swim.ID, raft []byte) {
	m := &Message{Epoch: t.founding.Epoch, Serial: t.serial, WriterID: t.lineage.wrote(t.serial), Raft: raft}
	if h := t.heardOf(to); h == nil || h.shown == 0 || h.shown != m.WriterID || t.now-h.at >= showS {
		if m.Lineage = t.lineage; h != nil {
			h.shown, h.at = m.WriterID, t.now
		}
	}
	t.do.Send(to, m)
}

// hearSerial tells whether a message of one member rests on the latest state that was heard of it, or on one that came of that. Danger:
// who came back with an old copy of its state has forgotten votes that others count on.
func (t *Node) hearSerial(from swim.ID, m *Message) bool {
	h := t.heardOf(from)
	if m.Raft == nil { // what the other has heard of this member
		switch {
		case m.Serial > t.serial || !t.lineage.has(m.Serial, m.WriterID):
			t.renounce("others know a later state of this identity: an old copy")
		case h != nil:
			h.shown = 0
		}
		return false
	}
	if h == nil {
		return true
	}
	// Who wrote again since it was heard has to show what its state came of, unless its version knows of no such thing.
	if m.Serial < h.serial || m.WriterID != h.life && m.WriterID != 0 && h.life != 0 && (len(m.Lineage) == 0 || !lineage(m.Lineage).has(h.serial, h.life)) {
		t.figures.DroppedStale++
		t.do.Send(from, &Message{Serial: h.serial, WriterID: h.life})
		return false
	}
	h.serial, h.life = m.Serial, m.WriterID
	return true
}
