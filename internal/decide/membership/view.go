package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Settings are the figures of a view. Times are in seconds.
type Settings struct {
	SuspectAfterSeconds   float64 // without news, a process counts as silent
	ForgetAfterSeconds    float64 // without news, its record is dropped
	PartialViewSize       int     // peers that are kept for exchanges
	RecordsPerExchange    int     // records that are told in one exchange
	HeartbeatsPerExchange int     // heartbeats that are told in one exchange
}

type entry struct {
	record Record
	heard  float64 // when news came last
}

// View is what one process knows of the others.
type View struct {
	settings Settings
	rng      *rand.Rand
	self     Record
	entries  map[string]*entry
	dead     map[string]Record // the newest record of those that were dropped, so that old news don't revive them
	peers    []string          // names of the partial view
	seeds    []string          // addresses
	next     int               // of the peers, whose turn it is
	rebuttal []Record          // newer than what was told lately by a life that does not know it; told in the next exchange
}

// New returns a view that knows itself and the addresses of seeds.
func New(settings Settings, self Record, seeds []string, rng *rand.Rand) *View {
	return &View{settings: settings, rng: rng, self: self, entries: map[string]*entry{}, dead: map[string]Record{},
		seeds: slices.Clone(seeds)}
}

// SetSeeds replaces the addresses that are asked where the view is thin.
func (v *View) SetSeeds(seeds []string) { v.seeds = slices.Clone(seeds) }

// Self returns the own record.
func (v *View) Self() Record { return v.self }

// SetDemands replaces what the own record tells of the proxy.
func (v *View) SetDemands(demands []Demand) {
	v.self.Demands = demands
	v.self.Revision++ // without a heartbeat: this is told with the next one
}

// SetReleasedToken tells which token this process has given up.
func (v *View) SetReleasedToken(token uint64) {
	v.self.ReleasedToken = token
	v.revise()
}

// MarkLeaving marks the own record as one that is about to end.
func (v *View) MarkLeaving() {
	v.self.Leaving = true
	v.revise()
}

// revise marks the own record as changed.
func (v *View) revise() {
	v.self.Revision++
	v.self.Heartbeat++
}

// Tick raises the own heartbeat and drops who was silent for too long.
func (v *View) Tick(now float64) {
	v.self.Heartbeat++
	for name, e := range v.entries {
		if now-e.heard > v.settings.ForgetAfterSeconds {
			v.dead[name] = e.record
			delete(v.entries, name)
		}
	}
	v.peers = slices.DeleteFunc(v.peers, func(name string) bool { return v.entries[name] == nil })
	v.refill(now)
}

// Member is a record with the state in which it is held.
type Member struct {
	Record
	SilentSeconds float64 // seconds without news
	Alive         bool
}

// Members returns all that are known by name, this process among them.
func (v *View) Members(now float64) []Member {
	members := []Member{{Record: v.self, Alive: true}}
	for _, e := range v.entries {
		members = append(members, Member{Record: e.record, SilentSeconds: now - e.heard, Alive: v.alive(e, now)})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Rank returns the place of a process among those of its kind by name, and how many there are. Those that are silent keep their
// places until they are forgotten, so that one that restarts moves nobody.
func (v *View) Rank(name string, kind Kind) (rank, count int) {
	for other, e := range v.entries {
		if e.record.Kind != kind || other == name {
			continue
		}
		count++
		if other < name {
			rank++
		}
	}
	return rank, count + 1
}

const (
	// wideFleet is the size from which on heartbeats don't all fit into an exchange and take longer to reach everybody, widen by how
	// much longer for each doubling.
	wideFleet = 64
	widen     = 0.3
)

func (v *View) alive(e *entry, now float64) bool { return now-e.heard <= v.suspectAfterS() }

// suspectAfterS grows with the fleet.
func (v *View) suspectAfterS() float64 {
	doublings := math.Log2(max(float64(len(v.entries))/wideFleet, 1))
	return v.settings.SuspectAfterSeconds * (1 + widen*doublings)
}
