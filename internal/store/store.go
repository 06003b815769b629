// Package store keeps records on a disk: a log in segments with a snapshot beside it. A record is there once Append has
// returned without an error, also after a loss of power. Files carry a format version, records a length and a checksum.
package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
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
	filePerm  = 0o644
	dirPerm   = 0o755
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
type Damage struct {
	File   string
	Offset int64
	Reason string
	// Tail is true where nothing but the end of the newest segment is missing, as after a loss of power.
	Tail bool
}

func (d Damage) String() string { return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.Reason) }

// Store is an open folder. It is for one goroutine.
type Store struct {
	dir      string
	sequence uint64 // of the segment that is written
	file     *os.File
	size     int64 // of the good part of the segment
	broken   bool  // the segment's end is unknown: a new one must be begun
}

// Open reads the folder, making it where it isn't there, and returns its records in order: those of the newest snapshot, then
// those of the segments after it.
func Open(dir string) (*Store, []Record, []Damage, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	records, damage, last, err := Read(dir)
	if err != nil {
		return nil, nil, nil, err
	}
	// Danger: never write behind an end that may be torn. Each life begins a segment of its own, at its first write.
	return &Store{dir: dir, sequence: last, broken: true}, records, damage, nil
}

// Read reads the folder without changing it. last is the highest number that a file has.
func Read(dir string) (records []Record, damage []Damage, last uint64, err error) {
	segments, snapshots, err := list(dir)
	if err != nil {
		return nil, nil, 0, err
	}
	from := uint64(0)
	for _, sequence := range slices.Backward(snapshots) {
		last = max(last, sequence)
		found, bad := readFile(filepath.Join(dir, name(sequence, snapSuffix)))
		if bad == nil {
			records, from = found, sequence
			break
		}
		damage = append(damage, *bad)
	}
	for i, sequence := range segments {
		last = max(last, sequence)
		if sequence < from {
			continue
		}
		found, bad := readFile(filepath.Join(dir, name(sequence, segmentSuffix)))
		records = append(records, found...)
		if bad != nil {
			bad.Tail = i == len(segments)-1
			damage = append(damage, *bad)
		}
	}
	return records, damage, last, nil
}

func name(sequence uint64, suffix string) string { return fmt.Sprintf("%016d%s", sequence, suffix) }

func list(dir string) (segments, snapshots []uint64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	for _, entry := range entries {
		base, suffix, _ := strings.Cut(entry.Name(), ".")
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
func readFile(path string) (records []Record, damage *Damage) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &Damage{File: path, Reason: err.Error()}
	}
	defer file.Close()
	in := bufio.NewReader(file)
	offset := int64(0)
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(in, head); err != nil || string(head) != magic {
		return nil, &Damage{File: path, Reason: "no file of this format"}
	}
	offset += int64(len(magic))
	for {
		record, size, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, &Damage{File: path, Offset: offset, Reason: err.Error()}
		}
		records, offset = append(records, record), offset+size
	}
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
	data := encode(records)
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
		s.broken = true
	}
	return Error.Wrap(cause)
}

// Size returns the bytes in the segment that is written.
func (s *Store) Size() int64 { return s.size }

// begin makes the next segment.
func (s *Store) begin() error {
	file, err := s.create(name(s.sequence+1, segmentSuffix), []byte(magic))
	if err != nil {
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.sequence, s.size, s.broken = file, s.sequence+1, int64(len(magic)), false
	return nil
}

// create writes and syncs a new file and its folder. It leaves no file behind when it fails.
func (s *Store) create(base string, data []byte) (*os.File, error) {
	path := filepath.Join(s.dir, base)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = file.WriteAt(data, 0)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = syncDir(s.dir)
	}
	if err != nil {
		file.Close()
		os.Remove(path)
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
	file.Close()
	if err := os.Rename(filepath.Join(s.dir, temporary), filepath.Join(s.dir, name(sequence, snapSuffix))); err != nil {
		return Error.Wrap(err)
	}
	s.sequence, s.broken = sequence, true
	// Danger: older files must outlive the new name.
	if err := syncDir(s.dir); err != nil {
		return Error.Wrap(err)
	}
	return s.removeBefore(sequence)
}

func (s *Store) removeBefore(sequence uint64) error {
	segments, snapshots, err := list(s.dir)
	if err != nil {
		return err
	}
	for _, old := range segments {
		if old < sequence {
			err = errs.Combine(err, os.Remove(filepath.Join(s.dir, name(old, segmentSuffix))))
		}
	}
	for _, old := range snapshots {
		if old < sequence {
			err = errs.Combine(err, os.Remove(filepath.Join(s.dir, name(old, snapSuffix))))
		}
	}
	return Error.Wrap(err)
}

// Close closes the segment.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return Error.Wrap(s.file.Close())
}

func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
