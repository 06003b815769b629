// Package buffer provides the input buffer of a connection.
package buffer

// Buffer contains the bytes that a connection has received and that have not been read yet. It grows as
// needed: the space of bytes that have been read is reused before more memory is allocated.
type Buffer struct {
	data  []byte
	start int // data before this offset has been read
}

// Write appends p. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	if b.start > 0 && len(b.data)+len(p) > cap(b.data) {
		n := copy(b.data, b.data[b.start:])
		b.data, b.start = b.data[:n], 0
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

// Bytes returns the unread bytes. The slice is valid until the next Write.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of unread bytes.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// maxIdleCapacity is the capacity that an empty buffer keeps after ReleaseMemory.
const maxIdleCapacity = 4 << 10

// ReleaseMemory releases the memory of an empty buffer that has grown beyond maxIdleCapacity. Otherwise hundreds of idle
// connections would each keep as much memory as their largest message needed.
func (b *Buffer) ReleaseMemory() {
	if b.Len() == 0 && cap(b.data) > maxIdleCapacity {
		b.data, b.start = nil, 0
	}
}

// Discard marks n bytes as read.
func (b *Buffer) Discard(n int) {
	if b.start += n; b.start >= len(b.data) {
		b.data, b.start = b.data[:0], 0
	}
}
