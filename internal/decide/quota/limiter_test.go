package quota

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newPair returns a limiter of two equal groups that share 100 requests per second.
func newPair(t testing.TB) *testLimiter {
	return newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "a", Share: 50}, Group{Name: "b", Share: 50}))
}

func TestIdleGroupLendsAndIsRepaid(t *testing.T) {
	s := newPair(t)
	got := s.runLoad(600, map[string]float64{"a": 200})
	assert.InDelta(t, 60000, got["a"], 600, "b's unused quota is lent")
	_, owed := s.Tally(1, 0)
	assert.InDelta(t, -30000, owed, 600)

	got = s.runLoad(600, map[string]float64{"a": 200, "b": 200})
	assert.InDelta(t, 33000, got["b"], 600, "b gets its own share, and a tenth of a's as repayment")
	assert.InDelta(t, 60000, got["a"]+got["b"], 600)

	s.runLoad(2*3600, map[string]float64{"a": 60, "b": 60})
	a, owed := s.Tally(1, 0)
	_, claim := s.Tally(2, 0)
	assert.InDelta(t, 0, owed, 1, "debts end")
	assert.InDelta(t, 0, claim, 1)
	assert.InDelta(t, a.Borrowed, a.Repaid+a.Forgiven, 1)
}

func TestLenderGetsItsShareWithinOneWindow(t *testing.T) {
	s := newPair(t)
	s.runLoad(600, map[string]float64{"a": 1000})
	got := s.runLoad(10, map[string]float64{"a": 1000, "b": 200})
	assert.GreaterOrEqual(t, got["b"], 500.0, "b gets its quota of one window, whatever a has borrowed")
	got = s.runLoad(10, map[string]float64{"a": 1000, "b": 200})
	assert.GreaterOrEqual(t, got["b"], 495.0, "and that of the next window, from its inflow")
}

func TestWeightsDivideLoans(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "a", Share: 10, Weight: 3}, Group{Name: "b", Share: 10},
		Group{Name: "none", Share: 10, Weight: 0}, Group{Name: "idle", Share: 70}))
	s.runLoad(60, map[string]float64{"a": 100, "b": 500}) // empties the buckets
	got := s.runLoad(600, map[string]float64{"a": 100, "b": 500})
	assert.InDelta(t, 6000+3.0/4*48000, got["a"], 1500, "three quarters of the loans, although b asks for more")
	assert.InDelta(t, 60000, got["a"]+got["b"], 600)
}

func TestZeroWeightGetsOnlyUnwantedTokens(t *testing.T) {
	tr, err := NewTree([]Limit{requestsPerSecond(100)}, []Group{{Name: "a", Share: 10, Weight: 0}, {Name: "b", Share: 10, Weight: 1}, {Name: "idle", Share: 80, Weight: 1}})
	require.NoError(t, err)
	s := newTestLimiter(t, tr)
	s.runLoad(60, map[string]float64{"a": 300, "b": 300})
	got := s.runLoad(600, map[string]float64{"a": 300, "b": 300})
	assert.InDelta(t, 6000, got["a"], 1500, "only its own share while b wants all tokens")
	got = s.runLoad(600, map[string]float64{"a": 300})
	assert.InDelta(t, 60000, got["a"], 1500, "all tokens once b wants none")
}

func TestManyBorrowersShareOneLender(t *testing.T) {
	groups := []Group{{Name: "giver", Share: 80}}
	rates := map[string]float64{}
	for i := range 10 {
		name := fmt.Sprintf("g%d", i)
		groups = append(groups, Group{Name: name, Share: 2})
		rates[name] = 12 + 8*float64(i)
	}
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, groups...))
	s.runLoad(60, rates)
	got := s.runLoad(600, rates)
	total := 0.0
	for name, n := range got {
		assert.InDelta(t, 6000, n, 400, name)
		total += n
	}
	assert.InDelta(t, 60000, total, 600, "nothing is lent twice, and nothing is lost")
}

