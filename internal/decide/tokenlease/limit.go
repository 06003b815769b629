package tokenlease

import "strconv"

// Shares is the number of shares into which each limit is divided. It must be the same for all processes of a fleet, whatever their version.
const Shares = 5

const (
	// LeaseSeconds is how long a lease lasts after the last answered request was sent. A disconnected lessee can spend its tokens for this long,
	// and a new lessor holds back a part of the capacity for slightly longer.
	LeaseSeconds = 3.0
	// maxClockDrift is the fraction by which the monotonic clocks of two processes may drift apart.
	maxClockDrift = 0.01
	// countedLeaseSeconds is how long a lessor counts the tokens of a lease as outstanding.
	countedLeaseSeconds = LeaseSeconds * (1 + 2*maxClockDrift)
	// usedAllowance is the fraction of the Allowance, what may be spent beyond a limit, that is added to capacities.
	usedAllowance = 0.85
	// minCapacitySeconds sets the minimum capacity: what accrues at the limit's rate in this time. It matters for limits without a burst and
	// without an allowance.
	minCapacitySeconds = 0.25
)

// Limit is what a tenant may spend: Rate tokens per second, and Burst tokens in addition at once.
type Limit struct {
	Rate  float64
	Burst float64
}

// IsUnlimited reports whether the tenant has no limit.
func (l Limit) IsUnlimited() bool { return l.Rate <= 0 }

// share returns the limit of one share.
func (l Limit) share() Limit { return Limit{l.Rate / Shares, l.Burst / Shares} }

// Allowance says by how much spending may exceed limits according to the operators, since tokens can't be counted exactly across processes.
type Allowance struct {
	WindowSeconds float64 // length of the window over which spent tokens are summed
	Overage       float64 // fraction of what the limit allows in a window
	Slack         float64 // tokens per window
}

// MaxSpent returns how many tokens all processes together may spend in any window.
func (a Allowance) MaxSpent(limit Limit) float64 {
	return (limit.Rate*a.WindowSeconds+limit.Burst)*(1+a.Overage) + a.Slack
}

// Capacity returns how many tokens all shares of a limit together may have in buckets and leases. Capacity and the tokens that accrue in a
// window by a fast clock stay below MaxSpent together.
func (a Allowance) Capacity(limit Limit) float64 {
	inWindow := limit.Rate * a.WindowSeconds
	room := a.MaxSpent(limit) - inWindow - limit.Burst
	return max(limit.Burst+max(usedAllowance*room-maxClockDrift*inWindow, 0), minCapacitySeconds*limit.Rate)
}

// MaxCost returns the maximum cost of a request that can be admitted. A request that costs more would take all tokens of its tenant out of the
// buckets and still be refused.
func (a Allowance) MaxCost(limit Limit) int64 { return int64(maxLoanedFraction * a.Capacity(limit)) }

// Role returns the name of the singleton role of a share's lessor.
func Role(share int) string { return "tenant-limits/" + strconv.Itoa(share) }
