package policy

// silentActions counts sends and probes by host and delivers no results.
type silentActions struct {
	sent, probed map[uint32]int
	lastHost     uint32
	wakes        []float64
	now          *float64
}

func newSilentActions(now *float64) *silentActions {
	return &silentActions{sent: map[uint32]int{}, probed: map[uint32]int{}, now: now}
}

func (a *silentActions) Send(_, host uint32) { a.sent[host]++; a.lastHost = host }

func (a *silentActions) Cancel(uint32, int) {}

func (a *silentActions) Probe(host uint32) { a.probed[host]++ }

func (a *silentActions) CloseIdle(uint32) {}

func (a *silentActions) Refuse(uint32, float64) { a.lastHost = 0 }

func (a *silentActions) Fail(uint32) { a.lastHost = 0 }

func (a *silentActions) WakeAfter(after float64) { a.wakes = append(a.wakes, *a.now+after) }

func (a *silentActions) Watch() {}

func (a *silentActions) Log(string) {}
