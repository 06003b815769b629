// Package buffer holds what connections have received until a parser reads it.
package buffer

// Buffer holds what a connection has received and nobody has read yet. It grows as it needs and is
// compacted in place: bytes that were read make room before more memory is taken.
type Buffer struct {
	data []byte
	from int // what lies before it has been read
}

// Write appends p. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	if b.from > 0 && len(b.data)+len(p) > cap(b.data) {
		n := copy(b.data, b.data[b.from:])
		b.data, b.from = b.data[:n], 0
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

// Bytes returns what is unread. It is valid until the next Write.
func (b *Buffer) Bytes() []byte { return b.data[b.from:] }

// Len returns how many bytes are unread.
func (b *Buffer) Len() int { return len(b.data) - b.from }

// restingRoom is the memory that an empty buffer may keep.
const restingRoom = 4 << 10

// Rest gives back the memory of an empty buffer that has grown. Danger: hundreds of links that rest would each hold
// what their largest message took.
func (b *Buffer) Rest() {
	if b.Len() == 0 && cap(b.data) > restingRoom {
		b.data, b.from = nil, 0
	}
}

// Discard marks n bytes as read.
func (b *Buffer) Discard(n int) {
	if b.from += n; b.from >= len(b.data) {
		b.data, b.from = b.data[:0], 0
	}
}
