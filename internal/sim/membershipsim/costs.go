package membershipsim

import (
	"fmt"
	"runtime"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Costs are what membership costs in a fleet of a size, and how soon deaths are known. Rates are those of one member.
type Costs struct {
	Members                  int     `json:"members"`
	FormedSeconds            float64 `json:"formed_s"` // from the last start until all members know all
	DeathKnownMedianSeconds  float64 `json:"death_known_median_s"`
	DeathKnown99Seconds      float64 `json:"death_known_99_s"`
	FrozenKnownMedianSeconds float64 `json:"frozen_known_median_s"`
	FrozenKnown99Seconds     float64 `json:"frozen_known_99_s"`
	IdleBytesPerSecond       float64 `json:"sent_bytes_per_s"` // sent while nothing changes
	ChurnBytesPerSecond      float64 `json:"sent_bytes_per_s_in_change"`
	WakeupsPerSecond         float64 `json:"wake_ups_per_s"`
	MaxLinks                 int     `json:"most_links"`
	ViewKiB                  float64 `json:"kib_of_a_view"`
	Trace                    uint64  `json:"trace"` // of Fleet.Trace
}

// String returns the costs as a line.
func (c Costs) String() string {
	return fmt.Sprintf("%5d  formed %5.1f s  kill known %4.2f / %4.2f s  freeze known %4.2f / %4.2f s  %4.0f B/s quiet, %5.0f in change  %4.1f wake-ups/s  %2d links  %6.1f KiB  trace %016x",
		c.Members, c.FormedSeconds, c.DeathKnownMedianSeconds, c.DeathKnown99Seconds, c.FrozenKnownMedianSeconds, c.FrozenKnown99Seconds, c.IdleBytesPerSecond, c.ChurnBytesPerSecond, c.WakeupsPerSecond, c.MaxLinks, c.ViewKiB, c.Trace)
}

const (
	formTimeoutSeconds  = 60.0
	formCheckSeconds    = 0.25 // between two checks whether a fleet has formed
	joinAddresses       = 3    // that a new member is given
	settleSeconds       = 5.0  // after a fleet has formed
	idleSeconds         = 10.0 // over which the cost without changes is measured
	deathTimeoutSeconds = 10.0 // in which a death must be known to all
	maxDeaths           = 10
)

// form adds nodes that join by a few that are there already, perSecond of them, and waits until all members know all.
func (f *Fleet) form(n int, perSecond float64) (formedSeconds float64, ok bool) {
	first := len(f.Nodes)
	for i := range n {
		node := f.AddNode()
		var join []string
		for range joinAddresses {
			join = append(join, f.Nodes[f.rng.IntN(first+i+1)].Address)
		}
		f.At(f.Now()+float64(i)/perSecond, func() { node.Start(true, join...) })
	}
	f.RunUntil(f.Now() + float64(n)/perSecond)
	began := f.Now()
	for f.Now() < began+formTimeoutSeconds {
		if len(f.Discrepancies(1)) == 0 {
			return f.Now() - began, true
		}
		f.RunUntil(f.Now() + formCheckSeconds)
	}
	return formTimeoutSeconds, false
}

// Measure simulates a fleet of a size: it forms, is idle, and loses some members one after the other by kills and freezes. It is an
// error if it does not form, or if a death is not known to all in time.
func Measure(n int, seed uint64) (costs Costs, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := New(seed)
	var ok bool
	if costs.FormedSeconds, ok = f.form(n, min(max(20, float64(n)/20), 100)); !ok {
		return costs, fmt.Errorf("%d members: not formed: %v", n, f.Discrepancies(3))
	}
	costs.Members = n
	f.RunUntil(f.Now() + settleSeconds)
	runtime.GC()
	runtime.ReadMemStats(&after)
	costs.ViewKiB = float64(after.HeapAlloc-before.HeapAlloc) / float64(n) / 1024

	bytesBefore, wakeupsBefore := f.totals()
	f.RunUntil(f.Now() + idleSeconds)
	bytesIdle, wakeupsIdle := f.totals()
	costs.IdleBytesPerSecond = float64(bytesIdle-bytesBefore) / idleSeconds / float64(n)
	costs.WakeupsPerSecond = float64(wakeupsIdle-wakeupsBefore) / idleSeconds / float64(n)

	began := f.Now()
	killed, frozen, err := f.measureDeaths(min(maxDeaths, max(n/2, 1)))
	if err != nil {
		return costs, err
	}
	bytesChurn, _ := f.totals()
	costs.ChurnBytesPerSecond = float64(bytesChurn-bytesIdle) / (f.Now() - began) / float64(n)
	costs.DeathKnownMedianSeconds, costs.DeathKnown99Seconds = quantile(killed, 0.5), quantile(killed, 0.99)
	costs.FrozenKnownMedianSeconds, costs.FrozenKnown99Seconds = quantile(frozen, 0.5), quantile(frozen, 0.99)
	for _, node := range f.Nodes {
		costs.MaxLinks = max(costs.MaxLinks, node.MaxLinks)
	}
	costs.Trace = f.Trace()
	return costs, nil
}

// totals returns what all nodes together have sent, and how often they woke up.
func (f *Fleet) totals() (bytes, wakeups uint64) {
	for _, node := range f.Nodes {
		bytes, wakeups = bytes+node.SentBytes, wakeups+node.Wakeups
	}
	return bytes, wakeups
}

// measureDeaths kills and freezes members in turn, and returns for each kind after how many seconds each other member knew.
func (f *Fleet) measureDeaths(deaths int) (killed, frozen []float64, err error) {
	defer func() { f.OnChange = nil }()
	for i := range deaths {
		victim, at, freezes := f.Nodes[1+i], f.Now(), i%2 == 1
		id := victim.View.Self().ID
		observers := map[int]bool{} // that know; looked up, never iterated
		f.OnChange = func(now float64, by *Node, r swim.Record, _ swim.State, _ bool) {
			if r.ID != id || r.State != swim.Dead || observers[by.Number] {
				return
			}
			observers[by.Number] = true
			if freezes {
				frozen = append(frozen, now-at)
			} else {
				killed = append(killed, now-at)
			}
		}
		if freezes {
			victim.Freeze()
		} else {
			victim.Kill()
		}
		f.RunUntil(at + deathTimeoutSeconds)
		if want := len(f.Nodes) - 1 - i; len(observers) < want {
			return nil, nil, fmt.Errorf("%d members: a death is known to %d of %d after 10 s", len(f.Nodes), len(observers), want)
		}
	}
	return killed, frozen, nil
}

// quantile returns the value below which a fraction of the values is; 0 if there are none.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	values = slices.Clone(values)
	slices.Sort(values)
	return values[min(int(fraction*float64(len(values))), len(values)-1)]
}
