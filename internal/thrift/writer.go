package thrift

import (
	"encoding/binary"
	"math"
)

// Writer appends messages to bytes. It writes what it is told: whoever uses it ends what it has begun, and writes as many
// elements as a container's head names.
type Writer struct {
	data           []byte
	encoding       Encoding
	frameStart     int // of the frame
	lastFieldIDs   [MaxDepth + 1]int16
	depth          int
	pendingBoolID  int16 // id of a compact bool field whose head waits for its value
	hasPendingBool bool
}

// Begin begins a frame behind dst, with a message whose struct's fields follow.
func (w *Writer) BeginMessage(dst []byte, enc Encoding, kind Kind, name string, seq int32) {
	*w = Writer{data: append(dst, 0, 0, 0, 0), encoding: enc, frameStart: len(dst)}
	switch enc {
	case Binary:
		w.data = binary.BigEndian.AppendUint32(w.data, version1|uint32(kind))
		w.String(name)
		w.data = binary.BigEndian.AppendUint32(w.data, uint32(seq))
	case OldBinary:
		w.String(name)
		w.data = append(w.data, byte(kind))
		w.data = binary.BigEndian.AppendUint32(w.data, uint32(seq))
	case Compact:
		w.data = append(w.data, compactProtocolID, compactVersion|byte(kind)<<5)
		w.data = binary.AppendUvarint(w.data, uint64(uint32(seq)))
		w.String(name)
	}
}

// End ends the message's struct and its frame, and returns all bytes.
func (w *Writer) EndMessage() []byte {
	w.data = append(w.data, byte(Stop))
	binary.BigEndian.PutUint32(w.data[w.frameStart:], uint32(len(w.data)-w.frameStart-4))
	return w.data
}

// Open begins a struct within, Close ends it.
func (w *Writer) BeginStruct() {
	w.depth++
	w.lastFieldIDs[w.depth] = 0
}

// Close ends a struct.
func (w *Writer) EndStruct() {
	w.depth--
	w.data = append(w.data, byte(Stop))
}

// compactNumber returns a type's number in the compact protocol; of a bool that of true.
func compactTypeNumber(t Type) byte {
	for n := range byte(14) {
		if compactTypes[n] == t {
			return n
		}
	}
	return 0
}

// Field begins a field.
func (w *Writer) FieldHeader(t Type, id int16) {
	switch {
	case w.encoding != Compact:
		w.data = binary.BigEndian.AppendUint16(append(w.data, byte(t)), uint16(id))
	case t == Bool:
		w.pendingBoolID, w.hasPendingBool = id, true
	default:
		w.writeCompactFieldHeader(compactTypeNumber(t), id)
	}
}

func (w *Writer) writeCompactFieldHeader(number byte, id int16) {
	if delta := int(id) - int(w.lastFieldIDs[w.depth]); delta > 0 && delta <= 15 {
		w.data = append(w.data, byte(delta)<<4|number)
	} else {
		w.data = append(w.data, number)
		w.I16(id)
	}
	w.lastFieldIDs[w.depth] = id
}

// Bool writes a bool.
func (w *Writer) Bool(v bool) {
	number := byte(2)
	if v {
		number = 1
	}
	switch {
	case w.hasPendingBool:
		w.hasPendingBool = false
		w.writeCompactFieldHeader(number, w.pendingBoolID)
	case w.encoding == Compact:
		w.data = append(w.data, number)
	default:
		w.data = append(w.data, number&1)
	}
}

// Byte writes a byte.
func (w *Writer) Byte(v int8) { w.data = append(w.data, byte(v)) }

// I16 writes a number.
func (w *Writer) I16(v int16) {
	if w.encoding == Compact {
		w.I32(int32(v))
	} else {
		w.data = binary.BigEndian.AppendUint16(w.data, uint16(v))
	}
}

// I32 writes a number.
func (w *Writer) I32(v int32) {
	if w.encoding == Compact {
		w.data = binary.AppendUvarint(w.data, uint64(uint32(v<<1^v>>31)))
	} else {
		w.data = binary.BigEndian.AppendUint32(w.data, uint32(v))
	}
}

// I64 writes a number.
func (w *Writer) I64(v int64) {
	if w.encoding == Compact {
		w.data = binary.AppendUvarint(w.data, uint64(v<<1^v>>63))
	} else {
		w.data = binary.BigEndian.AppendUint64(w.data, uint64(v))
	}
}

// Double writes a number.
func (w *Writer) Double(v float64) {
	if w.encoding == Compact {
		w.data = binary.LittleEndian.AppendUint64(w.data, math.Float64bits(v))
	} else {
		w.data = binary.BigEndian.AppendUint64(w.data, math.Float64bits(v))
	}
}

// size writes how long or how many something is.
func (w *Writer) writeSize(n int) {
	if w.encoding == Compact {
		w.data = binary.AppendUvarint(w.data, uint64(uint32(n)))
	} else {
		w.data = binary.BigEndian.AppendUint32(w.data, uint32(n))
	}
}

// String writes a string.
func (w *Writer) String(v string) {
	w.writeSize(len(v))
	w.data = append(w.data, v...)
}

// Bytes writes a binary.
func (w *Writer) Bytes(v []byte) {
	w.writeSize(len(v))
	w.data = append(w.data, v...)
}

// UUID writes 16 bytes.
func (w *Writer) UUID(v [16]byte) { w.data = append(w.data, v[:]...) }

// ListHead begins a list or set of n elements.
func (w *Writer) ListHeader(t Type, n int) {
	switch {
	case w.encoding != Compact:
		w.data = append(w.data, byte(t))
		w.writeSize(n)
	case n < 15:
		w.data = append(w.data, byte(n)<<4|compactTypeNumber(t))
	default:
		w.data = append(w.data, 0xf0|compactTypeNumber(t))
		w.writeSize(n)
	}
}

// MapHead begins a map of n pairs.
func (w *Writer) MapHeader(key, value Type, n int) {
	if w.encoding != Compact {
		w.data = append(w.data, byte(key), byte(value))
		w.writeSize(n)
		return
	}
	if w.writeSize(n); n > 0 {
		w.data = append(w.data, compactTypeNumber(key)<<4|compactTypeNumber(value))
	}
}

// AppendException appends a reply that is a TApplicationException.
func AppendException(dst []byte, enc Encoding, name string, seq int32, exceptionType int32, text string) []byte {
	var w Writer
	w.BeginMessage(dst, enc, Exception, name, seq)
	w.FieldHeader(String, 1)
	w.String(text)
	w.FieldHeader(I32, 2)
	w.I32(exceptionType)
	return w.EndMessage()
}

var exceptionPaths = []Path{{1}, {2}}

// Exception reads a TApplicationException. Its text lies where the message does.
func (m *Message) DecodeException() (exceptionType int32, text []byte, err error) {
	var found [MaxPaths]Value
	if err = m.Find(exceptionPaths, &found); err != nil {
		return 0, nil, err
	}
	return int32(found[1].Int), found[0].Bytes, nil
}
