package judge

// Judge checks the rules event by event. It is not safe for concurrent use.
type Judge struct {
	rules    Rules
	findings []Finding
}

var _ Witness = (*Judge)(nil)

// New returns a judge that has seen nothing.
func New(rules Rules) *Judge { return &Judge{rules: rules} }

// See takes one event. Events come in the order of At.
func (j *Judge) See(e Event) {}

// End tells that the day is over: what waits for more time is decided.
func (j *Judge) End(now float64) {}

// Findings returns the breaks found so far, oldest first.
func (j *Judge) Findings() []Finding { return j.findings }
