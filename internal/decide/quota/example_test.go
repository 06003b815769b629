package quota_test

import (
	"fmt"

	"hazelwheel/internal/decide/quota"
)

// Two groups share 20 requests in 10 seconds. One asks for more than its share and borrows what the other leaves unused.
func ExampleLimiter() {
	tree, err := quota.NewTree([]quota.Limit{{Measure: quota.Requests, WindowSeconds: 10, Quota: 20}},
		[]quota.Group{{Name: "north", Share: 50, Weight: 1}, {Name: "south", Share: 50, Weight: 1}})
	if err != nil {
		fmt.Println(err)
		return
	}
	limiter := quota.New(tree, quota.Settings{}, 0)
	north, _ := tree.Find("north")
	admitted := 0
	for range 15 {
		if limiter.Admit(0, limiter.NewRequest(north, 0, false)).Allowed {
			admitted++
		}
	}
	fmt.Println(admitted, "at once")
	for second := range 10 {
		for range 5 {
			if limiter.Admit(float64(second+1), limiter.NewRequest(north, 0, false)).Allowed {
				admitted++
			}
		}
	}
	fmt.Println(admitted, "after 10 seconds")
	// Output:
	// 10 at once
	// 30 after 10 seconds
}
