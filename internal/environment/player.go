package environment

import (
	"fmt"
	"math"
	"slices"

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

// oneWayCut is a way that is cut between a sidecar and whatever boxes are at an IP meanwhile.
type oneWayFault struct {
	sidecar int32
	ip      string
	servers []int32
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

// connectLate has connections to boxes come up late, at the machines where they are now.
func (p *FaultInjector) delayConnects(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		ip := b.currentIP()
		p.whileAny(p.lateConnects, b.Spec.Number, t, now, func(_ int, on bool) {
			if on {
				p.hosts.DelayConnects(ip, t.Share, t.DelaySeconds)
			} else {
				p.hosts.DelayConnects(ip, 0, 0)
			}
		})
	}
}

// terminate tells a sidecar's process to end, and its clients so.
func (p *FaultInjector) terminate(sidecar int, now float64) {
	p.observeSidecar(checker.SidecarTerminating, sidecar, now)
	p.environment.notifyDraining(sidecar, now)
	p.hosts.Terminate(sidecar)
}

// leaveS is how long a sidecar that leaves for good is given where its trouble says nothing.
const defaultDrainSeconds = 8.0

// leaveForGood has so many of the sidecars that are there end for good, from the last one on; the first one stays.
func (p *FaultInjector) leaveForGood(t *Fault, now float64) {
	within := t.DrainSeconds
	if within == 0 {
		within = defaultDrainSeconds
	}
	left := t.SidecarCount
	for i := len(p.isGone) - 1; i > 0 && left > 0; i-- {
		if p.isGone[i] || p.isTerminating[i] || p.isSuspended[i] {
			continue
		}
		left--
		p.isGone[i] = true
		p.terminate(i, now)
		p.after(now, within, func(now float64) { // as a platform does
			p.observeSidecar(checker.SidecarKilled, i, now)
			p.hosts.Kill(p.environment.Day.Sidecars[i].IP)
		})
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

// spoil does to the disk of a sidecar that has just been killed what a trouble says.
func (p *FaultInjector) damageState(sidecar int, t *Fault) {
	if t.State == StateLost || t.State == StateTorn || t.State == StateOld {
		p.hosts.DamageState(sidecar, t.State)
	}
}

// sides calls f with each two sidecars that a trouble stands between.
func (p *FaultInjector) eachPeerPair(t *Fault, f func(a, b int)) {
	to := t.To
	if len(to) == 0 {
		for i := range p.environment.Applications {
			if !slices.Contains(t.From, i) {
				to = append(to, i)
			}
		}
	}
	for _, a := range t.From {
		for _, b := range to {
			if a != b {
				f(a, b)
			}
		}
	}
}

// between has something befall the ways between sidecars until the trouble is over. Troubles that overlap are counted.
func (p *FaultInjector) overPeerPaths(t *Fault, now float64, befall func(from, to int, on bool)) {
	way := func(a, b int) {
		key := peerPath{t.Kind, a, b}
		if p.peerFaults[key]++; p.peerFaults[key] == 1 {
			befall(a, b, true)
		}
		p.atEnd(t, now, func(float64) {
			if p.peerFaults[key]--; p.peerFaults[key] == 0 {
				befall(a, b, false)
			}
		})
	}
	p.eachPeerPath(t, way)
}

// ways calls f with each way between two sides, both ways unless the trouble is of one alone.
func (p *FaultInjector) eachPeerPath(t *Fault, f func(from, to int)) {
	p.eachPeerPair(t, func(a, b int) {
		if f(a, b); !t.OneWay {
			f(b, a)
		}
	})
}

// slowPeers has bytes between sidecars go at a rate until the trouble is over; of several rates the least counts.
func (p *FaultInjector) limitPeerTraffic(t *Fault, now float64) {
	p.eachPeerPath(t, func(a, b int) {
		key := peerPath{t.Kind, a, b}
		tell := func() {
			if all := p.peerRates[key]; len(all) > 0 {
				p.hosts.LimitPeerTraffic(a, b, slices.Min(all))
			} else {
				p.hosts.LimitPeerTraffic(a, b, 0)
			}
		}
		p.peerRates[key] = append(p.peerRates[key], t.RatePerSecond)
		tell()
		p.atEnd(t, now, func(float64) {
			i := slices.Index(p.peerRates[key], t.RatePerSecond)
			p.peerRates[key] = slices.Delete(p.peerRates[key], i, i+1)
			tell()
		})
	})
}

// peerWay is a way between two sidecars that a kind of trouble befalls.
type peerPath struct {
	kind     string
	from, to int
}

func (p *FaultInjector) resetPeersRepeatedly(t *Fault, now, until float64) {
	if now >= until {
		return
	}
	p.eachPeerPair(t, p.hosts.ResetPeerConnections)
	p.after(now, 1/t.RatePerSecond, func(now float64) { p.resetPeersRepeatedly(t, now, until) })
}

// freeze has processes stand still. What they owe meanwhile is excused as for one that was killed; a process that stood still
// and one that is killed are the same to a client.
func (p *FaultInjector) suspend(t *Fault, now float64) {
	for _, i := range t.Sidecars {
		if p.isGone[i] || p.isSuspended[i] {
			continue
		}
		p.isSuspended[i] = true
		p.observeSidecar(checker.SidecarSuspended, i, now)
		p.observePath(int32(i), checker.PathToClients, true, now)
		p.hosts.Suspend(i, true)
		p.atEnd(t, now, func(now float64) {
			if p.isSuspended[i] {
				p.isSuspended[i] = false
				p.hosts.Suspend(i, false)
				p.observeSidecar(checker.SidecarResumed, i, now)
			}
			p.observePath(int32(i), checker.PathToClients, false, now)
		})
	}
}

// share returns the share of answers that a trouble is about.
func (m *Misbehavior) shareOf(kind string) *float64 {
	switch kind {
	case MalformedAnswers:
		return &m.Malformed
	case TrailingBytes:
		return &m.TrailingBytes
	case EarlyClose:
		return &m.EarlyClose
	default:
		return &m.InterimResponses
	}
}

// hang counts how many troubles hold a box, so that the end of one does not end the others.
func (p *FaultInjector) hangServers(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		n := b.Spec.Number
		p.hangs[n]++
		b.SetHung(true)
		p.atEnd(t, now, func(float64) {
			if p.hangs[n]--; p.hangs[n] == 0 {
				b.SetHung(false)
			}
		})
	}
}

// end ends a box's process, or has its machine vanish; false: it has none.
func (p *FaultInjector) stopServer(b *Server, silent bool, now float64) bool {
	if !b.IsAlive() {
		return false
	}
	if silent {
		p.observePath(-1, int32(b.Spec.Number), true, now)
	}
	b.Stopped(now) // before its connections' ends come
	if silent {
		p.hosts.Vanish(b.currentIP())
	} else {
		p.hosts.Kill(b.currentIP())
	}
	p.environment.Discovery.ServerStopped(b.Spec.Number, silent, now)
	return true
}

// back begins a box's next life at an IP.
func (p *FaultInjector) startServer(b *Server, ip string, silent bool, now float64) {
	if tenant := p.environment.serverByIP[ip]; b.IsAlive() || tenant.IsAlive() && tenant.currentIP() == ip {
		return // it is back already, or another has its place
	}
	if silent {
		p.observePath(-1, int32(b.Spec.Number), false, now)
	}
	p.environment.serverByIP[ip] = b
	for _, c := range p.oneWayFaults {
		if n := int32(b.Spec.Number); c.ip == ip && !slices.Contains(c.servers, n) {
			c.servers = append(c.servers, n)
			p.observePath(c.sidecar, n, true, now)
		}
	}
	p.hosts.Start(ip)
}

// Restart has a sidecar be killed and begin again after a while, with what is on its disk, unless it is gone already.
func (p *FaultInjector) RestartSidecar(sidecar int, afterS, now float64) {
	p.killSidecar(sidecar, afterS, now)
}

// Down ends a server's process, as the maintenance agent does.
func (p *FaultInjector) StopServer(box int, now float64) {
	p.stopServer(p.environment.Servers[box], false, now)
}

// Up starts the next process of a server whose process Down has ended, unless a fault ended it as well.
func (p *FaultInjector) StartServer(box int, now float64) {
	b := p.environment.Servers[box]
	p.startServer(b, b.currentIP(), false, now)
}

func (p *FaultInjector) stopAndReturn(boxes []*Server, t *Fault, now float64, silent, moved bool) {
	for _, b := range boxes {
		if !p.stopServer(b, silent, now) {
			continue
		}
		ip := b.currentIP()
		if moved {
			if ip == b.Spec.IP {
				ip = alternateIP(&b.Spec)
			} else {
				ip = b.Spec.IP
			}
		}
		p.atEnd(t, now, func(now float64) { p.startServer(b, ip, silent, now) })
	}
}

func (p *FaultInjector) loseSite(t *Fault, now float64) {
	for i, site := range p.environment.Day.Sites {
		if site != t.Site {
			continue
		}
		var boxes []*Server
		for _, b := range p.environment.Servers {
			if b.Spec.Site == i {
				boxes = append(boxes, b)
			}
		}
		p.stopAndReturn(boxes, t, now, t.Silent, false)
		for k, s := range p.environment.Day.Sidecars {
			if t.WithSidecars && s.Site == i {
				p.killSidecar(k, p.endsAt(t, now)-now, now)
			}
		}
	}
}

// shrink has boxes drain, and ends them after their notice.
func (p *FaultInjector) drainServers(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		if !b.IsAlive() {
			continue
		}
		life := b.process
		p.environment.Discovery.ServerDraining(b.Spec.Number, now)
		b.Drain()
		p.after(now, t.DrainSeconds, func(now float64) {
			if b.process != life || !p.stopServer(b, false, now) || t.DurationSeconds == 0 {
				return
			}
			p.atEnd(t, now, func(now float64) { p.startServer(b, b.currentIP(), false, now) })
		})
	}
}

func (p *FaultInjector) resetRepeatedly(boxes []*Server, t *Fault, now, until float64) {
	n := 0
	var step func(now float64)
	step = func(now float64) {
		if now >= until || len(boxes) == 0 {
			return
		}
		b := boxes[n%len(boxes)]
		s := p.environment.Day.Sidecars[n/len(boxes)%len(p.environment.Day.Sidecars)]
		n++
		p.hosts.ResetConnections(s.IP, b.currentIP())
		p.after(now, 1/t.RatePerSecond, step)
	}
	step(now)
}

// cut tells the witness of a way that is cut, or mended.
func (p *FaultInjector) observePath(sidecar, box int32, on bool, now float64) {
	kind := checker.PathFaultEnded
	if on {
		kind = checker.PathFaultStarted
	}
	p.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: sidecar, Server: box})
}

