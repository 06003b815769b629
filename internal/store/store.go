// Package store is a write-ahead log with snapshots: records are appended to segment files, and a snapshot replaces all that was
// written before it. A record is durable once Append has returned without an error: it is found again after a crash and after a loss of
// power.
//
// A file is named after its sequence number, which grows by one with each segment and each snapshot. It begins with a magic string that
// includes the format version. Records follow, each with its kind, length and checksum. The records of one Append form a batch, which is
// read back completely or not at all.
//
// A crash may leave a torn end, but only in the newest segment. The next segment records where the valid part of the previous one ends, so
// that an end that was torn by a crash can be distinguished from bytes that were damaged later (see Corruption).
package store

import (
	"os"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// Store is an open folder. Its methods must not be called from several goroutines at once, and one process at a time may open a folder.
type Store struct {
	folder       folder
	sequence     uint64       // highest number of a segment or snapshot; that of file if needsSegment is false
	file         writableFile // newest segment, nil before the first write
	size         int64        // of the valid part of file, in bytes
	needsSegment bool         // the next write starts a new segment, since the newest one may have a torn end
	earlierEnds  []segmentEnd // ends of earlier segments that the next segment has to record
}

// Open reads a folder, which it creates if it is missing, and returns its records in order: those of the newest readable snapshot, then
// those of the segments after it. Places that could not be read are returned as well; the caller decides whether it may go on
// without what was lost there. Nothing is written before the first Append or Snapshot.
func Open(dir string) (*Store, []Record, []Corruption, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	return openFolder(osFolder(dir))
}

func openFolder(files folder) (*Store, []Record, []Corruption, error) {
	records, corruptions, newest, err := readFolder(files)
	if err != nil {
		return nil, nil, nil, err
	}
	// Danger: nothing may be written after an end that may be torn. Each process starts a new segment with its first write.
	s := &Store{folder: files, sequence: newest, needsSegment: true}
	for _, corruption := range corruptions {
		if corruption.TornTail {
			s.earlierEnds = append(s.earlierEnds, segmentEnd{corruption.sequence, corruption.Offset})
		}
	}
	return s, records, corruptions, nil
}

// Append writes records as one batch and syncs it. After an error the caller must treat the batch as not written, though Open may
// find it: a write whose sync failed may have reached the disk. The store remains usable; the caller may append again.
func (s *Store) Append(records ...Record) error {
	if s.needsSegment {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	data := encode([]Record{{batchKind, encode(records)}})
	if _, err := s.file.WriteAt(data, s.size); err != nil {
		return s.discardPartialWrite(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.discardPartialWrite(err)
	}
	s.size += int64(len(data))
	return nil
}

// discardPartialWrite truncates what a failed write may have left, and returns cause. If that fails too, the next write starts a new segment,
// which records where the valid part of this one ends.
func (s *Store) discardPartialWrite(cause error) error {
	if err := s.file.Truncate(s.size); err != nil {
		s.needsSegment, s.earlierEnds = true, append(s.earlierEnds, segmentEnd{s.sequence, s.size})
	}
	return Error.Wrap(cause)
}

// IsUsed reports whether the folder has ever been written to, readable or not.
func (s *Store) IsUsed() bool { return s.sequence > 0 }

// SegmentSize returns the size of the valid part of the newest segment, in bytes.
func (s *Store) SegmentSize() int64 { return s.size }

// startSegment creates the next segment, which begins with the ends of earlier ones.
func (s *Store) startSegment() error {
	header := []byte(magic)
	for _, earlier := range s.earlierEnds {
		header = append(header, encode([]Record{earlier.record()})...)
	}
	file, err := s.createSynced(fileName(s.sequence+1, segmentSuffix), header)
	if err != nil {
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // its valid part is synced
	}
	s.file, s.sequence, s.size, s.needsSegment, s.earlierEnds = file, s.sequence+1, int64(len(header)), false, nil
	return nil
}

// createSynced creates a file with this content and syncs it and the folder. It removes the file if that fails.
func (s *Store) createSynced(name string, data []byte) (writableFile, error) {
	file, err := s.folder.create(name)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = file.WriteAt(data, 0)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = s.folder.sync()
	}
	if err != nil {
		_ = file.Close()          // the first error is the one to report
		_ = s.folder.remove(name) // a file that remains is ignored, or overwritten under the same name
		return nil, Error.Wrap(err)
	}
	return file, nil
}

// Snapshot replaces all earlier content by these records and removes the older files. After an error the older content may still be
// there, or both; Open returns complete content in either case.
func (s *Store) Snapshot(records ...Record) error {
	sequence := s.sequence + 1
	temporary := fileName(sequence, snapshotSuffix+tempSuffix)
	file, err := s.createSynced(temporary, append([]byte(magic), encode(records)...))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.folder.rename(temporary, fileName(sequence, snapshotSuffix)); err != nil {
		return Error.Wrap(err)
	}
	s.sequence, s.needsSegment, s.earlierEnds = sequence, true, nil
	// Danger: older files must not be removed before the new name is durable.
	if err := s.folder.sync(); err != nil {
		return Error.Wrap(err)
	}
	return s.removeBefore(sequence)
}

// removeBefore removes all files with a lower sequence number. It continues after a file that can't be removed.
func (s *Store) removeBefore(sequence uint64) error {
	segments, snapshots, err := listSequences(s.folder)
	if err != nil {
		return err
	}
	for _, old := range segments {
		if old < sequence {
			err = errs.Combine(err, s.folder.remove(fileName(old, segmentSuffix)))
		}
	}
	for _, old := range snapshots {
		if old < sequence {
			err = errs.Combine(err, s.folder.remove(fileName(old, snapshotSuffix)))
		}
	}
	return Error.Wrap(err)
}

// Verify reads back what this process has written and returns the first place that can't be read, or nil if there is none. A Snapshot
// repairs it.
func (s *Store) Verify() *Corruption {
	segments, snapshots, err := listSequences(s.folder)
	if err != nil {
		return &Corruption{File: s.folder.path(""), Reason: err.Error()}
	}
	discard := func([]Record) {}
	for _, sequence := range snapshots {
		if sequence <= s.sequence {
			if corruption := scanBatches(s.folder, fileName(sequence, snapshotSuffix), discard); corruption != nil {
				return corruption
			}
		}
	}
	// Earlier segments are skipped: a torn end there is no fault, since a later segment records it.
	for _, sequence := range segments {
		if sequence == s.sequence && !s.needsSegment {
			return scanBatches(s.folder, fileName(sequence, segmentSuffix), discard)
		}
	}
	return nil
}

// Close closes the newest segment. The store must not be used afterwards.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return Error.Wrap(s.file.Close())
}
