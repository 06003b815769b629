package coordination

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// begun counts what was begun, by id.
type begun map[uint64]int

func (b begun) RunDrill(_ string, id uint64, _ []byte, _ float64) error {
	b[id]++
	return nil
}

// Whoever tells of a drill, in whatever order and how often, also of one that has ended: it begins once, and its end is not put off.
func TestDrillsBeginOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, runs := &stillNet{now: 100}, begun{}
		f := &Node{net: net, log: slog.New(slog.DiscardHandler), links: map[int]*peers.Link{}, options: Options{Settings: Settings{Roles: []string{faultRoleName}}, Faults: runs}}
		f.roles = newRoleManager(f)
		d := f.roles.faults
		peers.New("yard", 1, f, net, f.log).Dial("x:1")
		ends, foolish := map[uint64]float64{}, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			net.now += rapid.Float64Range(0, 40).Draw(t, "pause")
			r := faultOrder{ID: rapid.Uint64Range(0, 4).Draw(t, "id"), Name: "lag", RemainingSeconds: rapid.Float64Range(-1, 60).Draw(t, "left")}
			e := frames.RoleMessage{Role: faultRoleName, Token: 1, Kind: kindFaultOrder, Body: mustMarshal(r)}
			if rapid.Bool().Draw(t, "by the owner") {
				e.Kind, e.Body = kindFaultList, mustMarshal(faultList{[]faultOrder{r}})
			}
			if d.HandleMessage(net.link, &e); !r.isValid() {
				foolish++
			}
			require.Equal(t, foolish, f.roles.state(faultRoleName).malformed)
			d.Tick(net.now)
			for _, n := range d.runs {
				require.Equal(t, 1, runs[n.ID])
				if end, known := ends[n.ID]; known {
					require.Equal(t, end, n.endsAt)
				}
				ends[n.ID] = n.endsAt
			}
		}
	})
}
