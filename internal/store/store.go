// Package store keeps records on a disk: a log in segments with a snapshot beside it. A record is there once Append has
// returned without an error, also after a loss of power. Files carry a format version, records a length and a checksum.
package store

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

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

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind tells records apart; the caller chooses its meaning.
type Kind uint8

// Record is an entry of the log.
type Record struct {
	Kind Kind
	Data []byte
}

// Damage names a place where a file could not be read further.
type Corruption struct {
	File   string
	Offset int64
	Reason string
	// Tail is true where nothing that was written is found behind it, as after a loss of power.
	TornTail bool

	sequence   uint64 // of the segment
	laterBatch bool   // a whole record stands behind it in the same file
}

func (d Corruption) String() string {
	return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.Reason)
}

// Store is an open folder. It is for one goroutine.
type Store struct {
	folder       folder
	sequence     uint64 // of the segment that is written
	file         writableFile
	size         int64        // of the good part of the segment
	needsSegment bool         // the segment's end is unknown: a new one must be begun
	earlierEnds  []segmentEnd // what the next segment says of those before it
}

// cut says where the good part of an earlier segment ends. What stands behind it was never reported as written.
type segmentEnd struct {
	sequence  uint64
	validSize int64
}

// The kinds that the store itself uses; callers use lower ones.
const (
	segmentEndKind Kind = 255 // at the beginning of a segment: holds a cut
	batchKind      Kind = 254 // holds the records of one Append, so that they are there together or not at all
)

func (c *segmentEnd) record() Record {
	data := binary.LittleEndian.AppendUint64(nil, c.sequence)
	return Record{segmentEndKind, binary.LittleEndian.AppendUint64(data, uint64(c.validSize))}
}

