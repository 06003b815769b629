package store

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind tells records apart; the caller chooses its meaning.
type Kind uint8

// Record is an entry of the log.
type Record struct {
	Kind Kind
	Data []byte
}

// The kinds that the store itself uses; callers use lower ones.
const (
	segmentEndKind Kind = 255 // at the beginning of a segment: holds a cut
	batchKind      Kind = 254 // holds the records of one Append, so that they are there together or not at all
)

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