// newChain returns a limiter whose group c can borrow on three levels: from its sibling, and from the siblings of its parent and
// grandparent.
func newChain(t testing.TB) *testLimiter {
	return newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "north", Share: 50}, Group{Name: "south", Share: 50},
		Group{Name: "city", Parent: "north", Share: 50}, Group{Name: "plain", Parent: "north", Share: 50},
		Group{Name: "c", Parent: "city", Share: 50}, Group{Name: "d", Parent: "city", Share: 50}))
}

func TestLoansCrossThreeLevels(t *testing.T) {
	s := newChain(t)
	got := s.runLoad(3600, map[string]float64{"c": 200})
	assert.InDelta(t, 360000, got["c"], 3600)
	for name, owes := range map[string]float64{"c": 87.5, "city": 75, "north": 50} {
		_, balance := s.Tally(s.mustFind(name), 0)
		assert.Negative(t, balance, name)
		y, _ := s.Tally(s.mustFind(name), 0)
		assert.InDelta(t, owes*3600, y.Borrowed-y.Repaid, 3600*owes*0.02, name)
	}
	// The nearest pool is used first: while the sibling's share is enough, no other is drawn on.
	s = newChain(t)
	s.runLoad(100, map[string]float64{"c": 24, "d": 1, "plain": 24, "south": 49})
	s.runLoad(600, map[string]float64{"c": 22, "plain": 24, "south": 49})
	north, _ := s.Tally(s.mustFind("north"), 0)
	assert.Less(t, north.Borrowed, 40.0)
	// When the lenders have requests again, each gets its own share at once.
	got = s.runLoad(10, map[string]float64{"c": 200, "d": 25, "plain": 50, "south": 100})
	assert.GreaterOrEqual(t, got["d"], 124.0)
	assert.GreaterOrEqual(t, got["plain"], 249.0)
	assert.GreaterOrEqual(t, got["south"], 499.0)
}

func TestRepaymentsReachTheLender(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "north", Share: 50}, Group{Name: "south", Share: 50},
		Group{Name: "city", Parent: "north", Share: 100}, Group{Name: "c", Parent: "city", Share: 100}))
	s.runLoad(600, map[string]float64{"c": 200})
	got := s.runLoad(600, map[string]float64{"c": 200, "south": 200})
	assert.InDelta(t, 33000, got["south"], 600, "its own share, and what c repays, over three levels")
	assert.InDelta(t, 27000, got["c"], 600)
}

func TestOwnDepositIsNoLoan(t *testing.T) {
	s := newChain(t)
	s.runLoad(600, map[string]float64{"south": 90}) // it borrows the unused shares of c and d, over three levels
	_, owed := s.Tally(s.mustFind("south"), 0)
	_, claim := s.Tally(s.mustFind("c"), 0)
	require.Less(t, owed, -10000.0)
	require.Greater(t, claim, 1000.0)
	got := s.runLoad(600, map[string]float64{"c": 90})
	assert.Greater(t, got["c"], 600*85.0)
	c, balance := s.Tally(s.mustFind("c"), 0)
	assert.InEpsilon(t, claim, c.Returned+c.Expired, 0.03, "first it draws its own deposits back")
	assert.Negative(t, balance, "then it borrows")
	_, south := s.Tally(s.mustFind("south"), 0)
	assert.Greater(t, south, 0.0, "south has repaid its debt and is a lender now")
}