// readCuts returns the cuts at the beginning of a segment, and the records behind them.
func splitSegmentEnds(records []Record) (ends []segmentEnd, rest []Record) {
	const length = 16
	for len(records) > 0 && records[0].Kind == segmentEndKind && len(records[0].Data) == length {
		data := records[0].Data
		ends = append(ends, segmentEnd{binary.LittleEndian.Uint64(data), int64(binary.LittleEndian.Uint64(data[8:]))})
		records = records[1:]
	}
	return ends, records
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

// Read reads the folder without changing it. last is the highest number that a file has.
func Read(dir string) (records []Record, corruptions []Corruption, newest uint64, err error) {
	return readFolder(osFolder(dir))
}

func readFolder(files folder) (records []Record, corruptions []Corruption, newest uint64, err error) {
	segments, snapshots, err := listSequences(files)
	if err != nil {
		return nil, nil, 0, err
	}
	snapshot := uint64(0)
	for _, sequence := range slices.Backward(snapshots) {
		newest = max(newest, sequence)
		bySegment, corruption := readRecords(files, fileName(sequence, snapSuffix))
		if corruption == nil {
			records, snapshot = bySegment, sequence
			break
		}
		corruptions = append(corruptions, *corruption)
	}
	// Danger: a segment that could not be begun may come back under the number that a snapshot was given then.
	segments = slices.DeleteFunc(segments, func(sequence uint64) bool { return snapshot > 0 && sequence <= snapshot })
	bySegment := map[uint64]*Corruption{}
	for _, sequence := range segments {
		newest = max(newest, sequence)
		batch, corruption := readRecords(files, fileName(sequence, segmentSuffix))
		cuts, batch := splitSegmentEnds(batch)
		if len(batch) > 0 {
			// Something was written after what the segments before hold.
			for _, earlier := range bySegment {
				earlier.TornTail = false
			}
		}
		for _, end := range cuts {
			if earlier := bySegment[end.sequence]; earlier != nil && earlier.Offset >= end.validSize && !earlier.laterBatch {
				delete(bySegment, end.sequence)
			}
		}
		records = append(records, batch...)
		if corruption != nil {
			corruption.sequence, corruption.TornTail = sequence, !corruption.laterBatch
			bySegment[sequence] = corruption
		}
	}
	for _, sequence := range segments {
		if corruption := bySegment[sequence]; corruption != nil {
			corruptions = append(corruptions, *corruption)
		}
	}
	return records, corruptions, newest, nil
}

func fileName(sequence uint64, suffix string) string { return fmt.Sprintf("%016d%s", sequence, suffix) }

func listSequences(files folder) (segments, snapshots []uint64, err error) {
	names, err := files.list()
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	for _, name := range names {
		base, suffix, _ := strings.Cut(name, ".")
		sequence, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			continue
		}
		switch "." + suffix {
		case segmentSuffix:
			segments = append(segments, sequence)
		case snapSuffix:
			snapshots = append(snapshots, sequence)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

// readFile returns the records up to the first that can't be read, and where that is.
func readRecords(files folder, name string) (records []Record, corruption *Corruption) {
	corruption = scanBatches(files, name, func(more []Record) { records = append(records, more...) })
	return records, corruption
}

// scanFile hands over the records of each write up to the first that can't be read, and returns where that is.
func scanBatches(files folder, name string, visit func([]Record)) *Corruption {
	path := files.path(name)
	file, err := files.open(name)
	if err != nil {
		return &Corruption{File: path, Reason: err.Error()}
	}
	defer file.Close()
	in := bufio.NewReader(file)
	offset := int64(0)
	header := make([]byte, len(magic))
	if _, err := io.ReadFull(in, header); err != nil || string(header) != magic {
		return &Corruption{File: path, Reason: "no file of this format"}
	}
	offset += int64(len(magic))
	for {
		record, size, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			corruption := &Corruption{File: path, Offset: offset, Reason: err.Error()}
			corruption.laterBatch, err = laterBatchExists(file, offset)
			if err != nil {
				corruption.Reason += "; " + err.Error()
			}
			return corruption
		}
		batch, err := unbatch(record)
		if err != nil {
			return &Corruption{File: path, Offset: offset, Reason: err.Error(), laterBatch: true}
		}
		visit(batch)
		offset += size
	}
}

// unbatch returns the records of a batch, or the record itself where it is none.
func unbatch(record Record) (records []Record, err error) {
	if record.Kind != batchKind {
		return []Record{record}, nil
	}
	in := bufio.NewReader(bytes.NewReader(record.Data))
	for {
		inner, _, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("a batch: %w", err)
		}
		records = append(records, inner)
	}
}

// recordBehind tells whether a whole batch stands behind a place that can't be read. Each Append is synced before the next one
// begins, so that a loss of power spoils nothing but the last one: what stands before another was damaged in another way.
func laterBatchExists(file io.ReadSeeker, offset int64) (bool, error) {
	if _, err := file.Seek(offset+1, io.SeekStart); err != nil {
		return false, err
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return false, err
	}
	for start := range rest {
		if Kind(rest[start]) != batchKind || len(rest)-start < headerSize {
			continue
		}
		header := rest[start : start+headerSize]
		length := int(binary.LittleEndian.Uint32(header[1:]))
		if length == 0 || length > len(rest)-start-headerSize {
			continue
		}
		if checksum(header[0], rest[start+headerSize:start+headerSize+length]) == binary.LittleEndian.Uint32(header[5:]) {
			return true, nil
		}
	}
	return false, nil
}

// readRecord returns io.EOF at a proper end alone.
func readRecord(in *bufio.Reader) (Record, int64, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return Record{}, 0, err // io.ErrUnexpectedEOF where a part is there
	}
	length := binary.LittleEndian.Uint32(header[1:])
	if length > maxRecordBytes {
		return Record{}, 0, fmt.Errorf("length %d out of bounds", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(in, data); err != nil {
		return Record{}, 0, io.ErrUnexpectedEOF
	}
	if checksum(header[0], data) != binary.LittleEndian.Uint32(header[5:]) {
		return Record{}, 0, errors.New("checksum differs")
	}
	return Record{Kind(header[0]), data}, headerSize + int64(length), nil
}

func checksum(kind byte, data []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte{kind}), castagnoli, data)
}

func encode(records []Record) (out []byte) {
	for _, record := range records {
		var header [headerSize]byte
		header[0] = byte(record.Kind)
		binary.LittleEndian.PutUint32(header[1:], uint32(len(record.Data)))
		binary.LittleEndian.PutUint32(header[5:], checksum(byte(record.Kind), record.Data))
		out = append(append(out, header[:]...), record.Data...)
	}
	return out
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
