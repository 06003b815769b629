package sim

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/coordination"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/multiplex"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/peers/stalledpeer"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

// Together says on which days sidecars know each other.
type FleetMode string

// On a third of the seeds where nothing is said.
const (
	FleetBySeed FleetMode = ""
	FleetOff    FleetMode = "off"
	FleetOn     FleetMode = "on"
	// TogetherOwners is TogetherAll with three electors and the job report, and disks on which old states are put back.
	FleetWithRoles FleetMode = "owners"
	// TogetherWorks is TogetherOwners with longer days, on which boxes are worked on by plans.
	FleetWithMaintenance FleetMode = "works"
	// TogetherApart plays the days of TogetherAll, with the same troubles, for sidecars that know nothing of each other.
	FleetFaultsOnly FleetMode = "apart"
)

// on tells whether the sidecars of a seed's day know each other.
func (t FleetMode) isOn(seed uint64) bool {
	return t == FleetOn || t == FleetWithRoles || t == FleetWithMaintenance || t == FleetBySeed && seed%3 == 0
}

// known is a sidecar with its fleet, as a Program.
type fleetProgram struct {
	core
	handler netio.Handler
	node    *coordination.Node
}

func (p fleetProgram) Start()                            { p.handler.Start() }
func (p fleetProgram) Open(c netio.Conn) bool            { return p.handler.Open(c) }
func (p fleetProgram) Traffic(c netio.Conn, data []byte) { p.handler.Traffic(c, data) }
func (p fleetProgram) Closed(c netio.Conn, err error)    { p.handler.Closed(c, err) }
func (p fleetProgram) Alarm()                            { p.handler.Alarm() }

// Drain has the others told, too.
func (p fleetProgram) Drain() {
	p.core.Drain()
	p.node.CheckShutdown()
}

// Held leaves out the links to peers, which are none of the sidecar's.
func (p fleetProgram) Leftovers() []Leftover { return p.core.Leftovers() }

const (
	peersPort = "7946"
	fleetName = "day"
)

// peersAddress is where the others of its fleet reach a sidecar.
func peersAddress(s *environment.SidecarSpec) string { return net.JoinHostPort(s.IP, peersPort) }

// disk is a sidecar's disk over all its lives: what was synced stays. It answers after a while, and a process that has been
// killed by then has written nothing.
type simulatedDisk struct {
	sidecar      *instance
	loop         netio.EventLoop
	writeSeconds float64 // how long a write takes
}

func (d simulatedDisk) Save(data []byte, done func(error)) {
	s, life := d.sidecar, d.sidecar.process
	kept := append([]byte(nil), data...)
	s.day.network.Schedule(s.day.network.Now()+d.writeSeconds, func() {
		if s.process == life && life.IsRunning() {
			var err error
			if s.isDiskFull {
				err = errDiskFull
			} else {
				if s.oldStates = append(s.oldStates, s.state.Data); len(s.oldStates) > maxOldStates {
					s.oldStates = s.oldStates[1:]
				}
				s.state = coordination.SavedState{Data: kept}
			}
			d.loop.Post(func() { done(err) })
		}
	})
}

var errDiskFull = errors.New("no space left on device")

// mostOlder is how many states that a disk has held can be put back.
const maxOldStates = 8

