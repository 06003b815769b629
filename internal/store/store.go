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
	maxRecord = 64 << 20
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
	folder   folder
	sequence uint64 // of the segment that is written
	file     writable
	size     int64 // of the good part of the segment
	broken   bool  // the segment's end is unknown: a new one must be begun
	cuts     []cut // what the next segment says of those before it
}

// cut says where the good part of an earlier segment ends. What stands behind it was never reported as written.
type cut struct {
	sequence uint64
	size     int64
}

// The kinds that the store itself uses; callers use lower ones.
const (
	cutKind   Kind = 255 // at the beginning of a segment: holds a cut
	batchKind Kind = 254 // holds the records of one Append, so that they are there together or not at all
)

func (c *cut) record() Record {
	data := binary.LittleEndian.AppendUint64(nil, c.sequence)
	return Record{cutKind, binary.LittleEndian.AppendUint64(data, uint64(c.size))}
}

// readCuts returns the cuts at the beginning of a segment, and the records behind them.
func readCuts(records []Record) (cuts []cut, rest []Record) {
	const length = 16
	for len(records) > 0 && records[0].Kind == cutKind && len(records[0].Data) == length {
		data := records[0].Data
		cuts = append(cuts, cut{binary.LittleEndian.Uint64(data), int64(binary.LittleEndian.Uint64(data[8:]))})
		records = records[1:]
	}
	return cuts, records
}

// Open reads the folder, making it where it isn't there, and returns its records in order: those of the newest snapshot, then
// those of the segments after it.
func Open(dir string) (*Store, []Record, []Corruption, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	return open(osFolder(dir))
}

func open(on folder) (*Store, []Record, []Corruption, error) {
	records, damage, last, err := read(on)
	if err != nil {
		return nil, nil, nil, err
	}
	// Danger: never write behind an end that may be torn. Each life begins a segment of its own, at its first write.
	s := &Store{folder: on, sequence: last, broken: true}
	for _, place := range damage {
		if place.TornTail {
			s.cuts = append(s.cuts, cut{place.sequence, place.Offset})
		}
	}
	return s, records, damage, nil
}

// Read reads the folder without changing it. last is the highest number that a file has.
func Read(dir string) (records []Record, damage []Corruption, last uint64, err error) {
	return read(osFolder(dir))
}

func read(on folder) (records []Record, damage []Corruption, last uint64, err error) {
	segments, snapshots, err := list(on)
	if err != nil {
		return nil, nil, 0, err
	}
	from := uint64(0)
	for _, sequence := range slices.Backward(snapshots) {
		last = max(last, sequence)
		found, bad := readFile(on, name(sequence, snapSuffix))
		if bad == nil {
			records, from = found, sequence
			break
		}
		damage = append(damage, *bad)
	}
	// Danger: a segment that could not be begun may come back under the number that a snapshot was given then.
	segments = slices.DeleteFunc(segments, func(sequence uint64) bool { return from > 0 && sequence <= from })
	found := map[uint64]*Corruption{}
	for _, sequence := range segments {
		last = max(last, sequence)
		more, bad := readFile(on, name(sequence, segmentSuffix))
		cuts, more := readCuts(more)
		if len(more) > 0 {
			// Something was written after what the segments before hold.
			for _, before := range found {
				before.TornTail = false
			}
		}
		for _, end := range cuts {
			if before := found[end.sequence]; before != nil && before.Offset >= end.size && !before.laterBatch {
				delete(found, end.sequence)
			}
		}
		records = append(records, more...)
		if bad != nil {
			bad.sequence, bad.TornTail = sequence, !bad.laterBatch
			found[sequence] = bad
		}
	}
	for _, sequence := range segments {
		if bad := found[sequence]; bad != nil {
			damage = append(damage, *bad)
		}
	}
	return records, damage, last, nil
}

func name(sequence uint64, suffix string) string { return fmt.Sprintf("%016d%s", sequence, suffix) }

