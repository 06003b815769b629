package sim

import (
	"encoding/json"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/sidecar"
)

// listener stands between a sidecar and its fleet, and has the judge see what others pass on to it.
type listener struct {
	sidecar.ListReceiver
	s *instance
}

var statuses = map[string]int32{"SERVING": checker.Serving, "DRAINING": checker.Draining, "DELETED": checker.Deleted}

// ApplyList tells the judge of each entry before the sidecar knows it. Whether the list is as new as it should be is the judge's to
// say.
func (l listener) ApplyList(raw []byte) error {
	var list struct {
		Index     uint64
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Status string
			SinceMS               float64 `json:"since_ms"`
		}
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return l.ListReceiver.ApplyList(raw)
	}
	d := l.s.d
	named := map[string]int{} // entries, by box; looked up, never walked
	for i, e := range list.Endpoints {
		named[e.Name] = i + 1
	}
	for box := range d.spec.Servers {
		e := checker.Event{Kind: checker.EntryRelayed, At: d.net.Now(), Sidecar: int32(l.s.number), Server: int32(box), ListIndex: list.Index, Status: checker.Deleted}
		if i := named[d.spec.Servers[box].Name]; i > 0 {
			said := &list.Endpoints[i-1]
			e.Status, e.ServingSince, e.Address = statuses[said.Status], said.SinceMS/1000, said.Address
		} else if !list.Snapshot {
			continue
		}
		if d.seeAs(e); d.watch != nil {
			d.watch.Observe(e)
		}
	}
	return l.ListReceiver.ApplyList(raw)
}

// Releases are the troubles of a quiet day: one box after the other drains, ends and begins again.
func RollingReleases(d environment.Day) (all []environment.Fault) {
	for i, at := 0, settledS+1; at < d.LengthSeconds-10; i, at = i+1, at+2.5 {
		all = append(all, environment.Fault{Kind: environment.ScaleIn, AtSeconds: at, DurationSeconds: 4, DrainSeconds: 1.5, Servers: []string{d.Servers[i%d.InitialServers].Name}})
	}
	return all
}

// ListWitness measures from outside what the list costs discovery, and how old it is at the sidecars. It is an Options.Watch.
type ListObserver struct {
	Calls      int
	MaxWatches int // at once, at most, once the day has run for settledS
	Sidecars   int
	// Ages are, in seconds from when the list took a change to when a sidecar was told of it: each, and those of the slowest sidecar
	// alone. Who was not there all along, or stood still, does not count.
	Delays, SlowestDelays []float64
	watchS                float64 // of watches, summed
	since, began          float64
	watching              int
	parties               []listParty
	open                  []openList
}

type listParty struct {
	index uint64
	up    bool
}

type openList struct {
	index   uint64
	at      float64
	waits   []bool // by sidecar
	slowest float64
	missing int
}

// settledS is after a day's start.
const settledS = 15.0

// MeanWatches returns how many there were on the average, once the day had run for settledS.
func (w *ListObserver) MeanWatches() float64 {
	if w.since <= w.began+settledS {
		return 0
	}
	return w.watchS / (w.since - w.began - settledS)
}

// See takes an event.
func (w *ListObserver) Observe(e checker.Event) {
	if w.began == 0 {
		w.began, w.since = e.At, e.At
	}
	if from := max(w.since, w.began+settledS); e.At > from {
		w.watchS += float64(w.watching) * (e.At - from)
		w.MaxWatches = max(w.MaxWatches, w.watching)
	}
	w.since = max(w.since, e.At)
	switch e.Kind {
	case checker.DiscoveryCalled:
		w.Calls++
	case checker.WatchOpened:
		w.watching++
	case checker.WatchClosed:
		w.watching--
	case checker.ListChanged:
		w.listed(&e)
	case checker.EntryDelivered, checker.EntryRelayed:
		w.told(&e)
	case checker.SidecarStarted:
		p := w.party(e.Sidecar)
		*p = listParty{up: true}
	case checker.SidecarKilled, checker.SidecarTerminating, checker.SidecarExited, checker.SidecarSuspended:
		w.party(e.Sidecar).up = e.Kind == checker.SidecarSuspended
		for i := range w.open {
			w.close(i, e.Sidecar)
		}
	}
}

func (w *ListObserver) party(sidecar int32) *listParty {
	for int(sidecar) >= len(w.parties) {
		w.parties = append(w.parties, listParty{})
	}
	return &w.parties[sidecar]
}

func (w *ListObserver) listed(e *checker.Event) {
	o := openList{index: e.ListIndex, at: e.At}
	for _, p := range w.parties {
		o.waits = append(o.waits, p.up)
		if p.up {
			o.missing++
		}
	}
	if o.missing > 0 {
		w.open = append(w.open, o)
	}
}

// close has a sidecar not waited for any more.
func (w *ListObserver) close(i int, sidecar int32) bool {
	o := &w.open[i]
	if int(sidecar) >= len(o.waits) || !o.waits[sidecar] {
		return false
	}
	o.waits[sidecar] = false
	if o.missing--; o.missing == 0 && o.slowest > 0 {
		w.SlowestDelays = append(w.SlowestDelays, o.slowest)
	}
	return true
}

func (w *ListObserver) told(e *checker.Event) {
	p := w.party(e.Sidecar)
	if e.ListIndex <= p.index {
		return
	}
	p.index = e.ListIndex
	for i := range w.open {
		if o := &w.open[i]; o.index <= e.ListIndex && int(e.Sidecar) < len(o.waits) && o.waits[e.Sidecar] {
			o.slowest = max(o.slowest, e.At-o.at)
			w.Delays = append(w.Delays, e.At-o.at)
			w.close(i, e.Sidecar)
		}
	}
	w.open = slices.DeleteFunc(w.open, func(o openList) bool { return o.missing == 0 })
}
