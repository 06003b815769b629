package main

import (
	"context"
	"errors"
	"fmt"

	apache "github.com/apache/thrift/lib/go/thrift"
)

// everything is a struct with a field of each type, as a generator would write it.
type everything struct{ n int64 }

// value writes or checks one of its values.
type value struct {
	id    int16
	t     apache.TType
	write func(ctx context.Context, p apache.TProtocol) error
	read  func(ctx context.Context, p apache.TProtocol) (any, error)
	want  any
}

func (e *everything) values() []value {
	n := e.n
	text := fmt.Sprint("text ", n)
	id := apache.Tuuid{1, 2, 3, byte(n)}
	return []value{
		{1, apache.BOOL, func(c context.Context, p apache.TProtocol) error { return p.WriteBool(c, n%2 == 0) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadBool(c) }, n%2 == 0},
		{2, apache.BYTE, func(c context.Context, p apache.TProtocol) error { return p.WriteByte(c, int8(-n)) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadByte(c) }, int8(-n)},
		{300, apache.DOUBLE, func(c context.Context, p apache.TProtocol) error { return p.WriteDouble(c, float64(n)/3) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadDouble(c) }, float64(n) / 3},
		{4, apache.I16, func(c context.Context, p apache.TProtocol) error { return p.WriteI16(c, int16(n*-600)) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadI16(c) }, int16(n * -600)},
		{5, apache.I32, func(c context.Context, p apache.TProtocol) error { return p.WriteI32(c, int32(n<<24)) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadI32(c) }, int32(n << 24)},
		{6, apache.I64, func(c context.Context, p apache.TProtocol) error { return p.WriteI64(c, n-1<<62) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadI64(c) }, n - 1<<62},
		{7, apache.STRING, func(c context.Context, p apache.TProtocol) error { return p.WriteString(c, text) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadString(c) }, text},
		{8, apache.UUID, func(c context.Context, p apache.TProtocol) error { return p.WriteUUID(c, id) },
			func(c context.Context, p apache.TProtocol) (any, error) { return p.ReadUUID(c) }, id},
		{9, apache.MAP, func(c context.Context, p apache.TProtocol) error {
			return errors.Join(p.WriteMapBegin(c, apache.STRING, apache.LIST, 1), p.WriteString(c, text),
				p.WriteListBegin(c, apache.BOOL, 20), repeat(20, func() error { return p.WriteBool(c, true) }))
		}, skipped(apache.MAP), nil},
		{10, apache.SET, func(c context.Context, p apache.TProtocol) error {
			return errors.Join(p.WriteSetBegin(c, apache.STRUCT, 1), p.WriteFieldStop(c))
		}, skipped(apache.SET), nil},
		{-5, apache.MAP, func(c context.Context, p apache.TProtocol) error {
			return p.WriteMapBegin(c, apache.STRING, apache.I64, 0)
		},
			skipped(apache.MAP), nil},
	}
}

func skipped(t apache.TType) func(ctx context.Context, p apache.TProtocol) (any, error) {
	return func(ctx context.Context, p apache.TProtocol) (any, error) { return nil, p.Skip(ctx, t) }
}

func repeat(n int, f func() error) (err error) {
	for range n {
		err = errors.Join(err, f())
	}
	return err
}

func (e *everything) Write(ctx context.Context, p apache.TProtocol) error {
	err := p.WriteStructBegin(ctx, "everything")
	for _, v := range e.values() {
		err = errors.Join(err, p.WriteFieldBegin(ctx, "", v.t, v.id), v.write(ctx, p), p.WriteFieldEnd(ctx))
	}
	return errors.Join(err, p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
}

// Read wants the values of the number that field 6 says.
func (e *everything) Read(ctx context.Context, p apache.TProtocol) error {
	got := map[int16]any{}
	known := map[int16]value{}
	for _, v := range e.values() {
		known[v.id] = v
	}
	err := fields(ctx, p, func(id int16, t apache.TType) (bool, error) {
		v, ok := known[id]
		if !ok || v.t != t {
			return false, fmt.Errorf("field %d of type %d", id, t)
		}
		var err error
		got[id], err = v.read(ctx, p)
		return true, err
	})
	if err != nil {
		return err
	}
	e.n = got[6].(int64) + 1<<62
	for _, v := range e.values() {
		if got[v.id] != v.want {
			return fmt.Errorf("field %d is %v, not %v", v.id, got[v.id], v.want)
		}
	}
	if len(got) != len(known) {
		return fmt.Errorf("%d fields", len(got))
	}
	return nil
}

// copyStruct copies a struct from one protocol to another.
func copyStruct(ctx context.Context, from, to apache.TProtocol) error {
	var e everything
	if err := e.Read(ctx, from); err != nil {
		return err
	}
	return e.Write(ctx, to)
}
