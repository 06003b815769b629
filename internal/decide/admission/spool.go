package admission

const (
	// leastSpool and mostSpool bound what is held of one body.
	leastSpool = 64 << 10
	mostSpool  = 1 << 20
	// leastFlow and mostFlow bound what waits for one peer that lags; a quarter of the budget is for all of them.
	leastFlow = 16 << 10
	mostFlow  = 128 << 10
	flowPart  = 4
	// spoolPart of what is left of the budget is what the next body may hold.
	spoolPart = 8
)

// Spool returns how many bytes of a body may be held before the rest of it is passed on as it comes, where all links hold so
// many of a budget already; a budget of 0 has no bound. What is held whole can be sent again. Danger: a part that is fixed is
// either too small for one body or too large for a hundred.
func BodyBufferBytes(held, budget int) int {
	if budget <= 0 {
		return mostSpool
	}
	return min(max((budget-held)/spoolPart, leastSpool), mostSpool)
}

// FlowRoom returns how many bytes may wait for a peer that lags, where so many flow at once.
func FlowBufferBytes(flows, budget int) int {
	if budget <= 0 || flows == 0 {
		return mostFlow
	}
	return min(max(budget/flowPart/flows, leastFlow), mostFlow)
}

// Bytes returns how many bytes all links hold together.
func (r *ConnTable) BufferedBytes() int { return r.bytes }
