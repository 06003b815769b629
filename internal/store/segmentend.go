package store

import "encoding/binary"

// segmentEnd says how much of an earlier segment is valid. No Append has succeeded beyond that, so what follows may be anything.
type segmentEnd struct {
	sequence  uint64 // of the segment
	validSize int64  // in bytes
}

// record returns the end as a record, which holds both fields as 64-bit little-endian integers.
func (end *segmentEnd) record() Record {
	data := binary.LittleEndian.AppendUint64(nil, end.sequence)
	return Record{segmentEndKind, binary.LittleEndian.AppendUint64(data, uint64(end.validSize))}
}

// splitSegmentEnds splits the records of a segment into the ends at its beginning and the records of callers.
func splitSegmentEnds(records []Record) (ends []segmentEnd, rest []Record) {
	const length = 16
	for len(records) > 0 && records[0].Kind == segmentEndKind && len(records[0].Data) == length {
		data := records[0].Data
		ends = append(ends, segmentEnd{binary.LittleEndian.Uint64(data), int64(binary.LittleEndian.Uint64(data[8:]))})
		records = records[1:]
	}
	return ends, records
}
