package thrift

import (
	"encoding/binary"
	"math"
)

// Writer appends messages to bytes. It writes what it is told: whoever uses it ends what it has begun, and writes as many
// elements as a container's head names.
type Writer struct {
	b     []byte
	enc   Encoding
	start int // of the frame
	ids   [MaxDepth + 1]int16
	depth int
	field int16 // id of a compact bool field whose head waits for its value
	waits bool
}

// Begin begins a frame behind dst, with a message whose struct's fields follow.
func (w *Writer) BeginMessage(dst []byte, enc Encoding, kind Kind, name string, seq int32) {
	*w = Writer{b: append(dst, 0, 0, 0, 0), enc: enc, start: len(dst)}
	switch enc {
	case Binary:
		w.b = binary.BigEndian.AppendUint32(w.b, version1|uint32(kind))
		w.String(name)
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(seq))
	case OldBinary:
		w.String(name)
		w.b = append(w.b, byte(kind))
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(seq))
	case Compact:
		w.b = append(w.b, compactID, compactVersion|byte(kind)<<5)
		w.b = binary.AppendUvarint(w.b, uint64(uint32(seq)))
		w.String(name)
	}
}

// End ends the message's struct and its frame, and returns all bytes.
func (w *Writer) EndMessage() []byte {
	w.b = append(w.b, byte(Stop))
	binary.BigEndian.PutUint32(w.b[w.start:], uint32(len(w.b)-w.start-4))
	return w.b
}

// Open begins a struct within, Close ends it.
func (w *Writer) BeginStruct() {
	w.depth++
	w.ids[w.depth] = 0
}

// Close ends a struct.
func (w *Writer) EndStruct() {
	w.depth--
	w.b = append(w.b, byte(Stop))
}

// compactNumber returns a type's number in the compact protocol; of a bool that of true.
func compactNumber(t Type) byte {
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
	case w.enc != Compact:
		w.b = binary.BigEndian.AppendUint16(append(w.b, byte(t)), uint16(id))
	case t == Bool:
		w.field, w.waits = id, true
	default:
		w.compactField(compactNumber(t), id)
	}
}

func (w *Writer) compactField(number byte, id int16) {
	if delta := int(id) - int(w.ids[w.depth]); delta > 0 && delta <= 15 {
		w.b = append(w.b, byte(delta)<<4|number)
	} else {
		w.b = append(w.b, number)
		w.I16(id)
	}
	w.ids[w.depth] = id
}

// Bool writes a bool.
func (w *Writer) Bool(v bool) {
	number := byte(2)
	if v {
		number = 1
	}
	switch {
	case w.waits:
		w.waits = false
		w.compactField(number, w.field)
	case w.enc == Compact:
		w.b = append(w.b, number)
	default:
		w.b = append(w.b, number&1)
	}
}

// Byte writes a byte.
func (w *Writer) Byte(v int8) { w.b = append(w.b, byte(v)) }

// I16 writes a number.
func (w *Writer) I16(v int16) {
	if w.enc == Compact {
		w.I32(int32(v))
	} else {
		w.b = binary.BigEndian.AppendUint16(w.b, uint16(v))
	}
}

// I32 writes a number.
func (w *Writer) I32(v int32) {
	if w.enc == Compact {
		w.b = binary.AppendUvarint(w.b, uint64(uint32(v<<1^v>>31)))
	} else {
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(v))
	}
}

// I64 writes a number.
func (w *Writer) I64(v int64) {
	if w.enc == Compact {
		w.b = binary.AppendUvarint(w.b, uint64(v<<1^v>>63))
	} else {
		w.b = binary.BigEndian.AppendUint64(w.b, uint64(v))
	}
}

// Double writes a number.
func (w *Writer) Double(v float64) {
	if w.enc == Compact {
		w.b = binary.LittleEndian.AppendUint64(w.b, math.Float64bits(v))
	} else {
		w.b = binary.BigEndian.AppendUint64(w.b, math.Float64bits(v))
	}
}

// size writes how long or how many something is.
func (w *Writer) size(n int) {
	if w.enc == Compact {
		w.b = binary.AppendUvarint(w.b, uint64(uint32(n)))
	} else {
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(n))
	}
}

// String writes a string.
func (w *Writer) String(v string) {
	w.size(len(v))
	w.b = append(w.b, v...)
}

// Bytes writes a binary.
func (w *Writer) Bytes(v []byte) {
	w.size(len(v))
	w.b = append(w.b, v...)
}

// UUID writes 16 bytes.
func (w *Writer) UUID(v [16]byte) { w.b = append(w.b, v[:]...) }

// ListHead begins a list or set of n elements.
func (w *Writer) ListHeader(t Type, n int) {
	switch {
	case w.enc != Compact:
		w.b = append(w.b, byte(t))
		w.size(n)
	case n < 15:
		w.b = append(w.b, byte(n)<<4|compactNumber(t))
	default:
		w.b = append(w.b, 0xf0|compactNumber(t))
		w.size(n)
	}
}

// MapHead begins a map of n pairs.
func (w *Writer) MapHeader(key, value Type, n int) {
	if w.enc != Compact {
		w.b = append(w.b, byte(key), byte(value))
		w.size(n)
		return
	}
	if w.size(n); n > 0 {
		w.b = append(w.b, compactNumber(key)<<4|compactNumber(value))
	}
}

// AppendException appends a reply that is a TApplicationException.
func AppendException(dst []byte, enc Encoding, name string, seq int32, kind int32, text string) []byte {
	var w Writer
	w.BeginMessage(dst, enc, Exception, name, seq)
	w.FieldHeader(String, 1)
	w.String(text)
	w.FieldHeader(I32, 2)
	w.I32(kind)
	return w.EndMessage()
}

var exceptionPaths = []Path{{1}, {2}}

// Exception reads a TApplicationException. Its text lies where the message does.
func (m *Message) DecodeException() (kind int32, text []byte, err error) {
	var found [MaxPaths]Value
	if err = m.Find(exceptionPaths, &found); err != nil {
		return 0, nil, err
	}
	return int32(found[1].Int), found[0].Bytes, nil
}
