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

var mutations = flag.Int("mutations", 40_000, "how many mutated messages both readers are given")

// sink takes what a reader finds, so that two readers can be compared.
type sink struct{ strings.Builder }

func (s *sink) say(v ...any) { fmt.Fprint(s, append(v, ' ')...) }

// ours reads a value with this package.
func ours(r *Reader, t Type, depth int, out *sink) error {
	if depth <= 0 {
		return ErrDepth
	}
	note := func(v any, err error) error {
		out.say(t, v)
		return err
	}
	switch t {
	case Bool:
		return note(r.Bool())
	case Byte:
		return note(r.Byte())
	case I16:
		return note(r.I16())
	case I32:
		return note(r.I32())
	case I64:
		return note(r.I64())
	case Double:
		return note(r.Double())
	case String:
		b, err := r.Bytes()
		return note(string(b), err)
	case UUID:
		b, err := r.UUID()
		return note(hex.EncodeToString(b), err)
	case Struct:
		for id := int16(0); ; {
			t, err := r.Field(&id)
			if err != nil || t == Stop {
				return err
			}
			out.say("field", id)
			if err := ours(r, t, depth-1, out); err != nil {
				return err
			}
		}
	case Map:
		k, v, n, err := r.MapHead()
		out.say("map", n)
		for range n {
			if err = errors.Join(ours(r, k, depth-1, out), ours(r, v, depth-1, out)); err != nil {
				return err
			}
		}
		return err
	case List, Set:
		e, n, err := r.ListHead()
		out.say("list", n)
		for range n {
			if err = ours(r, e, depth-1, out); err != nil {
				return err
			}
		}
		return err
	}
	return ErrType
}

// theirs reads a value with the Apache library, in the order of its own Skip.
func theirs(p apache.TProtocol, t apache.TType, depth int, out *sink) error {
	ctx := context.Background()
	if depth <= 0 {
		return errors.New("depth")
	}
	note := func(v any, err error) error {
		out.say(Type(t), v)
		return err
	}
	switch t {
	case apache.BOOL:
		return note(p.ReadBool(ctx))
	case apache.BYTE:
		return note(p.ReadByte(ctx))
	case apache.I16:
		return note(p.ReadI16(ctx))
	case apache.I32:
		return note(p.ReadI32(ctx))
	case apache.I64:
		return note(p.ReadI64(ctx))
	case apache.DOUBLE:
		return note(p.ReadDouble(ctx))
	case apache.STRING:
		return note(p.ReadString(ctx))
	case apache.UUID:
		v, err := p.ReadUUID(ctx)
		return note(hex.EncodeToString(v[:]), err)
	case apache.STRUCT:
		if _, err := p.ReadStructBegin(ctx); err != nil {
			return err
		}
		for {
			_, t, id, err := p.ReadFieldBegin(ctx)
			if err != nil {
				return err
			}
			if t == apache.STOP {
				return p.ReadStructEnd(ctx)
			}
			out.say("field", id)
			if err := theirs(p, t, depth-1, out); err != nil {
				return err
			}
		}
	case apache.MAP:
		k, v, n, err := p.ReadMapBegin(ctx)
		out.say("map", n)
		for i := 0; err == nil && i < n; i++ {
			if err = theirs(p, k, depth-1, out); err == nil {
				err = theirs(p, v, depth-1, out)
			}
		}
		return err
	case apache.SET, apache.LIST:
		read := p.ReadListBegin
		if t == apache.SET {
			read = p.ReadSetBegin
		}
		e, n, err := read(ctx)
		out.say("list", n)
		for i := 0; err == nil && i < n; i++ {
			err = theirs(p, e, depth-1, out)
		}
		return err
	}
	return errors.New("type")
}

// apacheProtocol returns the library's protocol for a payload, which it is told as a client or server is.
func apacheProtocol(payload []byte) (apache.TProtocol, *apache.TMemoryBuffer) {
	mem := apache.NewTMemoryBuffer()
	mem.Write(payload)
	if len(payload) > 0 && payload[0] == compactID {
		return apache.NewTCompactProtocolConf(mem, nil), mem
	}
	return apache.NewTBinaryProtocolConf(mem, nil), mem
}

// both reads a payload with both readers and returns what each has found, "" where it does not take it for a message.
func both(payload []byte) (own, other string) {
	own, other = "", ""
	if m, err := Read(payload); err == nil {
		out := &sink{}
		out.say(string(m.Name), m.Kind, m.Seq)
		r := m.Body()
		if err := ours(&r, Struct, MostDepth, out); err == nil && r.Left() == 0 {
			own = out.String()
		}
	}
	p, mem := apacheProtocol(payload)
	name, kind, seq, err := p.ReadMessageBegin(context.Background())
	if err != nil || kind < 1 || kind > 4 { // the library leaves the kind to whoever asked
		return own, other
	}
	out := &sink{}
	out.say(name, Kind(kind), seq)
	if err := theirs(p, apache.STRUCT, apache.DEFAULT_RECURSION_DEPTH, out); err == nil && mem.Len() == 0 {
		other = out.String()
	}
	return own, other
}

