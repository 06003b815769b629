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
func NewFaultInjector(w *Environment, s *Script, g Hosts, witness checker.Observer) (*FaultInjector, error) {
	p := &FaultInjector{environment: w, hosts: g, observer: witness, hangs: make([]int, len(w.Servers)), slowReads: make([]int, len(w.Applications)),
		isGone: make([]bool, len(w.Applications)), replacementTaken: make([]bool, len(w.Servers)), lateConnects: make([]int, len(w.Servers)),
		isSuspended: make([]bool, len(w.Applications)), isTerminating: make([]bool, len(w.Applications)), fullDisks: make([]int, len(w.Applications)), clockFaults: make([]int, len(w.Applications)),
		peerFaults: map[peerPath]int{}, peerRates: map[peerPath][]float64{}}
	if i, field, why := s.unknownReference(w.Day); field != "" {
		return nil, fmt.Errorf("trouble %d: %s: %s", i+1, field, why)
	}
	p.firstStandby = len(w.Applications) - s.StandbySidecars()
	for i := p.firstStandby; i < len(w.Applications); i++ {
		p.isGone[i] = true
	}
	for i := range s.Faults {
		t := &s.Faults[i]
		p.steps.add(w.Day.Start+t.AtSeconds, func(now float64) { p.startFault(t, now) })
	}
	return p, nil
}

// Next returns when Play is next to be called; false: nothing is left.
func (p *FaultInjector) Next() (at float64, ok bool) {
	at = p.steps.nextAt()
	return at, at < math.Inf(1)
}

// Play does what is due by now. Danger: where the ground is late a step that told the time at which it was due would tell of the
// past: of a process that was killed before it sent what has come since.
func (p *FaultInjector) Advance(now float64) {
	for {
		step, _, ok := p.steps.pop(now)
		if !ok {
			return
		}
		step(now)
	}
}

// later arranges a step after a time.
func (p *FaultInjector) after(now, afterS float64, step func(now float64)) {
	p.steps.add(now+afterS, step)
}

// endsAt returns when a trouble of boxes, discovery, paths or clients is over: as the script says, and at the latest with
// the day's arrivals. Danger: one that outlasted the day would leave dials and links that nobody could call left over.
func (p *FaultInjector) endsAt(t *Fault, now float64) float64 {
	return max(now, min(now+t.DurationSeconds, p.environment.Day.Start+p.environment.Day.LengthSeconds))
}

// atEnd arranges a step for the end of a trouble that begins now.
func (p *FaultInjector) atEnd(t *Fault, now float64, step func(now float64)) {
	p.steps.add(p.endsAt(t, now), step)
}

func (p *FaultInjector) servers(t *Fault) []*Server {
	var found []*Server
	for _, name := range t.Servers {
		for _, b := range p.environment.Servers {
			if b.Spec.Name == name {
				found = append(found, b)
			}
		}
	}
	return found
}

