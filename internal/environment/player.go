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
	w       *Environment
	ground  Hosts
	witness checker.Observer
	steps   agenda[func(now float64)]
	taken   []bool // by box: it is to be brought in
	late    []int  // by box: troubles that have connections to it come up late
	hung    []int  // by box: troubles that hold it
	slow    []int  // by application: troubles that slow it
	gone    []bool // by sidecar: its next process has been arranged, or there is none to come
	standBy int    // the first of the sidecars that have not come yet
	ending  []bool // by sidecar: it has been told to end, and is to begin again
	full    []int  // by sidecar: troubles that fill its disk
	clocks  []int  // by sidecar: troubles that change its clock's rate
	cuts    []*oneWayCut
	frozen  []bool          // by sidecar: its process stands still
	peers   map[peerWay]int // troubles of a way between sidecars; looked up, never walked
	rates   map[peerWay][]float64
}

// oneWayCut is a way that is cut between a sidecar and whatever boxes are at an IP meanwhile.
type oneWayCut struct {
	sidecar int32
	ip      string
	boxes   []int32
}

// NewPlayer returns a player that has played nothing. A script that names what the day has not is an error.
func NewFaultInjector(w *Environment, s *Script, g Hosts, witness checker.Observer) (*FaultInjector, error) {
	p := &FaultInjector{w: w, ground: g, witness: witness, hung: make([]int, len(w.Servers)), slow: make([]int, len(w.Applications)),
		gone: make([]bool, len(w.Applications)), taken: make([]bool, len(w.Servers)), late: make([]int, len(w.Servers)),
		frozen: make([]bool, len(w.Applications)), ending: make([]bool, len(w.Applications)), full: make([]int, len(w.Applications)), clocks: make([]int, len(w.Applications)),
		peers: map[peerWay]int{}, rates: map[peerWay][]float64{}}
	if i, field, why := s.fault(w.Day); field != "" {
		return nil, fmt.Errorf("trouble %d: %s: %s", i+1, field, why)
	}
	p.standBy = len(w.Applications) - s.StandbySidecars()
	for i := p.standBy; i < len(w.Applications); i++ {
		p.gone[i] = true
	}
	for i := range s.Faults {
		t := &s.Faults[i]
		p.steps.put(w.Day.Start+t.AtSeconds, func(now float64) { p.begin(t, now) })
	}
	return p, nil
}

// Next returns when Play is next to be called; false: nothing is left.
func (p *FaultInjector) Next() (at float64, ok bool) {
	at = p.steps.next()
	return at, at < math.Inf(1)
}

// Play does what is due by now. Danger: where the ground is late a step that told the time at which it was due would tell of the
// past: of a process that was killed before it sent what has come since.
func (p *FaultInjector) Advance(now float64) {
	for {
		step, _, ok := p.steps.take(now)
		if !ok {
			return
		}
		step(now)
	}
}

// later arranges a step after a time.
func (p *FaultInjector) later(now, afterS float64, step func(now float64)) {
	p.steps.put(now+afterS, step)
}

// endsAt returns when a trouble of boxes, discovery, paths or clients is over: as the script says, and at the latest with
// the day's arrivals. Danger: one that outlasted the day would leave dials and links that nobody could call left over.
func (p *FaultInjector) endsAt(t *Fault, now float64) float64 {
	return max(now, min(now+t.DurationSeconds, p.w.Day.Start+p.w.Day.LengthSeconds))
}

// atEnd arranges a step for the end of a trouble that begins now.
func (p *FaultInjector) atEnd(t *Fault, now float64, step func(now float64)) {
	p.steps.put(p.endsAt(t, now), step)
}

func (p *FaultInjector) boxes(t *Fault) []*Server {
	var found []*Server
	for _, name := range t.Servers {
		for _, b := range p.w.Servers {
			if b.Spec.Name == name {
				found = append(found, b)
			}
		}
	}
	return found
}

