package tokenlease_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/tokenlease"
)

// pair is a lessee and the lessors of all shares, which reply at once.
type pair struct {
	t       *testing.T
	lessee  *tokenlease.Lessee
	lessors [tokenlease.Shares]*tokenlease.Lessor // nil for one that doesn't reply
	calls   int
	lost    bool // all replies are lost
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, lessee: tokenlease.NewLessee("a/1")}
	for share := range p.lessors {
		p.lessors[share] = tokenlease.NewLessor(7, testAllowance, 0, 0)
	}
	return p
}

// step calls Step and executes its calls until there are none, and returns the decisions.
func (p *pair) step(now float64) (decisions []tokenlease.Decision) {
	p.t.Helper()
	for range 20 {
		out := p.lessee.Step(now)
		decisions = append(decisions, out.Decisions...)
		if len(out.Calls) == 0 {
			return decisions
		}
		for _, call := range out.Calls {
			p.calls++
			reply, err := p.answer(now, call)
			switch {
			case err != nil || reply == nil:
				p.lessee.HandleNoReply(now, call)
			case p.lost:
				p.lessee.HandleNoReply(now, call)
			default:
				p.lessee.HandleReply(now, call, reply)
			}
		}
	}
	require.Fail(p.t, "Step returns calls without end")
	return nil
}

// answer passes a call to the lessor of its share.
func (p *pair) answer(now float64, call tokenlease.Call) (*tokenlease.Reply, error) {
	lessor := p.lessors[call.Request.Share]
	if lessor == nil {
		return nil, tokenlease.ErrReplaced
	}
	return lessor.Handle(now, &call.Request, func(string) tokenlease.Limit { return testLimit })
}

// ask admits a request and returns its decision.
func (p *pair) ask(now float64, cost int64) tokenlease.Decision {
	p.t.Helper()
	ticket := p.lessee.Admit(now, "acme", cost, now+waitSeconds)
	for _, decision := range append(p.step(now), p.step(now+waitSeconds)...) {
		if decision.Ticket == ticket {
			return decision
		}
	}
	require.Fail(p.t, "no decision")
	return tokenlease.Decision{}
}

func TestRequestIsPaidFromAllSharesTogether(t *testing.T) {
	p := newPair(t)
	assert.Equal(t, tokenlease.Admitted, p.ask(recoveredAt, 750*tokenlease.Shares).Refusal)
	assert.Equal(t, tokenlease.OverLimit, p.ask(recoveredAt, 750*tokenlease.Shares).Refusal)
}

func TestRefusalReason(t *testing.T) {
	p := newPair(t)
	for share := range 3 {
		p.lessors[share] = nil
	}
	decision := p.ask(recoveredAt, 750*tokenlease.Shares)
	assert.Equal(t, tokenlease.NotAvailable, decision.Refusal, "too few lessors know that the tenant is at its limit")
	p = newPair(t)
	assert.Equal(t, tokenlease.NotAvailable, p.ask(0.1, 700).Refusal, "lessors that have just started don't know it either")
	p = newPair(t)
	p.lessors[0] = nil
	decision = p.ask(recoveredAt, 750*tokenlease.Shares)
	assert.Equal(t, tokenlease.OverLimit, decision.Refusal, "most lessors say that it is at its limit")
	assert.Positive(t, decision.RetrySeconds)
}

func TestLostReplyLosesNoTokens(t *testing.T) {
	p := newPair(t)
	p.lost = true
	require.Equal(t, tokenlease.NotAvailable, p.ask(recoveredAt, 700*tokenlease.Shares).Refusal)
	p.lost = false
	assert.Equal(t, tokenlease.Admitted, p.ask(recoveredAt+0.5, 700*tokenlease.Shares).Refusal, "tokens of the lost reply arrive with the next one")
}

func TestNothingIsSpentOfALeaseThatHasEnded(t *testing.T) {
	p := newPair(t)
	paid := p.ask(recoveredAt, 500)
	p.lessee.Refund(paid.Payment)
	p.lessors = [tokenlease.Shares]*tokenlease.Lessor{}
	assert.Equal(t, tokenlease.Admitted, p.ask(recoveredAt+0.9*tokenlease.LeaseSeconds, 400).Refusal, "without lessors it can spend what it holds")
	assert.Equal(t, tokenlease.NotAvailable, p.ask(recoveredAt+tokenlease.LeaseSeconds, 10).Refusal)
}

func TestRefundedTokensAreThereForTheNextRequest(t *testing.T) {
	p := newPair(t)
	for i := range 20 {
		now := recoveredAt + 0.001*float64(i)
		decision := p.ask(now, 3000)
		require.Equal(t, tokenlease.Admitted, decision.Refusal)
		p.lessee.Refund(decision.Payment)
	}
	assert.EqualValues(t, 3000, p.lessee.Spendable(recoveredAt+0.1, "acme"))
}