// begin begins a trouble and arranges its end.
func (p *FaultInjector) startFault(t *Fault, now float64) {
	boxes := p.servers(t)
	switch t.Kind {
	case Hang:
		p.hangServers(boxes, t, now)
	case Crash:
		p.stopAndReturn(boxes, t, now, false, false)
	case CrashMoved:
		p.stopAndReturn(boxes, t, now, false, true)
	case HalfOpen:
		p.stopAndReturn(boxes, t, now, true, false)
	case SiteLoss:
		p.loseSite(t, now)
	case ScaleIn:
		if t.SidecarCount > 0 {
			p.leaveForGood(t, now)
		} else {
			p.drainServers(boxes, t, now)
		}
	case ScaleOut:
		for range t.SidecarCount {
			p.isGone[p.firstStandby] = false
			p.hosts.StartStandby(p.firstStandby)
			p.firstStandby++
		}
	case StaleList:
		p.environment.Discovery.DelaySeconds += t.DelaySeconds
		p.atEnd(t, now, func(float64) { p.environment.Discovery.DelaySeconds -= t.DelaySeconds })
	case DiscoveryDown:
		p.environment.Discovery.SetDown(true, now)
		p.atEnd(t, now, func(now float64) { p.environment.Discovery.SetDown(false, now) })
	case Resets:
		p.resetRepeatedly(boxes, t, now, p.endsAt(t, now))
	case OneWay:
		p.dropOneWay(boxes, t, now)
	case SlowReader:
		p.limitReads(t, now)
	case LateConnect:
		p.delayConnects(boxes, t, now)
	case MalformedAnswers, TrailingBytes, InterimResponses, EarlyClose:
		for _, b := range boxes {
			share := b.Misbehavior.shareOf(t.Kind)
			*share += t.Share
			p.atEnd(t, now, func(float64) { *share = max(0, *share-t.Share) })
		}
	case BadClients, SilentFlood:
		for _, i := range t.Sidecars {
			if i >= p.firstStandby {
				continue // its machine has not begun
			}
			p.environment.HostileClients[i].Connect(t.RatePerSecond, p.endsAt(t, now), t.Kind == SilentFlood)
		}
	case SilentWatch:
		p.environment.Discovery.StallWatches()
	case WatchReset:
		for i := range p.environment.Applications {
			p.hosts.ResetConnections(p.environment.Day.Sidecars[i].IP, p.environment.Discovery.currentIP())
		}
	case FullList:
		p.environment.Discovery.SendFullLists(true)
		p.atEnd(t, now, func(float64) { p.environment.Discovery.SendFullLists(false) })
	case ClientsLeave:
		for _, i := range t.Sidecars {
			if i < p.firstStandby { // else its machine has not begun
				p.environment.Applications[i].AbandonEarly(t.Share, p.endsAt(t, now))
			}
		}
	case SidecarKill:
		for _, i := range t.Sidecars {
			p.killSidecar(i, p.endsAt(t, now)-now, now)
			p.damageState(i, t)
		}
	case RestartAll:
		for i := range p.environment.Applications {
			p.killSidecar(i, p.endsAt(t, now)-now, now)
		}
	case PeerCut:
		p.overPeerPaths(t, now, p.hosts.DropPeerTraffic)
	case PeerHold:
		p.overPeerPaths(t, now, p.hosts.HoldPeerTraffic)
	case PeerSlow:
		p.limitPeerTraffic(t, now)
	case DiskFull:
		for _, i := range t.Sidecars {
			p.whileAny(p.fullDisks, i, t, now, p.hosts.FillDisk)
		}
	case Clock:
		for _, i := range t.Sidecars {
			p.whileAny(p.clockFaults, i, t, now, func(i int, on bool) {
				rate := 1.0
				if on {
					rate = t.ClockRate
				}
				p.hosts.SetClockRate(i, rate)
			})
		}
	case PeerReset:
		p.resetPeersRepeatedly(t, now, p.endsAt(t, now))
	case PeerNotReading:
		for _, i := range t.Sidecars {
			p.hosts.QueryWithoutReading(i, t.RatePerSecond, p.endsAt(t, now))
		}
	case Suspend:
		p.suspend(t, now)
	case SidecarTerm:
		for _, i := range t.Sidecars {
			if p.isGone[i] {
				continue
			}
			p.terminate(i, now)
			p.isTerminating[i] = true
			// What has not ended by then is killed, as a platform does before it begins the next process.
			p.after(now, t.DurationSeconds, func(now float64) {
				p.isTerminating[i] = false
				p.killSidecar(i, 0, now)
				p.damageState(i, t)
			})
		}
	case Reload:
		p.moveDiscovery(now)
	case Cordon:
		p.cordon(boxes, true)
		p.atEnd(t, now, func(float64) { p.cordon(boxes, false) })
	case AddressReuse:
		for _, b := range boxes {
			p.replaceServer(b, t, now)
		}
	}
}

// counted has something befall a sidecar or a box until the trouble is over. Of those that overlap the last one to end ends it.
func (p *FaultInjector) whileAny(all []int, sidecar int, t *Fault, now float64, befall func(sidecar int, on bool)) {
	all[sidecar]++
	befall(sidecar, true)
	p.atEnd(t, now, func(float64) {
		if all[sidecar]--; all[sidecar] == 0 {
			befall(sidecar, false)
		}
	})
}

// cut tells the witness of a way that is cut, or mended.
func (p *FaultInjector) observePath(sidecar, box int32, on bool, now float64) {
	kind := checker.PathFaultEnded
	if on {
		kind = checker.PathFaultStarted
	}
	p.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: sidecar, Server: box})
}