// begin begins a trouble and arranges its end.
func (p *FaultInjector) begin(t *Fault, now float64) {
	boxes := p.boxes(t)
	switch t.Kind {
	case Hang:
		p.hang(boxes, t, now)
	case Crash:
		p.goAndReturn(boxes, t, now, false, false)
	case CrashMoved:
		p.goAndReturn(boxes, t, now, false, true)
	case HalfOpen:
		p.goAndReturn(boxes, t, now, true, false)
	case SiteLoss:
		p.loseSite(t, now)
	case ScaleIn:
		if t.SidecarCount > 0 {
			p.leaveForGood(t, now)
		} else {
			p.shrink(boxes, t, now)
		}
	case ScaleOut:
		for range t.SidecarCount {
			p.gone[p.standBy] = false
			p.ground.StartStandby(p.standBy)
			p.standBy++
		}
	case StaleList:
		p.w.Discovery.DelaySeconds += t.DelaySeconds
		p.atEnd(t, now, func(float64) { p.w.Discovery.DelaySeconds -= t.DelaySeconds })
	case DiscoveryDown:
		p.w.Discovery.SetDown(true, now)
		p.atEnd(t, now, func(now float64) { p.w.Discovery.SetDown(false, now) })
	case Resets:
		p.resets(boxes, t, now, p.endsAt(t, now))
	case OneWay:
		p.oneWay(boxes, t, now)
	case SlowReader:
		p.slowReaders(t, now)
	case LateConnect:
		p.connectLate(boxes, t, now)
	case MalformedAnswers, TrailingBytes, InterimResponses, EarlyClose:
		for _, b := range boxes {
			share := b.Misbehavior.share(t.Kind)
			*share += t.Share
			p.atEnd(t, now, func(float64) { *share = max(0, *share-t.Share) })
		}
	case BadClients, SilentFlood:
		for _, i := range t.Sidecars {
			if i >= p.standBy {
				continue // its machine has not begun
			}
			p.w.HostileClients[i].Connect(t.RatePerSecond, p.endsAt(t, now), t.Kind == SilentFlood)
		}
	case SilentWatch:
		p.w.Discovery.StallWatches()
	case WatchReset:
		for i := range p.w.Applications {
			p.ground.ResetConnections(p.w.Day.Sidecars[i].IP, p.w.Discovery.ip())
		}
	case FullList:
		p.w.Discovery.SendFullLists(true)
		p.atEnd(t, now, func(float64) { p.w.Discovery.SendFullLists(false) })
	case ClientsLeave:
		for _, i := range t.Sidecars {
			if i < p.standBy { // else its machine has not begun
				p.w.Applications[i].AbandonEarly(t.Share, p.endsAt(t, now))
			}
		}
	case SidecarKill:
		for _, i := range t.Sidecars {
			p.killSidecar(i, p.endsAt(t, now)-now, now)
			p.spoil(i, t)
		}
	case RestartAll:
		for i := range p.w.Applications {
			p.killSidecar(i, p.endsAt(t, now)-now, now)
		}
	case PeerCut:
		p.between(t, now, p.ground.DropPeerTraffic)
	case PeerHold:
		p.between(t, now, p.ground.HoldPeerTraffic)
	case PeerSlow:
		p.slowPeers(t, now)
	case DiskFull:
		for _, i := range t.Sidecars {
			p.counted(p.full, i, t, now, p.ground.FillDisk)
		}
	case Clock:
		for _, i := range t.Sidecars {
			p.counted(p.clocks, i, t, now, func(i int, on bool) {
				rate := 1.0
				if on {
					rate = t.ClockRate
				}
				p.ground.SetClockRate(i, rate)
			})
		}
	case PeerReset:
		p.resetPeers(t, now, p.endsAt(t, now))
	case PeerNotReading:
		for _, i := range t.Sidecars {
			p.ground.QueryWithoutReading(i, t.RatePerSecond, p.endsAt(t, now))
		}
	case Suspend:
		p.freeze(t, now)
	case SidecarTerm:
		for _, i := range t.Sidecars {
			if p.gone[i] {
				continue
			}
			p.terminate(i, now)
			p.ending[i] = true
			// What has not ended by then is killed, as a platform does before it begins the next process.
			p.later(now, t.DurationSeconds, func(now float64) {
				p.ending[i] = false
				p.killSidecar(i, 0, now)
				p.spoil(i, t)
			})
		}
	case Reload:
		p.moveDiscovery(now)
	case Cordon:
		p.takeOut(boxes, true)
		p.atEnd(t, now, func(float64) { p.takeOut(boxes, false) })
	case AddressReuse:
		for _, b := range boxes {
			p.replace(b, t, now)
		}
	}
}

