package quota

// account is the account of a group for one limit. Amounts are in the limit's unit, rates in units per second. The account of a
// group with children is a pool, for which Level = Equity + the children's balances - Balance always holds.
//
// State stores accounts as the sequence of their fields: fields must not be moved, added or removed without a new stateVersion.
// Danger: with 100,000 groups the cost of a decision is dominated by memory accesses, so the fields that a group without children
// needs come first.
type account struct {
	Level         float64 // tokens; negative after a charge of more than there were
	Capacity      float64
	Inflow        float64 // rate; of a pool: OwnInflow and the inflows of all overflowing children
	SettledAt     float64 // the time up to which the account is settled
	Balance       float64 // deposits with the parent minus draws from it; negative for a debt
	LastDrawnAt   float64 // time of the last draw
	CapRate       float64 // +Inf without a cap
	IsOverflowing bool    // the account is full, and Inflow goes to the parent

	Reserve     float64 // part of Level that only requests with MayUseFloor may use
	OwnInflow   float64 // according to the tree; of a pool: the part that no child has
	OfferedSeen float64 // the parent's Offered when the overflow was last settled
	RecentSeen  float64 // the parent's Recent when the overflow was last settled
	Tally       Tally

	Equity  float64 // of a pool: tokens that are not a child's deposit
	Offered float64 // of a pool: seconds during which inflow found room, in this pool or one above
	Recent  float64 // Offered, minus the part that has faded since
	Drawn   float64 // drawn from the parent per unit of weight, kept within bounds of the parent's Turn

	Epoch             int64   // of a pool: the epoch of Wanting
	Wanting, Wanted   float64 // of a pool: sum of the weights of children that ask for tokens, in this epoch and in the previous one
	Claiming, Claimed float64 // the same, for children with a positive balance
	Turn              float64 // of a pool: inflow per unit of the weights that ask for tokens
	AskedEpoch        int64   // the epoch in which it last asked its parent for tokens

	Stretch      float64 // fraction by which OwnInflow is currently increased; see recordDemand
	Demand       float64 // amount asked for in DemandWindow
	DemandWindow int64   // number of the window
	DemandRate   float64 // mean over the windows, per second

	CapLevel, CapSettledAt float64 // token bucket of the cap

	Padding [1]float64 // pads the struct to whole cache lines
}

// Tally holds the totals of a group's account, in the limit's unit. They never decrease, and the balance is Lent - Returned -
// Borrowed + Repaid + Forgiven - Expired.
type Tally struct {
	Used     float64 `json:"used"` // by the group and all below it
	Lent     float64 `json:"lent"` // deposited with the parent, except repayments
	Repaid   float64 `json:"repaid"`
	Returned float64 `json:"returned"` // drawn back from its deposits
	Borrowed float64 `json:"borrowed"` // drawn from pools beyond its deposits
	Forgiven float64 `json:"forgiven"` // debts that have faded
	Expired  float64 `json:"expired"`  // credits that have faded
	Free     float64 `json:"free"`     // drawn from pools without a loan
}

// addOffered records for how long the inflow of a pool has found room.
func (a *account) addOffered(seconds float64) {
	a.Offered += seconds
	a.Recent += seconds
	a.Equity += a.OwnInflow * seconds
}

// addInflow adds an amount to an account. In a pool it advances Turn if children want tokens.
func (a *account) addInflow(amount float64) {
	if a.Level += amount; a.Wanted > 0 {
		a.Turn += amount / a.Wanted
	}
}

// available returns how much of an account a request may use.
func (a *account) available(mayUseFloor bool) float64 {
	if mayUseFloor {
		return max(a.Level, 0)
	}
	return max(a.Level-a.Reserve, 0)
}
