package thrift

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	apache "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the corpus anew")

// shape writes the fields of a struct.
type shape func(w *Writer)

// shapes are the structs of the corpus, each written in every encoding.
var shapes = map[string]shape{
	"empty":  func(*Writer) {},
	"scalar": scalars,
	"limits": func(w *Writer) {
		for i, v := range []int64{0, 1, -1, math.MaxInt64, math.MinInt64, math.MaxInt32, math.MinInt32, 63, 64, -64, -65} {
			w.Field(I64, int16(i+1))
			w.I64(v)
			w.Field(I32, int16(i+101))
			w.I32(int32(v))
			w.Field(I16, int16(i+201))
			w.I16(int16(v))
			w.Field(Byte, int16(i+301))
			w.Byte(int8(v))
		}
	},
	"ids": func(w *Writer) { // deltas, long form, backwards, zero and below
		for _, id := range []int16{1, 16, 17, 32, 300, 299, 0, -5, math.MaxInt16, math.MinInt16} {
			w.Field(Bool, id)
			w.Bool(id&1 == 0)
			w.Field(I16, id)
			w.I16(id)
		}
	},
	"nested": func(w *Writer) {
		w.Field(Struct, 1)
		w.Open()
		scalars(w)
		w.Field(Struct, 21)
		w.Open()
		w.Field(String, 2)
		w.String("deep")
		w.Close()
		w.Close()
		w.Field(I32, 2)
		w.I32(7)
	},
	"lists": func(w *Writer) {
		w.Field(List, 1)
		w.ListHead(Bool, 16)
		for i := range 16 {
			w.Bool(i%3 == 0)
		}
		w.Field(Set, 2)
		w.ListHead(String, 2)
		w.String("")
		w.String("b")
		w.Field(List, 3)
		w.ListHead(List, 2)
		w.ListHead(I32, 1)
		w.I32(-1)
		w.ListHead(Double, 0)
		w.Field(List, 4)
		w.ListHead(Struct, 1)
		w.Open()
		w.Field(Bool, 1)
		w.Bool(true)
		w.Close()
		w.Field(List, 5)
		w.ListHead(UUID, 1)
		w.UUID([16]byte{1, 2, 3})
	},
	"maps": func(w *Writer) {
		w.Field(Map, 1)
		w.MapHead(String, Map, 1)
		w.String("k")
		w.MapHead(I64, Bool, 2)
		w.I64(1)
		w.Bool(true)
		w.I64(-2)
		w.Bool(false)
		w.Field(Map, 2)
		w.MapHead(String, String, 0)
		w.Field(Map, 3)
		w.MapHead(Byte, Struct, 1)
		w.Byte(-3)
		w.Open()
		w.Close()
	},
	"large": func(w *Writer) {
		w.Field(String, 1)
		w.String(strings.Repeat("reading ", 100))
		w.Field(List, 2)
		w.ListHead(I16, 200)
		for i := range 200 {
			w.I16(int16(i * 77))
		}
	},
	"deepest":  func(w *Writer) { tower(w, MostDepth-1) },
	"too-deep": func(w *Writer) { tower(w, MostDepth) },
	"typeless": func(w *Writer) { // no writer of containers without elements need name their type
		w.Field(List, 1)
		w.ListHead(Stop, 0)
	},
}

func scalars(w *Writer) {
	w.Field(Bool, 1)
	w.Bool(true)
	w.Field(Bool, 2)
	w.Bool(false)
	w.Field(Byte, 3)
	w.Byte(-7)
	w.Field(Double, 4)
	w.Double(3.25)
	w.Field(I16, 5)
	w.I16(-300)
	w.Field(I32, 6)
	w.I32(1 << 20)
	w.Field(I64, 7)
	w.I64(-1 << 40)
	w.Field(String, 8)
	w.String("amman")
	w.Field(UUID, 9)
	w.UUID([16]byte{15: 9})
}

// tower writes structs within each other, n of them.
func tower(w *Writer, n int) {
	if n > 1 {
		w.Field(Struct, 1)
		w.Open()
		tower(w, n-1)
		w.Close()
		return
	}
	w.Field(Byte, 1)
	w.Byte(1)
}

