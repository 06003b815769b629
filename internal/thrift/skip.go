package thrift

import "math/bits"

// Skip passes over a value of a type.
func (r *Reader) Skip(t Type) error { return r.skip(t, MaxDepth) }

// skip passes over a value within which others lie so deep at most.
func (r *Reader) skip(t Type, depth int) error {
	if depth <= 0 {
		return ErrTooDeep
	}
	var err error
	switch t {
	case Bool:
		_, err = r.Bool()
	case Byte:
		_, err = r.Byte()
	case I16, I32, I64:
		if r.encoding == Compact {
			_, err = r.readVarint()
			return err
		}
		_, err = r.readBytes(t.minSize(r.encoding))
	case Double, UUID:
		_, err = r.readBytes(t.minSize(r.encoding))
	case String:
		_, err = r.Bytes()
	case Struct:
		var id int16
		for {
			t, err := r.FieldHeader(&id)
			if err != nil || t == Stop {
				return err
			}
			if err := r.skip(t, depth-1); err != nil {
				return err
			}
		}
	case Map:
		key, value, n, err := r.MapHeader()
		if err != nil {
			return err
		}
		for range n {
			if err := r.skip(key, depth-1); err != nil {
				return err
			}
			if err := r.skip(value, depth-1); err != nil {
				return err
			}
		}
	case List, Set:
		t, n, err := r.ListHeader()
		if err != nil {
			return err
		}
		for range n {
			if err := r.skip(t, depth-1); err != nil {
				return err
			}
		}
	default:
		return ErrUnknownType
	}
	return err
}

// Path is where a field lies: the ids of the structs' fields that lead to it, the outermost first. An empty path is none.
type Path []int16

// Value is a field that was found. Bytes lie where the message does.
type Value struct {
	Type   Type // Stop: there is none
	Bytes  []byte
	Int    int64
	Double float64
}

// MostPaths can be asked for at a time.
const MaxPaths = 8

// Find reads a message to its end, as Check does, and notes the values at the paths on the way, each in the place of its
// path; what is on none is passed over. A field that is asked for and comes twice is an error: which one counts is a guess.
func (m *Message) Find(paths []Path, found *[MaxPaths]Value) error {
	var candidates uint8
	for i, p := range paths {
		found[i] = Value{}
		if len(p) > 0 {
			candidates |= 1 << i
		}
	}
	r := m.Body()
	if err := r.findFields(paths, candidates, 0, found); err != nil {
		return err
	}
	if r.Remaining() > 0 {
		return ErrTrailingBytes
	}
	return nil
}

// find reads a struct on the way to the paths whose bits are set; so many fields of each have led here.
func (r *Reader) findFields(paths []Path, candidates uint8, depth int, found *[MaxPaths]Value) error {
	var id int16
	for {
		t, err := r.FieldHeader(&id)
		if err != nil || t == Stop {
			return err
		}
		var matched, deeper uint8
		for left := candidates; left != 0; left &= left - 1 {
			i := bits.TrailingZeros8(left)
			switch p := paths[i]; {
			case p[depth] != id:
			case len(p) == depth+1:
				matched |= 1 << i
			default:
				deeper |= 1 << i
			}
		}
		switch {
		case matched != 0:
			err = r.recordValue(t, matched, MaxDepth-depth-1, found)
		case deeper != 0 && t == Struct:
			err = r.findFields(paths, deeper, depth+1, found)
		default:
			err = r.skip(t, MaxDepth-depth-1)
		}
		if err != nil {
			return err
		}
	}
}

// note reads a value and notes it for the paths whose bits are set.
func (r *Reader) recordValue(t Type, matched uint8, depth int, found *[MaxPaths]Value) (err error) {
	v := Value{Type: t}
	switch t {
	case Bool:
		var is bool
		if is, err = r.Bool(); is {
			v.Int = 1
		}
	case Byte:
		var n int8
		n, err = r.Byte()
		v.Int = int64(n)
	case I16:
		var n int16
		n, err = r.I16()
		v.Int = int64(n)
	case I32:
		var n int32
		n, err = r.I32()
		v.Int = int64(n)
	case I64:
		v.Int, err = r.I64()
	case Double:
		v.Double, err = r.Double()
	case String:
		v.Bytes, err = r.Bytes()
	case UUID:
		v.Bytes, err = r.UUID()
	default: // no value that anybody can use
		err = r.skip(t, depth)
	}
	for ; matched != 0 && err == nil; matched &= matched - 1 {
		i := bits.TrailingZeros8(matched)
		if found[i].Type != Stop {
			return ErrDuplicateField
		}
		found[i] = v
	}
	return err
}
