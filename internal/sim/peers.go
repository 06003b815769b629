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
func (t FleetMode) on(seed uint64) bool {
	return t == FleetOn || t == FleetWithRoles || t == FleetWithMaintenance || t == FleetBySeed && seed%3 == 0
}

// known is a sidecar with its fleet, as a Program.
type known struct {
	core
	host netio.Handler
	f    *coordination.Node
}

func (k known) Start()                            { k.host.Start() }
func (k known) Open(c netio.Conn) bool            { return k.host.Open(c) }
func (k known) Traffic(c netio.Conn, data []byte) { k.host.Traffic(c, data) }
func (k known) Closed(c netio.Conn, err error)    { k.host.Closed(c, err) }
func (k known) Alarm()                            { k.host.Alarm() }

// Drain has the others told, too.
func (k known) Drain() {
	k.core.Drain()
	k.f.CheckShutdown()
}

// Held leaves out the links to peers, which are none of the sidecar's.
func (k known) Leftovers() []Leftover { return k.core.Leftovers() }

const (
	peersPort = "7946"
	fleetName = "day"
)

// peersAddress is where the others of its fleet reach a sidecar.
func peersAddress(s *environment.SidecarSpec) string { return net.JoinHostPort(s.IP, peersPort) }

// disk is a sidecar's disk over all its lives: what was synced stays. It answers after a while, and a process that has been
// killed by then has written nothing.
type disk struct {
	s     *instance
	proc  netio.EventLoop
	write float64 // how long a write takes
}

func (d disk) Save(data []byte, done func(error)) {
	s, life := d.s, d.s.proc
	kept := append([]byte(nil), data...)
	s.d.net.Schedule(s.d.net.Now()+d.write, func() {
		if s.proc == life && life.IsRunning() {
			var err error
			if s.full {
				err = errFull
			} else {
				if s.older = append(s.older, s.saved.Data); len(s.older) > mostOlder {
					s.older = s.older[1:]
				}
				s.saved = coordination.SavedState{Data: kept}
			}
			d.proc.Post(func() { done(err) })
		}
	})
}

var errFull = errors.New("no space left on device")

// mostOlder is how many states that a disk has held can be put back.
const mostOlder = 8

// withFleet returns the Core of a sidecar that knows the others of its day.
func (d *day) withFleet(s *instance) Factory {
	return func(cfg sidecarconfig.Config, loop netio.EventLoop, log *slog.Logger) (Program, error) {
		shared := multiplex.New(loop)
		sc, err := sidecar.New(cfg, featureconfig.Features{}, []sidecar.Frontend{http1.New(cfg, rewrite.Settings{})}, shared.Core(), log)
		if err != nil {
			return nil, err
		}
		s.lives++
		rng := rand.New(rand.NewPCG(d.spec.Seed, uint64(s.number)<<32+uint64(s.lives)))
		var join []string
		for i := range min(3, len(d.sidecars)) {
			join = append(join, peersAddress(&d.sidecars[i].spec))
		}
		links := peers.MaxLinks(d.spec.MaxDescriptors)
		settings := coordination.Settings{Name: fleetName, Listen: peersAddress(&s.spec), Join: join}
		if d.owners && len(join) == 3 {
			settings.Voters, settings.Roles = join, sidecarconfig.Jobs
			sc.EnableRequestStats()
			sc.EnableMaintenance()
		}
		f, err := coordination.New(coordination.Options{MaxLinks: links, Settings: settings, Sidecar: s.spec.Name,
			Self: cfg.Settings.Policy.Self, Replicas: cfg.Settings.Policy.Replicas, RoleHost: sc, RankReceiver: sc, Lists: listener{sc, s}, Faults: sc, Servers: sc, MaintenanceOrder: d.workOrder, Rand: rng, EventLoop: shared.Companion(), Log: log})
		if err != nil {
			return nil, err
		}
		if len(settings.Roles) > 0 {
			sc.SetListObserver(f)
		}
		f.UseStore(disk{s, loop, 0.02 * rng.Float64()}, s.saved)
		if d.works != nil {
			d.works.began(s, f)
		}
		sc.ReserveDescriptors(peers.Descriptors(links))
		s.fleet = f
		return known{core{sc}, shared.Handler(sc, f, f.OwnsConn), f}, nil
	}
}

// --- troubles between sidecars ---

func (d *day) ip(sidecar int) string { return d.sidecars[sidecar].spec.IP }

// PeersCut loses what goes from one sidecar to another: all that they say is said to peers.
func (d *day) DropPeerTraffic(from, to int, on bool) {
	if on {
		d.DropTraffic(d.ip(from), d.ip(to))
		d.peerCuts++
	} else {
		d.RestoreTraffic(d.ip(from), d.ip(to))
		d.peerCuts--
	}
	d.troubledAt = d.net.Now()
}