func (p *FaultInjector) dropOneWay(boxes []*Server, t *Fault, now float64) {
	sidecars := t.Sidecars
	if len(sidecars) == 0 {
		for i := range p.environment.Day.Sidecars {
			sidecars = append(sidecars, i)
		}
	}
	for _, b := range boxes {
		for _, i := range sidecars {
			from, to := p.environment.Day.Sidecars[i].IP, b.currentIP()
			if !t.ToServer {
				from, to = to, from
			}
			c := &oneWayFault{sidecar: int32(i), ip: b.currentIP(), servers: []int32{int32(b.Spec.Number)}}
			if other := p.environment.serverByIP[c.ip]; other != b && other.IsAlive() && other.currentIP() == c.ip {
				c.servers = append(c.servers, int32(other.Spec.Number)) // it has taken the place of the one that is meant
			}
			p.oneWayFaults = append(p.oneWayFaults, c)
			for _, n := range c.servers {
				p.observePath(c.sidecar, n, true, now)
			}
			p.hosts.DropTraffic(from, to)
			p.atEnd(t, now, func(now float64) {
				p.hosts.RestoreTraffic(from, to)
				p.oneWayFaults = slices.DeleteFunc(p.oneWayFaults, func(other *oneWayFault) bool { return other == c })
				for _, n := range c.servers {
					p.observePath(c.sidecar, n, false, now)
				}
			})
		}
	}
}

