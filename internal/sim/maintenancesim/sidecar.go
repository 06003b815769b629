package maintenancesim

import (
	"cmp"
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

// Times after which a sidecar that is not reachable is suspect, and dead, to others; and until others know of a new one.
const (
	suspectSeconds  = 1.5
	deadSeconds     = 4.0
	discoverSeconds = 0.3
)

// sidecar is a sidecar over all its processes.
type sidecar struct {
	sim                   *Simulation
	number                int
	id                    swim.ID
	bootID                uint64 // of the process; 0: none was started yet
	process               int    // number of the process; events for an earlier one are dropped
	isRunning             bool
	isFrozen              bool
	isIsolated            bool // from other sidecars and the voters, not from servers
	hasLeft               bool
	reachabilityChangedAt float64
	startedAt             float64
	deferred              []func() // until the process is not frozen any more

	// What it applies, which is stored, and what it sends.
	version         uint64
	state           maintenance.State
	cordoned        map[string]bool
	uncordonedUntil map[string]float64 // by an operator at this sidecar
	inFlight        map[string]int     // requests
	lastUsedAt      map[string]float64

	// As lease holder, as far as it knows.
	coordinator        *maintenance.Coordinator // nil: it holds no lease
	leaseToken         uint64
	coordinatorVersion uint64 // of the State that the coordinator knows
	isWriting          bool
	nextStep           float64
}

func (n *sidecar) name() string { return fmt.Sprint("n", n.number) }

// run runs an event of a process: later if it is frozen, and not at all if it has ended.
func (n *sidecar) run(process int, event func()) {
	switch {
	case n.process != process || !n.isRunning:
	case n.isFrozen:
		n.deferred = append(n.deferred, func() { n.run(process, event) })
	default:
		event()
	}
}

// start starts a process, unless one is running. It asks others for the committed State before it sends any request.
func (n *sidecar) start() {
	s := n.sim
	if n.isRunning {
		return
	}
	n.isRunning, n.isFrozen, n.hasLeft, n.deferred = true, false, false, nil
	n.reachabilityChangedAt, n.startedAt = s.Now(), s.Now()
	n.process++
	n.bootID = s.rng.Uint64() | 1
	n.inFlight, n.lastUsedAt, n.uncordonedUntil = map[string]int{}, map[string]float64{}, map[string]float64{}
	if n.cordoned == nil {
		n.cordoned = map[string]bool{}
	}
	s.log("%s started, version %d", n.name(), n.version)
	if !n.isIsolated {
		n.apply(s.version, s.body)
	}
	process := n.process
	s.After(s.uniform(0, 0.5), func() { n.sendRequests(process) })
}

// stop ends the process, and with it its connections and the requests on them. announced: it leaves the membership first.
func (n *sidecar) stop(announced bool) {
	if !n.isRunning {
		return
	}
	n.sim.log("%s stopped", n.name())
	n.isRunning, n.isFrozen, n.deferred, n.hasLeft = false, false, nil, announced
	n.reachabilityChangedAt = n.sim.Now()
	n.process++
	for name, requests := range n.inFlight {
		n.sim.serverByName(name).inFlight -= requests
	}
	n.inFlight = nil
	n.dropLease("process ended")
}

// freeze stalls the process for some seconds.
func (n *sidecar) freeze(seconds float64) {
	if !n.isRunning || n.isFrozen {
		return
	}
	n.sim.log("%s frozen for %.2f s", n.name(), seconds)
	n.isFrozen, n.reachabilityChangedAt = true, n.sim.Now()
	process := n.process
	n.sim.After(seconds, func() {
		if n.process == process {
			n.thaw()
		}
	})
}

// thaw ends freeze and runs the events that came meanwhile.
func (n *sidecar) thaw() {
	if !n.isFrozen {
		return
	}
	n.isFrozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, event := range deferred {
		event()
	}
}

// apply takes a committed State if it is newer.
func (n *sidecar) apply(version uint64, body []byte) {
	if version <= n.version {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		n.sim.violated(RuleState, "%v", err)
		return
	}
	n.version, n.state, n.cordoned = version, state, map[string]bool{}
	for name := range state.Cordoned {
		n.cordoned[name] = true
	}
}

// isCordoned reports whether this sidecar sends no new requests to a server.
func (n *sidecar) isCordoned(name string) bool {
	return n.cordoned[name] && n.uncordonedUntil[name] <= n.sim.Now()
}

// sendRequests sends a request to a random server if it may, and again after a random time.
func (n *sidecar) sendRequests(process int) {
	s := n.sim
	n.run(process, func() {
		b := s.servers[s.rng.IntN(len(s.servers))]
		if n.isCordoned(b.name) || b.isUnlisted || b.isDown && s.chance(0.9) {
			return
		}
		n.sendRequest(process, b)
	})
	s.After(s.uniform(0.1, 0.9), func() {
		if n.process == process {
			n.sendRequests(process)
		}
	})
}

// sendRequest sends a request. A few take much longer than the quiet period.
func (n *sidecar) sendRequest(process int, b *server) {
	s := n.sim
	s.checkRequest(b, n)
	n.inFlight[b.name]++
	n.lastUsedAt[b.name], b.lastUsedAt, b.lastUser = s.Now(), s.Now(), n
	b.inFlight++
	lasts := s.uniform(0.01, 0.4)
	if s.chance(0.003) {
		lasts = s.uniform(5, 30)
	}
	s.After(lasts, func() {
		if n.process != process {
			return
		}
		b.inFlight--
		b.lastUsedAt, b.lastUser = s.Now(), n
		n.run(process, func() {
			n.inFlight[b.name]--
			n.lastUsedAt[b.name] = s.Now()
		})
	})
}

// reaches reports whether two sidecars can exchange messages.
func (n *sidecar) reaches(other *sidecar) bool {
	return n == other || n.isRunning && other.isRunning && !n.isIsolated && !other.isIsolated && !n.isFrozen && !other.isFrozen
}

// report returns this sidecar's part of a report.
func (n *sidecar) report() (reporter maintenance.Reporter, inUse []maintenance.InUse) {
	now := n.sim.Now()
	for _, b := range n.sim.servers {
		if !n.cordoned[b.name] {
			continue
		}
		isUncordoned := n.uncordonedUntil[b.name] > now
		last, used := n.lastUsedAt[b.name]
		if isUncordoned || n.inFlight[b.name] > 0 || used && now-last < n.quietSeconds(b.name) {
			inUse = append(inUse, maintenance.InUse{Server: b.name, Member: n.id, Uncordoned: isUncordoned, InFlight: n.inFlight[b.name]})
		}
	}
	return maintenance.Reporter{ID: n.id, BootID: n.bootID, Version: n.version}, inUse
}

// quietSeconds returns the quiet period of the plan that has a server cordoned.
func (n *sidecar) quietSeconds(name string) float64 {
	seconds := 1.0
	for _, p := range n.state.Plans {
		if slices.ContainsFunc(p.Servers, func(o maintenance.Server) bool { return o.Name == name && o.Stage.IsCordoned() }) {
			seconds = p.Spec.QuietPeriodSeconds()
		}
	}
	return seconds
}

// membersSeenBy returns the membership as one sidecar knows it.
func (s *Simulation) membersSeenBy(observer *sidecar) (all []maintenance.Member) {
	for _, n := range s.sidecars {
		isUnknown := n.process == 1 && n != observer && s.Now()-n.startedAt < discoverSeconds
		if n.bootID == 0 || isUnknown {
			continue
		}
		m := maintenance.Member{ID: n.id, Name: n.name(), BootID: n.bootID, StateAgeSeconds: s.Now() - n.reachabilityChangedAt}
		switch {
		case n.hasLeft && !n.isRunning:
			m.State = swim.Left
		case n.reaches(observer), m.StateAgeSeconds < suspectSeconds:
			m.State = swim.Alive
		case m.StateAgeSeconds < deadSeconds:
			m.State = swim.Suspect
		default:
			m.State = swim.Dead
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b maintenance.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
