package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requestsPerSecond returns a limit of n requests per second, with a window of 10 s.
func requestsPerSecond(n float64) Limit { return Limit{Requests, 10, n * 10} }

func newTestTree(t testing.TB, limits []Limit, groups ...Group) *Tree {
	t.Helper()
	for i := range groups {
		if groups[i].Weight == 0 {
			groups[i].Weight = 1
		}
	}
	tr, err := NewTree(limits, groups)
	require.NoError(t, err)
	return tr
}

// testLimiter is a limiter with a clock, whose accounts are audited after each load.
type testLimiter struct {
	*Limiter
	t  testing.TB
	at float64
}

const startTime = 1.8e9

// testRepayFraction is large enough for repayments to show within minutes.
const testRepayFraction = 0.1

func newTestLimiter(t testing.TB, tr *Tree) *testLimiter {
	return &testLimiter{Limiter: New(tr, Settings{RepayFraction: testRepayFraction}, startTime), t: t, at: startTime}
}

func (s *testLimiter) mustFind(name string) int32 {
	g, ok := s.tree.Find(name)
	require.True(s.t, ok, name)
	return g
}

// admit decides on a request of a group at the current time.
func (s *testLimiter) admit(name string) Decision {
	return s.Admit(s.at, Request{Group: s.mustFind(name)})
}

// runLoad sends evenly spaced requests at a rate per group for some seconds, and returns how many of each group were admitted.
func (s *testLimiter) runLoad(seconds float64, perSecond map[string]float64) map[string]float64 {
	type source struct {
		name   string
		every  float64
		nextAt float64
	}
	var all []source
	for _, n := range s.tree.nodes { // in the order of the tree, since the order of maps is random
		if r := perSecond[n.name]; r > 0 {
			all = append(all, source{n.name, 1 / r, s.at + 1/r})
		}
	}
	served, end := map[string]float64{}, s.at+seconds
	for {
		first := &source{nextAt: end}
		for i := range all {
			if all[i].nextAt < first.nextAt {
				first = &all[i]
			}
		}
		if first.name == "" {
			s.at = end
			s.requireBalanced()
			return served
		}
		s.at = first.nextAt
		first.nextAt += first.every
		if s.admit(first.name).Allowed {
			served[first.name]++
		}
	}
}

func (s *testLimiter) requireBalanced() {
	s.t.Helper()
	worst, at := s.Audit(s.at)
	require.Less(s.t, worst, 1e-3, at)
}