func (p *FaultInjector) limitReads(t *Fault, now float64) {
	for _, i := range t.Sidecars {
		p.slowReads[i]++
		p.hosts.LimitReading(i, t.Share)
		p.observePath(int32(i), checker.PathToClients, true, now)
		p.atEnd(t, now, func(now float64) {
			if p.slowReads[i]--; p.slowReads[i] == 0 {
				p.hosts.LimitReading(i, 1)
			}
			p.observePath(int32(i), checker.PathToClients, false, now)
		})
	}
}

func (p *FaultInjector) observeSidecar(kind checker.Kind, sidecar int, now float64) {
	p.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: int32(sidecar), Server: -1})
}

// killSidecar ends a sidecar's process and begins the next one after a while.
func (p *FaultInjector) killSidecar(sidecar int, afterS, now float64) {
	if p.isGone[sidecar] {
		return // another trouble has it
	}
	p.isGone[sidecar] = true
	if p.isSuspended[sidecar] {
		p.isSuspended[sidecar] = false
		p.hosts.Suspend(sidecar, false)
	}
	ip := p.environment.Day.Sidecars[sidecar].IP
	p.observeSidecar(checker.SidecarKilled, sidecar, now)
	p.hosts.Kill(ip)
	p.after(now, afterS, func(float64) {
		p.isGone[sidecar] = false
		p.environment.notifyReplaced(sidecar)
		p.hosts.Start(ip)
	})
}

