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
