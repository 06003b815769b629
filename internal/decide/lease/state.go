package lease

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/swim"
)

// stateVersion is that of the saved state. One of another version is not read.
const stateVersion = 1

// saved is what a member keeps: whole, in one write.
type saved struct {
	Version  uint8     `msgpack:"v"`
	Self     swim.ID   `msgpack:"i"`
	Serial   uint64    `msgpack:"s"` // of this state; each later one's is greater
	Lineage  lineage   `msgpack:"w,omitempty"`
	Epoch    uint64    `msgpack:"e"` // the greatest heard of
	Promised uint64    `msgpack:"p,omitempty"`
	Accepted *Founding `msgpack:"a,omitempty"`
	Group    *Founding `msgpack:"g,omitempty"` // the group that this member is or was in
	Hard     []byte    `msgpack:"h,omitempty"`
	Snapshot []byte    `msgpack:"n,omitempty"`
	Entries  [][]byte  `msgpack:"l,omitempty"` // after the snapshot
}

// errState is the fault of a saved state that can't be used.
var errState = errors.New("tenure: the saved state can't be used")

// readSaved reads a state. What is not usable as a whole is an error: a vote that was half read would be a vote forgotten.
func readSaved(b []byte, self swim.ID) (saved, error) {
	var s saved
	if err := unpack(b, &s); err != nil {
		return s, fmt.Errorf("%w: %w", errState, err)
	}
	switch {
	case s.Version != stateVersion:
		return s, fmt.Errorf("%w: it is of version %d", errState, s.Version)
	case s.Self != self:
		return s, fmt.Errorf("%w: it is of %v", errState, s.Self)
	}
	return s, nil
}

// state returns what is to be kept now.
func (t *Node) state() []byte {
	s := saved{Version: stateVersion, Self: t.self, Serial: t.serial, Lineage: t.lineage, Epoch: t.epoch, Promised: t.promised, Accepted: t.accepted, Group: t.founding}
	if g := t.group; g != nil {
		s.Hard, s.Snapshot, s.Entries = g.store.bytes()
	}
	return pack(&s)
}

// store is the electors' log in memory; what is in it is on disk before anything follows from it.
type store struct {
	*raft.MemoryStorage
	hard *raftpb.HardState
	// latest returns what has been applied, for who must be sent it whole.
	latest func() (index uint64, conf *raftpb.ConfState, data []byte)
}

// Snapshot returns the state as of now. Danger: an older one may not name who is to get it, who would then turn it away.
func (s *store) Snapshot() (*raftpb.Snapshot, error) {
	s.snap()
	return s.MemoryStorage.Snapshot()
}

// snap brings the snapshot up to what has been applied.
func (s *store) snap() {
	index, conf, data := s.latest()
	// An old one is kept where there is nothing newer.
	_, _ = s.CreateSnapshot(index, conf, data)
}

const (
	mostEntries = 64 // before they become a snapshot
	keptEntries = 16 // that who is a little behind needs
)

// compact drops old entries, and tells whether there was anything to drop.
func (s *store) compact() {
	first, _ := s.FirstIndex()
	index, _, _ := s.latest()
	keep := uint64(keptEntries)
	if index < first+mostEntries {
		if s.logged() < mostLogged {
			return
		}
		keep = 1
	}
	s.snap()
	_ = s.Compact(index - keep)
}

// logged returns how much all entries hold, in bytes.
func (s *store) logged() (n int) {
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first > last {
		return 0
	}
	list, _ := s.Entries(first, last+1, 1<<62) // they are there
	for _, e := range list {
		n += len(e.GetData())
	}
	return n
}

func (s *store) bytes() (hard, snapshot []byte, entries [][]byte) {
	snap, _ := s.MemoryStorage.Snapshot()
	if s.hard != nil {
		hard = marshal(s.hard)
	}
	snapshot = marshal(snap)
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first = max(first, snap.GetMetadata().GetIndex()+1); first <= last {
		list, err := s.Entries(first, last+1, 1<<62)
		if err != nil {
			panic(fmt.Sprintf("tenure: %v", err))
		}
		for _, e := range list {
			entries = append(entries, marshal(e))
		}
	}
	return hard, snapshot, entries
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("tenure: %v", err))
	}
	return b
}

// restore fills an empty store.
func (s *store) restore(hard, snapshot []byte, entries [][]byte) error {
	var snap raftpb.Snapshot
	if err := proto.Unmarshal(snapshot, &snap); err != nil {
		return err
	}
	if snap.GetMetadata().GetIndex() > 0 {
		if err := s.ApplySnapshot(&snap); err != nil {
			return err
		}
	}
	next := snap.GetMetadata().GetIndex() + 1
	list := make([]*raftpb.Entry, len(entries))
	for i, b := range entries {
		var e raftpb.Entry
		if err := proto.Unmarshal(b, &e); err != nil {
			return err
		}
		if e.GetIndex() != next+uint64(i) {
			return fmt.Errorf("entry %d stands where %d belongs", e.GetIndex(), next+uint64(i))
		}
		list[i] = &e
	}
	if err := s.Append(list); err != nil {
		return err
	}
	if hard != nil {
		var h raftpb.HardState
		if err := proto.Unmarshal(hard, &h); err != nil {
			return err
		}
		if last, _ := s.LastIndex(); h.GetCommit() > last || h.GetCommit() < snap.GetMetadata().GetIndex() {
			return fmt.Errorf("%d is committed of %d to %d", h.GetCommit(), next, last)
		}
		s.hard = &h
		return s.SetHardState(&h)
	}
	return nil
}