func list(on folder) (segments, snapshots []uint64, err error) {
	names, err := on.list()
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
func readFile(on folder, name string) (records []Record, damage *Corruption) {
	damage = scanFile(on, name, func(more []Record) { records = append(records, more...) })
	return records, damage
}

// scanFile hands over the records of each write up to the first that can't be read, and returns where that is.
func scanFile(on folder, name string, visit func([]Record)) *Corruption {
	path := on.path(name)
	file, err := on.open(name)
	if err != nil {
		return &Corruption{File: path, Reason: err.Error()}
	}
	defer file.Close()
	in := bufio.NewReader(file)
	offset := int64(0)
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(in, head); err != nil || string(head) != magic {
		return &Corruption{File: path, Reason: "no file of this format"}
	}
	offset += int64(len(magic))
	for {
		record, size, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			bad := &Corruption{File: path, Offset: offset, Reason: err.Error()}
			bad.laterBatch, err = recordBehind(file, offset)
			if err != nil {
				bad.Reason += "; " + err.Error()
			}
			return bad
		}
		more, err := unbatch(record)
		if err != nil {
			return &Corruption{File: path, Offset: offset, Reason: err.Error(), laterBatch: true}
		}
		visit(more)
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
func recordBehind(file io.ReadSeeker, offset int64) (bool, error) {
	if _, err := file.Seek(offset+1, io.SeekStart); err != nil {
		return false, err
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return false, err
	}
	for at := range rest {
		if Kind(rest[at]) != batchKind || len(rest)-at < headerSize {
			continue
		}
		header := rest[at : at+headerSize]
		length := int(binary.LittleEndian.Uint32(header[1:]))
		if length == 0 || length > len(rest)-at-headerSize {
			continue
		}
		if checksum(header[0], rest[at+headerSize:at+headerSize+length]) == binary.LittleEndian.Uint32(header[5:]) {
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
	if length > maxRecord {
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
	if s.broken {
		if err := s.begin(); err != nil {
			return err
		}
	}
	data := encode([]Record{{batchKind, encode(records)}})
	if _, err := s.file.WriteAt(data, s.size); err != nil {
		return s.fail(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err)
	}
	s.size += int64(len(data))
	return nil
}

// fail cuts off what a failed write may have left behind; where that fails too, the next write begins a new segment.
func (s *Store) fail(cause error) error {
	if err := s.file.Truncate(s.size); err != nil {
		s.broken, s.cuts = true, append(s.cuts, cut{s.sequence, s.size})
	}
	return Error.Wrap(cause)
}

// Used tells whether the folder holds anything that was written before.
func (s *Store) IsUsed() bool { return s.sequence > 0 }

// Size returns the bytes in the segment that is written.
func (s *Store) SegmentSize() int64 { return s.size }

// begin makes the next segment.
func (s *Store) begin() error {
	head := []byte(magic)
	for _, end := range s.cuts {
		head = append(head, encode([]Record{end.record()})...)
	}
	file, err := s.create(name(s.sequence+1, segmentSuffix), head)
	if err != nil {
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // all that counts in it is synced
	}
	s.file, s.sequence, s.size, s.broken, s.cuts = file, s.sequence+1, int64(len(head)), false, nil
	return nil
}

// create writes and syncs a new file and its folder. It leaves no file behind when it fails.
func (s *Store) create(base string, data []byte) (writable, error) {
	file, err := s.folder.create(base)
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
		_ = s.folder.remove(base) // what stays is passed over, or begun anew under the same name
		return nil, Error.Wrap(err)
	}
	return file, nil
}

// Snapshot replaces all that was written by these records and removes the files before.
func (s *Store) Snapshot(records ...Record) error {
	sequence := s.sequence + 1
	temporary := name(sequence, snapSuffix+tempSuffix)
	file, err := s.create(temporary, append([]byte(magic), encode(records)...))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.folder.rename(temporary, name(sequence, snapSuffix)); err != nil {
		return Error.Wrap(err)
	}
	s.sequence, s.broken, s.cuts = sequence, true, nil
	// Danger: older files must outlive the new name.
	if err := s.folder.sync(); err != nil {
		return Error.Wrap(err)
	}
	return s.removeBefore(sequence)
}

func (s *Store) removeBefore(sequence uint64) error {
	segments, snapshots, err := list(s.folder)
	if err != nil {
		return err
	}
	for _, old := range segments {
		if old < sequence {
			err = errs.Combine(err, s.folder.remove(name(old, segmentSuffix)))
		}
	}
	for _, old := range snapshots {
		if old < sequence {
			err = errs.Combine(err, s.folder.remove(name(old, snapSuffix)))
		}
	}
	return Error.Wrap(err)
}

// Check reads what this life has written again and returns the first place that can't be read, nil if there is none. A snapshot
// mends it.
func (s *Store) Verify() *Corruption {
	segments, snapshots, err := list(s.folder)
	if err != nil {
		return &Corruption{File: s.folder.path(""), Reason: err.Error()}
	}
	ignore := func([]Record) {}
	for _, sequence := range snapshots {
		if sequence <= s.sequence {
			if bad := scanFile(s.folder, name(sequence, snapSuffix), ignore); bad != nil {
				return bad
			}
		}
	}
	// Earlier segments end where they end: their torn ends are named in those after them.
	for _, sequence := range segments {
		if sequence == s.sequence && !s.broken {
			return scanFile(s.folder, name(sequence, segmentSuffix), ignore)
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
