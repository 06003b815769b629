package sim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

// Each fault between sidecars has its effect, violates no rule, and the effect does not occur without it.
func TestPeerFaults(t *testing.T) {
	const seed, at = 3, 6.0
	last := func(d *day) *simulatedSidecar { return d.sidecars[len(d.sidecars)-1] }
	seen := func(d *day) (of string) {
		for _, m := range d.sidecars[0].node.Status(99).Members {
			if m.Name == last(d).spec.Name {
				of = m.State
			}
		}
		return of
	}
	kill := environment.Fault{Kind: environment.SidecarKill, AtSeconds: at + 1, DurationSeconds: 0.5, Sidecars: []int{0}}
	for _, c := range []struct {
		name   string
		with   []environment.Fault
		beside []environment.Fault
		does   func(d *day) bool
	}{
		{"peer-slow", []environment.Fault{{Kind: environment.PeerSlow, AtSeconds: at, DurationSeconds: 4, From: []int{0}, RatePerSecond: 10}}, nil, func(d *day) bool {
			return d.sidecars[0].node.Status(0).View.Accusations > 0
		}},
		{"disk-full", []environment.Fault{{Kind: environment.DiskFull, AtSeconds: at, DurationSeconds: 5, Sidecars: []int{0}}}, []environment.Fault{kill}, func(d *day) bool {
			return !d.sidecars[0].node.Status(0).IdentityStored
		}},
		{"clock", []environment.Fault{{Kind: environment.Clock, AtSeconds: at, DurationSeconds: 10, Sidecars: []int{0}, ClockRate: 1.05}}, nil, func(d *day) bool {
			ahead := d.sidecars[0].process.Now() - d.network.Now()
			return ahead > 0.49 && ahead < 0.51
		}},
		{"grow", []environment.Fault{{Kind: environment.ScaleOut, AtSeconds: at, SidecarCount: 1}}, nil, func(d *day) bool {
			return last(d).upSince >= d.spec.Start+at && seen(d) == "alive"
		}},
		{"shrink", []environment.Fault{{Kind: environment.ScaleIn, AtSeconds: at, SidecarCount: 1}}, nil, func(d *day) bool {
			return !last(d).process.IsRunning() && seen(d) == "left"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, on := range []bool{true, false} {
				s := environment.Script{Seed: seed, LengthSeconds: 20, Faults: c.beside}
				if on {
					s.Faults = append(c.with, c.beside...)
				}
				d, err := newDay(s, Options{FleetMode: FleetOn})
				require.NoError(t, err)
				d.run("")
				assert.Empty(t, d.checker.Violations())
				assert.Equal(t, on, c.does(d))
			}
		})
	}
}

// Among 300 sidecars health checks, and so the policy's wake-ups, are far apart: no replaced timer is left.
func TestLargeFleetLeavesNoTimers(t *testing.T) {
	t.Parallel()
	o := Options{Sidecars: 300, FleetMode: FleetOff}
	r, err := Play(o.DrawScript(3), o)
	require.NoError(t, err)
	assert.Empty(t, r.Violations)
}

// eventCounter counts events of a day.
type eventCounter struct {
	kinds           map[checker.Kind]int
	earlyDepartures int // clients that left before their time-out
	closedByServers int // connections
	omittedServers  int // left out by a list while draining
	drains          map[int32]bool
	lateConnects    int // connections not established in time
}

func (c *eventCounter) Observe(e checker.Event) {
	c.kinds[e.Kind]++
	switch {
	case e.Kind == checker.RequestAbandoned && e.At < e.Deadline:
		c.earlyDepartures++
	case e.Kind == checker.ConnectionClosed && e.ByServer:
		c.closedByServers++
	case e.Kind == checker.ListChanged:
		c.drains[e.Server] = e.Status == checker.Draining
	case e.Kind == checker.EntryDelivered && e.Status == checker.Deleted && c.drains[e.Server]:
		c.omittedServers++
	}
}

// Each fault of connections, watches and clients has its effect, violates no rule, and the effect does not occur without it.
func TestConnectionFaults(t *testing.T) {
	const seed, at = 3, 6.0
	o := Options{FleetMode: FleetOff}
	d := environment.Draw(seed, o.Ranges())
	var boxes []string
	for _, b := range d.Servers[:d.InitialServers] {
		boxes = append(boxes, b.Name)
	}
	for _, c := range []struct {
		name   string
		with   environment.Fault
		beside []environment.Fault
		does   func(c *eventCounter) bool
	}{
		{"silent-watch", environment.Fault{Kind: environment.SilentWatch, AtSeconds: at}, nil, func(c *eventCounter) bool {
			return c.kinds[checker.WatchStalled] == len(d.Sidecars) && c.kinds[checker.WatchOpened] == 2*len(d.Sidecars)
		}},
		{"watch-reset", environment.Fault{Kind: environment.WatchReset, AtSeconds: at}, nil, func(c *eventCounter) bool {
			return c.kinds[checker.WatchClosed] == len(d.Sidecars) && c.kinds[checker.WatchOpened] == 2*len(d.Sidecars)
		}},
		{"whole-list", environment.Fault{Kind: environment.FullList, AtSeconds: at, DurationSeconds: 10},
			[]environment.Fault{{Kind: environment.ScaleIn, AtSeconds: at, DrainSeconds: 14, Servers: boxes[:2]}, {Kind: environment.WatchReset, AtSeconds: at + 4}}, func(c *eventCounter) bool {
				return c.omittedServers == 2*len(d.Sidecars)
			}},
		{"clients-leave", environment.Fault{Kind: environment.ClientsLeave, AtSeconds: at, DurationSeconds: 10, Sidecars: []int{0, 1}, Share: 0.5}, nil, func(c *eventCounter) bool {
			return c.earlyDepartures > 10 && c.kinds[checker.RequestHalfClosed] > 5
		}},
		{"late-connect", environment.Fault{Kind: environment.LateConnect, AtSeconds: at, DurationSeconds: 10, Servers: boxes, Share: 0.5, DelaySeconds: 1.5},
			[]environment.Fault{{Kind: environment.EarlyClose, AtSeconds: at, DurationSeconds: 10, Servers: boxes, Share: 0.2}}, func(c *eventCounter) bool { return c.lateConnects > 10 }},
		{"early-close", environment.Fault{Kind: environment.EarlyClose, AtSeconds: at, DurationSeconds: 10, Servers: boxes, Share: 0.2}, nil, func(c *eventCounter) bool { return c.closedByServers > 100 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, on := range []bool{true, false} {
				s := environment.Script{Seed: seed, LengthSeconds: 20, Faults: c.beside}
				if on {
					s.Faults = append([]environment.Fault{c.with}, c.beside...)
				}
				seen := &eventCounter{kinds: map[checker.Kind]int{}, drains: map[int32]bool{}}
				o := o
				o.Observer = seen
				o.Trace = func(_ float64, line string) {
					if strings.Contains(line, " not up ") {
						seen.lateConnects++
					}
				}
				r, err := Play(s, o)
				require.NoError(t, err)
				assert.Empty(t, r.Violations)
				assert.Equal(t, on, c.does(seen), "%+v", seen)
			}
		})
	}
}
