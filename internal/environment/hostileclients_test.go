package environment

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/checker"
)

// In real time a fault can start before the machine of its clients does. The clients connect once the machine has started,
// and no longer than the fault lasts.
func TestHostileClientsConnectOnceTheirMachineHasStarted(t *testing.T) {
	const (
		begins = 0.0
		lasts  = 4.0
		perS   = 50.0
	)
	for _, kind := range []FaultKind{BadClients, SilentFlood} {
		for _, c := range []struct {
			name         string
			machineAfter float64 // when the machine begins, in seconds of the day
			come         bool
		}{{"while it lasts", 2, true}, {"once it is over", lasts, false}} {
			t.Run(string(kind)+" "+c.name, func(t *testing.T) {
				s := newTestEnvironment(t, 3, nil)
				script := &Script{Faults: []Fault{{Kind: kind, AtSeconds: begins, DurationSeconds: lasts, Sidecars: []int{0}, RatePerSecond: perS}}}
				injector, err := NewFaultInjector(s.environment, script, nil, &s.recorder)
				require.NoError(t, err)
				injector.Advance(s.day.Start)
				s.runUntil(c.machineAfter)

				require.Zero(t, s.recorder.count(checker.HostileConnected))
				s.start(t, s.day.Sidecars[0].IP)
				s.runUntil(lasts)
				connected := s.environment.HostileClients[0].lastVisit
				require.Equal(t, c.come, connected > 0)
				require.Equal(t, c.come, s.recorder.count(checker.HostileConnected) > 0)
				s.runUntil(lasts + 2)
				require.Equal(t, connected, s.environment.HostileClients[0].lastVisit, "none connects once the fault is over")
			})
		}
	}
}
