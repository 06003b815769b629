package tokenlease_test

import (
	"fmt"
	"testing"

	"hazelwheel/internal/decide/tokenlease"
)

// BenchmarkRequest admits requests of several tenants in turn, with lessors that reply at once.
func BenchmarkRequest(b *testing.B) {
	for _, tenants := range []int{1, 16, 200} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			var lessors [tokenlease.Shares]*tokenlease.Lessor
			for share := range lessors {
				lessors[share] = tokenlease.NewLessor(7, deployedAllowance, 0, 0)
			}
			lessee := tokenlease.NewLessee("a/1")
			names := make([]string, tenants)
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
			}
			limitOf := func(string) tokenlease.Limit { return tokenlease.Limit{Rate: 1e9, Burst: 1e9} }
			now, calls := 100.0, 0
			step := func() {
				for {
					out := lessee.Step(now)
					for _, decision := range out.Decisions {
						lessee.Commit(now, decision.Payment)
					}
					for _, call := range out.Calls {
						calls++
						reply, err := lessors[call.Request.Share].Handle(now, &call.Request, limitOf)
						if err != nil {
							b.Fatal(err)
						}
						lessee.HandleReply(now, call, reply)
					}
					if len(out.Calls) == 0 {
						return
					}
				}
			}
			for i := 0; b.Loop(); i++ {
				now += 0.1
				lessee.Admit(now, names[i%tenants], 4000, now+1)
				step()
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls/op")
		})
	}
}
