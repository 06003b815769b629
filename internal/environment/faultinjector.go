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

// begin begins a trouble and arranges its end.
func (f *FaultInjector) startFault(fault *Fault, now float64) {
	servers := f.servers(fault)
	switch fault.Kind {
	case Hang:
		f.hangServers(servers, fault, now)
	case Crash:
		f.stopAndReturn(servers, fault, now, false, false)
	case CrashMoved:
		f.stopAndReturn(servers, fault, now, false, true)
	case HalfOpen:
		f.stopAndReturn(servers, fault, now, true, false)
	case SiteLoss:
		f.loseSite(fault, now)
	case ScaleIn:
		if fault.SidecarCount > 0 {
			f.leaveForGood(fault, now)
		} else {
			f.drainServers(servers, fault, now)
		}
	case ScaleOut:
		for range fault.SidecarCount {
			f.isGone[f.firstStandby] = false
			f.hosts.StartStandby(f.firstStandby)
			f.firstStandby++
		}
	case StaleList:
		f.environment.Discovery.DelaySeconds += fault.DelaySeconds
		f.atEnd(fault, now, func(float64) { f.environment.Discovery.DelaySeconds -= fault.DelaySeconds })
	case DiscoveryDown:
		f.environment.Discovery.SetDown(true, now)
		f.atEnd(fault, now, func(now float64) { f.environment.Discovery.SetDown(false, now) })
	case Resets:
		f.resetRepeatedly(servers, fault, now, f.endsAt(fault, now))
	case OneWay:
		f.dropOneWay(servers, fault, now)
	case SlowReader:
		f.limitReads(fault, now)
	case LateConnect:
		f.delayConnects(servers, fault, now)
	case MalformedAnswers, TrailingBytes, InterimResponses, EarlyClose:
		for _, server := range servers {
			share := server.Misbehavior.shareOf(fault.Kind)
			*share += fault.Share
			f.atEnd(fault, now, func(float64) { *share = max(0, *share-fault.Share) })
		}
	case BadClients, SilentFlood:
		for _, i := range fault.Sidecars {
			if i >= f.firstStandby {
				continue // its machine has not begun
			}
			f.environment.HostileClients[i].Connect(fault.RatePerSecond, f.endsAt(fault, now), fault.Kind == SilentFlood)
		}
	case SilentWatch:
		f.environment.Discovery.StallWatches()
	case WatchReset:
		for i := range f.environment.Applications {
			f.hosts.ResetConnections(f.environment.Day.Sidecars[i].IP, f.environment.Discovery.currentIP())
		}
	case FullList:
		f.environment.Discovery.SendFullLists(true)
		f.atEnd(fault, now, func(float64) { f.environment.Discovery.SendFullLists(false) })
	case ClientsLeave:
		for _, i := range fault.Sidecars {
			if i < f.firstStandby { // else its machine has not begun
				f.environment.Applications[i].AbandonEarly(fault.Share, f.endsAt(fault, now))
			}
		}
	case SidecarKill:
		for _, i := range fault.Sidecars {
			f.killSidecar(i, f.endsAt(fault, now)-now, now)
			f.damageState(i, fault)
		}
	case RestartAll:
		for i := range f.environment.Applications {
			f.killSidecar(i, f.endsAt(fault, now)-now, now)
		}
	case PeerCut:
		f.overPeerPaths(fault, now, f.hosts.DropPeerTraffic)
	case PeerHold:
		f.overPeerPaths(fault, now, f.hosts.HoldPeerTraffic)
	case PeerSlow:
		f.limitPeerTraffic(fault, now)
	case DiskFull:
		for _, i := range fault.Sidecars {
			f.whileAny(f.fullDisks, i, fault, now, f.hosts.FillDisk)
		}
	case Clock:
		for _, i := range fault.Sidecars {
			f.whileAny(f.clockFaults, i, fault, now, func(i int, enabled bool) {
				rate := 1.0
				if enabled {
					rate = fault.ClockRate
				}
				f.hosts.SetClockRate(i, rate)
			})
		}
	case PeerReset:
		f.resetPeersRepeatedly(fault, now, f.endsAt(fault, now))
	case PeerNotReading:
		for _, i := range fault.Sidecars {
			f.hosts.QueryWithoutReading(i, fault.RatePerSecond, f.endsAt(fault, now))
		}
	case Suspend:
		f.suspend(fault, now)
	case SidecarTerm:
		for _, i := range fault.Sidecars {
			if f.isGone[i] {
				continue
			}
			f.terminate(i, now)
			f.isTerminating[i] = true
			// What has not ended by then is killed, as a platform does before it begins the next process.
			f.after(now, fault.DurationSeconds, func(now float64) {
				f.isTerminating[i] = false
				f.killSidecar(i, 0, now)
				f.damageState(i, fault)
			})
		}
	case Reload:
		f.moveDiscovery(now)
	case Cordon:
		f.cordon(servers, true)
		f.atEnd(fault, now, func(float64) { f.cordon(servers, false) })
	case AddressReuse:
		for _, server := range servers {
			f.replaceServer(server, fault, now)
		}
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