// connectLate has connections to boxes come up late, at the machines where they are now.
func (p *FaultInjector) connectLate(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		ip := b.machine()
		p.counted(p.late, b.Spec.Number, t, now, func(_ int, on bool) {
			if on {
				p.ground.DelayConnects(ip, t.Share, t.DelaySeconds)
			} else {
				p.ground.DelayConnects(ip, 0, 0)
			}
		})
	}
}

// terminate tells a sidecar's process to end, and its clients so.
func (p *FaultInjector) terminate(sidecar int, now float64) {
	p.sidecar(checker.SidecarTerminating, sidecar, now)
	p.w.notifyDraining(sidecar, now)
	p.ground.Terminate(sidecar)
}

// leaveS is how long a sidecar that leaves for good is given where its trouble says nothing.
const leaveS = 8.0

// leaveForGood has so many of the sidecars that are there end for good, from the last one on; the first one stays.
func (p *FaultInjector) leaveForGood(t *Fault, now float64) {
	within := t.DrainSeconds
	if within == 0 {
		within = leaveS
	}
	left := t.SidecarCount
	for i := len(p.gone) - 1; i > 0 && left > 0; i-- {
		if p.gone[i] || p.ending[i] || p.frozen[i] {
			continue
		}
		left--
		p.gone[i] = true
		p.terminate(i, now)
		p.later(now, within, func(now float64) { // as a platform does
			p.sidecar(checker.SidecarKilled, i, now)
			p.ground.Kill(p.w.Day.Sidecars[i].IP)
		})
	}
}

// counted has something befall a sidecar or a box until the trouble is over. Of those that overlap the last one to end ends it.
func (p *FaultInjector) counted(all []int, sidecar int, t *Fault, now float64, befall func(sidecar int, on bool)) {
	all[sidecar]++
	befall(sidecar, true)
	p.atEnd(t, now, func(float64) {
		if all[sidecar]--; all[sidecar] == 0 {
			befall(sidecar, false)
		}
	})
}

// spoil does to the disk of a sidecar that has just been killed what a trouble says.
func (p *FaultInjector) spoil(sidecar int, t *Fault) {
	if t.State == StateLost || t.State == StateTorn || t.State == StateOld {
		p.ground.DamageState(sidecar, t.State)
	}
}