// PeersHold is the same here: what TCP has lost on the way it sends again.
func (d *day) HoldPeerTraffic(from, to int, on bool) { d.DropPeerTraffic(from, to, on) }

// PeersSlow has what one sends to another go at a rate.
func (d *day) LimitPeerTraffic(from, to int, perS float64) {
	way := [2]int{from, to}
	switch was := d.slow[way]; {
	case was == 0 && perS > 0:
		d.peerCuts++
	case was > 0 && perS == 0:
		d.peerCuts--
	}
	d.slow[way] = perS
	d.net.SetRate(d.net.Machine(d.ip(from)), d.net.Machine(d.ip(to)), perS)
	d.troubledAt = d.net.Now()
}

// Begin begins a sidecar that has stood by, with what is beside it.
func (d *day) StartStandby(sidecar int) {
	d.troubledAt = d.net.Now()
	d.Start(d.ip(sidecar))
}

// DiskFull has nothing be written to a sidecar's disk, or ends that.
func (d *day) FillDisk(sidecar int, on bool) { d.sidecars[sidecar].full = on }

// Clock has a sidecar's clock run at a rate, over all lives of its process.
func (d *day) SetClockRate(sidecar int, rate float64) {
	s := d.sidecars[sidecar]
	if s.rate = rate; s.proc != nil && s.proc.IsRunning() {
		s.proc.SetClockRate(rate)
	}
}

// PeersReset breaks the links between two.
func (d *day) ResetPeerConnections(a, b int) {
	d.ResetConnections(d.ip(a), d.ip(b))
	d.troubledAt = d.net.Now()
}

// deafPeer is a program that says hello to a sidecar as a peer does, asks what it knows again and again, and reads nothing.
type deafPeer struct {
	net   netio.EventLoop
	to    string
	perS  float64
	until float64
	hello []byte
	ask   []byte
	conn  netio.Conn
	again bool
}

func (h *deafPeer) Start() { h.Alarm() }

func (h *deafPeer) Open(c netio.Conn) bool {
	h.conn = c
	c.Write(h.hello)
	return true
}

func (h *deafPeer) Traffic(netio.Conn, []byte)     {}
func (h *deafPeer) Closed(c netio.Conn, err error) { h.conn = nil }

// Alarm asks, or dials again.
func (h *deafPeer) Alarm() {
	now := h.net.Now()
	if now >= h.until {
		h.net.Stop()
		return
	}
	h.net.SetAlarm(now + 1/h.perS)
	if h.conn == nil {
		if !h.again {
			h.again = true
			h.net.Dial(h.to, now+1, nil, func(error) { h.again = false })
		}
		return
	}
	if h.conn.OutboundBuffered() < 1<<16 {
		h.conn.Write(h.ask)
	}
}

// PeersDeaf begins such a program on a machine of its own.
func (d *day) QueryWithoutReading(sidecar int, perS, until float64) {
	d.deaf++
	d.peerCuts++ // a trouble that goes on
	vm := d.net.Machine(fmt.Sprintf("10.9.0.%d", d.deaf))
	p := vm.Process(virtual.ProcessOptions{Name: "deaf", ReadRate: -1, OnExit: func() {
		d.peerCuts--
		d.troubledAt = d.net.Now()
	}})
	h := &deafPeer{net: p, to: peersAddress(&d.sidecars[sidecar].spec), perS: perS, until: until}
	var err error
	if h.hello, h.ask, err = stalledpeer.Frames(fleetName, h.to); err == nil {
		err = p.Run(h)
	}
	if err != nil {
		panic(err) // numbers always pack, and it listens nowhere
	}
}

// lookAtQueues tells the judge of what waits for peers.
func (d *day) lookAtQueues() {
	for _, s := range d.sidecars {
		if s.proc == nil || !s.proc.IsRunning() {
			continue
		}
		for _, c := range s.proc.Conns() {
			if _, peer := c.Context().(*peers.Link); peer && c.OutboundBuffered() > mostQueued && !d.long {
				d.long = true
				d.see(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.QueueInvariant,
					Text: fmt.Sprintf("%d bytes wait for a peer that does not read", c.OutboundBuffered())})
			}
		}
	}
}

// mostQueued is what may wait for one peer: the bound, and a frame.
const mostQueued = 256<<10 + frames.MaxFrameBytes

// endless is long after any day.
const endless = 1e12

// Freeze has a process stand still.
func (d *day) Suspend(sidecar int, on bool) {
	s := d.sidecars[sidecar]
	d.troubledAt = d.net.Now()
	if s.proc == nil || !s.proc.IsRunning() {
		return
	}
	if s.frozen = on; on {
		s.proc.Stall(endless)
	} else {
		s.proc.EndStall()
	}
}

