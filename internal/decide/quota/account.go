package quota

// account is the account of a group for one limit. Amounts are in the limit's unit, rates in units per second. The account of a
// group with children is a pool, for which Level = Equity + the children's balances - Balance always holds.
//
// The order of the fields is the form in which State stores accounts: fields must not be moved, added or removed without a new
// stateVersion. Danger: with 100,000 groups a decision costs what it reads from memory, so what a group without children needs
// comes first.
type account struct {
	Level         float64 // below 0: charged beyond what was there
	Capacity      float64
	Inflow        float64 // of a pool: its own and that of all children that overflow
	SettledAt     float64 // the time up to which the account is settled
	Balance       float64 // deposited with the parent less drawn there; below 0: a debt
	LastDrawnAt   float64 // when something was last drawn from it
	CapRate       float64 // +Inf: none
	IsOverflowing bool    // the account is full, and Inflow goes to the parent

	Reserve     float64 // part of Level that only requests with MayUseFloor may use
	OwnInflow   float64 // by the tree; of a pool: what no child has
	OfferedSeen float64 // the parent's Offered up to which the overflow is settled
	RecentSeen  float64 // the parent's Recent then
	Tally       Tally

	Equity  float64 // of a pool: tokens that are no child's deposit
	Offered float64 // of a pool: seconds during which inflow found room, here or above
	Recent  float64 // Offered, less what has faded since
	Drawn   float64 // from the parent by unit of weight, within bounds of the parent's Turn

	Epoch             int64   // of a pool: the epoch of Wanting
	Wanting, Wanted   float64 // of a pool: summed weights of the children that ask in this epoch, and in the one before
	Claiming, Claimed float64 // of these, children with a positive balance
	Turn              float64 // of a pool: inflow by unit of weight
	AskedEpoch        int64   // the epoch in which it last asked its parent for tokens

	Stretch      float64 // fraction by which OwnInflow is stretched now
	Demand       float64 // asked for in DemandWindow
	DemandWindow int64   // number of the window
	DemandRate   float64 // mean of the windows, per second

	CapLevel, CapSettledAt float64

	Padding [1]float64 // to whole cache lines
}

// Tally sums up what has happened to a group's account, in the limit's unit. The sums never decrease, and balance = Lent -
// Returned - Borrowed + Repaid + Forgiven - Expired.
type Tally struct {
	Used     float64 `json:"used"` // by the group and all below it
	Lent     float64 `json:"lent"` // deposited with the parent, beyond debts
	Repaid   float64 `json:"repaid"`
	Returned float64 `json:"returned"` // drawn back from its deposits
	Borrowed float64 `json:"borrowed"` // drawn from pools as a loan
	Forgiven float64 `json:"forgiven"` // debts that have faded
	Expired  float64 `json:"expired"`  // credits that have faded
	Free     float64 `json:"free"`     // drawn from pools without a loan
}

// addOffered records for how long inflow of a pool has found room.
func (a *account) addOffered(seconds float64) {
	a.Offered += seconds
	a.Recent += seconds
	a.Equity += a.OwnInflow * seconds
}

// addInflow adds an amount to an account; in a pool it adds to the turn of those that want tokens.
func (a *account) addInflow(amount float64) {
	if a.Level += amount; a.Wanted > 0 {
		a.Turn += amount / a.Wanted
	}
}

// available returns how much a request may use of an account.
func (a *account) available(floor bool) float64 {
	if floor {
		return max(a.Level, 0)
	}
	return max(a.Level-a.Reserve, 0)
}