// withFleet returns the Core of a sidecar that knows the others of its day.
func (d *day) fleetFactory(s *instance) Factory {
	return func(cfg sidecarconfig.Config, loop netio.EventLoop, log *slog.Logger) (Program, error) {
		shared := multiplex.New(loop)
		sc, err := sidecar.New(cfg, featureconfig.Features{}, []sidecar.Frontend{http1.New(cfg, rewrite.Settings{})}, shared.Core(), log)
		if err != nil {
			return nil, err
		}
		s.starts++
		rng := rand.New(rand.NewPCG(d.spec.Seed, uint64(s.number)<<32+uint64(s.starts)))
		var join []string
		for i := range min(3, len(d.sidecars)) {
			join = append(join, peersAddress(&d.sidecars[i].spec))
		}
		links := peers.MaxLinks(d.spec.MaxDescriptors)
		settings := coordination.Settings{Name: fleetName, Listen: peersAddress(&s.spec), Join: join}
		if d.hasRoles && len(join) == 3 {
			settings.Voters, settings.Roles = join, sidecarconfig.Jobs
			sc.EnableRequestStats()
			sc.EnableMaintenance()
		}
		f, err := coordination.New(coordination.Options{MaxLinks: links, Settings: settings, Sidecar: s.spec.Name,
			Self: cfg.Settings.Policy.Self, Replicas: cfg.Settings.Policy.Replicas, RoleHost: sc, RankReceiver: sc, Lists: listRelay{sc, s}, Faults: sc, Servers: sc, MaintenanceOrder: d.maintenanceOrder, Rand: rng, EventLoop: shared.Companion(), Log: log})
		if err != nil {
			return nil, err
		}
		if len(settings.Roles) > 0 {
			sc.SetListObserver(f)
		}
		f.UseStore(simulatedDisk{s, loop, 0.02 * rng.Float64()}, s.state)
		if d.maintenance != nil {
			d.maintenance.restoreRecord(s, f)
		}
		sc.ReserveDescriptors(peers.Descriptors(links))
		s.node = f
		return fleetProgram{core{sc}, shared.Handler(sc, f, f.OwnsConn), f}, nil
	}
}

// --- troubles between sidecars ---

func (d *day) peerIP(sidecar int) string { return d.sidecars[sidecar].spec.IP }

// PeersCut loses what goes from one sidecar to another: all that they say is said to peers.
func (d *day) DropPeerTraffic(from, to int, on bool) {
	if on {
		d.DropTraffic(d.peerIP(from), d.peerIP(to))
		d.activePeerFaults++
	} else {
		d.RestoreTraffic(d.peerIP(from), d.peerIP(to))
		d.activePeerFaults--
	}
	d.lastFaultAt = d.network.Now()
}

// PeersHold is the same here: what TCP has lost on the way it sends again.
func (d *day) HoldPeerTraffic(from, to int, on bool) { d.DropPeerTraffic(from, to, on) }

// PeersSlow has what one sends to another go at a rate.
func (d *day) LimitPeerTraffic(from, to int, perS float64) {
	way := [2]int{from, to}
	switch was := d.peerRates[way]; {
	case was == 0 && perS > 0:
		d.activePeerFaults++
	case was > 0 && perS == 0:
		d.activePeerFaults--
	}
	d.peerRates[way] = perS
	d.network.SetRate(d.network.Machine(d.peerIP(from)), d.network.Machine(d.peerIP(to)), perS)
	d.lastFaultAt = d.network.Now()
}

// Begin begins a sidecar that has stood by, with what is beside it.
func (d *day) StartStandby(sidecar int) {
	d.lastFaultAt = d.network.Now()
	d.Start(d.peerIP(sidecar))
}

// DiskFull has nothing be written to a sidecar's disk, or ends that.
func (d *day) FillDisk(sidecar int, on bool) { d.sidecars[sidecar].isDiskFull = on }

// Clock has a sidecar's clock run at a rate, over all lives of its process.
func (d *day) SetClockRate(sidecar int, rate float64) {
	s := d.sidecars[sidecar]
	if s.clockRate = rate; s.process != nil && s.process.IsRunning() {
		s.process.SetClockRate(rate)
	}
}

// PeersReset breaks the links between two.
func (d *day) ResetPeerConnections(a, b int) {
	d.ResetConnections(d.peerIP(a), d.peerIP(b))
	d.lastFaultAt = d.network.Now()
}

// deafPeer is a program that says hello to a sidecar as a peer does, asks what it knows again and again, and reads nothing.
type stalledPeer struct {
	loop              netio.EventLoop
	address           string
	requestsPerSecond float64
	until             float64
	hello             []byte
	request           []byte
	conn              netio.Conn
	isDialing         bool
}

func (p *stalledPeer) Start() { p.Alarm() }

func (p *stalledPeer) Open(c netio.Conn) bool {
	p.conn = c
	c.Write(p.hello)
	return true
}

