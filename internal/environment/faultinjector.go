package environment

import (
	"fmt"
	"math"

	"hazelwheel/internal/checker"
)

// FaultInjector injects a script's faults at their times. Those of servers, discovery and clients it passes to the actors,
// those of machines, processes and paths to Hosts.
type FaultInjector struct {
	environment      *Environment
	hosts            Hosts
	observer         checker.Observer
	schedule         schedule[func(now float64)]
	replacementTaken []bool // by server: it is a replacement that was chosen already
	lateConnects     []int  // by server: faults that delay connections to it
	hangs            []int  // by server: faults that hang it
	slowReads        []int  // by application: faults that limit its reading
	isGone           []bool // by sidecar: its next process is scheduled, or there will be none
	firstStandby     int    // the first of the sidecars that have not started yet
	isTerminating    []bool // by sidecar: it shuts down and will start again
	fullDisks        []int  // by sidecar: faults that fill its disk
	clockFaults      []int  // by sidecar: faults that change its clock's rate
	oneWayFaults     []*oneWayFault
	isSuspended      []bool           // by sidecar: its process is suspended
	peerFaults       map[peerPath]int // faults of a path between sidecars; looked up, never walked
	peerRates        map[peerPath][]float64
}

// NewFaultInjector returns an injector of a script's faults. A script that names what the day does not have is an error.
func NewFaultInjector(environment *Environment, s *Script, g Hosts, observer checker.Observer) (*FaultInjector, error) {
	injector := &FaultInjector{
		environment:      environment,
		hosts:            g,
		observer:         observer,
		hangs:            make([]int, len(environment.Servers)),
		slowReads:        make([]int, len(environment.Applications)),
		isGone:           make([]bool, len(environment.Applications)),
		replacementTaken: make([]bool, len(environment.Servers)),
		lateConnects:     make([]int, len(environment.Servers)),
		isSuspended:      make([]bool, len(environment.Applications)),
		isTerminating:    make([]bool, len(environment.Applications)),
		fullDisks:        make([]int, len(environment.Applications)),
		clockFaults:      make([]int, len(environment.Applications)),
		peerFaults:       map[peerPath]int{},
		peerRates:        map[peerPath][]float64{},
	}
	if i, field, why := s.unknownReference(environment.Day); field != "" {
		return nil, fmt.Errorf("trouble %d: %s: %s", i+1, field, why)
	}
	injector.firstStandby = len(environment.Applications) - s.StandbySidecars()
	for i := injector.firstStandby; i < len(environment.Applications); i++ {
		injector.isGone[i] = true
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		injector.schedule.add(environment.Day.Start+fault.AtSeconds, func(now float64) { injector.startFault(fault, now) })
	}
	return injector, nil
}

// Next returns when Advance is next to be called; false: nothing is left.
func (f *FaultInjector) Next() (at float64, ok bool) {
	at = f.schedule.nextAt()
	return at, at < math.Inf(1)
}

// Advance does what is due by now.
//
// Danger: if the caller is late, events with the time at which a step was due would report the past: a process that was
// killed before it sent what has arrived since. Steps therefore get the present time.
func (f *FaultInjector) Advance(now float64) {
	for {
		step, _, ok := f.schedule.pop(now)
		if !ok {
			return
		}
		step(now)
	}
}

// after schedules a step.
func (f *FaultInjector) after(now, afterSeconds float64, step func(now float64)) {
	f.schedule.add(now+afterSeconds, step)
}

// endsAt returns when a fault that starts now is over: as the script says, and at the latest with the day's arrivals.
//
// Danger: a fault that outlasted the day would leave dials and connections that could not be told from leaked ones.
func (f *FaultInjector) endsAt(fault *Fault, now float64) float64 {
	return max(now, min(now+fault.DurationSeconds, f.environment.Day.Start+f.environment.Day.LengthSeconds))
}

// atEnd schedules a step for the end of a fault that starts now.
func (f *FaultInjector) atEnd(fault *Fault, now float64, step func(now float64)) {
	f.schedule.add(f.endsAt(fault, now), step)
}

// servers returns the servers that a fault names.
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
var faultStarters = map[FaultKind]func(f *FaultInjector, fault *Fault, now float64){
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

// whileAny applies an effect to a sidecar or a server until the fault is over. Of faults that overlap, the last one to end
// ends the effect; active counts them.
func (f *FaultInjector) whileAny(active []int, sidecar int, fault *Fault, now float64, apply func(sidecar int, enabled bool)) {
	active[sidecar]++
	apply(sidecar, true)
	f.atEnd(fault, now, func(float64) {
		if active[sidecar]--; active[sidecar] == 0 {
			apply(sidecar, false)
		}
	})
}

// observePath reports the start or end of a path's fault to the observer.
func (f *FaultInjector) observePath(sidecar, server int32, enabled bool, now float64) {
	kind := checker.PathFaultEnded
	if enabled {
		kind = checker.PathFaultStarted
	}
	f.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: sidecar, Server: server})
}