func TestBorrowerIsRemoved(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "a", Share: 40}, Group{Name: "b", Share: 40}, Group{Name: "c", Share: 20}))
	s.runLoad(600, map[string]float64{"a": 200})
	_, claim := s.Tally(s.mustFind("b"), 0)
	require.Greater(t, claim, 20000.0)
	taken := s.NewRequest(s.mustFind("a"), 0, false)

	s.Limiter = s.WithTree(s.at, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "b", Share: 60}, Group{Name: "c", Share: 40}), Settings{RepayFraction: testRepayFraction})
	s.requireBalanced()
	s.Complete(s.at, taken, 1, 0, 0) // a request in flight completes after its group was removed
	_, left := s.Tally(s.mustFind("b"), 0)
	assert.InDelta(t, claim, left, 1, "the credits of its lenders remain")
	got := s.runLoad(600, map[string]float64{"b": 100, "c": 100})
	assert.InDelta(t, 60000, got["b"]+got["c"], 2000, "but no more tokens are used than there are")
	s.runLoad(3*DefaultFadeSeconds, map[string]float64{"b": 10, "c": 10})
	_, left = s.Tally(s.mustFind("b"), 0)
	assert.Less(t, left, claim/10, "and the credits fade")
}

func TestTreeChangesWhileLoansAreOut(t *testing.T) {
	s := newPair(t)
	s.runLoad(600, map[string]float64{"a": 200})
	tallied, owed := s.Tally(1, 0)
	next := newTestTree(t, []Limit{requestsPerSecond(200), {Bytes, 60, 1e6}}, Group{Name: "new", Share: 20}, Group{Name: "b", Share: 40},
		Group{Name: "a", Share: 40}, Group{Name: "x", Parent: "a", Share: 50}) // a has children now
	s.Limiter = s.WithTree(s.at, next, Settings{RepayFraction: testRepayFraction})
	s.requireBalanced()
	now, still := s.Tally(s.mustFind("a"), 0)
	assert.Equal(t, owed, still)
	assert.Equal(t, tallied, now)
	s.runLoad(600, map[string]float64{"x": 300, "b": 300, "new": 300})
	_, still = s.Tally(s.mustFind("a"), 0)
	assert.Greater(t, still, owed, "it continues to repay")
	s.Limiter = s.WithTree(s.at, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "a", Share: 50}, Group{Name: "b", Share: 50}), Settings{RepayFraction: testRepayFraction})
	s.requireBalanced()
	got := s.runLoad(600, map[string]float64{"a": 50, "b": 50})
	assert.Greater(t, got["b"], 29000.0)
}

func TestShortAndLongWindows(t *testing.T) {
	limits := []Limit{{Requests, 10, 100}, {Requests, 3600, 7200}}
	s := newTestLimiter(t, newTestTree(t, limits, Group{Name: "a", Share: 100}))
	for range 100 {
		require.True(t, s.admit("a").Allowed)
	}
	v := s.admit("a")
	assert.False(t, v.Allowed)
	assert.Equal(t, 0, v.Limit, "the short window is used up, the long one is not")
	assert.InDelta(t, 0.1, v.RetryAfterSeconds, 0.01)
	s.at += v.RetryAfterSeconds
	assert.True(t, s.admit("a").Allowed, "admitted after RetryAfterSeconds")

	s.runLoad(1200, map[string]float64{"a": 10})
	v = s.admit("a")
	require.False(t, v.Allowed)
	assert.Equal(t, 1, v.Limit, "the long window is used up")
	s.at += 0.4
	for !s.admit("a").Allowed {
		s.at += 0.01
	}
	assert.Positive(t, s.tables[0].accounts[1].Level, "the short window is not used up")
	got := s.runLoad(3600, map[string]float64{"a": 10})
	assert.InDelta(t, 7200, got["a"], 10, "the quota of the long window")
}

func TestClockStopsJumpsAndGoesBack(t *testing.T) {
	s := newPair(t)
	served := 0
	for range 10000 { // while the clock stands still
		if s.admit("a").Allowed {
			served++
		}
	}
	assert.Equal(t, 500, served, "the full bucket, without inflow")
	s.at += 3600 // the machine was suspended
	served = 0
	for range 10000 {
		if s.admit("a").Allowed {
			served++
		}
	}
	assert.InDelta(t, 500+125, served, 1, "the bucket and the pool, not the inflow of an hour")
	s.requireBalanced()
	before := s.at
	s.at -= 7200
	assert.False(t, s.admit("a").Allowed)
	s.at = math.NaN()
	assert.False(t, s.admit("a").Allowed)
	s.at = before
	got := s.runLoad(60, map[string]float64{"a": 40, "b": 40})
	assert.InDelta(t, 2400, got["a"], 30)
	assert.InDelta(t, 2400, got["b"], 30)
}

