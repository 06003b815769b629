package buffer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBufferIsCompacted(t *testing.T) {
	var b Buffer
	for range 10_000 {
		b.Write(make([]byte, 100))
		b.Discard(90)
		b.Discard(b.Len() - 5)
	}
	assert.Equal(t, 5, b.Len())
	assert.Less(t, cap(b.data), 1000)
}
