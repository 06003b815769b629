package thrift

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// encodeCall returns a framed call with an ID, a time-out in a nested struct, and other fields.
func encodeCall(enc Encoding) []byte {
	var w Writer
	w.BeginMessage(nil, enc, Call, "Readings:latestReading", 41)
	w.FieldHeader(Double, 4)
	w.Double(3.25)
	w.FieldHeader(String, 8)
	w.String("amman")
	w.FieldHeader(UUID, 9)
	w.UUID([16]byte{15: 9})
	w.FieldHeader(Struct, 20)
	w.BeginStruct()
	w.FieldHeader(Map, 1)
	w.MapHeader(String, I32, 1)
	w.String("x")
	w.I32(3)
	w.FieldHeader(I32, 2)
	w.I32(480)
	w.EndStruct()
	w.FieldHeader(String, 31)
	w.String("id-1")
	return w.EndMessage()
}

func TestCutFrame(t *testing.T) {
	for text, want := range map[string]error{
		"\x00\x00\x00\x00":         ErrFrameSize,
		"\xff\xff\xff\xff":         ErrFrameSize, // negative
		"\x00\x01\x00\x01":         ErrFrameSize, // above the limit
		"GET":                      ErrFrameSize,
		"\x00\x00\x00\x09{":        ErrProtocol,
		"\x00\x00\x00\x09\x80":     nil,
		"\x00\x00\x00\x09\x82\x21": nil,
		"\x00\x00\x00\x09\x00":     nil,
		"\x00\x01\x00\x00\x80":     nil,
		"":                         nil,
		"\x00\x00":                 nil,
	} {
		payload, size, err := CutFrame([]byte(text), 1<<16)
		assert.Equal(t, want, err, "%q", text)
		assert.True(t, payload == nil && size == 0)
	}
}

// Fields are found by their paths in all protocols. A path through a field that is not a struct finds nothing, and a field that occurs
// twice is an error.
func TestFindByPath(t *testing.T) {
	for _, enc := range []Encoding{Binary, OldBinary, Compact} {
		payload, _, err := CutFrame(encodeCall(enc), 1<<16)
		require.NoError(t, err)
		m, err := ParseMessage(payload)
		require.NoError(t, err)
		assert.Equal(t, "Readings:latestReading", string(m.Name))
		assert.Equal(t, int32(41), m.Seq)
		var found [MaxPaths]Value
		require.NoError(t, m.Find([]Path{{31}, {20, 2}, {20, 1}, {8, 1}, nil, {4}, {99}, {9}}, &found))
		assert.Equal(t, "id-1", string(found[0].Bytes))
		assert.Equal(t, int64(480), found[1].Int)
		assert.Equal(t, Map, found[2].Type)
		assert.Equal(t, Stop, found[3].Type, "a path into a string")
		assert.Equal(t, Stop, found[4].Type)
		assert.Equal(t, 3.25, found[5].Double)
		assert.Equal(t, Stop, found[6].Type)
		assert.Equal(t, byte(9), found[7].Bytes[15])

		var w Writer
		w.BeginMessage(nil, enc, Call, "a", 1)
		for range 2 {
			w.FieldHeader(I32, 1)
			w.I32(1)
		}
		twice, err := ParseMessage(w.EndMessage()[4:])
		require.NoError(t, err)
		assert.Equal(t, ErrDuplicateField, twice.Find([]Path{{1}}, &found))
		assert.NoError(t, twice.Find([]Path{{2}}, &found))
	}
}

func TestExceptionRoundTrip(t *testing.T) {
	for _, enc := range []Encoding{Binary, OldBinary, Compact} {
		m, err := ParseMessage(AppendException(nil, enc, "m", -9, LoadShedding, "throttled")[4:])
		require.NoError(t, err)
		kind, text, err := m.DecodeException()
		require.NoError(t, err)
		assert.Equal(t, []any{Exception, int32(-9), LoadShedding, "throttled"}, []any{m.Kind, m.Seq, kind, string(text)})
	}
}

// Nesting far beyond the limit, and lists that claim more elements than the message has bytes, exhaust neither stack nor memory.
func TestHostileMessagesAreBounded(t *testing.T) {
	deep := []byte{0x82, 0x21, 1, 1, 'a'}
	for range 10_000 {
		deep = append(deep, 0x1c)
	}
	m, err := ParseMessage(deep)
	require.NoError(t, err)
	assert.Equal(t, ErrTooDeep, m.Validate())
	lists := []byte{0x82, 0x21, 1, 1, 'a', 0x19}
	for range 10_000 {
		lists = append(lists, 0x19)
	}
	m, err = ParseMessage(lists)
	require.NoError(t, err)
	assert.Equal(t, ErrTooDeep, m.Validate())
	hugeList := append([]byte{0x80, 1, 0, 1, 0, 0, 0, 1, 'a', 0, 0, 0, 1, byte(List), 0, 1, byte(I64)}, 0x7f, 0xff, 0xff, 0xff)
	m, err = ParseMessage(hugeList)
	require.NoError(t, err)
	assert.Zero(t, testing.AllocsPerRun(100, func() { err = m.Validate() }))
	assert.Equal(t, ErrTruncated, err)
}

// Parsing, searching and forwarding a message allocate nothing.
func TestReadingAllocatesNothing(t *testing.T) {
	paths := []Path{{31}, {20, 2}}
	for _, enc := range []Encoding{Binary, OldBinary, Compact} {
		framed, out := encodeCall(enc), make([]byte, 0, 1<<10)
		assert.Zero(t, testing.AllocsPerRun(100, func() {
			payload, _, _ := CutFrame(framed, 1<<16)
			m, _ := ParseMessage(payload)
			var found [MaxPaths]Value
			if m.Find(paths, &found) != nil || found[1].Int != 480 {
				t.Fail()
			}
			out = m.AppendWithSeq(out[:0], 1<<20)
		}), enc)
		assert.Equal(t, len(out)-4, int(binary.BigEndian.Uint32(out)))
	}
}

func BenchmarkFind(b *testing.B) {
	for _, enc := range []Encoding{Binary, Compact} {
		b.Run(enc.String(), func(b *testing.B) {
			framed := encodeCall(enc)
			b.SetBytes(int64(len(framed)))
			b.ReportAllocs()
			for b.Loop() {
				payload, _, _ := CutFrame(framed, 1<<16)
				m, _ := ParseMessage(payload)
				var found [MaxPaths]Value
				_ = m.Find([]Path{{31}, {20, 2}}, &found)
			}
		})
	}
}
