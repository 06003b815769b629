package thrift

import "math/bits"

// Path locates a field by the ids of the fields that lead to it, outermost first. An empty path matches no field.
type Path []int16

// Value is the value of a field found by Find. Bytes refers to the message's bytes.
type Value struct {
	Type   Type // Stop: the field is absent
	Bytes  []byte
	Int    int64 // of a Bool (0 or 1), Byte, I16, I32 or I64
	Double float64
}

// MaxPaths is the maximum number of paths in a call of Find.
const MaxPaths = 8

// Find reads the message to its end, as Validate does, and sets found[i] to the value at paths[i]. It returns ErrDuplicateField
// if one of these fields occurs twice, since implementations differ in which value they use.
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

// findFields reads a struct and records the fields at the paths whose bits are set in candidates. The first depth ids of these paths lead
// to this struct.
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

// recordValue reads a value and records it for the paths whose bits are set in matched.
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
	default: // containers and structs have no Value
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
