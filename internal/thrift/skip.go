package thrift

// Skip skips a value of a type.
func (r *Reader) Skip(t Type) error { return r.skip(t, MaxDepth) }

// skip skips a value. It returns ErrTooDeep if values are nested more than depth deep.
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
