package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Settings are the parameters of a View.
type Settings struct {
	// SuspectAfterSeconds is the age of the last heartbeat above which a process counts as unreachable. It is increased in
	// large fleets, in which heartbeats take longer to reach every process.
	SuspectAfterSeconds float64
	// ForgetAfterSeconds is the age of the last heartbeat above which a process's record is dropped.
	ForgetAfterSeconds float64
	// PartialViewSize is the number of peers that are kept for exchanges.
	PartialViewSize int
	// RecordsPerExchange bounds the records in one exchange. Higher values spread changes of records faster.
	RecordsPerExchange int
	// HeartbeatsPerExchange bounds the heartbeats in one exchange. If it is lower than the number of processes, failures
	// are detected later.
	HeartbeatsPerExchange int
}

const (
	// largeFleet is the number of processes above which suspicion times grow, since heartbeats don't all fit into an exchange.
	largeFleet = 64
	// suspicionGrowth is the fraction by which SuspectAfterSeconds grows with each doubling above largeFleet.
	suspicionGrowth = 0.3
)

// knownProcess is what a view knows of another process.
type knownProcess struct {
	record    Record
	updatedAt float64 // when its heartbeat last grew
}

// View is the membership list of one process.
type View struct {
	settings    Settings
	rng         *rand.Rand
	self        Record
	known       map[string]*knownProcess // by name
	forgotten   map[string]Record        // dropped records, so that older copies don't bring a dead process back
	peers       []string                 // names of the processes in the partial view
	seeds       []string                 // addresses of processes to contact first
	nextPeer    int                      // index in peers
	refutations []Record                 // records for the next exchange that tell a run of a higher incarnation; see queueRefutation
}

// New returns a view that knows the local record and the addresses of seeds. It draws all random numbers from rng.
func New(settings Settings, self Record, seeds []string, rng *rand.Rand) *View {
	return &View{settings: settings, rng: rng, self: self, known: map[string]*knownProcess{}, forgotten: map[string]Record{},
		seeds: slices.Clone(seeds)}
}

// SetSeeds replaces the addresses of seeds.
func (v *View) SetSeeds(seeds []string) { v.seeds = slices.Clone(seeds) }

// Self returns the local record.
func (v *View) Self() Record { return v.self }

// SetDemands replaces the demands in the local record. They are not urgent: the heartbeat stays as it is, and the new content
// spreads with the next heartbeat.
func (v *View) SetDemands(demands []Demand) {
	v.self.Demands = demands
	v.self.Revision++
}

// SetReleasedToken puts the fencing token of a released role into the local record.
func (v *View) SetReleasedToken(token uint64) {
	v.self.ReleasedToken = token
	v.markRevised()
}

// MarkLeaving marks the local record as leaving.
func (v *View) MarkLeaving() {
	v.self.Leaving = true
	v.markRevised()
}

// markRevised makes peers adopt the changed content of the local record.
func (v *View) markRevised() {
	v.self.Revision++
	v.self.Heartbeat++
}

// Tick raises the local heartbeat and drops processes whose heartbeat is too old. The host calls it before each exchange.
func (v *View) Tick(now float64) {
	v.self.Heartbeat++
	for name, process := range v.known {
		if now-process.updatedAt > v.settings.ForgetAfterSeconds {
			v.forgotten[name] = process.record
			delete(v.known, name)
		}
	}
	v.peers = slices.DeleteFunc(v.peers, func(name string) bool { return v.known[name] == nil })
	v.refillPeers(now)
}

func (v *View) isAlive(process *knownProcess, now float64) bool {
	return now-process.updatedAt <= v.suspicionSeconds()
}

// suspicionSeconds returns the age of the last heartbeat above which a process counts as unreachable.
func (v *View) suspicionSeconds() float64 {
	doublings := math.Log2(max(float64(len(v.known))/largeFleet, 1))
	return v.settings.SuspectAfterSeconds * (1 + suspicionGrowth*doublings)
}

// Member is a process as a view knows it.
type Member struct {
	Record
	HeartbeatAgeSeconds float64 // age of the last heartbeat
	Alive               bool
}

// Members returns all known processes, including the local one, in the order of their names.
func (v *View) Members(now float64) []Member {
	members := []Member{{Record: v.self, Alive: true}}
	for _, process := range v.known {
		members = append(members, Member{Record: process.record, HeartbeatAgeSeconds: now - process.updatedAt, Alive: v.isAlive(process, now)})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Address returns the address at which peers reach a process, or "" if the process is not known.
func (v *View) Address(name string) string {
	if name == v.self.Name {
		return v.self.Address
	}
	if process := v.known[name]; process != nil {
		return process.record.Address
	}
	return ""
}

// Rank returns the index of a process among the known ones of its kind in the order of their names, and their number.
// Unreachable processes count until they are dropped, so that a restart changes no rank.
func (v *View) Rank(name string, kind Kind) (rank, count int) {
	for other, process := range v.known {
		if process.record.Kind != kind || other == name {
			continue
		}
		count++
		if other < name {
			rank++
		}
	}
	return rank, count + 1
}
