// Package membership keeps who is there: a partial view of peers that is shuffled at each exchange, and a roster of
// records that spread with it. It is a pure state machine; time comes as seconds on the host's steady clock.
package membership

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Kind is what a process does.
type Kind string

// The kinds of processes that take part.
const (
	Control Kind = "control"
	Agent   Kind = "agent"
	Gateway Kind = "gateway" // names control processes to the operator, and holds nothing itself
)

// Record is what is told of a process. A higher incarnation is a newer life. Within one, what a record says goes by its revision and
// that the process lives by its heartbeat: heartbeats also travel without records, and so reach a peer ahead of what has changed.
type Record struct {
	Name            string   `msgpack:"n"`
	Kind            Kind     `msgpack:"k"`
	Address         string   `msgpack:"a"` // where peers reach it, IP:PORT
	Zone            string   `msgpack:"z"`
	Incarnation     uint64   `msgpack:"i"`
	RunID           uint64   `msgpack:"l"` // drawn at each start; tells lives of one incarnation apart
	Heartbeat       uint64   `msgpack:"b"`
	Revision        uint64   `msgpack:"w"` // counts changes of what the record says within a life
	Leaving         bool     `msgpack:"x"`
	VoterID         string   `msgpack:"v"` // the identity on its disk, for control processes
	OperatorAddress string   `msgpack:"o"` // where the operator reaches it, for control processes
	ReleasedToken   uint64   `msgpack:"e"` // the token of the role that a control process has given up, 0: none
	Demands         []Demand `msgpack:"d"` // what a proxy asks of model servers
}

// Demand is what one proxy asks of the model servers of a service.
type Demand struct {
	Service                string  `msgpack:"s"`
	PrefillTokensPerSecond float64 `msgpack:"r"` // prompt tokens to be read a second
	DecodeStreams          float64 `msgpack:"n"` // answers under way
	KVTokens               float64 `msgpack:"h"` // tokens that those answers hold in memory
}

// newer tells whether r says more than other.
func (r *Record) newer(other *Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Heartbeat, other.Heartbeat)) > 0
}

// Heartbeat is the heartbeat of a life that the receiver knows by its record. Beats cost a few bytes, so that news of all live
// processes goes with each exchange while records are told now and then.
type Heartbeat struct {
	//lint:ignore U1000 the library goes by this field: many values go with each exchange, and either form is read
	_msgpack struct{} `msgpack:",as_array"`

	Key     uint32 `msgpack:"k"`
	Counter uint64 `msgpack:"b"`
}

// key tells lives apart.
func (r *Record) key() uint32 {
	const prime = 16777619
	key := uint32(r.RunID) ^ uint32(r.RunID>>32)
	for i := range len(r.Name) {
		key = (key ^ uint32(r.Name[i])) * prime
	}
	return key
}

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

// refill takes random live processes into the partial view until it is full.
func (v *View) refill(now float64) {
	if len(v.peers) >= v.settings.PartialViewSize || len(v.peers) >= len(v.entries) {
		return
	}
	names := slices.Sorted(maps.Keys(v.entries))
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if len(v.peers) >= v.settings.PartialViewSize {
			return
		}
		if v.alive(v.entries[name], now) && !slices.Contains(v.peers, name) {
			v.peers = append(v.peers, name)
		}
	}
}

// farWeight is how many processes of the own zone weigh as much as all others when a partner is drawn. Bytes between zones are dear: what
// is known in a zone goes round within it, and each of its processes fetches from others now and then. Where a zone has few, most
// exchanges go beyond it.
const farWeight = 4.0

