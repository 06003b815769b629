package thrift

import (
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	apache "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var mutations = flag.Int("mutations", 40_000, "how many mutated messages are given to both implementations")

// copyValue reads a value of type t and writes it to w.
func copyValue(r *Reader, w *Writer, t Type, depth int) error {
	if depth <= 0 {
		return ErrTooDeep
	}
	n := 0
	elements := func(t ...Type) (err error) {
		for i := 0; err == nil && i < n*len(t); i++ {
			err = copyValue(r, w, t[i%len(t)], depth-1)
		}
		return err
	}
	switch t {
	case Bool:
		v, err := r.Bool()
		w.Bool(v)
		return err
	case Byte:
		v, err := r.Byte()
		w.Byte(v)
		return err
	case I16:
		v, err := r.I16()
		w.I16(v)
		return err
	case I32:
		v, err := r.I32()
		w.I32(v)
		return err
	case I64:
		v, err := r.I64()
		w.I64(v)
		return err
	case Double:
		v, err := r.Double()
		w.Double(v)
		return err
	case String:
		v, err := r.Bytes()
		w.Bytes(v)
		return err
	case UUID:
		v, err := r.UUID()
		if err == nil {
			w.UUID([16]byte(v))
		}
		return err
	case Struct:
		w.BeginStruct()
		for id := int16(0); ; {
			t, err := r.FieldHeader(&id)
			if err != nil || t == Stop {
				w.EndStruct()
				return err
			}
			w.FieldHeader(t, id)
			if err := copyValue(r, w, t, depth-1); err != nil {
				return err
			}
		}
	case Map:
		k, v, size, err := r.MapHeader()
		if n = size; err != nil {
			return err
		}
		w.MapHeader(k, v, n)
		return elements(k, v)
	case List, Set:
		e, size, err := r.ListHeader()
		if n = size; err != nil {
			return err
		}
		w.ListHeader(e, n)
		return elements(e)
	}
	return ErrUnknownType
}

// decodeWithBoth decodes a payload with this package and with the Apache library, and returns what each of them encodes of the result;
// "" if it rejects the message.
func decodeWithBoth(payload []byte, to Encoding) (ownResult, apacheResult string) {
	if m, err := ParseMessage(payload); err == nil {
		r, w := m.Body(), Writer{encoding: to}
		if err := copyValue(&r, &w, Struct, MaxDepth); err == nil && r.Remaining() == 0 {
			ownResult = fmt.Sprintf("%s %d %d %x", m.Name, m.Kind, m.Seq, w.data)
		}
	}
	ctx := context.Background()
	protocol := func(mem *apache.TMemoryBuffer, compact bool) apache.TProtocol {
		if compact {
			return apache.NewTCompactProtocolConf(mem, nil)
		}
		return apache.NewTBinaryProtocolConf(mem, nil)
	}
	in, out := apache.NewTMemoryBuffer(), apache.NewTMemoryBuffer()
	in.Write(payload)
	p := protocol(in, len(payload) > 0 && payload[0] == compactProtocolID)
	name, kind, seq, err := p.ReadMessageBegin(ctx)
	if err != nil || kind < 1 || kind > 4 { // the library does not check the kind
		return ownResult, apacheResult
	}
	copied := &apache.TDuplicateToProtocol{Delegate: p, DuplicateTo: protocol(out, to == Compact)}
	if apache.Skip(ctx, copied, apache.STRUCT, apache.DEFAULT_RECURSION_DEPTH) == nil && in.Len() == 0 {
		apacheResult = fmt.Sprintf("%s %d %d %x", name, kind, seq, out.Bytes())
	}
	return ownResult, apacheResult
}

// loadCorpus returns the messages of testdata. Each line has a name, whether the Apache library accepts the message, and the payload.
func loadCorpus(t testing.TB) (names []string, isValid []bool, payloads [][]byte) {
	raw, err := os.ReadFile("testdata/messages.txt")
	require.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		require.Len(t, f, 3)
		b, err := hex.DecodeString(f[2])
		require.NoError(t, err, f[0])
		names, isValid, payloads = append(names, f[0]), append(isValid, f[1] == "sound"), append(payloads, b)
	}
	return names, isValid, payloads
}