func (p *stalledPeer) Traffic(netio.Conn, []byte)     {}
func (p *stalledPeer) Closed(c netio.Conn, err error) { p.conn = nil }

// Alarm asks, or dials again.
func (p *stalledPeer) Alarm() {
	now := p.loop.Now()
	if now >= p.until {
		p.loop.Stop()
		return
	}
	p.loop.SetAlarm(now + 1/p.requestsPerSecond)
	if p.conn == nil {
		if !p.isDialing {
			p.isDialing = true
			p.loop.Dial(p.address, now+1, nil, func(error) { p.isDialing = false })
		}
		return
	}
	if p.conn.OutboundBuffered() < 1<<16 {
		p.conn.Write(p.request)
	}
}

// PeersDeaf begins such a program on a machine of its own.
func (d *day) QueryWithoutReading(sidecar int, perS, until float64) {
	d.stalledPeers++
	d.activePeerFaults++ // a trouble that goes on
	vm := d.network.Machine(fmt.Sprintf("10.9.0.%d", d.stalledPeers))
	p := vm.Process(virtual.ProcessOptions{Name: "deaf", ReadRate: -1, OnExit: func() {
		d.activePeerFaults--
		d.lastFaultAt = d.network.Now()
	}})
	h := &stalledPeer{loop: p, address: peersAddress(&d.sidecars[sidecar].spec), requestsPerSecond: perS, until: until}
	var err error
	if h.hello, h.request, err = stalledpeer.Frames(fleetName, h.address); err == nil {
		err = p.Run(h)
	}
	if err != nil {
		panic(err) // numbers always pack, and it listens nowhere
	}
}

// lookAtQueues tells the judge of what waits for peers.
func (d *day) checkPeerQueues() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		for _, c := range s.process.Conns() {
			if _, peer := c.Context().(*peers.Link); peer && c.OutboundBuffered() > maxQueuedBytes && !d.queueReported {
				d.queueReported = true
				d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.QueueInvariant,
					Text: fmt.Sprintf("%d bytes wait for a peer that does not read", c.OutboundBuffered())})
			}
		}
	}
}

// mostQueued is what may wait for one peer: the bound, and a frame.
const maxQueuedBytes = 256<<10 + frames.MaxFrameBytes

// endless is long after any day.
const foreverSeconds = 1e12

// Freeze has a process stand still.
func (d *day) Suspend(sidecar int, on bool) {
	s := d.sidecars[sidecar]
	d.lastFaultAt = d.network.Now()
	if s.process == nil || !s.process.IsRunning() {
		return
	}
	if s.isSuspended = on; on {
		s.process.Stall(foreverSeconds)
	} else {
		s.process.EndStall()
	}
}

// Spoil changes what a sidecar's disk holds.
func (d *day) DamageState(sidecar int, state string) {
	s := d.sidecars[sidecar]
	s.isStateDamaged = s.isStateDamaged || state != environment.StateKept
	if d.hasRoles && state == environment.StateTorn && s.starts%2 == 0 {
		state = environment.StateOld
	}
	switch {
	case state == environment.StateLost:
		s.state = coordination.SavedState{}
	case state == environment.StateOld:
		if len(s.oldStates) > 0 && s.oldStates[0] != nil {
			s.state = coordination.SavedState{Data: s.oldStates[0], IsCopy: true}
		}
	case len(s.state.Data) > 0:
		s.state.Data = s.state.Data[:len(s.state.Data)/2]
	}
}

// --- what is held of the fleet, beside what is so ---

const (
	// agreeS after the last trouble between sidecars all hold the same, which is so.
	convergenceSeconds = 10.0
	// livesS is how long one must have lived and been in reach to be called dead by nobody.
	minUpSeconds = 12.0
)