// odd are payloads that no writer writes.
var odd = map[string]string{
	"nothing":                  "",
	"no-version":               "80020001 00000001 61 00000001 00",
	"kind-0":                   "80010000 00000001 61 00000001 00",
	"kind-5":                   "80010005 00000001 61 00000001 00",
	"name-too-long":            "80010001 7fffffff 61 00000001 00",
	"name-negative":            "80010001 ffffffff 61 00000001 00",
	"no-end":                   "80010001 00000001 61 00000001 08 0001 00000007",
	"behind":                   "80010001 00000001 61 00000001 00 00",
	"void":                     "80010001 00000001 61 00000001 01 0001 00",
	"type-17":                  "80010001 00000001 61 00000001 11 0001 00",
	"list-of-nothing":          "80010001 00000001 61 00000001 0f 0001 00 00000000 00",
	"list-of-too-many":         "80010001 00000001 61 00000001 0f 0001 03 7fffffff 00",
	"list-negative":            "80010001 00000001 61 00000001 0f 0001 03 ffffffff 00",
	"list-of-void":             "80010001 00000001 61 00000001 0f 0001 01 00000001 00 00",
	"map-lies":                 "80010001 00000001 61 00000001 0d 0001 0b 0b 00000002 00000000 00000000 00",
	"string-lies":              "80010001 00000001 61 00000001 0b 0001 00000009 6162 00",
	"bool-2":                   "80010001 00000001 61 00000001 02 0001 02 00",
	"compact-version-2":        "82 22 01 01 61 00",
	"compact-stop-with-delta":  "82 21 01 01 61 10",
	"compact-type-14":          "82 21 01 01 61 1e 00",
	"compact-type-15":          "82 21 01 01 61 1f 00",
	"compact-endless":          "82 21 01 01 61 16 ffffffffffffffffff ff 01 00",
	"compact-ten":              "82 21 01 01 61 16 ffffffffffffffffff 01 00",
	"compact-i32-of-ten":       "82 21 01 01 61 15 ffffffffffffffffff 01 00",
	"compact-name-negative":    "82 21 01 ffffffff0f 61 00",
	"compact-list-long-empty":  "82 21 01 01 61 19 f5 00 00",
	"compact-list-negative":    "82 21 01 01 61 19 f5 ffffffff0f 00",
	"compact-list-type-14":     "82 21 01 01 61 19 0e 00",
	"compact-map-negative":     "82 21 01 01 61 1b ffffffff0f 11 00",
	"compact-map-type-14":      "82 21 01 01 61 1b 01 e1 01 01 00",
	"compact-map-of-stops":     "82 21 01 01 61 1b 01 00 00 00 00",
	"compact-bools":            "82 21 01 01 61 11 12 29 31 01 02 00 19 22 01 02 00",
	"compact-bool-in-a-map":    "82 21 01 01 61 1b 01 11 01 02 00",
	"compact-bool-field-open":  "82 21 01 01 61 11",
	"compact-long-id-unfinish": "82 21 01 01 61 05",
}

// TestCorpusIsKept compares the kept file with what it is made of; -update writes it. Half of it is the Apache library's
// writing, so that neither side reads its own alone.
func TestCorpusIsKept(t *testing.T) {
	var lines []string
	add := func(name string, payload []byte) {
		_, verdict := both(payload) // the library's word
		word := "sound"
		if verdict == "" {
			word = "unsound"
		}
		lines = append(lines, fmt.Sprintf("%s %s %s\n", name, word, hex.EncodeToString(payload)))
	}
	for _, name := range sorted(shapes) {
		for _, enc := range []Encoding{Binary, OldBinary, Compact} {
			var w Writer
			w.Begin(nil, enc, Kind(1+len(lines)%4), "svc:"+name, int32(len(lines))*1000-7000)
			shapes[name](&w)
			own := w.End()[4:]
			add(strings.ReplaceAll(enc.String(), " ", "-")+"-"+name, own)
			if theirs, err := apacheCopy(own, enc); err == nil {
				require.Equal(t, hex.EncodeToString(theirs), hex.EncodeToString(own), "%v %s is written as the Apache library does", enc, name)
			}
		}
	}
	for _, name := range sorted(odd) {
		b, err := hex.DecodeString(strings.ReplaceAll(odd[name], " ", ""))
		require.NoError(t, err, name)
		if len(b) > 0 {
			add(name, b)
		}
	}
	text := strings.Join(lines, "")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile("testdata/messages.txt", []byte(text), 0o644))
	}
	kept, err := os.ReadFile("testdata/messages.txt")
	require.NoError(t, err)
	require.Equal(t, string(kept), text)
}

