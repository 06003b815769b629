package membershipsim

import (
	"fmt"
	"runtime"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Figures are what a fleet of a size costs, and how soon it knows.
type Costs struct {
	Members                  int     `json:"members"`
	FormedSeconds            float64 `json:"formed_s"` // until all knew all, from the last start on
	DeathKnownMedianSeconds  float64 `json:"death_known_median_s"`
	DeathKnown99Seconds      float64 `json:"death_known_99_s"`
	FrozenKnownMedianSeconds float64 `json:"frozen_known_median_s"`
	FrozenKnown99Seconds     float64 `json:"frozen_known_99_s"`
	IdleBytesPerSecond       float64 `json:"sent_bytes_per_s"` // of a sidecar, while nothing happens
	ChurnBytesPerSecond      float64 `json:"sent_bytes_per_s_in_change"`
	WakeupsPerSecond         float64 `json:"wake_ups_per_s"`
	MaxLinks                 int     `json:"most_links"`
	ViewKiB                  float64 `json:"kib_of_a_view"`
	Trace                    uint64  `json:"trace"` // the same for the same history
}

func (f Costs) String() string {
	return fmt.Sprintf("%5d  formed %5.1f s  kill known %4.2f / %4.2f s  freeze known %4.2f / %4.2f s  %4.0f B/s quiet, %5.0f in change  %4.1f wake-ups/s  %2d links  %6.1f KiB  trace %016x",
		f.Members, f.FormedSeconds, f.DeathKnownMedianSeconds, f.DeathKnown99Seconds, f.FrozenKnownMedianSeconds, f.FrozenKnown99Seconds, f.IdleBytesPerSecond, f.ChurnBytesPerSecond, f.WakeupsPerSecond, f.MaxLinks, f.ViewKiB, f.Trace)
}

// form adds members that join by a few that are there already, so many a second, and waits until all know all.
func (c *Fleet) form(n int, perS float64) (formedS float64, ok bool) {
	from := len(c.Nodes)
	for i := range n {
		node := c.AddNode()
		var join []string
		for range 3 {
			join = append(join, c.Nodes[c.rng.IntN(from+i+1)].Address)
		}
		c.At(c.Now()+float64(i)/perS, func() { node.Start(true, join...) })
	}
	c.Until(c.Now() + float64(n)/perS)
	began := c.Now()
	for c.Now() < began+60 {
		if len(c.Discrepancies(1)) == 0 {
			return c.Now() - began, true
		}
		c.Until(c.Now() + 0.25)
	}
	return 60, false
}

// Measure plays a fleet of a size: it forms, rests, and loses some by kills and freezes, one after the other.
func Measure(n int, seed uint64) (f Costs, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := New(seed)
	var ok bool
	if f.FormedSeconds, ok = c.form(n, min(max(20, float64(n)/20), 100)); !ok {
		return f, fmt.Errorf("%d members: not formed: %v", n, c.Discrepancies(3))
	}
	f.Members = n
	c.Until(c.Now() + 5)
	runtime.GC()
	runtime.ReadMemStats(&after)
	f.ViewKiB = float64(after.HeapAlloc-before.HeapAlloc) / float64(n) / 1024

	sent := func() (bytes, calls uint64) {
		for _, node := range c.Nodes {
			bytes, calls = bytes+node.SentBytes, calls+node.Wakeups
		}
		return bytes, calls
	}
	const restS = 10.0
	b0, c0 := sent()
	c.Until(c.Now() + restS)
	b1, c1 := sent()
	f.IdleBytesPerSecond, f.WakeupsPerSecond = float64(b1-b0)/restS/float64(n), float64(c1-c0)/restS/float64(n)

	began := c.Now()
	var killed, frozen []float64
	deaths := min(10, max(n/2, 1))
	for i := range deaths {
		victim, at, stands := c.Nodes[1+i], c.Now(), i%2 == 1
		id := victim.View.Self().ID
		told := map[int]bool{} // by observer; looked up, never walked
		c.OnChange = func(now float64, by *Node, r swim.Record, _ swim.State, _ bool) {
			if r.ID != id || r.State != swim.Dead || told[by.Number] {
				return
			}
			told[by.Number] = true
			if stands {
				frozen = append(frozen, now-at)
			} else {
				killed = append(killed, now-at)
			}
		}
		if stands {
			victim.Freeze()
		} else {
			victim.Kill()
		}
		c.Until(at + 10)
		if want := n - 1 - i; len(told) < want {
			return f, fmt.Errorf("%d members: a death is known to %d of %d after 10 s", n, len(told), want)
		}
	}
	c.OnChange = nil
	b2, _ := sent()
	f.ChurnBytesPerSecond = float64(b2-b1) / (c.Now() - began) / float64(n)
	f.DeathKnownMedianSeconds, f.DeathKnown99Seconds = quantile(killed, 0.5), quantile(killed, 0.99)
	f.FrozenKnownMedianSeconds, f.FrozenKnown99Seconds = quantile(frozen, 0.5), quantile(frozen, 0.99)
	for _, node := range c.Nodes {
		f.MaxLinks = max(f.MaxLinks, node.MaxLinks)
	}
	f.Trace = c.Trace()
	return f, nil
}

func quantile(all []float64, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}
