package lease

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// raftStorage is the electors' log in memory; what is in it is on disk before anything follows from it.
type raftStorage struct {
	*raft.MemoryStorage
	hardState *raftpb.HardState
	// latest returns what has been applied, for who must be sent it whole.
	latest func() (index uint64, conf *raftpb.ConfState, data []byte)
}

// Snapshot returns the state as of now. Danger: an older one may not name who is to get it, who would then turn it away.
func (s *raftStorage) Snapshot() (*raftpb.Snapshot, error) {
	s.refreshSnapshot()
	return s.MemoryStorage.Snapshot()
}

// refreshSnapshot brings the snapshot up to what has been applied.
func (s *raftStorage) refreshSnapshot() {
	index, conf, data := s.latest()
	// An old one is kept where there is nothing newer.
	_, _ = s.CreateSnapshot(index, conf, data)
}

const (
	maxLogEntries   = 64 // before they become a snapshot
	retainedEntries = 16 // that who is a little behind needs
)

// compact drops old entries, and tells whether there was anything to drop.
func (s *raftStorage) compact() {
	first, _ := s.FirstIndex()
	index, _, _ := s.latest()
	keep := uint64(retainedEntries)
	if index < first+maxLogEntries {
		if s.logBytes() < maxLogBytes {
			return
		}
		keep = 1
	}
	s.refreshSnapshot()
	_ = s.Compact(index - keep)
}

// logBytes returns how much all entries hold, in bytes.
func (s *raftStorage) logBytes() (n int) {
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

func (s *raftStorage) encode() (hard, snapshot []byte, entries [][]byte) {
	snap, _ := s.MemoryStorage.Snapshot()
	if s.hardState != nil {
		hard = mustMarshal(s.hardState)
	}
	snapshot = mustMarshal(snap)
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first = max(first, snap.GetMetadata().GetIndex()+1); first <= last {
		list, err := s.Entries(first, last+1, 1<<62)
		if err != nil {
			panic(fmt.Sprintf("tenure: %v", err))
		}
		for _, e := range list {
			entries = append(entries, mustMarshal(e))
		}
	}
	return hard, snapshot, entries
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("tenure: %v", err))
	}
	return b
}

// restore fills an empty store.
func (s *raftStorage) restore(hard, snapshot []byte, entries [][]byte) error {
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
		s.hardState = &h
		return s.SetHardState(&h)
	}
	return nil
}
