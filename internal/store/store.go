// Package store keeps records on a disk: a log in segments with a snapshot beside it. A record is there once Append has
// returned without an error, also after a loss of power. Files carry a format version, records a length and a checksum.
package store

import (
	"os"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

const (
	magic         = "HZWSEG1\n"
	headerSize    = 9 // kind, length, checksum
	segmentSuffix = ".seg"
	snapSuffix    = ".snap"
	tempSuffix    = ".tmp"
	// maxRecord bounds a record, in bytes, so that a damaged length is noticed.
	maxRecordBytes = 64 << 20
)

// Store is an open folder. It is for one goroutine.
type Store struct {
	folder       folder
	sequence     uint64 // of the segment that is written
	file         writableFile
	size         int64        // of the good part of the segment
	needsSegment bool         // the segment's end is unknown: a new one must be begun
	earlierEnds  []segmentEnd // what the next segment says of those before it
}

// Open reads the folder, making it where it isn't there, and returns its records in order: those of the newest snapshot, then
// those of the segments after it.
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
	// Danger: never write behind an end that may be torn. Each life begins a segment of its own, at its first write.
	s := &Store{folder: files, sequence: newest, needsSegment: true}
	for _, corruption := range corruptions {
		if corruption.TornTail {
			s.earlierEnds = append(s.earlierEnds, segmentEnd{corruption.sequence, corruption.Offset})
		}
	}
	return s, records, corruptions, nil
}

// Append writes records and syncs them. After an error none of them counts, though some may be found at the next start.
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

// fail cuts off what a failed write may have left behind; where that fails too, the next write begins a new segment.
func (s *Store) discardPartialWrite(cause error) error {
	if err := s.file.Truncate(s.size); err != nil {
		s.needsSegment, s.earlierEnds = true, append(s.earlierEnds, segmentEnd{s.sequence, s.size})
	}
	return Error.Wrap(cause)
}

// Used tells whether the folder holds anything that was written before.
func (s *Store) IsUsed() bool { return s.sequence > 0 }

// Size returns the bytes in the segment that is written.
func (s *Store) SegmentSize() int64 { return s.size }

// begin makes the next segment.
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
		_ = s.file.Close() // all that counts in it is synced
	}
	s.file, s.sequence, s.size, s.needsSegment, s.earlierEnds = file, s.sequence+1, int64(len(header)), false, nil
	return nil
}

// create writes and syncs a new file and its folder. It leaves no file behind when it fails.
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
		_ = file.Close()
		_ = s.folder.remove(name) // what stays is passed over, or begun anew under the same name
		return nil, Error.Wrap(err)
	}
	return file, nil
}

// Snapshot replaces all that was written by these records and removes the files before.
func (s *Store) Snapshot(records ...Record) error {
	sequence := s.sequence + 1
	temporary := fileName(sequence, snapSuffix+tempSuffix)
	file, err := s.createSynced(temporary, append([]byte(magic), encode(records)...))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.folder.rename(temporary, fileName(sequence, snapSuffix)); err != nil {
		return Error.Wrap(err)
	}
	s.sequence, s.needsSegment, s.earlierEnds = sequence, true, nil
	// Danger: older files must outlive the new name.
	if err := s.folder.sync(); err != nil {
		return Error.Wrap(err)
	}
	return s.removeBefore(sequence)
}

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
			err = errs.Combine(err, s.folder.remove(fileName(old, snapSuffix)))
		}
	}
	return Error.Wrap(err)
}

// Check reads what this life has written again and returns the first place that can't be read, nil if there is none. A snapshot
// mends it.
func (s *Store) Verify() *Corruption {
	segments, snapshots, err := listSequences(s.folder)
	if err != nil {
		return &Corruption{File: s.folder.path(""), Reason: err.Error()}
	}
	discard := func([]Record) {}
	for _, sequence := range snapshots {
		if sequence <= s.sequence {
			if corruption := scanBatches(s.folder, fileName(sequence, snapSuffix), discard); corruption != nil {
				return corruption
			}
		}
	}
	// Earlier segments end where they end: their torn ends are named in those after them.
	for _, sequence := range segments {
		if sequence == s.sequence && !s.needsSegment {
			return scanBatches(s.folder, fileName(sequence, segmentSuffix), discard)
		}
	}
	return nil
}

// Close closes the segment.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return Error.Wrap(s.file.Close())
}