// moveDiscovery has discovery go on elsewhere and tells the sidecars so by a new configuration.
func (p *FaultInjector) moveDiscovery(now float64) {
	ip, ok := p.environment.Discovery.nextIP()
	if !ok {
		return
	}
	p.hosts.Start(ip)
	p.environment.Discovery.Move()
	for i := range p.environment.Applications {
		p.observeSidecar(checker.SidecarReloaded, i, now)
		p.hosts.Reload(i, p.environment.ReloadConfiguration(i))
	}
}

// takeOut has the operators of all sidecars take boxes out, or give them back.
func (p *FaultInjector) cordon(boxes []*Server, on bool) {
	kind := checker.ServerUncordoned
	if on {
		kind = checker.ServerCordoned
	}
	for i := range p.environment.Applications {
		for _, b := range boxes {
			p.hosts.Cordon(i, b.Spec.Name, on, func() {
				p.observer.Observe(checker.Event{Kind: kind, At: p.hosts.Now(), Sidecar: int32(i), Server: int32(b.Spec.Number)})
			})
		}
	}
}

// replace ends a box and begins another one at its address after a while. Danger: a sidecar that has not been told yet
// means the old one; a box of another site there would have it break the rules of groups unwittingly.
func (p *FaultInjector) replaceServer(b *Server, t *Fault, now float64) {
	next := slices.IndexFunc(p.environment.Servers, func(o *Server) bool {
		return o.Spec.Number >= p.environment.Day.InitialServers && o.incarnations == 0 && o.Spec.Site == b.Spec.Site && !p.replacementTaken[o.Spec.Number]
	})
	if next < 0 || !p.stopServer(b, false, now) {
		return
	}
	p.replacementTaken[next] = true
	ip := b.currentIP()
	p.atEnd(t, now, func(now float64) { p.startServer(p.environment.Servers[next], ip, false, now) })
}
