package store

import "encoding/binary"

// cut says where the good part of an earlier segment ends. What stands behind it was never reported as written.
type segmentEnd struct {
	sequence  uint64
	validSize int64
}

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
