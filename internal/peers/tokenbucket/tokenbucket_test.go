package tokenbucket

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBucketRefillsUpToItsBurst(t *testing.T) {
	b := New(4, 100)
	assert.True(t, b.TryTake(100, 4, 2, 10))
	assert.False(t, b.TryTake(100.4, 1, 2, 10), "0.8 tokens")
	assert.True(t, b.TryTake(100.5, 1, 2, 10))
	assert.Equal(t, 10.0, b.Refill(200, 2, 10))
	b.Take(12)
	assert.Equal(t, 0.0, b.Refill(201, 2, 10), "a negative count is refilled first")
	var full Bucket
	assert.Equal(t, 10.0, full.Refill(1.7e9, 2, 10))
}
