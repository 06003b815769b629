package tokenlease_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/tokenlease"
)

// The limit in tests with one lessor: a share has 1,000 tokens per second and a capacity of 1,000.
var (
	testLimit     = tokenlease.Limit{Rate: 1000 * tokenlease.Shares, Burst: 1000 * tokenlease.Shares}
	testAllowance = tokenlease.Allowance{WindowSeconds: 8}
)

// recoveredAt is a time at which a lessor that started at 0 has full buckets and leases of an earlier lessor have ended.
const recoveredAt = 100.0

// testLessor is a lessor whose tenants all have the same limit.
type testLessor struct {
	*tokenlease.Lessor
	t     *testing.T
	limit tokenlease.Limit
}

func newTestLessor(t *testing.T) *testLessor {
	return &testLessor{tokenlease.NewLessor(7, testAllowance, 0, 0), t, testLimit}
}

// report sends one report and returns the grant.
func (l *testLessor) report(now float64, lessee string, report tokenlease.Report) tokenlease.Grant {
	report.Tenant = "acme"
	reply, err := l.Handle(now, &tokenlease.Request{Lessee: lessee, Token: 7, Reports: []tokenlease.Report{report}},
		func(string) tokenlease.Limit { return l.limit })
	require.NoError(l.t, err)
	require.Len(l.t, reply.Grants, 1)
	return reply.Grants[0]
}

func TestLessorLendsThreeQuartersOfItsCapacity(t *testing.T) {
	l := newTestLessor(t)
	assert.EqualValues(t, 400, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Need: 400}).Granted)
	second := l.report(recoveredAt, "b", tokenlease.Report{LeaseID: 1, Need: 400})
	assert.EqualValues(t, 350, second.Granted)
	assert.Positive(t, second.RetrySeconds)
}

func TestLessorRefillsForWhatWasSpent(t *testing.T) {
	l := newTestLessor(t)
	require.EqualValues(t, 700, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Need: 700}).Granted)
	assert.InDelta(t, 300, l.Grantable(recoveredAt+1, "acme", testLimit), 0.1, "leased tokens are not in the bucket")
	l.report(recoveredAt+1, "a", tokenlease.Report{LeaseID: 1, Spent: 700})
	assert.InDelta(t, 550, l.Grantable(recoveredAt+1.25, "acme", testLimit), 0.1)
}

func TestReportsThatArriveAgainCountOnce(t *testing.T) {
	l := newTestLessor(t)
	require.EqualValues(t, 700, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Need: 700}).Granted)
	for range 3 {
		l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Spent: 200, Returned: 300})
	}
	assert.InDelta(t, 600, l.Grantable(recoveredAt, "acme", testLimit), 0.1)
	l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Spent: 100, Returned: 100}) // an earlier report that arrives late
	assert.InDelta(t, 600, l.Grantable(recoveredAt, "acme", testLimit), 0.1)
	l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Spent: 1 << 40, Returned: 1 << 40})
	assert.InDelta(t, 600, l.Grantable(recoveredAt, "acme", testLimit), 0.1, "a lessee can't return more than it has")
}

func TestTokensOfEndedLeasesAreNotGrantedAgain(t *testing.T) {
	l := newTestLessor(t)
	require.EqualValues(t, 700, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Need: 700}).Granted)
	justBefore, justAfter := recoveredAt+tokenlease.LeaseSeconds, recoveredAt+1.03*tokenlease.LeaseSeconds
	assert.InDelta(t, 300, l.Grantable(justBefore, "acme", testLimit), 0.1)
	assert.InDelta(t, 390, l.Grantable(justAfter, "acme", testLimit), 0.1, "only what has accrued since")
	assert.True(t, l.report(justAfter, "a", tokenlease.Report{LeaseID: 1, Spent: 700}).IsUnknown)
}

func TestLaterLeaseTakesThePlaceOfTheEarlier(t *testing.T) {
	l := newTestLessor(t)
	require.EqualValues(t, 500, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 3, Need: 500}).Granted)
	assert.EqualValues(t, 100, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 4, Need: 100}).Granted)
	assert.True(t, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 3, Need: 100}).IsUnknown)
	assert.InDelta(t, 400, l.Grantable(recoveredAt, "acme", testLimit), 0.1)
}