// sides calls f with each two sidecars that a trouble stands between.
func (p *FaultInjector) sides(t *Fault, f func(a, b int)) {
	to := t.To
	if len(to) == 0 {
		for i := range p.w.Applications {
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
func (p *FaultInjector) between(t *Fault, now float64, befall func(from, to int, on bool)) {
	way := func(a, b int) {
		key := peerWay{t.Kind, a, b}
		if p.peers[key]++; p.peers[key] == 1 {
			befall(a, b, true)
		}
		p.atEnd(t, now, func(float64) {
			if p.peers[key]--; p.peers[key] == 0 {
				befall(a, b, false)
			}
		})
	}
	p.ways(t, way)
}

// ways calls f with each way between two sides, both ways unless the trouble is of one alone.
func (p *FaultInjector) ways(t *Fault, f func(from, to int)) {
	p.sides(t, func(a, b int) {
		if f(a, b); !t.OneWay {
			f(b, a)
		}
	})
}

// slowPeers has bytes between sidecars go at a rate until the trouble is over; of several rates the least counts.
func (p *FaultInjector) slowPeers(t *Fault, now float64) {
	p.ways(t, func(a, b int) {
		key := peerWay{t.Kind, a, b}
		tell := func() {
			if all := p.rates[key]; len(all) > 0 {
				p.ground.LimitPeerTraffic(a, b, slices.Min(all))
			} else {
				p.ground.LimitPeerTraffic(a, b, 0)
			}
		}
		p.rates[key] = append(p.rates[key], t.RatePerSecond)
		tell()
		p.atEnd(t, now, func(float64) {
			i := slices.Index(p.rates[key], t.RatePerSecond)
			p.rates[key] = slices.Delete(p.rates[key], i, i+1)
			tell()
		})
	})
}

// peerWay is a way between two sidecars that a kind of trouble befalls.
type peerWay struct {
	kind     string
	from, to int
}

func (p *FaultInjector) resetPeers(t *Fault, now, until float64) {
	if now >= until {
		return
	}
	p.sides(t, p.ground.ResetPeerConnections)
	p.later(now, 1/t.RatePerSecond, func(now float64) { p.resetPeers(t, now, until) })
}

// freeze has processes stand still. What they owe meanwhile is excused as for one that was killed; a process that stood still
// and one that is killed are the same to a client.
func (p *FaultInjector) freeze(t *Fault, now float64) {
	for _, i := range t.Sidecars {
		if p.gone[i] || p.frozen[i] {
			continue
		}
		p.frozen[i] = true
		p.sidecar(checker.SidecarSuspended, i, now)
		p.cut(int32(i), checker.PathToClients, true, now)
		p.ground.Suspend(i, true)
		p.atEnd(t, now, func(now float64) {
			if p.frozen[i] {
				p.frozen[i] = false
				p.ground.Suspend(i, false)
				p.sidecar(checker.SidecarResumed, i, now)
			}
			p.cut(int32(i), checker.PathToClients, false, now)
		})
	}
}

// share returns the share of answers that a trouble is about.
func (m *Misbehavior) share(kind string) *float64 {
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
func (p *FaultInjector) hang(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		n := b.Spec.Number
		p.hung[n]++
		b.SetHung(true)
		p.atEnd(t, now, func(float64) {
			if p.hung[n]--; p.hung[n] == 0 {
				b.SetHung(false)
			}
		})
	}
}

// end ends a box's process, or has its machine vanish; false: it has none.
func (p *FaultInjector) end(b *Server, silent bool, now float64) bool {
	if !b.IsAlive() {
		return false
	}
	if silent {
		p.cut(-1, int32(b.Spec.Number), true, now)
	}
	b.Stopped(now) // before its connections' ends come
	if silent {
		p.ground.Vanish(b.machine())
	} else {
		p.ground.Kill(b.machine())
	}
	p.w.Discovery.ServerStopped(b.Spec.Number, silent, now)
	return true
}

// back begins a box's next life at an IP.
func (p *FaultInjector) back(b *Server, ip string, silent bool, now float64) {
	if tenant := p.w.serverByIP[ip]; b.IsAlive() || tenant.IsAlive() && tenant.machine() == ip {
		return // it is back already, or another has its place
	}
	if silent {
		p.cut(-1, int32(b.Spec.Number), false, now)
	}
	p.w.serverByIP[ip] = b
	for _, c := range p.cuts {
		if n := int32(b.Spec.Number); c.ip == ip && !slices.Contains(c.boxes, n) {
			c.boxes = append(c.boxes, n)
			p.cut(c.sidecar, n, true, now)
		}
	}
	p.ground.Start(ip)
}

// Restart has a sidecar be killed and begin again after a while, with what is on its disk, unless it is gone already.
func (p *FaultInjector) RestartSidecar(sidecar int, afterS, now float64) {
	p.killSidecar(sidecar, afterS, now)
}

// Down ends a server's process, as the maintenance agent does.
func (p *FaultInjector) StopServer(box int, now float64) { p.end(p.w.Servers[box], false, now) }

// Up starts the next process of a server whose process Down has ended, unless a fault ended it as well.
func (p *FaultInjector) StartServer(box int, now float64) {
	b := p.w.Servers[box]
	p.back(b, b.machine(), false, now)
}

func (p *FaultInjector) goAndReturn(boxes []*Server, t *Fault, now float64, silent, moved bool) {
	for _, b := range boxes {
		if !p.end(b, silent, now) {
			continue
		}
		ip := b.machine()
		if moved {
			if ip == b.Spec.IP {
				ip = otherIP(&b.Spec)
			} else {
				ip = b.Spec.IP
			}
		}
		p.atEnd(t, now, func(now float64) { p.back(b, ip, silent, now) })
	}
}

func (p *FaultInjector) loseSite(t *Fault, now float64) {
	for i, site := range p.w.Day.Sites {
		if site != t.Site {
			continue
		}
		var boxes []*Server
		for _, b := range p.w.Servers {
			if b.Spec.Site == i {
				boxes = append(boxes, b)
			}
		}
		p.goAndReturn(boxes, t, now, t.Silent, false)
		for k, s := range p.w.Day.Sidecars {
			if t.WithSidecars && s.Site == i {
				p.killSidecar(k, p.endsAt(t, now)-now, now)
			}
		}
	}
}

// shrink has boxes drain, and ends them after their notice.
func (p *FaultInjector) shrink(boxes []*Server, t *Fault, now float64) {
	for _, b := range boxes {
		if !b.IsAlive() {
			continue
		}
		life := b.life
		p.w.Discovery.ServerDraining(b.Spec.Number, now)
		b.Drain()
		p.later(now, t.DrainSeconds, func(now float64) {
			if b.life != life || !p.end(b, false, now) || t.DurationSeconds == 0 {
				return
			}
			p.atEnd(t, now, func(now float64) { p.back(b, b.machine(), false, now) })
		})
	}
}

func (p *FaultInjector) resets(boxes []*Server, t *Fault, now, until float64) {
	n := 0
	var step func(now float64)
	step = func(now float64) {
		if now >= until || len(boxes) == 0 {
			return
		}
		b := boxes[n%len(boxes)]
		s := p.w.Day.Sidecars[n/len(boxes)%len(p.w.Day.Sidecars)]
		n++
		p.ground.ResetConnections(s.IP, b.machine())
		p.later(now, 1/t.RatePerSecond, step)
	}
	step(now)
}

// cut tells the witness of a way that is cut, or mended.
func (p *FaultInjector) cut(sidecar, box int32, on bool, now float64) {
	kind := checker.PathFaultEnded
	if on {
		kind = checker.PathFaultStarted
	}
	p.witness.Observe(checker.Event{Kind: kind, At: now, Sidecar: sidecar, Server: box})
}

func (p *FaultInjector) oneWay(boxes []*Server, t *Fault, now float64) {
	sidecars := t.Sidecars
	if len(sidecars) == 0 {
		for i := range p.w.Day.Sidecars {
			sidecars = append(sidecars, i)
		}
	}
	for _, b := range boxes {
		for _, i := range sidecars {
			from, to := p.w.Day.Sidecars[i].IP, b.machine()
			if !t.ToServer {
				from, to = to, from
			}
			c := &oneWayCut{sidecar: int32(i), ip: b.machine(), boxes: []int32{int32(b.Spec.Number)}}
			if other := p.w.serverByIP[c.ip]; other != b && other.IsAlive() && other.machine() == c.ip {
				c.boxes = append(c.boxes, int32(other.Spec.Number)) // it has taken the place of the one that is meant
			}
			p.cuts = append(p.cuts, c)
			for _, n := range c.boxes {
				p.cut(c.sidecar, n, true, now)
			}
			p.ground.DropTraffic(from, to)
			p.atEnd(t, now, func(now float64) {
				p.ground.RestoreTraffic(from, to)
				p.cuts = slices.DeleteFunc(p.cuts, func(other *oneWayCut) bool { return other == c })
				for _, n := range c.boxes {
					p.cut(c.sidecar, n, false, now)
				}
			})
		}
	}
}

func (p *FaultInjector) slowReaders(t *Fault, now float64) {
	for _, i := range t.Sidecars {
		p.slow[i]++
		p.ground.LimitReading(i, t.Share)
		p.cut(int32(i), checker.PathToClients, true, now)
		p.atEnd(t, now, func(now float64) {
			if p.slow[i]--; p.slow[i] == 0 {
				p.ground.LimitReading(i, 1)
			}
			p.cut(int32(i), checker.PathToClients, false, now)
		})
	}
}

func (p *FaultInjector) sidecar(kind checker.Kind, sidecar int, now float64) {
	p.witness.Observe(checker.Event{Kind: kind, At: now, Sidecar: int32(sidecar), Server: -1})
}

// killSidecar ends a sidecar's process and begins the next one after a while.
func (p *FaultInjector) killSidecar(sidecar int, afterS, now float64) {
	if p.gone[sidecar] {
		return // another trouble has it
	}
	p.gone[sidecar] = true
	if p.frozen[sidecar] {
		p.frozen[sidecar] = false
		p.ground.Suspend(sidecar, false)
	}
	ip := p.w.Day.Sidecars[sidecar].IP
	p.sidecar(checker.SidecarKilled, sidecar, now)
	p.ground.Kill(ip)
	p.later(now, afterS, func(float64) {
		p.gone[sidecar] = false
		p.w.notifyReplaced(sidecar)
		p.ground.Start(ip)
	})
}

// moveDiscovery has discovery go on elsewhere and tells the sidecars so by a new configuration.
func (p *FaultInjector) moveDiscovery(now float64) {
	ip, ok := p.w.Discovery.nextIP()
	if !ok {
		return
	}
	p.ground.Start(ip)
	p.w.Discovery.Move()
	for i := range p.w.Applications {
		p.sidecar(checker.SidecarReloaded, i, now)
		p.ground.Reload(i, p.w.ReloadConfiguration(i))
	}
}

// takeOut has the operators of all sidecars take boxes out, or give them back.
func (p *FaultInjector) takeOut(boxes []*Server, on bool) {
	kind := checker.ServerUncordoned
	if on {
		kind = checker.ServerCordoned
	}
	for i := range p.w.Applications {
		for _, b := range boxes {
			p.ground.Cordon(i, b.Spec.Name, on, func() {
				p.witness.Observe(checker.Event{Kind: kind, At: p.ground.Now(), Sidecar: int32(i), Server: int32(b.Spec.Number)})
			})
		}
	}
}

// replace ends a box and begins another one at its address after a while. Danger: a sidecar that has not been told yet
// means the old one; a box of another site there would have it break the rules of groups unwittingly.
func (p *FaultInjector) replace(b *Server, t *Fault, now float64) {
	next := slices.IndexFunc(p.w.Servers, func(o *Server) bool {
		return o.Spec.Number >= p.w.Day.InitialServers && o.lives == 0 && o.Spec.Site == b.Spec.Site && !p.taken[o.Spec.Number]
	})
	if next < 0 || !p.end(b, false, now) {
		return
	}
	p.taken[next] = true
	ip := b.machine()
	p.atEnd(t, now, func(now float64) { p.back(p.w.Servers[next], ip, false, now) })
}