// corpus returns the kept messages: name, whether it is one, payload.
func corpus(t testing.TB) (names []string, sound []bool, payloads [][]byte) {
	raw, err := os.ReadFile("testdata/messages.txt")
	require.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) != 3 {
			continue
		}
		b, err := hex.DecodeString(f[2])
		require.NoError(t, err, f[0])
		names, sound, payloads = append(names, f[0]), append(sound, f[1] == "sound"), append(payloads, b)
	}
	return names, sound, payloads
}

// The kept messages are read as the Apache library reads them; the sound ones pass unchanged but for the sequence number,
// and are read from a frame that comes byte by byte.
func TestCorpus(t *testing.T) {
	names, sound, payloads := corpus(t)
	assert.GreaterOrEqual(t, len(names), 50)
	for i, p := range payloads {
		own, other := both(p)
		assert.Equal(t, other, own, names[i])
		assert.Equal(t, sound[i], own != "", names[i])
		m, err := Read(p)
		assert.Equal(t, sound[i], err == nil && m.Check() == nil, "%s: %v", names[i], err)
		if !sound[i] {
			continue
		}
		for _, seq := range []int32{0, 1, 300, -1, 1<<31 - 1} {
			framed := m.AppendAs([]byte("x"), seq)[1:]
			for cut := range len(framed) {
				_, size, err := Frame(framed[:cut], 1<<16)
				assert.True(t, size == 0 && err == nil, "%s cut at %d", names[i], cut)
			}
			payload, size, err := Frame(append(framed, framed...), 1<<16)
			require.NoError(t, err)
			assert.Equal(t, len(framed), size)
			again, err := Read(payload)
			require.NoError(t, err)
			assert.Equal(t, seq, again.Seq)
			assert.Equal(t, m.Name, again.Name)
			assert.Equal(t, m.Raw[m.body:], again.Raw[again.body:])
		}
	}
}

// What one of the two readers takes for a message the other does, with the same values, over messages that are cut, spoilt,
// spliced and grown.
func TestReadsWhatApacheReads(t *testing.T) {
	_, _, payloads := corpus(t)
	rng := rand.New(rand.NewPCG(1, 2))
	taken := 0
	for n := range *mutations {
		b := slices.Clone(payloads[rng.IntN(len(payloads))])
		mutate(rng, &b, payloads)
		own, other := both(b)
		if own != other {
			t.Fatalf("mutation %d: %x\nours:   %q\napache: %q", n, b, own, other)
		}
		if own != "" {
			taken++
		}
	}
	assert.Greater(t, taken, *mutations/50, "mutations that both take for messages")
	t.Logf("%d mutated messages, %d taken by both", *mutations, taken)
}

func mutate(rng *rand.Rand, b *[]byte, others [][]byte) {
	for range 1 + rng.IntN(3) {
		at := 0
		if len(*b) > 0 {
			at = rng.IntN(len(*b))
		}
		switch k := rng.IntN(8); {
		case len(*b) == 0:
			*b = append(*b, byte(rng.Uint32()))
		case k == 0:
			(*b)[at] ^= 1 << rng.IntN(8)
		case k == 1:
			(*b)[at] = byte(rng.Uint32())
		case k == 2:
			*b = slices.Delete(*b, at, at+1)
		case k == 3:
			*b = slices.Insert(*b, at, byte(rng.Uint32()))
		case k == 4:
			*b = (*b)[:at]
		case k == 5:
			other := others[rng.IntN(len(others))]
			*b = append((*b)[:at], other[rng.IntN(len(other)+1):]...)
		case k == 6:
			(*b)[at] = []byte{0, 1, 0x7f, 0x80, 0xff, 15, 0x1b, 0xf8}[rng.IntN(8)]
		default:
			end := at + rng.IntN(len(*b)-at+1)
			*b = slices.Insert(*b, at, (*b)[at:end]...)
		}
	}
}

// FuzzReader: whatever comes, both readers agree, and Find finds no message where Check finds none.
func FuzzReader(f *testing.F) {
	_, _, payloads := corpus(f)
	for _, p := range payloads {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if own, other := both(b); own != other {
			t.Fatalf("ours: %q\napache: %q", own, other)
		}
	})
}

// FuzzSkipper: Find passes over what Check does, and finds what a full reading finds.
func FuzzSkipper(f *testing.F) {
	_, _, payloads := corpus(f)
	for _, p := range payloads {
		f.Add(p, int16(1), int16(2))
	}
	f.Fuzz(func(t *testing.T, b []byte, one, two int16) {
		m, err := Read(b)
		if err != nil {
			return
		}
		var found [MostPaths]Value
		err = m.Find([]Path{{one}, {one, two}, {two}, {two, one, one}}, &found)
		checked := m.Check()
		if err == nil && checked != nil || err != nil && err != ErrTwice && checked == nil {
			t.Fatalf("found %v, checked %v", err, checked)
		}
		if checked != nil {
			return
		}
		again, err := Read(m.AppendAs(nil, m.Seq^0x55)[4:])
		if err != nil || again.Check() != nil || string(again.Name) != string(m.Name) || again.Seq != m.Seq^0x55 {
			t.Fatalf("passed on as %x: %v", again.Raw, err)
		}
	})
}
