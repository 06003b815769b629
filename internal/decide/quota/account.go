package quota

// account is the account of a group in one book. Danger: with 100,000 groups a decision costs what it reads from memory; what
// a group without children needs for it comes first.
// Amounts are in the limit's unit, rates in units a second.
//
// Of a group with children the account is a pool: Level = Equity + the children's balances - Balance, always.
type account struct {
	Level         float64 // below 0: what has been charged beyond it
	Capacity      float64
	Inflow        float64 // what comes in: of a pool, its own and that of all children that overflow
	SettledAt     float64 // until when all this is settled
	Balance       float64 // deposited with the parent less drawn there; below 0 it is a debt
	LastDrawnAt   float64 // when it was last drawn on
	CapRate       float64 // +Inf: none
	IsOverflowing bool    // the account is full, and Rate goes to the parent

	Reserve     float64 // that only requests with a right to the floor may touch
	OwnInflow   float64 // what comes in by the tree; of a pool, what no child has
	OfferedSeen float64 // the parent's Offered until which the overflow is settled
	RecentSeen  float64 // and its Recent
	Tally       Tally

	Equity  float64 // of a pool: what is nobody's deposit
	Offered float64 // of a pool: seconds for which what came in found room, here or above
	Recent  float64 // the same, less what has faded since
	Drawn   float64 // drawn on the parent for each unit of weight, within bounds of the parent's Turn

	Epoch             int64   // of a pool: that Wanting is of
	Wanting, Wanted   float64 // of a pool: the weights of the children that ask in this epoch, and in the one before
	Claiming, Claimed float64 // of these, whose balance was above 0
	Turn              float64 // of a pool: what has come in for each unit of weight
	AskedEpoch        int64   // the epoch in which it last asked its parent

	Stretch      float64 // by how much a part of a fleet's quota is stretched
	Demand       float64 // asked for in this epoch
	DemandWindow int64   // the epoch
	DemandRate   float64 // a second

	CapLevel, CapSettledAt float64

	Padding [1]float64 // to whole lines of a processor's cache
}

// Tally adds up what has happened to a group's account, in the limit's unit. All of it is cumulative, and
// balance = Lent - Returned - Borrowed + Repaid + Forgiven - Expired.
type Tally struct {
	Used     float64 `json:"used"` // by it and all below it
	Lent     float64 `json:"lent"` // deposited beyond its debts
	Repaid   float64 `json:"repaid"`
	Returned float64 `json:"returned"` // of its deposits, that it has had back
	Borrowed float64 `json:"borrowed"` // drawn on pools as a loan
	Forgiven float64 `json:"forgiven"` // of its debts
	Expired  float64 `json:"expired"`  // of its deposits
	Free     float64 `json:"free"`     // drawn on pools of what was nobody's
}

// addOffered notes for how long what came into a pool has found room.
func (a *account) addOffered(s float64) {
	a.Offered += s
	a.Recent += s
	a.Equity += a.OwnInflow * s
}

// addInflow puts an amount into an account; of a pool, those who want of it each have their part.
func (a *account) addInflow(amount float64) {
	if a.Level += amount; a.Wanted > 0 {
		a.Turn += amount / a.Wanted
	}
}

// available returns what a request may take of an account.
func (a *account) available(floor bool) float64 {
	if floor {
		return max(a.Level, 0)
	}
	return max(a.Level-a.Reserve, 0)
}