func TestNewLessorLeavesRoomForLeasesThatItDoesNotKnow(t *testing.T) {
	l := newTestLessor(t)
	assert.Zero(t, l.report(0, "a", tokenlease.Report{LeaseID: 1, Need: 1}).Granted, "the bucket is empty at first")
	early := l.report(0.2, "a", tokenlease.Report{LeaseID: 1, Need: 300, Reserve: 100})
	assert.EqualValues(t, 200, early.Granted, "what has accrued, without a reserve")
	assert.True(t, early.IsRecovering)
	l.report(0.2, "a", tokenlease.Report{LeaseID: 1, Spent: 200})
	assert.InDelta(t, 250, l.Grantable(2.9, "acme", testLimit), 0.1, "a quarter of the capacity")
	assert.InDelta(t, 1000, l.Grantable(10, "acme", testLimit), 0.1)
}

func TestLessorChecksFencingTokens(t *testing.T) {
	l := newTestLessor(t)
	limitOf := func(string) tokenlease.Limit { return testLimit }
	reports := []tokenlease.Report{{Tenant: "acme", LeaseID: 1, Need: 10}}
	_, err := l.Handle(recoveredAt, &tokenlease.Request{Lessee: "a", Token: 8, Reports: reports}, limitOf)
	require.ErrorIs(t, err, tokenlease.ErrReplaced)
	reply, err := l.Handle(recoveredAt, &tokenlease.Request{Lessee: "a", Token: 6, Reports: reports}, limitOf)
	require.NoError(t, err)
	assert.Equal(t, &tokenlease.Reply{Token: 7}, reply, "leases of another lessor are not known")
	reply, err = l.Handle(recoveredAt, &tokenlease.Request{Lessee: "a", Reports: reports}, limitOf)
	require.NoError(t, err)
	assert.Len(t, reply.Grants, 1)
	reply, err = l.Handle(recoveredAt, &tokenlease.Request{Lessee: "a", Reports: reports}, func(string) tokenlease.Limit { return tokenlease.Limit{} })
	require.NoError(t, err)
	assert.Empty(t, reply.Grants, "a tenant without a limit")
}

func TestChangedLimit(t *testing.T) {
	l := newTestLessor(t)
	l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1})
	l.limit = tokenlease.Limit{Rate: testLimit.Rate / 10, Burst: testLimit.Burst / 10}
	assert.EqualValues(t, 75, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Need: 400}).Granted, "a lower limit applies at once")
	l.limit = testLimit
	raised := l.report(recoveredAt+0.5, "a", tokenlease.Report{LeaseID: 1, Spent: 75, Need: 400})
	assert.EqualValues(t, 75+400, raised.Granted, "with a higher limit the bucket fills at the new rate")
}

func TestReservesAreGrantedOnlyFromASurplus(t *testing.T) {
	l := newTestLessor(t)
	assert.EqualValues(t, 125, l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Reserve: 900}).Granted, "a quarter of what is above half of the capacity")
	l.report(recoveredAt, "b", tokenlease.Report{LeaseID: 1, Need: 500})
	assert.Zero(t, l.report(recoveredAt, "c", tokenlease.Report{LeaseID: 1, Reserve: 100}).Granted)
}

func TestRetryDelayGrowsWithCompetingLessees(t *testing.T) {
	l := newTestLessor(t)
	l.report(recoveredAt, "a", tokenlease.Report{LeaseID: 1, Need: 750})
	alone := l.report(recoveredAt, "b", tokenlease.Report{LeaseID: 1, Need: 200}).RetrySeconds
	for _, lessee := range []string{"c", "d", "e"} {
		l.report(recoveredAt, lessee, tokenlease.Report{LeaseID: 1, Need: 200})
	}
	assert.Greater(t, l.report(recoveredAt, "f", tokenlease.Report{LeaseID: 1, Need: 200}).RetrySeconds, 2*alone)
	usage := l.TakeUsage()
	require.Len(t, usage, 1)
	assert.Equal(t, tokenlease.Usage{Tenant: "acme", Limit: tokenlease.Limit{Rate: 1000, Burst: 1000}, Granted: 750, Refused: 1000}, usage[0])
	assert.Empty(t, l.TakeUsage())
}