func TestSurplusIsReturned(t *testing.T) {
	p := newPair(t)
	decision := p.ask(recoveredAt, 3000)
	p.lessee.Refund(decision.Payment)
	for now := recoveredAt + 0.2; now < recoveredAt+20; now += 0.2 {
		p.step(now)
	}
	assert.Zero(t, p.lessee.Spendable(recoveredAt+20, "acme"))
	for _, lessor := range p.lessors {
		assert.InDelta(t, 1000, lessor.Grantable(recoveredAt+20, "acme", testLimit), 1)
	}
	calls := p.calls
	for now := recoveredAt + 20; now < recoveredAt+60; now += 0.2 {
		p.step(now)
	}
	assert.Equal(t, calls, p.calls, "there are no calls for a tenant without requests")
}

func TestGrantsOfARecoveringLessorAreReturned(t *testing.T) {
	p := newPair(t)
	decision := p.ask(0.2, 500)
	require.Equal(t, tokenlease.Admitted, decision.Refusal)
	p.lessee.Refund(decision.Payment)
	p.step(0.2)
	assert.Zero(t, p.lessee.Spendable(0.2, "acme"))
	sum := 0.0
	for _, lessor := range p.lessors {
		sum += lessor.Grantable(0.2, "acme", testLimit)
	}
	assert.InDelta(t, 200*tokenlease.Shares, sum, 1)
}

func TestReturnAllReturnsUnspentTokens(t *testing.T) {
	p := newPair(t)
	decision := p.ask(recoveredAt, 3000)
	p.lessee.Refund(decision.Payment)
	p.lessee.ReturnAll(recoveredAt + 0.01)
	p.step(recoveredAt + 0.01)
	for _, lessor := range p.lessors {
		assert.InDelta(t, 1000, lessor.Grantable(recoveredAt+0.01, "acme", testLimit), 1)
	}
}

func TestDelayedReplyDoesNotExtendTheLease(t *testing.T) {
	p := newPair(t)
	p.lessee.Admit(recoveredAt, "acme", 500, recoveredAt+10)
	out := p.lessee.Step(recoveredAt)
	require.Len(t, out.Calls, 1)
	reply, err := p.answer(recoveredAt, out.Calls[0])
	require.NoError(t, err)
	p.lessee.HandleReply(recoveredAt+2.9, out.Calls[0], reply)
	assert.EqualValues(t, 500, p.lessee.Spendable(recoveredAt+2.9, "acme"))
	assert.Zero(t, p.lessee.Spendable(recoveredAt+tokenlease.LeaseSeconds, "acme"), "the lease is measured from the time of the request")

	p = newPair(t)
	p.lessee.Admit(recoveredAt, "acme", 500, recoveredAt+10)
	out = p.lessee.Step(recoveredAt)
	reply, err = p.answer(recoveredAt, out.Calls[0])
	require.NoError(t, err)
	p.lessee.HandleReply(recoveredAt+tokenlease.LeaseSeconds, out.Calls[0], reply)
	assert.Zero(t, p.lessee.Spendable(recoveredAt+tokenlease.LeaseSeconds, "acme"))
}

func TestReplyOfAReplacedLessorGrantsNothing(t *testing.T) {
	p := newPair(t)
	p.lessee.Admit(recoveredAt, "acme", 500, recoveredAt+10)
	old := p.lessee.Step(recoveredAt).Calls[0]
	late, err := p.answer(recoveredAt, old)
	require.NoError(t, err)
	p.lessee.HandleNoReply(recoveredAt+0.1, old)
	p.lessors[0] = tokenlease.NewLessor(8, testAllowance, 0, 0)
	decisions := p.step(recoveredAt + 0.5)
	require.Len(t, decisions, 1)
	held := p.lessee.Spendable(recoveredAt+0.5, "acme")
	p.lessee.HandleReply(recoveredAt+0.6, old, late)
	assert.Equal(t, held, p.lessee.Spendable(recoveredAt+0.6, "acme"))
}

func TestNewLessorIsAskedWithNewLeases(t *testing.T) {
	p := newPair(t)
	require.Equal(t, tokenlease.Admitted, p.ask(recoveredAt, 500).Refusal)
	for share := range p.lessors {
		p.lessors[share] = tokenlease.NewLessor(8, testAllowance, 0, 0)
	}
	assert.Equal(t, tokenlease.Admitted, p.ask(recoveredAt+1, 500).Refusal)
}

func TestRequestsOfATenantAreDecidedInTheirOrder(t *testing.T) {
	p := newPair(t)
	large := p.lessee.Admit(recoveredAt, "acme", 750*tokenlease.Shares+1, recoveredAt+waitSeconds)
	small := p.lessee.Admit(recoveredAt, "acme", 10, recoveredAt+waitSeconds)
	decisions := append(p.step(recoveredAt), p.step(recoveredAt+waitSeconds)...)
	require.Len(t, decisions, 2)
	assert.Equal(t, []tokenlease.Ticket{large, small}, []tokenlease.Ticket{decisions[0].Ticket, decisions[1].Ticket})
	assert.Equal(t, tokenlease.OverLimit, decisions[0].Refusal)
	assert.Equal(t, tokenlease.Admitted, decisions[1].Refusal, "tokens that don't suffice for one request are left for the others")
	gone := p.lessee.Admit(recoveredAt+1, "acme", 10, recoveredAt+2)
	assert.True(t, p.lessee.Cancel("acme", gone))
	assert.False(t, p.lessee.Cancel("acme", gone))
}