func TestQuotaBelowOneRequestAWindow(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{{Requests, 10, 0.5}}, Group{Name: "a", Share: 50}, Group{Name: "b", Share: 50}))
	got := s.runLoad(4000, map[string]float64{"a": 5, "b": 5})
	assert.InDelta(t, 100, got["a"], 4)
	assert.InDelta(t, 100, got["b"], 4)
	v := s.admit("a")
	require.False(t, v.Allowed)
	assert.LessOrEqual(t, v.RetryAfterSeconds, 45.0, "the time in which its share yields one request, plus repayments")
}

// TestRetryingGainsNothingOverWaiting has two groups with more demand than their shares. One retries at once after each rejection, the
// other waits for RetryAfterSeconds.
func TestRetryingGainsNothingOverWaiting(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "hasty", Share: 20}, Group{Name: "patient", Share: 20}, Group{Name: "idle", Share: 60}))
	var waiting [60]float64 // time of the next request of each client; each sends one request at a time
	hasty, patient := 0, 0
	for end := s.at + 120; s.at < end; s.at += 0.002 {
		if s.admit("hasty").Allowed { // 500 requests per second
			hasty++
		}
		for i := range waiting {
			if s.at < waiting[i] {
				continue
			}
			if v := s.admit("patient"); v.Allowed {
				patient++
				waiting[i] = s.at + 0.5
			} else {
				waiting[i] = s.at + v.RetryAfterSeconds
			}
		}
	}
	assert.Greater(t, float64(patient), 0.97*float64(hasty))
	assert.InDelta(t, 12000, hasty+patient, 700)
}

func TestCapsAreHeld(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "a", Share: 20, Cap: 30}, Group{Name: "b", Share: 80}))
	got := s.runLoad(600, map[string]float64{"a": 200})
	assert.LessOrEqual(t, got["a"], 30*600+300.0)
	assert.GreaterOrEqual(t, got["a"], 30*600.0-5)
	assert.True(t, s.Explain(s.at, s.mustFind("a")).Capped)
}

func TestFloorIsNeverLent(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "a", Share: 50, Floor: 10}, Group{Name: "b", Share: 50}))
	s.runLoad(60, map[string]float64{"a": 500, "b": 500}) // requests that may not use the floor, of the same and another group
	alerts := 0
	for range 200 {
		if s.Admit(s.at, Request{Group: s.mustFind("a"), MayUseFloor: true}).Allowed {
			alerts++
		}
	}
	assert.InDelta(t, 100, alerts, 2, "a fifth of the bucket is reserved for them")
	alerts = 0
	for i := range 600 {
		s.at += 0.1
		for range 10 {
			s.admit("a")
			s.admit("b")
		}
		if i%3 == 0 && s.Admit(s.at, Request{Group: s.mustFind("a"), MayUseFloor: true}).Allowed {
			alerts++
		}
	}
	assert.Equal(t, 200, alerts, "and the inflow goes to them first")
	s.requireBalanced()
}

func TestBytesAreChargedOnCompletion(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{{Bytes, 10, 10000}, {Work, 60, 6}}, Group{Name: "a", Share: 100, Cap: 100}))
	q := Request{Group: s.mustFind("a"), Bytes: 100}
	require.True(t, s.Admit(s.at, q).Allowed)
	s.Complete(s.at, q, 0.1, 14900, 0.1)
	v := s.Admit(s.at, q)
	require.False(t, v.Allowed, "the overdrawn account rejects")
	assert.InDelta(t, 5.1, v.RetryAfterSeconds, 0.01)
	s.at += v.RetryAfterSeconds
	require.True(t, s.Admit(s.at, q).Allowed)
	s.Complete(s.at, q, 0.1, 0, 60)
	v = s.Admit(s.at+20, q)
	assert.Equal(t, 1, v.Limit)
	huge := Request{Group: s.mustFind("a"), Bytes: 1e6}
	s.at += 3600
	assert.True(t, s.Admit(s.at, huge).Allowed, "a request larger than the quota of a window is admitted if the account is full")
	assert.False(t, s.Admit(s.at, huge).Allowed)
}

