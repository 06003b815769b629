package environment

import (
	"fmt"
	"math"

	"hazelwheel/internal/checker"
)

// Player plays a script's troubles at their times. Those of boxes, discovery and clients it does itself, those of
// machines, processes and paths it has the Ground do.
type FaultInjector struct {
	environment      *Environment
	hosts            Hosts
	observer         checker.Observer
	steps            schedule[func(now float64)]
	replacementTaken []bool // by box: it is to be brought in
	lateConnects     []int  // by box: troubles that have connections to it come up late
	hangs            []int  // by box: troubles that hold it
	slowReads        []int  // by application: troubles that slow it
	isGone           []bool // by sidecar: its next process has been arranged, or there is none to come
	firstStandby     int    // the first of the sidecars that have not come yet
	isTerminating    []bool // by sidecar: it has been told to end, and is to begin again
	fullDisks        []int  // by sidecar: troubles that fill its disk
	clockFaults      []int  // by sidecar: troubles that change its clock's rate
	oneWayFaults     []*oneWayFault
	isSuspended      []bool           // by sidecar: its process stands still
	peerFaults       map[peerPath]int // troubles of a way between sidecars; looked up, never walked
	peerRates        map[peerPath][]float64
}

// NewPlayer returns a player that has played nothing. A script that names what the day has not is an error.
func NewFaultInjector(environment *Environment, s *Script, g Hosts, observer checker.Observer) (*FaultInjector, error) {
	injector := &FaultInjector{environment: environment, hosts: g, observer: observer, hangs: make([]int, len(environment.Servers)), slowReads: make([]int, len(environment.Applications)),
		isGone: make([]bool, len(environment.Applications)), replacementTaken: make([]bool, len(environment.Servers)), lateConnects: make([]int, len(environment.Servers)),
		isSuspended: make([]bool, len(environment.Applications)), isTerminating: make([]bool, len(environment.Applications)), fullDisks: make([]int, len(environment.Applications)), clockFaults: make([]int, len(environment.Applications)),
		peerFaults: map[peerPath]int{}, peerRates: map[peerPath][]float64{}}
	if i, field, why := s.unknownReference(environment.Day); field != "" {
		return nil, fmt.Errorf("trouble %d: %s: %s", i+1, field, why)
	}
	injector.firstStandby = len(environment.Applications) - s.StandbySidecars()
	for i := injector.firstStandby; i < len(environment.Applications); i++ {
		injector.isGone[i] = true
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		injector.steps.add(environment.Day.Start+fault.AtSeconds, func(now float64) { injector.startFault(fault, now) })
	}
	return injector, nil
}

// Next returns when Play is next to be called; false: nothing is left.
func (f *FaultInjector) Next() (at float64, ok bool) {
	at = f.steps.nextAt()
	return at, at < math.Inf(1)
}

// Play does what is due by now. Danger: where the ground is late a step that told the time at which it was due would tell of the
// past: of a process that was killed before it sent what has come since.
func (f *FaultInjector) Advance(now float64) {
	for {
		step, _, ok := f.steps.pop(now)
		if !ok {
			return
		}
		step(now)
	}
}

// later arranges a step after a time.
func (f *FaultInjector) after(now, afterSeconds float64, step func(now float64)) {
	f.steps.add(now+afterSeconds, step)
}

// endsAt returns when a trouble of boxes, discovery, paths or clients is over: as the script says, and at the latest with
// the day's arrivals. Danger: one that outlasted the day would leave dials and links that nobody could call left over.
func (f *FaultInjector) endsAt(fault *Fault, now float64) float64 {
	return max(now, min(now+fault.DurationSeconds, f.environment.Day.Start+f.environment.Day.LengthSeconds))
}

// atEnd arranges a step for the end of a trouble that begins now.
func (f *FaultInjector) atEnd(fault *Fault, now float64, step func(now float64)) {
	f.steps.add(f.endsAt(fault, now), step)
}

func (f *FaultInjector) servers(fault *Fault) []*Server {
	var found []*Server
	for _, name := range fault.Servers {
		for _, server := range f.environment.Servers {
			if server.Spec.Name == name {
				found = append(found, server)
			}
		}
	}
	return found
}

// faultStarters start a fault of a kind and schedule its end. Kinds are looked up; the map is never walked.
var faultStarters = map[string]func(f *FaultInjector, fault *Fault, now float64){
	Hang:             (*FaultInjector).hangServers,
	Crash:            (*FaultInjector).crashServers,
	CrashMoved:       (*FaultInjector).crashServers,
	HalfOpen:         (*FaultInjector).crashServers,
	SiteLoss:         (*FaultInjector).loseSite,
	Resets:           (*FaultInjector).resetServers,
	OneWay:           (*FaultInjector).dropOneWay,
	LateConnect:      (*FaultInjector).delayConnects,
	MalformedAnswers: (*FaultInjector).misbehave,
	TrailingBytes:    (*FaultInjector).misbehave,
	InterimResponses: (*FaultInjector).misbehave,
	EarlyClose:       (*FaultInjector).misbehave,
	Cordon:           (*FaultInjector).cordonServers,
	AddressReuse:     (*FaultInjector).replaceServers,

	StaleList:     (*FaultInjector).delayDiscovery,
	DiscoveryDown: (*FaultInjector).stopDiscovery,
	SilentWatch:   (*FaultInjector).stallWatches,
	WatchReset:    (*FaultInjector).resetWatches,
	FullList:      (*FaultInjector).sendFullLists,
	Reload:        (*FaultInjector).moveDiscovery,

	SlowReader:   (*FaultInjector).limitReads,
	BadClients:   (*FaultInjector).connectHostileClients,
	SilentFlood:  (*FaultInjector).connectHostileClients,
	ClientsLeave: (*FaultInjector).abandonRequests,

	ScaleIn:     (*FaultInjector).scaleIn,
	ScaleOut:    (*FaultInjector).scaleOut,
	SidecarKill: (*FaultInjector).killSidecars,
	SidecarTerm: (*FaultInjector).terminateSidecars,
	RestartAll:  (*FaultInjector).restartAll,
	Suspend:     (*FaultInjector).suspend,
	DiskFull:    (*FaultInjector).fillDisks,
	Clock:       (*FaultInjector).setClocks,

	PeerCut:        (*FaultInjector).dropPeerTraffic,
	PeerHold:       (*FaultInjector).holdPeerTraffic,
	PeerSlow:       (*FaultInjector).limitPeerTraffic,
	PeerReset:      (*FaultInjector).resetPeers,
	PeerNotReading: (*FaultInjector).queryWithoutReading,
}

// startFault starts a fault and schedules its end. A kind that is unknown is ignored.
func (f *FaultInjector) startFault(fault *Fault, now float64) {
	if start := faultStarters[fault.Kind]; start != nil {
		start(f, fault, now)
	}
}

// counted has something befall a sidecar or a box until the trouble is over. Of those that overlap the last one to end ends it.
func (f *FaultInjector) whileAny(all []int, sidecar int, fault *Fault, now float64, befall func(sidecar int, enabled bool)) {
	all[sidecar]++
	befall(sidecar, true)
	f.atEnd(fault, now, func(float64) {
		if all[sidecar]--; all[sidecar] == 0 {
			befall(sidecar, false)
		}
	})
}

// cut tells the witness of a way that is cut, or mended.
func (f *FaultInjector) observePath(sidecar, server int32, enabled bool, now float64) {
	kind := checker.PathFaultEnded
	if enabled {
		kind = checker.PathFaultStarted
	}
	f.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: sidecar, Server: server})
}
