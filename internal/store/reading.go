package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

const (
	segmentSuffix  = ".seg"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

// Corruption is a place in a file from which on the file could not be read.
type Corruption struct {
	File   string
	Offset int64 // in bytes
	Reason string
	// TornTail is true if nothing that was written later is found. A crash in the middle of an Append leaves such an end, and no
	// acknowledged record is lost. If it is false, acknowledged records may be lost.
	TornTail bool

	sequence   uint64 // of the segment
	laterBatch bool   // a complete batch follows in the same file
}

// String returns file, offset and reason.
func (c Corruption) String() string {
	return fmt.Sprintf("%s: offset %d: %s", c.File, c.Offset, c.Reason)
}

// Read returns what Open returns, without creating or writing anything. newest is the highest sequence number of a file, 0 if there is none.
func Read(dir string) (records []Record, corruptions []Corruption, newest uint64, err error) {
	return readFolder(osFolder(dir))
}

func readFolder(files folder) (records []Record, corruptions []Corruption, newest uint64, err error) {
	segments, snapshots, err := listSequences(files)
	if err != nil {
		return nil, nil, 0, err
	}
	snapshot := uint64(0) // sequence number of the snapshot that was read, 0 if none could be
	for _, sequence := range slices.Backward(snapshots) {
		newest = max(newest, sequence)
		found, corruption := readRecords(files, fileName(sequence, snapshotSuffix))
		if corruption == nil {
			records, snapshot = found, sequence
			break
		}
		corruptions = append(corruptions, *corruption)
	}
	// Danger: a segment whose creation failed may reappear after a crash under the number that was then given to a snapshot.
	segments = slices.DeleteFunc(segments, func(sequence uint64) bool { return snapshot > 0 && sequence <= snapshot })
	if len(segments) > 0 {
		newest = max(newest, segments[len(segments)-1])
	}
	appended, inSegments := readSegments(files, segments)
	return append(records, appended...), append(corruptions, inSegments...), newest, nil
}

// readSegments returns the records of segments in order, and the places that could not be read. It leaves out torn ends that a later segment
// names.
func readSegments(files folder, segments []uint64) (records []Record, corruptions []Corruption) {
	bySegment := map[uint64]*Corruption{}
	for _, sequence := range segments {
		found, corruption := readRecords(files, fileName(sequence, segmentSuffix))
		ends, found := splitSegmentEnds(found)
		if len(found) > 0 {
			// Something was written after the unreadable places of earlier segments.
			for _, earlier := range bySegment {
				earlier.TornTail = false
			}
		}
		for _, end := range ends {
			if earlier := bySegment[end.sequence]; earlier != nil && earlier.Offset >= end.validSize && !earlier.laterBatch {
				delete(bySegment, end.sequence)
			}
		}
		records = append(records, found...)
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
	return records, corruptions
}

// fileName returns the name of a file with a sequence number; names sort as the numbers do.
func fileName(sequence uint64, suffix string) string { return fmt.Sprintf("%016d%s", sequence, suffix) }

// listSequences returns the sequence numbers of the segments and of the snapshots in a folder, in order. Other files are ignored.
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
		case snapshotSuffix:
			snapshots = append(snapshots, sequence)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

// readRecords returns the records of a file up to the first place that can't be read, and that place, or nil if there is none.
func readRecords(files folder, name string) (records []Record, corruption *Corruption) {
	corruption = scanBatches(files, name, func(batch []Record) { records = append(records, batch...) })
	return records, corruption
}

// scanBatches calls visit with the records of each batch up to the first place that can't be read, and returns that place.
func scanBatches(files folder, name string, visit func([]Record)) *Corruption {
	path := files.path(name)
	file, err := files.open(name)
	if err != nil {
		return &Corruption{File: path, Reason: err.Error()}
	}
	defer func() { _ = file.Close() }() // it was only read
	in := bufio.NewReader(file)
	offset := int64(0)
	header := make([]byte, len(magic))
	if _, err := io.ReadFull(in, header); err != nil || string(header) != magic {
		return &Corruption{File: path, Reason: "not a file of this format"}
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

// laterBatchExists reports whether a complete batch follows a place that can't be read. Each Append is synced before the next one starts, so
// a loss of power can only damage the last batch. If another batch follows, the damage has another cause.
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
		length := int(binary.LittleEndian.Uint32(header[lengthOffset:]))
		if length == 0 || length > len(rest)-start-headerSize {
			continue
		}
		if checksum(header[0], rest[start+headerSize:start+headerSize+length]) == binary.LittleEndian.Uint32(header[checksumOffset:]) {
			return true, nil
		}
	}
	return false, nil
}