// near returns the addresses of live processes of the own zone, in order.
func (v *View) near(now float64) (addresses []string) {
	for _, e := range v.entries {
		if e.record.Zone == v.self.Zone && v.alive(e, now) {
			addresses = append(addresses, e.record.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// nearPart is the part of exchanges that stay in the zone.
func nearPart(near int) float64 { return float64(near) / (float64(near) + farWeight) }

// PickPartner returns the address for the next exchange, "" if there is none: of a process of the own zone or of a peer of the partial view;
// now and then, and while nobody is known, of a seed.
func (v *View) PickPartner(now float64) string {
	const seedEvery = 8
	if near := v.near(now); v.rng.Float64() < nearPart(len(near)) {
		return near[v.rng.IntN(len(near))]
	}
	if len(v.seeds) > 0 && (len(v.peers) == 0 || v.rng.IntN(seedEvery) == 0) {
		if seed := v.seeds[v.rng.IntN(len(v.seeds))]; seed != v.self.Address {
			return seed
		}
	}
	if len(v.peers) == 0 {
		return ""
	}
	v.next = (v.next + 1) % len(v.peers)
	return v.entries[v.peers[v.next]].record.Address
}

// PickFanout returns up to n addresses of random live processes, for news that can't wait: most of the own zone, one at least of another.
func (v *View) PickFanout(now float64, n int) []string {
	near := v.near(now)
	var far []string
	for _, e := range v.entries {
		if e.record.Zone != v.self.Zone && v.alive(e, now) {
			far = append(far, e.record.Address)
		}
	}
	slices.Sort(far)
	v.shuffled(near)
	v.shuffled(far)
	fromNear := min(int(math.Round(float64(n)*nearPart(len(near)))), len(near))
	if len(far) > 0 {
		fromNear = min(fromNear, n-1)
	}
	fromFar := min(n-fromNear, len(far))
	return append(near[:min(n-fromFar, len(near))], far[:fromFar]...)
}

func (v *View) shuffled(addresses []string) {
	v.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// SampleRecords returns the records to tell in an exchange: the own one and others, drawn at random.
func (v *View) SampleRecords(now float64) []Record {
	records := append([]Record{v.self}, v.rebuttal...)
	v.rebuttal = nil
	names := slices.Sorted(maps.Keys(v.entries))
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if len(records) >= v.settings.RecordsPerExchange {
			break
		}
		// Danger: who is silent is not passed on, or old news would go round for ever.
		if e := v.entries[name]; v.alive(e, now) {
			records = append(records, e.record)
		}
	}
	return records
}

// SampleHeartbeats returns heartbeats to tell in an exchange: of all that live, or of some drawn at random.
func (v *View) SampleHeartbeats(now float64) []Heartbeat {
	var beats []Heartbeat
	for _, e := range v.entries {
		if v.alive(e, now) {
			beats = append(beats, Heartbeat{Key: e.record.key(), Counter: e.record.Heartbeat})
		}
	}
	slices.SortFunc(beats, func(a, b Heartbeat) int { return cmp.Compare(a.Key, b.Key) })
	if len(beats) > v.settings.HeartbeatsPerExchange {
		v.rng.Shuffle(len(beats), func(i, j int) { beats[i], beats[j] = beats[j], beats[i] })
		beats = beats[:v.settings.HeartbeatsPerExchange]
	}
	return beats
}

// MergeHeartbeats takes heartbeats that a peer told.
func (v *View) MergeHeartbeats(now float64, beats []Heartbeat) {
	if len(beats) == 0 {
		return
	}
	byKey := make(map[uint32]uint64, len(beats))
	for _, beat := range beats {
		byKey[beat.Key] = beat.Counter
	}
	for _, e := range v.entries {
		if heartbeat, ok := byKey[e.record.key()]; ok && heartbeat > e.record.Heartbeat {
			e.record.Heartbeat, e.heard = heartbeat, now
		}
	}
}

// MergeRecords takes records that a peer told. It returns whether a process came that was not known.
func (v *View) MergeRecords(now float64, records []Record) (came bool) {
	for i := range records {
		if v.merge(now, &records[i]) {
			came = true
		}
	}
	v.refill(now)
	v.shuffle(records)
	return came
}

func (v *View) merge(now float64, record *Record) bool {
	if record.Name == "" || record.Address == "" {
		return false
	}
	if record.Name == v.self.Name {
		v.outbid(record)
		return false
	}
	if old, ok := v.dead[record.Name]; ok && !record.newer(&old) {
		v.rebut(&old, record)
		return false
	}
	known := v.entries[record.Name]
	if known == nil {
		delete(v.dead, record.Name)
		v.entries[record.Name] = &entry{*record, now}
		return true
	}
	if record.Incarnation == known.record.Incarnation && record.RunID == known.record.RunID {
		known.update(now, record)
		return false
	}
	if record.newer(&known.record) {
		came := record.RunID != known.record.RunID
		known.record, known.heard = *record, now
		return came
	}
	v.rebut(&known.record, record)
	return false
}

// update takes what another copy of the same life's record says.
func (e *entry) update(now float64, record *Record) {
	heartbeat := e.record.Heartbeat
	if record.Heartbeat > heartbeat {
		heartbeat, e.heard = record.Heartbeat, now
	}
	if record.Revision > e.record.Revision {
		e.record = *record
	}
	e.record.Heartbeat = heartbeat
}

// rebut keeps a record for the next exchange where another life of the same process told an older one, so that it outbids it.
func (v *View) rebut(newest, told *Record) {
	const most = 4
	if newest.RunID != told.RunID && len(v.rebuttal) < most {
		v.rebuttal = append(v.rebuttal, *newest)
	}
}

// outbid makes sure that this life's record is newer than that of one before. Clocks jump and diskless processes remember nothing.
func (v *View) outbid(record *Record) {
	if record.RunID != v.self.RunID && record.Incarnation >= v.self.Incarnation {
		v.self.Incarnation = record.Incarnation + 1
	}
}

// shuffle trades a peer of the partial view for one of those that were told.
func (v *View) shuffle(told []Record) {
	if len(v.peers) < v.settings.PartialViewSize || len(told) == 0 {
		return
	}
	name := told[v.rng.IntN(len(told))].Name
	if v.entries[name] != nil && !slices.Contains(v.peers, name) {
		v.peers[v.rng.IntN(len(v.peers))] = name
	}
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
