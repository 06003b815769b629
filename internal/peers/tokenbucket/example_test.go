package tokenbucket_test

import (
	"fmt"

	"hazelwheel/internal/peers/tokenbucket"
)

// Two bytes a second may be sent, and at most ten at once.
func ExampleBucket_TryTake() {
	bucket := tokenbucket.New(10, 0)
	fmt.Println(bucket.TryTake(0, 8, 2, 10), bucket.TryTake(1, 8, 2, 10), bucket.TryTake(2, 6, 2, 10))
	// Output: true false true
}
