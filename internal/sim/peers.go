package sim

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"

	"hazelwheel/internal/config"
	"hazelwheel/internal/features"
	"hazelwheel/internal/fleet"
	"hazelwheel/internal/front/http1"
	"hazelwheel/internal/judge"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/beside"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/world"
)

// Together says on which days sidecars know each other.
type Together string

// On a third of the seeds where nothing is said.
const (
	TogetherSome  Together = ""
	TogetherNever Together = "off"
	TogetherAll   Together = "on"
)

// on tells whether the sidecars of a seed's day know each other.
func (t Together) on(seed uint64) bool { return t == TogetherAll || t == TogetherSome && seed%3 == 0 }

// known is a sidecar with its fleet, as a Program.
type known struct {
	core
	host netio.Host
	f    *fleet.Fleet
}

func (k known) Start()                            { k.host.Start() }
func (k known) Open(c netio.Conn) bool            { return k.host.Open(c) }
func (k known) Traffic(c netio.Conn, data []byte) { k.host.Traffic(c, data) }
func (k known) Closed(c netio.Conn, err error)    { k.host.Closed(c, err) }
func (k known) Alarm()                            { k.host.Alarm() }

// Drain has the others told, too.
func (k known) Drain() {
	k.core.Drain()
	k.f.Heed()
}

// Held leaves out the links to peers, which are none of the sidecar's.
func (k known) Held() []Holding { return k.core.Held() }

const peersPort = "7946"

// peersAddress is where the others of its fleet reach a sidecar.
func peersAddress(s *world.SidecarSpec) string { return net.JoinHostPort(s.IP, peersPort) }

// disk is a sidecar's disk over all its lives: what was synced stays. It answers after a while, and a process that has been
// killed by then has written nothing.
type disk struct {
	s     *instance
	proc  netio.Net
	write float64 // how long a write takes
}

func (d disk) Save(data []byte, done func(error)) {
	s, life := d.s, d.s.proc
	kept := append([]byte(nil), data...)
	s.d.net.At(s.d.net.Now()+d.write, func() {
		if s.proc == life && life.Alive() {
			s.saved = kept
			d.proc.Post(func() { done(nil) })
		}
	})
}

// withFleet returns the Core of a sidecar that knows the others of its day.
func (d *day) withFleet(s *instance) Core {
	return func(cfg config.Config, loop netio.Net, log *slog.Logger) (Program, error) {
		shared := beside.New(loop)
		sc, err := sidecar.New(cfg, features.Features{}, []sidecar.Front{http1.New(cfg, rewrite.Settings{})}, shared.Core(), log)
		if err != nil {
			return nil, err
		}
		s.lives++
		rng := rand.New(rand.NewPCG(d.spec.Seed, uint64(s.number)<<32+uint64(s.lives)))
		var join []string
		for i := range min(3, len(d.sidecars)) {
			join = append(join, peersAddress(&d.sidecars[i].spec))
		}
		f, err := fleet.New(fleet.Options{Settings: fleet.Settings{Name: "day", Listen: peersAddress(&s.spec), Join: join}, Sidecar: s.spec.Name,
			Self: cfg.Settings.Policy.Self, Replicas: cfg.Settings.Policy.Replicas, Asked: sc, Told: sc, Rand: rng, Net: shared.Companion(), Log: log})
		if err != nil {
			return nil, err
		}
		f.Keep(disk{s, loop, 0.02 * rng.Float64()}, s.saved, nil)
		sc.Reserve(peers.Descriptors)
		s.fleet = f
		return known{core{sc}, shared.Host(sc, f, f.Owns), f}, nil
	}
}

// --- troubles between sidecars ---

func (d *day) ip(sidecar int) string { return d.sidecars[sidecar].spec.IP }

// PeersCut loses what goes from one sidecar to another: all that they say is said to peers.
func (d *day) PeersCut(from, to int, on bool) {
	if on {
		d.Cut(d.ip(from), d.ip(to))
		d.peerCuts++
	} else {
		d.Mend(d.ip(from), d.ip(to))
		d.peerCuts--
	}
	d.troubledAt = d.net.Now()
}

// PeersHold is the same here: what TCP has lost on the way it sends again.
func (d *day) PeersHold(from, to int, on bool) { d.PeersCut(from, to, on) }

// PeersReset breaks the links between two.
func (d *day) PeersReset(a, b int) {
	d.Reset(d.ip(a), d.ip(b))
	d.troubledAt = d.net.Now()
}

// endless is long after any day.
const endless = 1e12

// Freeze has a process stand still.
func (d *day) Freeze(sidecar int, on bool) {
	s := d.sidecars[sidecar]
	d.troubledAt = d.net.Now()
	if s.proc == nil || !s.proc.Alive() {
		return
	}
	if s.frozen = on; on {
		s.proc.Stall(endless)
	} else {
		s.proc.Thaw()
	}
}

// Spoil changes what a sidecar's disk holds.
func (d *day) Spoil(sidecar int, state string) {
	s := d.sidecars[sidecar]
	switch {
	case state == world.Lost:
		s.saved = nil
	case len(s.saved) > 0:
		s.saved = s.saved[:len(s.saved)/2]
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
	now := d.net.Now()
	if d.peerCuts > 0 {
		d.troubledAt = now
	}
	calm := now - d.troubledAt
	up := 0
	byID := map[string]*instance{} // looked up, never walked
	seen := make([]fleet.Seen, len(d.sidecars))
	for i, s := range d.sidecars {
		if s.proc == nil || !s.proc.Alive() || s.termed || s.frozen {
			if s.downAt == 0 {
				s.downAt, d.troubledAt, calm = now, now, 0
			}
			continue
		}
		if s.downAt != 0 || s.upAt == 0 {
			s.downAt, s.upAt, d.troubledAt, calm = 0, now, now, 0
		}
		up++
		seen[i] = s.fleet.Seen(len(d.sidecars) * 20)
		byID[seen[i].ID] = s
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
			d.see(judge.Event{Kind: judge.FleetWrong, Sidecar: int32(s.number), Status: what, Text: fmt.Sprintf(format, args...)})
		}
		live := 0
		for _, m := range seen[i].Members {
			switch o := byID[m.ID]; {
			case m.State == "alive" && o != nil:
				live++
			case m.State == "alive" || m.State == "suspected" && o == nil:
				wrong(judge.ViewWrong, "%s holds %s (%s) for %s, %.1f s after the last trouble, and it is not there", s.spec.Name, m.Name, m.ID, m.State, calm)
			case o != nil && now-o.upAt > livesS:
				wrong(judge.DeathWrong, "%s holds %s for %s, %.1f s after the last trouble, and it lives", s.spec.Name, m.Name, m.State, calm)
			}
		}
		if live != up {
			wrong(judge.ViewWrong, "%s knows %d that live, of %d, %.1f s after the last trouble", s.spec.Name, live, up, calm)
		}
		if calm > agreeS+placedS {
			if other, twice := ranks[seen[i].Rank]; twice || seen[i].Rank >= seen[i].Count || seen[i].Count != up {
				wrong(judge.RankWrong, "%s has rank %d of %d, of %d that live; sidecar %d has that rank, too: %v", s.spec.Name, seen[i].Rank, seen[i].Count, up, other, twice)
			}
			ranks[seen[i].Rank] = s.number
		}
	}
}

// placedS is how long a place may take to follow what is known: the dead count for a while, and a new place must hold.
const placedS = 12.0
