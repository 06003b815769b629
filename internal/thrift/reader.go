package thrift

import (
	"encoding/binary"
	"math"
)

// Reader reads values in either protocol from a complete message. It must not be used after an error.
type Reader struct {
	data        []byte
	offset      int
	encoding    Encoding
	pendingBool uint8 // value of a bool field that its compact header contains; 0: none, 1: true, 2: false
}

// Remaining returns how many bytes have not been read.
func (r *Reader) Remaining() int { return len(r.data) - r.offset }

// readBytes reads n bytes.
func (r *Reader) readBytes(n int) ([]byte, error) {
	if n > len(r.data)-r.offset {
		return nil, ErrTruncated
	}
	r.offset += n
	return r.data[r.offset-n : r.offset], nil
}

// maxVarintBytes limits the length of a varint.
const maxVarintBytes = 10

// readVarint reads an unsigned number of the compact protocol. Danger: without the limit, a number that never ends would be read to the
// end of the frame again and again.
func (r *Reader) readVarint() (uint64, error) {
	var v uint64
	for i := range maxVarintBytes {
		if r.offset >= len(r.data) {
			return 0, ErrTruncated
		}
		c := r.data[r.offset]
		r.offset++
		v |= uint64(c&0x7f) << (7 * i)
		if c < 0x80 {
			return v, nil
		}
	}
	return 0, ErrVarintSize
}

// readZigzag reads a signed number of the compact protocol.
func (r *Reader) readZigzag() (int64, error) {
	v, err := r.readVarint()
	return int64(v>>1) ^ -int64(v&1), err
}

// Bool reads a bool. The value of a field in the compact protocol is in the field's header.
func (r *Reader) Bool() (bool, error) {
	if r.pendingBool != 0 {
		v := r.pendingBool == 1
		r.pendingBool = 0
		return v, nil
	}
	v, err := r.Byte()
	return v == 1, err
}

// Byte reads a byte, which is signed in Thrift.
func (r *Reader) Byte() (int8, error) {
	if r.offset >= len(r.data) {
		return 0, ErrTruncated
	}
	r.offset++
	return int8(r.data[r.offset-1]), nil
}

// I16 reads a 16-bit integer.
func (r *Reader) I16() (int16, error) {
	if r.encoding == Compact {
		v, err := r.I32()
		return int16(v), err
	}
	b, err := r.readBytes(2)
	if err != nil {
		return 0, err
	}
	return int16(binary.BigEndian.Uint16(b)), nil
}

// I32 reads a 32-bit integer. A compact number that is too large is truncated to 32 bits, as by the Apache libraries.
func (r *Reader) I32() (int32, error) {
	if r.encoding == Compact {
		v, err := r.readVarint()
		u := uint32(v)
		return int32(u>>1) ^ -int32(u&1), err
	}
	b, err := r.readBytes(4)
	if err != nil {
		return 0, err
	}
	return int32(binary.BigEndian.Uint32(b)), nil
}

// I64 reads a 64-bit integer.
func (r *Reader) I64() (int64, error) {
	if r.encoding == Compact {
		return r.readZigzag()
	}
	b, err := r.readBytes(8)
	if err != nil {
		return 0, err
	}
	return int64(binary.BigEndian.Uint64(b)), nil
}

// Double reads a floating-point number. The protocols differ in byte order.
func (r *Reader) Double() (float64, error) {
	b, err := r.readBytes(8)
	if err != nil {
		return 0, err
	}
	if r.encoding == Compact {
		return math.Float64frombits(binary.LittleEndian.Uint64(b)), nil
	}
	return math.Float64frombits(binary.BigEndian.Uint64(b)), nil
}

// Bytes reads a string or binary. The result refers to the message's bytes.
func (r *Reader) Bytes() ([]byte, error) {
	n, err := r.readSize()
	if err != nil {
		return nil, err
	}
	return r.readBytes(n)
}

// UUID reads a UUID of 16 bytes. The result refers to the message's bytes.
func (r *Reader) UUID() ([]byte, error) { return r.readBytes(16) }

// readSize reads the length of a string or the number of elements of a container.
func (r *Reader) readSize() (int, error) {
	var n int32
	if r.encoding == Compact {
		v, err := r.readVarint()
		if err != nil {
			return 0, err
		}
		n = int32(v)
	} else {
		b, err := r.readBytes(4)
		if err != nil {
			return 0, err
		}
		n = int32(binary.BigEndian.Uint32(b))
	}
	if n < 0 {
		return 0, ErrNegativeSize
	}
	return int(n), nil
}

// FieldHeader reads a field's header and returns its type; Stop is the end of the struct. last is the id of the struct's
// previous field, 0 before the first one, and is set to the id of this field.
func (r *Reader) FieldHeader(last *int16) (Type, error) {
	if r.offset >= len(r.data) {
		return 0, ErrTruncated
	}
	c := r.data[r.offset]
	r.offset++
	if r.encoding != Compact {
		if c == byte(Stop) {
			return Stop, nil
		}
		id, err := r.I16()
		*last = id
		return Type(c), err
	}
	t := compactTypes[c&0xf]
	switch {
	case t == Stop:
		return Stop, nil
	case c>>4 != 0:
		*last += int16(c >> 4)
	default:
		id, err := r.I16()
		if *last = id; err != nil {
			return 0, err
		}
	}
	if t == invalidType {
		return 0, ErrUnknownType
	}
	if t == Bool {
		r.pendingBool = c & 0xf
	}
	return t, nil
}

// ListHeader reads the header of a list or set: the type and number of its elements.
func (r *Reader) ListHeader() (t Type, n int, err error) {
	if r.offset >= len(r.data) {
		return 0, 0, ErrTruncated
	}
	c := r.data[r.offset]
	r.offset++
	if r.encoding != Compact {
		t = Type(c)
		n, err = r.readSize()
	} else {
		if t = compactTypes[c&0xf]; t == invalidType {
			return 0, 0, ErrUnknownType
		}
		if n = int(c >> 4); n == 15 {
			n, err = r.readSize()
		}
	}
	if err != nil || n == 0 {
		return t, n, err
	}
	return t, n, r.checkElementCount(n, t.minSize(r.encoding))
}

// MapHeader reads the header of a map: the types of its keys and values and the number of pairs.
func (r *Reader) MapHeader() (key, value Type, n int, err error) {
	if r.encoding != Compact {
		types, err := r.readBytes(2)
		if err != nil {
			return 0, 0, 0, err
		}
		key, value = Type(types[0]), Type(types[1])
		n, err = r.readSize()
		if err != nil || n == 0 {
			return key, value, n, err
		}
	} else {
		if n, err = r.readSize(); err != nil || n == 0 {
			return 0, 0, n, err
		}
		types, err := r.readBytes(1)
		if err != nil {
			return 0, 0, 0, err
		}
		key, value = compactTypes[types[0]>>4], compactTypes[types[0]&0xf]
	}
	if key.minSize(r.encoding) == 0 || value.minSize(r.encoding) == 0 {
		return 0, 0, 0, ErrUnknownType
	}
	return key, value, n, r.checkElementCount(n, key.minSize(r.encoding)+value.minSize(r.encoding))
}

// checkElementCount returns an error if n elements of at least minElementSize bytes don't fit into the rest of the message.
// Danger: otherwise a few bytes that claim a huge number of elements could exhaust memory or time.
func (r *Reader) checkElementCount(n, minElementSize int) error {
	if minElementSize == 0 {
		return ErrUnknownType
	}
	if n > r.Remaining()/minElementSize {
		return ErrTruncated
	}
	return nil
}