func TestOpenRequests(t *testing.T) {
	s := newTestLimiter(t, newTestTree(t, []Limit{{Open, 0, 10}}, Group{Name: "a", Share: 50, Cap: 80}, Group{Name: "b", Share: 50, Floor: 20}))
	a, b := s.NewRequest(s.mustFind("a"), 0, false), s.NewRequest(s.mustFind("b"), 0, false)
	for range 8 {
		require.True(t, s.Admit(s.at, a).Allowed)
	}
	assert.False(t, s.Admit(s.at, a).Allowed, "above its cap")
	for range 3 {
		require.True(t, s.Admit(s.at, b).Allowed, "its own quota, at once")
	}
	assert.False(t, s.Admit(s.at, b).Allowed, "only the floor is left")
	b.MayUseFloor = true
	for range 2 {
		require.True(t, s.Admit(s.at, b).Allowed)
	}
	v := s.Admit(s.at, b)
	assert.False(t, v.Allowed)
	assert.Positive(t, v.RetryAfterSeconds)
	for range 6 {
		s.Complete(s.at, a, 0.1, 0, 0)
	}
	assert.True(t, s.Admit(s.at, b).Allowed, "from the unused quota of others")
	next := newTestTree(t, []Limit{{Open, 0, 10}}, Group{Name: "b", Share: 100})
	s.Limiter = s.WithTree(s.at, next, Settings{})
	s.Complete(s.at, a, 0.1, 0, 0)
	s.Complete(s.at, a, 0.1, 0, 0)
	for range 6 {
		s.Complete(s.at, b, 0.1, 0, 0)
	}
	assert.Equal(t, int32(0), s.openCounts[0].open[0], "no request is counted any more after groups were removed")

	// A limit that is added while requests are in flight does not count these.
	s = newTestLimiter(t, newTestTree(t, []Limit{requestsPerSecond(1)}, Group{Name: "a", Share: 100}))
	q := s.NewRequest(s.mustFind("a"), 0, false)
	require.True(t, s.Admit(s.at, q).Allowed)
	s.Limiter = s.WithTree(s.at, newTestTree(t, []Limit{requestsPerSecond(1), {Open, 0, 1}}, Group{Name: "a", Share: 100}), Settings{})
	s.Complete(s.at, q, 1, 0, 0)
	assert.Equal(t, int32(0), s.openCounts[1].open[0])
}

// TestRestoreWithEarlierClock restores a limiter at a time an hour before that of the snapshot.
func TestRestoreWithEarlierClock(t *testing.T) {
	s := newPair(t)
	s.runLoad(60, map[string]float64{"a": 200, "b": 200})
	raw, err := s.State().Encode()
	require.NoError(t, err)
	for _, tr := range []*Tree{s.tree, newTestTree(t, []Limit{requestsPerSecond(100)}, Group{Name: "b", Share: 50}, Group{Name: "a", Share: 40})} {
		st, err := Decode(raw)
		require.NoError(t, err)
		again := &testLimiter{Limiter: Restore(tr, s.settings, st, s.at-3600), t: t, at: s.at - 3600}
		got := again.runLoad(60, map[string]float64{"a": 200, "b": 200})
		assert.InDelta(t, 6000, got["a"]+got["b"], 200)
	}
}

