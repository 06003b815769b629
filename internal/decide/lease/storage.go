package lease

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// raftStorage holds the log of the group in memory. Its content is written to disk, as part of the persisted state, before
// anything that depends on it is sent.
type raftStorage struct {
	*raft.MemoryStorage
	hardState *raftpb.HardState
	// latest returns the applied state, for snapshots.
	latest func() (index uint64, conf *raftpb.ConfState, data []byte)
}

// Snapshot returns a snapshot of the applied state. It does not return an older one: that may not name the member that it is sent
// to, and the member would reject it.
func (s *raftStorage) Snapshot() (*raftpb.Snapshot, error) {
	s.refreshSnapshot()
	return s.MemoryStorage.Snapshot()
}

// refreshSnapshot replaces the stored snapshot by one of the applied state.
func (s *raftStorage) refreshSnapshot() {
	index, conf, data := s.latest()
	// The only possible error is that the stored snapshot is as new.
	_, _ = s.CreateSnapshot(index, conf, data)
}

// Bounds of the log, in entries.
const (
	maxLogEntries   = 64 // how many entries the log may hold before it is compacted
	retainedEntries = 16 // how many entries remain after compaction, for followers that are slightly behind
)

// compact replaces old entries by a snapshot when the log has become too long.
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
	_ = s.Compact(index - keep) // it only fails for an index that is compacted already or not stored yet
}

// noSizeLimit asks raft.MemoryStorage for all entries of a range.
const noSizeLimit = 1 << 62

// logBytes returns the size of all entries' data.
func (s *raftStorage) logBytes() (n int) {
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first > last {
		return 0
	}
	list, _ := s.Entries(first, last+1, noSizeLimit) // the range is valid
	for _, e := range list {
		n += len(e.GetData())
	}
	return n
}

// encode returns the protobuf form of the hard state, the snapshot and the entries after it.
func (s *raftStorage) encode() (hard, snapshot []byte, entries [][]byte) {
	snap, _ := s.MemoryStorage.Snapshot()
	if s.hardState != nil {
		hard = mustMarshal(s.hardState)
	}
	snapshot = mustMarshal(snap)
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first = max(first, snap.GetMetadata().GetIndex()+1); first <= last {
		list, err := s.Entries(first, last+1, noSizeLimit)
		if err != nil {
			panic(fmt.Sprintf("lease: %v", err))
		}
		for _, e := range list {
			entries = append(entries, mustMarshal(e))
		}
	}
	return hard, snapshot, entries
}

// mustMarshal encodes a message of Raft. Protobuf returns no error for these.
func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("lease: %v", err))
	}
	return b
}

// restore fills an empty storage with what encode returned. It fails if the parts are damaged or contradict each other.
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
			return fmt.Errorf("entry %d in place of %d", e.GetIndex(), next+uint64(i))
		}
		list[i] = &e
	}
	if err := s.Append(list); err != nil {
		return err
	}
	if hard == nil {
		return nil
	}
	var h raftpb.HardState
	if err := proto.Unmarshal(hard, &h); err != nil {
		return err
	}
	if last, _ := s.LastIndex(); h.GetCommit() > last || h.GetCommit() < snap.GetMetadata().GetIndex() {
		return fmt.Errorf("commit index %d outside of entries %d to %d", h.GetCommit(), next, last)
	}
	s.hardState = &h
	return s.SetHardState(&h)
}