// Spoil changes what a sidecar's disk holds.
func (d *day) DamageState(sidecar int, state string) {
	s := d.sidecars[sidecar]
	s.spoilt = s.spoilt || state != environment.StateKept
	if d.owners && state == environment.StateTorn && s.lives%2 == 0 {
		state = environment.StateOld
	}
	switch {
	case state == environment.StateLost:
		s.saved = coordination.SavedState{}
	case state == environment.StateOld:
		if len(s.older) > 0 && s.older[0] != nil {
			s.saved = coordination.SavedState{Data: s.older[0], IsCopy: true}
		}
	case len(s.saved.Data) > 0:
		s.saved.Data = s.saved.Data[:len(s.saved.Data)/2]
	}
}

// --- what is held of the fleet, beside what is so ---

const (
	// agreeS after the last trouble between sidecars all hold the same, which is so.
	agreeS = 10.0
	// livesS is how long one must have lived and been in reach to be called dead by nobody.
	livesS = 12.0
)

// lookAtFleet tells the judge of what sidecars hold that is not so.
func (d *day) lookAtFleet() {
	if !d.together {
		return
	}
	d.lookAtQueues()
	now := d.net.Now()
	if d.peerCuts > 0 {
		d.troubledAt = now
	}
	calm := now - d.troubledAt
	up := 0
	byID := map[string]*instance{} // looked up, never walked
	seen := make([]coordination.Status, len(d.sidecars))
	for i, s := range d.sidecars {
		if s.proc == nil || !s.proc.IsRunning() || s.termed || s.frozen {
			if s.downAt == 0 {
				s.downAt, d.troubledAt, calm = now, now, 0
			}
			continue
		}
		if s.downAt != 0 || s.upAt == 0 {
			s.downAt, s.upAt, d.troubledAt, calm = 0, now, now, 0
		}
		up++
		seen[i] = s.fleet.Status(len(d.sidecars) * 20)
		byID[seen[i].ID] = s
		d.lookForRisen(s, &seen[i])
		d.lookForOld(s, &seen[i])
	}
	if calm < agreeS || d.wrong {
		return
	}
	ranks := map[int]int{}
	for i, s := range d.sidecars {
		if seen[i].ID == "" {
			continue
		}
		wrong := func(what int32, format string, args ...any) {
			d.wrong = true
			d.see(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: what, Text: fmt.Sprintf(format, args...)})
		}
		live := 0
		for _, m := range seen[i].Members {
			switch o := byID[m.ID]; {
			case m.State == "alive" && o != nil:
				live++
			case m.State == "alive" || m.State == "suspected" && o == nil:
				wrong(checker.ViewInvariant, "%s holds %s (%s) for %s, %.1f s after the last trouble, and it is not there", s.spec.Name, m.Name, m.ID, m.State, calm)
			case o != nil && now-o.upAt > livesS:
				wrong(checker.DeathInvariant, "%s holds %s for %s, %.1f s after the last trouble, and it lives", s.spec.Name, m.Name, m.State, calm)
			}
		}
		if live != up || seen[i].Live != up {
			wrong(checker.ViewInvariant, "%s knows %d that live and counts %d, of %d, %.1f s after the last trouble", s.spec.Name, live, seen[i].Live, up, calm)
		}
		if calm > agreeS+placedS {
			count := up
			if up == 1 { // one alone goes by its settings
				if count = d.told; count == 0 {
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
func (d *day) lookForRisen(s *instance, seen *coordination.Status) {
	if s.goneLife != s.lives {
		s.gone, s.goneLife = map[string]uint64{}, s.lives
	}
	for _, m := range seen.Members {
		if m.State == "dead" || m.State == "left" {
			s.gone[m.ID] = m.Incarnation
		} else if was, ok := s.gone[m.ID]; ok && m.Incarnation <= was && !d.wrong {
			d.wrong = true
			d.see(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.IncarnationInvariant,
				Text: fmt.Sprintf("%s holds %s for %s by the incarnation %d by which it was gone", s.spec.Name, m.Name, m.State, m.Incarnation)})
		}
	}
}

// lookForOld tells the judge of one that has taken an old owner's effect.
func (d *day) lookForOld(s *instance, seen *coordination.Status) {
	if seen.Leases == nil || d.wrong {
		return
	}
	for _, j := range seen.Leases.Roles {
		if !slices.IsSorted(j.AcceptedTokens) {
			d.wrong = true
			d.see(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: int32(s.number), Status: checker.TokenInvariant,
				Text: fmt.Sprintf("%s has taken effects of %s under the tokens %v", s.spec.Name, j.Role, j.AcceptedTokens)})
		}
		d.granted = max(d.granted, j.MaxToken)
	}
}

// placedS is how long a place may take to follow what is known: the dead count for a while, and a new place must hold.
const placedS = 12.0