// lookAtFleet tells the judge of what sidecars hold that is not so.
func (d *day) checkFleet() {
	if !d.hasFleet {
		return
	}
	d.checkPeerQueues()
	now := d.network.Now()
	if d.activePeerFaults > 0 {
		d.lastFaultAt = now
	}
	calm := now - d.lastFaultAt
	up := 0
	byID := map[string]*instance{} // looked up, never walked
	seen := make([]coordination.Status, len(d.sidecars))
	for i, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() || s.isTerminating || s.isSuspended {
			if s.downSince == 0 {
				s.downSince, d.lastFaultAt, calm = now, now, 0
			}
			continue
		}
		if s.downSince != 0 || s.upSince == 0 {
			s.downSince, s.upSince, d.lastFaultAt, calm = 0, now, now, 0
		}
		up++
		seen[i] = s.node.Status(len(d.sidecars) * 20)
		byID[seen[i].ID] = s
		d.checkIncarnations(s, &seen[i])
		d.checkTokens(s, &seen[i])
	}
	if calm < convergenceSeconds || d.fleetReported {
		return
	}
	ranks := map[int]int{}
	for i, s := range d.sidecars {
		if seen[i].ID == "" {
			continue
		}
		wrong := func(what int32, format string, args ...any) {
			d.fleetReported = true
			d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: what, Text: fmt.Sprintf(format, args...)})
		}
		live := 0
		for _, m := range seen[i].Members {
			switch o := byID[m.ID]; {
			case m.State == "alive" && o != nil:
				live++
			case m.State == "alive" || m.State == "suspected" && o == nil:
				wrong(checker.ViewInvariant, "%s holds %s (%s) for %s, %.1f s after the last trouble, and it is not there", s.spec.Name, m.Name, m.ID, m.State, calm)
			case o != nil && now-o.upSince > minUpSeconds:
				wrong(checker.DeathInvariant, "%s holds %s for %s, %.1f s after the last trouble, and it lives", s.spec.Name, m.Name, m.State, calm)
			}
		}
		if live != up || seen[i].Live != up {
			wrong(checker.ViewInvariant, "%s knows %d that live and counts %d, of %d, %.1f s after the last trouble", s.spec.Name, live, seen[i].Live, up, calm)
		}
		if calm > convergenceSeconds+rankConvergenceSeconds {
			count := up
			if up == 1 { // one alone goes by its settings
				if count = d.configuredSidecars; count == 0 {
					count = len(d.sidecars)
				}
			}
			if other, twice := ranks[seen[i].Rank]; twice || seen[i].Rank >= seen[i].Count || seen[i].Count != count {
				wrong(checker.RankInvariant, "%s has rank %d of %d, of %d that live; sidecar %d has that rank, too: %v", s.spec.Name, seen[i].Rank, seen[i].Count, up, other, twice)
			}
			ranks[seen[i].Rank] = s.number
		}
	}
}

// lookForRisen tells the judge of one that a process held for gone and that lives again as it was.
func (d *day) checkIncarnations(s *instance, seen *coordination.Status) {
	if s.goneInStart != s.starts {
		s.goneIncarnations, s.goneInStart = map[string]uint64{}, s.starts
	}
	for _, m := range seen.Members {
		if m.State == "dead" || m.State == "left" {
			s.goneIncarnations[m.ID] = m.Incarnation
		} else if was, ok := s.goneIncarnations[m.ID]; ok && m.Incarnation <= was && !d.fleetReported {
			d.fleetReported = true
			d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.IncarnationInvariant,
				Text: fmt.Sprintf("%s holds %s for %s by the incarnation %d by which it was gone", s.spec.Name, m.Name, m.State, m.Incarnation)})
		}
	}
}

// lookForOld tells the judge of one that has taken an old owner's effect.
func (d *day) checkTokens(s *instance, seen *coordination.Status) {
	if seen.Leases == nil || d.fleetReported {
		return
	}
	for _, j := range seen.Leases.Roles {
		if !slices.IsSorted(j.AcceptedTokens) {
			d.fleetReported = true
			d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.TokenInvariant,
				Text: fmt.Sprintf("%s has taken effects of %s under the tokens %v", s.spec.Name, j.Role, j.AcceptedTokens)})
		}
		d.maxToken = max(d.maxToken, j.MaxToken)
	}
}

// placedS is how long a place may take to follow what is known: the dead count for a while, and a new place must hold.
const rankConvergenceSeconds = 12.0
