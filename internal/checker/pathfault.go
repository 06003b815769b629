package checker

// cut is a way that is in trouble.
type pathFault struct {
	sidecar, server int32
	from, until     float64 // +Inf: it still is
}

// troubled tells whether a way was in trouble between two times, or shortly before: what the trouble has held back comes
// later.
func (c *Checker) hadPathFault(sidecar, server int32, from, until float64) bool {
	const after = 11 // seconds until lost bytes are sent again
	for i := range c.pathFaults {
		fault := &c.pathFaults[i]
		isSamePath := (fault.sidecar == sidecar || fault.sidecar < 0) && fault.server == server
		if isSamePath && fault.from <= until && fault.until+after >= from {
			return true
		}
	}
	return false
}