func TestErrorsNameTheGroup(t *testing.T) {
	limits := []Limit{requestsPerSecond(100)}
	long := []Group{}
	for i := range MaxDepth + 1 {
		g := Group{Name: fmt.Sprintf("g%d", i), Share: 1}
		if i > 0 {
			g.Parent = fmt.Sprintf("g%d", i-1)
		}
		long = append(long, g)
	}
	for _, c := range []struct {
		limits []Limit
		groups []Group
		want   string
	}{
		{limits, []Group{{Name: "x", Share: 5}, {Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}}, "a.b.a: it is below itself"},
		{limits, []Group{{Name: "x"}, {Name: "a", Parent: "x"}, {Name: "b", Parent: "z"}}, `b: its parent "z" is no group`},
		{limits, []Group{{Name: "x"}, {Name: "a", Parent: "x", Share: 60}, {Name: "b", Parent: "x", Share: 50}}, "x: its children's shares come to 110 %"},
		{limits, []Group{{Name: "x", Share: 60}, {Name: "b", Share: 50}}, "all: its children's shares come to 110 %"},
		{limits, []Group{{Name: "x"}, {Name: "a", Parent: "x"}, {Name: "a"}}, "x.a: another group has the name"},
		{limits, []Group{{Name: "x", Share: 50}, {Name: "a", Parent: "x", Share: 10, Floor: 20}}, "x.a: floor: 20 % of its parent is above its share"},
		{limits, []Group{{Name: "x", Share: 50}, {Name: "a", Parent: "x", Share: 10, Floor: 101}}, "x.a: floor: 101 % is above the parent"},
		{limits, []Group{{Name: "x", Share: 50, Cap: 40}}, "x: cap: "},
		{limits, []Group{{Name: "x", Share: math.NaN()}}, "x: share: "},
		{limits, []Group{{Name: "x", Weight: -1}}, "x: weight: "},
		{limits, []Group{{Name: "x", Quotas: map[string]float64{"requests/11": 1}}}, "x: quotas: it names what is no limit; limits are requests/10"},
		{limits, []Group{{Name: "x", Quotas: map[string]float64{"requests/10": 1001}}}, "x: quotas: requests/10: want 0 to 1000"},
		{limits, []Group{{Name: "x", Quotas: map[string]float64{"requests/10": 600}}, {Name: "y", Quotas: map[string]float64{"requests/10": 600}}},
			"all: its children's quotas of requests/10 come to 1200, over its own 1000"},
		{limits, []Group{{Name: "x.y"}}, `"x.y": want a name`},
		{limits, long, "g0.g1.g2.g3.g4.g5.g6.g7.g8.g9.g10.g11.g12: it is deeper"},
		{limits, nil, "groups: there is none"},
		{limits, make([]Group, MaxGroups+1), "groups: 100001, want at most 100000"},
		{[]Limit{{Requests, 0, 1}}, nil, "limits[0].window_s: want seconds"},
		{[]Limit{{Open, 1, 1}}, nil, "limits[0].window_s: open requests have no window"},
		{[]Limit{{measureCount, 1, 1}}, nil, "limits[0].measure: want"},
		{[]Limit{requestsPerSecond(1), requestsPerSecond(2)}, nil, "limits[1]: requests/10 is given twice"},
		{nil, nil, "limits: 0, want 1 to 8"},
	} {
		_, err := NewTree(c.limits, c.groups)
		if assert.Error(t, err, c.want) {
			assert.Contains(t, err.Error(), c.want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

func TestInvalidSnapshotsAreRejected(t *testing.T) {
	s := newPair(t)
	raw, err := s.State().Encode()
	require.NoError(t, err)
	_, err = Decode(raw)
	require.NoError(t, err)
	for i := 0; i < len(raw); i += 7 { // any changed byte is detected
		bad := append([]byte(nil), raw...)
		bad[i] ^= 0x40
		_, err = Decode(bad)
		require.Error(t, err, i)
	}
	_, err = Decode(raw[:len(raw)-1])
	assert.ErrorIs(t, err, ErrDamaged)
	newer := append([]byte(nil), raw...)
	newer[len(stateMagic)]++
	_, err = Decode(newer)
	assert.ErrorIs(t, err, ErrNewer)
}
