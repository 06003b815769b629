package quota

import (
	"fmt"
	"math"
	"runtime"
	"testing"
)

// newLargeTree returns a tree with about the given number of groups and levels, in which all inner groups have equally many children.
func newLargeTree(t testing.TB, groups, depth int) *Tree {
	fan := max(int(math.Round(math.Pow(float64(groups), 1/float64(depth)))), 1)
	var all []Group
	level := []string{""}
	for d := 1; d <= depth; d++ {
		var next []string
		for _, parent := range level {
			for range fan {
				if len(all) == groups || len(all) == MaxGroups {
					break
				}
				g := Group{Name: fmt.Sprintf("g%d", len(all)), Parent: parent, Share: 90 / float64(fan), Weight: 1}
				all = append(all, g)
				next = append(next, g.Name)
			}
		}
		level = next
	}
	for d := 1; len(all) < min(groups, MaxGroups); d++ { // the remaining groups, as a chain
		all = append(all, Group{Name: fmt.Sprintf("more%d", d), Parent: all[len(all)-1].Parent, Weight: 1})
	}
	tr, err := NewTree([]Limit{requestsPerSecond(1e5)}, all)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

func leaves(t *Tree) (leaves []int32) {
	for g := range int32(t.Len()) {
		if t.AcceptsRequests(g) {
			leaves = append(leaves, g)
		}
	}
	return leaves
}

// BenchmarkAdmit admits requests of all groups in turn at half of the quota and at one and a half times the quota, and requests of
// one in 16 groups at the full quota, which needs loans.
func BenchmarkAdmit(b *testing.B) {
	for _, groups := range []int{10, 1000, 100_000} {
		for _, depth := range []int{2, 4, 8} {
			if groups == 10 && depth == 8 {
				continue // ten groups can't have eight levels
			}
			tr := newLargeTree(b, groups, depth)
			leaves := leaves(tr)
			few := leaves[:max(len(leaves)/16, 1)]
			for _, load := range []struct {
				name       string
				perSecond  float64
				requesters []int32
			}{{"half", 5e4, leaves}, {"over", 1.5e5, leaves}, {"loans", 1e5, few}} {
				b.Run(fmt.Sprintf("groups=%d/depth=%d/%s", groups, depth, load.name), func(b *testing.B) {
					b.ReportAllocs()
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					m := New(tr, Settings{RepayFraction: 0.1}, startTime)
					runtime.GC()
					runtime.ReadMemStats(&after)
					at, served, step := startTime, 0, 1/load.perSecond
					b.ResetTimer()
					for i := range b.N {
						at += step
						if m.Admit(at, Request{Group: load.requesters[i*7919%len(load.requesters)]}).Allowed {
							served++
						}
					}
					b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tr.Len()), "B/group")
					b.ReportMetric(float64(served)/float64(b.N), "served")
				})
			}
		}
	}
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	tr := newLargeTree(t, 1000, 4)
	m := New(tr, Settings{RepayFraction: 0.1, Replicas: 3, StretchFraction: 0.1}, startTime)
	leaves := leaves(tr)
	at, i := startTime, 0
	if n := testing.AllocsPerRun(20000, func() {
		at += 1e-5
		i++
		m.Admit(at, Request{Group: leaves[i*31%len(leaves)]})
	}); n > 0 {
		t.Fatalf("%g allocations", n)
	}
}
