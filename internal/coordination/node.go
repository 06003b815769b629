package coordination

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"

	"hazelwheel/internal/decide/subset"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers"
	"hazelwheel/policy"
)

// Node is a sidecar's part in its fleet. It is a netio.Host for the connections that Owns tells of.
type Node struct {
	o      Options
	net    netio.Net
	log    *slog.Logger
	port   int
	peers  *peers.Transport
	view   *swim.View
	part   swim.StableRank
	links  map[int]*peers.Link     // looked up, never walked
	byID   map[swim.ID]*peers.Link // the same
	up     []*peers.Link           // the same, in the order in which they came up
	owners *owners                 // nil: nobody owns anything
	stop   func()                  // listening
	again  float64                 // when to try to listen again; 0: it listens
	told   bool                    // that it can't
	alarm  float64
	depth  int
	posted []func()
	disk   StateStore // nil: there is none
	saved  SavedState
	state  state // that is kept, or that would be
	notes  notes
	stored bool // the identity is on disk
	hushed bool
	left   bool
	panics uint64
}

// New returns a fleet that has not begun. What is saved is taken over first; where it can't be, the process is a new one.
func New(o Options) (*Node, error) {
	f := &Node{o: o, net: o.Net, log: o.Log.With("part", "fleet"), links: map[int]*peers.Link{}, byID: map[swim.ID]*peers.Link{}, part: swim.NewStableRank(o.Self, o.Replicas)}
	if f.o.Advertise == "" {
		f.o.Advertise = o.Listen
	}
	_, port, err := net.SplitHostPort(o.Listen)
	if err == nil {
		f.port, err = strconv.Atoi(port)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	f.o.Log, f.o.Jobs = f.log, withLists(o.Jobs)
	f.peers = peers.New(o.Name, o.MaxLinks, f, o.Net, f.log)
	if len(o.Electors) > 0 {
		f.owners = newOwners(f)
	}
	return f, nil
}

// Start reads the identity and begins to look for others. Danger: what was promised under an identity must not be forgotten
// under it; one that can't be written again is not used.
func (f *Node) Start() {
	f.enter(func() {
		works := f.state.Works
		f.state = state{ID: swim.ID(f.drawn()), Generation: 1}
		if st, err := f.saved.decode(); err != nil {
			f.log.Warn("what was saved of this sidecar can't be used: it is a new one", "error", err)
		} else if f.saved.Data != nil {
			f.state = st
			f.state.Generation++
		}
		f.state.Works = works
		version := swim.Version{Incarnation: f.state.Generation << 32, BootID: f.drawn()}
		f.save(func(err error) {
			if err != nil {
				f.state = state{ID: swim.ID(f.drawn()), Generation: 1, Works: f.state.Works}
				version.Incarnation = 1 << 32
				f.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
			}
			f.stored = err == nil
			f.begin(version)
		})
	})
}

// begin comes once the identity is on disk, or known not to be.
func (f *Node) begin(version swim.Version) {
	if f.hushed {
		return
	}
	if f.owners != nil {
		if err := f.owners.begin(f.state.ID, f.state.Tenure); err != nil {
			f.log.Warn("what was promised to others can't be used: this sidecar is a new one", "error", err)
			f.anew(func() { f.begin(swim.Version{Incarnation: 1 << 32, BootID: f.drawn()}) })
			return
		}
	}
	self := swim.Record{ID: f.state.ID, Version: version, Name: f.o.Sidecar, Address: f.o.Advertise, Durable: f.stored && f.owners != nil}
	f.view = swim.New(f.net.Now(), self, swim.Settings{Join: f.o.Join, HotRestart: f.o.Replaceable, Seed: f.o.Rand.Uint64()}, actions{f})
	f.log.Info("looking for peers", "fleet", f.o.Name, "listen", f.o.Listen, "advertise", f.o.Advertise, "id", self.ID, "incarnation", version.Incarnation)
	f.listen()
	f.tick()
}

// listen opens the listener. Another process may still hold it, the one that this one replaces; nothing waits for that.
func (f *Node) listen() {
	stop, err := f.net.Listen(f.o.Listen)
	if err != nil {
		if f.again = f.net.Now() + 0.2; !f.told {
			f.told = true
			f.log.Warn("peers can't come yet: trying again", "error", err)
		}
		return
	}
	f.stop, f.again = stop, 0
	if f.told {
		f.log.Info("peers can come", "listen", f.o.Listen)
	}
	f.told = false
}

// tick does what is due, and asks for the next call.
func (f *Node) tick() {
	now := f.net.Now()
	if f.again > 0 && now >= f.again && !f.hushed {
		f.listen()
	}
	f.heed()
	if f.view.IsReplaced() && !f.hushed {
		f.log.Info("another process speaks for this sidecar")
		f.hush()
		f.shut()
	}
	f.peers.Tick()
	if now >= f.view.NextTick() {
		f.view.Tick(now)
	}
	rank, count := f.view.Rank(swim.DeadHoldSeconds)
	if f.hushed || f.left {
		rank, count = 0, 1
	}
	if f.part.Update(now, rank, count) {
		rank, count = f.part.Current()
		f.log.Info("place in the fleet", "rank", rank, "of", count, "live", f.view.LiveCount())
		if !f.part.IsConfigured() {
			rank = begins(rank, count)
		}
		f.o.Placement.TakePlace(rank, count)
	}
	f.notes.flush(now, f.log)
	if f.owners != nil {
		f.owners.tick(now)
	}
	f.arm()
}

// begins returns the number that has the decisions begin their part of the boxes where a rank's arc does. Danger: told the rank itself, they begin
// elsewhere whenever the count is another, and one sidecar that comes moves the links of all.
func begins(rank, count int) int {
	step, _ := policy.Subset(count, 1, count, 0)
	return subset.NumberAt(subset.PositionByRank(rank, count), count, step)
}

// arm asks for the next call.
func (f *Node) arm() {
	now := f.net.Now()
	next := f.view.NextTick()
	if next <= now {
		next = now + 0.25
	}
	if f.owners != nil {
		next = min(next, max(f.owners.next(now), now+leastTickS))
	}
	f.alarm = next
	f.net.Alarm(next)
}

// leastTickS is between two calls that nothing else has asked for.
const leastTickS = 0.005

// CheckShutdown looks whether the core has been told to end.
func (f *Node) CheckShutdown() { f.enter(f.heed) }

func (f *Node) heed() {
	switch ending, succeeded := f.o.Host.Ending(); {
	case !ending || f.hushed || f.left || f.view == nil:
	case succeeded: // another process speaks under this identity
		f.hush()
		f.view.Silence(f.net.Now())
		f.shut()
	case f.owners != nil && f.owners.leaving(f.net.Now()):
	default:
		f.left = true
		f.view.Leave(f.net.Now())
	}
}

// hush has nothing said any more: another process speaks in place of this one.
func (f *Node) hush() {
	if f.hushed = true; f.owners != nil {
		f.owners.stop("another process has taken this one's place")
	}
}

func (f *Node) shut() {
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
	f.again = 0
}
