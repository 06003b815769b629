package thrift

import (
	"encoding/binary"
	"math"
)

// Writer appends messages to a byte slice. It checks nothing: the caller must end each struct and message that it begins, and write as
// many elements as a container's header says.
type Writer struct {
	data           []byte
	encoding       Encoding
	frameStart     int                 // offset of the frame's header in data
	lastFieldIDs   [MaxDepth + 1]int16 // last field id of each open struct, by depth
	depth          int
	pendingBoolID  int16 // id of a compact bool field, whose header is written with its value
	hasPendingBool bool
}

// BeginMessage appends the headers of a frame and a message to dst. The caller writes the fields of the message's struct next.
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

// EndMessage ends the message's struct and the frame, and returns dst with the message appended.
func (w *Writer) EndMessage() []byte {
	w.data = append(w.data, byte(Stop))
	binary.BigEndian.PutUint32(w.data[w.frameStart:], uint32(len(w.data)-w.frameStart-4))
	return w.data
}

// BeginStruct begins a nested struct.
func (w *Writer) BeginStruct() {
	w.depth++
	w.lastFieldIDs[w.depth] = 0
}

// EndStruct ends a nested struct.
func (w *Writer) EndStruct() {
	w.depth--
	w.data = append(w.data, byte(Stop))
}

// FieldHeader begins a field; its value is written next.
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

// writeCompactFieldHeader writes a field's header, with the difference to the previous id if it is from 1 to 15, else with the id.
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

// I16 writes a 16-bit integer.
func (w *Writer) I16(v int16) {
	if w.encoding == Compact {
		w.I32(int32(v))
	} else {
		w.data = binary.BigEndian.AppendUint16(w.data, uint16(v))
	}
}

// I32 writes a 32-bit integer.
func (w *Writer) I32(v int32) {
	if w.encoding == Compact {
		w.data = binary.AppendUvarint(w.data, uint64(uint32(v<<1^v>>31)))
	} else {
		w.data = binary.BigEndian.AppendUint32(w.data, uint32(v))
	}
}

// I64 writes a 64-bit integer.
func (w *Writer) I64(v int64) {
	if w.encoding == Compact {
		w.data = binary.AppendUvarint(w.data, uint64(v<<1^v>>63))
	} else {
		w.data = binary.BigEndian.AppendUint64(w.data, uint64(v))
	}
}

// Double writes a floating-point number.
func (w *Writer) Double(v float64) {
	if w.encoding == Compact {
		w.data = binary.LittleEndian.AppendUint64(w.data, math.Float64bits(v))
	} else {
		w.data = binary.BigEndian.AppendUint64(w.data, math.Float64bits(v))
	}
}

// writeSize writes the length of a string or the number of elements of a container.
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

// UUID writes a UUID.
func (w *Writer) UUID(v [16]byte) { w.data = append(w.data, v[:]...) }

// ListHeader begins a list or set of n elements.
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

// MapHeader begins a map of n pairs.
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