// Messages of the corpus are decoded and encoded as by the Apache library. Valid ones are forwarded unchanged except for the sequence
// number, and are found in a frame that arrives byte by byte.
func TestCorpusIsReadAsByApache(t *testing.T) {
	names, isValid, payloads := loadCorpus(t)
	assert.GreaterOrEqual(t, len(names), 50)
	for i, p := range payloads {
		for _, to := range []Encoding{Binary, Compact} {
			own, other := decodeWithBoth(p, to)
			assert.Equal(t, other, own, names[i])
			assert.Equal(t, isValid[i], own != "", names[i])
		}
		m, err := ParseMessage(p)
		assert.Equal(t, isValid[i], err == nil && m.Validate() == nil, "%s: %v", names[i], err)
		if !isValid[i] {
			continue
		}
		for _, seq := range []int32{0, 1, 300, -1, 1<<31 - 1} {
			framed := m.AppendWithSeq([]byte("x"), seq)[1:]
			for cut := range len(framed) {
				_, size, err := CutFrame(framed[:cut], 1<<16)
				assert.True(t, size == 0 && err == nil, "%s cut at %d", names[i], cut)
			}
			payload, size, err := CutFrame(append(framed, framed...), 1<<16)
			require.NoError(t, err)
			assert.Equal(t, len(framed), size)
			forwarded, err := ParseMessage(payload)
			require.NoError(t, err)
			assert.Equal(t, []any{seq, m.Name, m.Raw[m.bodyOffset:]}, []any{forwarded.Seq, forwarded.Name, forwarded.Raw[forwarded.bodyOffset:]})
		}
	}
}

// Truncated, corrupted, spliced and extended messages are accepted by both implementations, with the same values, or by neither.
func TestMutatedMessagesAreReadAsByApache(t *testing.T) {
	_, _, payloads := loadCorpus(t)
	rng := rand.New(rand.NewPCG(1, 2))
	accepted := 0
	for n := range *mutations {
		b := slices.Clone(payloads[rng.IntN(len(payloads))])
		for range 1 + rng.IntN(3) {
			b = mutate(rng, b, payloads)
		}
		own, other := decodeWithBoth(b, []Encoding{Binary, Compact}[n%2])
		if own != other {
			t.Fatalf("mutation %d: %x\nours:   %q\napache: %q", n, b, own, other)
		}
		if own != "" {
			accepted++
		}
	}
	assert.Greater(t, accepted, *mutations/50, "mutated messages that both accept")
	t.Logf("%d mutated messages, %d accepted by both", *mutations, accepted)
}

func mutate(rng *rand.Rand, b []byte, others [][]byte) []byte {
	if len(b) == 0 {
		return []byte{byte(rng.Uint32())}
	}
	switch at := rng.IntN(len(b)); rng.IntN(8) {
	case 0:
		b[at] ^= 1 << rng.IntN(8)
	case 1:
		b[at] = byte(rng.Uint32())
	case 2:
		b = slices.Delete(b, at, at+1)
	case 3:
		b = slices.Insert(b, at, byte(rng.Uint32()))
	case 4:
		b = b[:at]
	case 5:
		other := others[rng.IntN(len(others))]
		b = append(b[:at], other[rng.IntN(len(other)+1):]...)
	case 6:
		b[at] = []byte{0, 1, 0x7f, 0x80, 0xff, 15, 0x1b, 0xf8}[rng.IntN(8)]
	default:
		b = slices.Insert(b, at, b[at:at+rng.IntN(len(b)-at+1)]...)
	}
	return b
}

// FuzzReader checks that both implementations agree on any bytes.
func FuzzReader(f *testing.F) {
	_, _, payloads := loadCorpus(f)
	for _, p := range payloads {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if own, other := decodeWithBoth(b, Compact); own != other {
			t.Fatalf("ours: %q\napache: %q", own, other)
		}
	})
}

// FuzzSkipper checks that Find and Validate accept the same messages, but for duplicate fields, and that forwarded messages stay valid.
func FuzzSkipper(f *testing.F) {
	_, _, payloads := loadCorpus(f)
	for _, p := range payloads {
		f.Add(p, int16(1), int16(2))
	}
	f.Fuzz(func(t *testing.T, b []byte, one, two int16) {
		m, err := ParseMessage(b)
		if err != nil {
			return
		}
		var found [MaxPaths]Value
		err = m.Find([]Path{{one}, {one, two}, {two}, {two, one, one}}, &found)
		if validateErr := m.Validate(); err == nil && validateErr != nil || err != nil && !errors.Is(err, ErrDuplicateField) && validateErr == nil {
			t.Fatalf("found %v, checked %v", err, validateErr)
		} else if validateErr != nil {
			return
		}
		forwarded, err := ParseMessage(m.AppendWithSeq(nil, m.Seq^0x55)[4:])
		if err != nil || forwarded.Validate() != nil || string(forwarded.Name) != string(m.Name) || forwarded.Seq != m.Seq^0x55 {
			t.Fatalf("forwarded as %x: %v", forwarded.Raw, err)
		}
	})
}
