package environment

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/checker"
)

// In real time a trouble can begin before the machine of its clients does. Its clients come once the machine has begun, and
// no longer than the trouble lasts.
func TestClientsOfATroubleThatBeginsBeforeTheirMachine(t *testing.T) {
	const (
		begins = 0.0
		lasts  = 4.0
		perS   = 50.0
	)
	for _, kind := range []string{BadClients, SilentFlood} {
		for _, c := range []struct {
			name         string
			machineAfter float64 // when the machine begins, in seconds of the day
			come         bool
		}{{"while it lasts", 2, true}, {"once it is over", lasts, false}} {
			t.Run(kind+" "+c.name, func(t *testing.T) {
				s := newStage(t, 3, nil)
				script := &Script{Faults: []Fault{{Kind: kind, AtSeconds: begins, DurationSeconds: lasts, Sidecars: []int{0}, RatePerSecond: perS}}}
				player, err := NewFaultInjector(s.world, script, nil, &s.notes)
				require.NoError(t, err)
				player.Advance(s.day.Start)
				s.until(c.machineAfter)

				require.Zero(t, s.notes.count(checker.HostileConnected))
				s.begin(t, s.day.Sidecars[0].IP)
				s.until(lasts)
				came := s.world.HostileClients[0].lastVisit
				require.Equal(t, c.come, came > 0)
				require.Equal(t, c.come, s.notes.count(checker.HostileConnected) > 0)
				s.until(lasts + 2)
				require.Equal(t, came, s.world.HostileClients[0].lastVisit, "none comes once the trouble is over")
			})
		}
	}
}
