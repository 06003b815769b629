package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/peers/frames"
)

// countingFaults counts the starts of faults by ID.
type countingFaults map[uint64]int

func (c countingFaults) RunRemoteFault(_ string, id uint64, _ []byte, _ float64) error {
	c[id]++
	return nil
}

// A fault starts once and its end is not postponed, whichever sidecars send it, in any order and any number of times, also after it
// has ended.
func TestFaultsStartOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := countingFaults{}
		n, loop := newTestNode(Options{Settings: Settings{Roles: []string{faultRoleName}}, Faults: starts})
		r := n.roles.faults
		ends, malformed := map[uint64]float64{}, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			loop.now += rapid.Float64Range(0, 40).Draw(t, "pause")
			order := faultOrder{ID: rapid.Uint64Range(0, 4).Draw(t, "id"), Name: "lag", RemainingSeconds: rapid.Float64Range(-1, 60).Draw(t, "remaining")}
			m := frames.RoleMessage{Role: faultRoleName, Token: 1, Kind: kindFaultOrder, Body: mustMarshal(order)}
			if rapid.Bool().Draw(t, "by the holder") {
				m.Kind, m.Body = kindFaultList, mustMarshal(faultList{[]faultOrder{order}})
			}
			if r.HandleMessage(loop.link, &m); !order.isValid() {
				malformed++
			}
			require.Equal(t, malformed, n.roles.state(faultRoleName).malformed)
			r.Tick(loop.now)
			for _, run := range r.runs {
				require.Equal(t, 1, starts[run.ID])
				if end, known := ends[run.ID]; known {
					require.Equal(t, end, run.endsAt)
				}
				ends[run.ID] = run.endsAt
			}
		}
	})
}