// apacheCopy reads a message with the Apache library and writes it again with that.
func apacheCopy(payload []byte, enc Encoding) ([]byte, error) {
	ctx := context.Background()
	from, _ := apacheProtocol(payload)
	mem := apache.NewTMemoryBuffer()
	strict := enc == Binary
	var to apache.TProtocol = apache.NewTBinaryProtocolConf(mem, &apache.TConfiguration{TBinaryStrictWrite: &strict})
	if enc == Compact {
		to = apache.NewTCompactProtocolConf(mem, nil)
	}
	name, kind, seq, err := from.ReadMessageBegin(ctx)
	if err != nil {
		return nil, err
	}
	if err := to.WriteMessageBegin(ctx, name, kind, seq); err != nil {
		return nil, err
	}
	if err := apacheValue(ctx, from, to, apache.STRUCT, MostDepth); err != nil {
		return nil, err
	}
	if err := to.Flush(ctx); err != nil {
		return nil, err
	}
	return mem.Bytes(), nil
}

func apacheValue(ctx context.Context, from, to apache.TProtocol, t apache.TType, depth int) error {
	if depth == 0 {
		return apache.NewTProtocolException(fmt.Errorf("depth"))
	}
	switch t {
	case apache.BOOL:
		v, err := from.ReadBool(ctx)
		return first(err, to.WriteBool(ctx, v))
	case apache.BYTE:
		v, err := from.ReadByte(ctx)
		return first(err, to.WriteByte(ctx, v))
	case apache.DOUBLE:
		v, err := from.ReadDouble(ctx)
		return first(err, to.WriteDouble(ctx, v))
	case apache.I16:
		v, err := from.ReadI16(ctx)
		return first(err, to.WriteI16(ctx, v))
	case apache.I32:
		v, err := from.ReadI32(ctx)
		return first(err, to.WriteI32(ctx, v))
	case apache.I64:
		v, err := from.ReadI64(ctx)
		return first(err, to.WriteI64(ctx, v))
	case apache.STRING:
		v, err := from.ReadString(ctx)
		return first(err, to.WriteString(ctx, v))
	case apache.UUID:
		v, err := from.ReadUUID(ctx)
		return first(err, to.WriteUUID(ctx, v))
	case apache.STRUCT:
		_, err := from.ReadStructBegin(ctx)
		err = first(err, to.WriteStructBegin(ctx, ""))
		for err == nil {
			_, t, id, e := from.ReadFieldBegin(ctx)
			if e != nil || t == apache.STOP {
				return first(e, from.ReadStructEnd(ctx), to.WriteFieldStop(ctx), to.WriteStructEnd(ctx))
			}
			err = first(to.WriteFieldBegin(ctx, "", t, id), apacheValue(ctx, from, to, t, depth-1))
		}
		return err
	case apache.MAP:
		k, v, n, err := from.ReadMapBegin(ctx)
		err = first(err, to.WriteMapBegin(ctx, k, v, n))
		for range n {
			err = first(err, apacheValue(ctx, from, to, k, depth-1), apacheValue(ctx, from, to, v, depth-1))
		}
		return err
	default:
		e, n, err := from.ReadListBegin(ctx)
		err = first(err, to.WriteListBegin(ctx, e, n))
		for range n {
			err = first(err, apacheValue(ctx, from, to, e, depth-1))
		}
		return err
	}
}

func first(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}
