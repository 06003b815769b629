package lease_test

import (
	"fmt"

	"hazelwheel/internal/decide/lease"
)

// A receiver of effects rejects a former holder, whose token is lower than one that it has seen.
func ExampleFence() {
	var fence lease.Fence
	fmt.Println(fence.Admit("report", 7))
	fmt.Println(fence.Admit("report", 8)) // the next holder
	fmt.Println(fence.Admit("report", 7)) // the former holder, late
	// Output:
	// true 7
	// true 8
	// false 8
}
