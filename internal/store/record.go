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

const (
	// magic begins each file. Its digit is the version of the format.
	magic = "HZWSEG1\n"
	// A record's header holds its kind (1 byte), the length of its data and the checksum of kind and data (4 bytes each, little-endian).
	headerSize     = 9
	lengthOffset   = 1
	checksumOffset = 5
	// maxRecordBytes bounds a record, so that a damaged length is noticed before memory is allocated for it.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind is the kind of a record. Callers choose the meaning of the values below 254; the store uses the others itself.
type Kind uint8

// Record is an entry of the log or of a snapshot.
type Record struct {
	Kind Kind
	Data []byte
}

// The kinds of the store's own records.
const (
	segmentEndKind Kind = 255 // a segmentEnd, at the beginning of a segment
	batchKind      Kind = 254 // the encoded records of one Append
)

// unbatch returns the records of a batch, or the record itself if it is no batch.
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
			return nil, fmt.Errorf("decoding a batch: %w", err)
		}
		records = append(records, inner)
	}
}

// readRecord returns the next record and its encoded size. Its error is io.EOF only at the end of the last record, and
// io.ErrUnexpectedEOF within a record.
func readRecord(in *bufio.Reader) (Record, int64, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return Record{}, 0, err
	}
	length := binary.LittleEndian.Uint32(header[lengthOffset:])
	if length > maxRecordBytes {
		return Record{}, 0, fmt.Errorf("record of %d bytes is too long", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(in, data); err != nil {
		return Record{}, 0, io.ErrUnexpectedEOF
	}
	if checksum(header[0], data) != binary.LittleEndian.Uint32(header[checksumOffset:]) {
		return Record{}, 0, errors.New("checksum differs")
	}
	return Record{Kind(header[0]), data}, headerSize + int64(length), nil
}

func checksum(kind byte, data []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte{kind}), castagnoli, data)
}

// encode returns the records as they are written to a file.
func encode(records []Record) (out []byte) {
	for _, record := range records {
		var header [headerSize]byte
		header[0] = byte(record.Kind)
		binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(record.Data)))
		binary.LittleEndian.PutUint32(header[checksumOffset:], checksum(byte(record.Kind), record.Data))
		out = append(append(out, header[:]...), record.Data...)
	}
	return out
}
