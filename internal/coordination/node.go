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
	options        Options
	net            netio.Net
	log            *slog.Logger
	port           int
	peers          *peers.Transport
	view           *swim.View
	rank           swim.StableRank
	links          map[int]*peers.Link     // looked up, never walked
	linkByMember   map[swim.ID]*peers.Link // the same
	upLinks        []*peers.Link           // the same, in the order in which they came up
	roles          *roleManager            // nil: nobody owns anything
	stopListening  func()                  // listening
	listenRetryAt  float64                 // when to try to listen again; 0: it listens
	listenFailed   bool                    // that it can't
	alarm          float64
	depth          int
	posted         []func()
	store          StateStore // nil: there is none
	saved          SavedState
	state          persistentState // that is kept, or that would be
	memberLogs     logLimiter
	identityStored bool // the identity is on disk
	silenced       bool
	leaving        bool
	panics         uint64
}

// New returns a fleet that has not begun. What is saved is taken over first; where it can't be, the process is a new one.
func New(o Options) (*Node, error) {
	f := &Node{options: o, net: o.Net, log: o.Log.With("part", "fleet"), links: map[int]*peers.Link{}, linkByMember: map[swim.ID]*peers.Link{}, rank: swim.NewStableRank(o.Self, o.Replicas)}
	if f.options.Advertise == "" {
		f.options.Advertise = o.Listen
	}
	_, port, err := net.SplitHostPort(o.Listen)
	if err == nil {
		f.port, err = strconv.Atoi(port)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	f.options.Log, f.options.Jobs = f.log, expandListRoles(o.Jobs)
	f.peers = peers.New(o.Name, o.MaxLinks, f, o.Net, f.log)
	if len(o.Electors) > 0 {
		f.roles = newRoleManager(f)
	}
	return f, nil
}

// Start reads the identity and begins to look for others. Danger: what was promised under an identity must not be forgotten
// under it; one that can't be written again is not used.
func (f *Node) Start() {
	f.run(func() {
		works := f.state.Maintenance
		f.state = persistentState{ID: swim.ID(f.randomNonZero()), Generation: 1}
		if st, err := f.saved.decode(); err != nil {
			f.log.Warn("what was saved of this sidecar can't be used: it is a new one", "error", err)
		} else if f.saved.Data != nil {
			f.state = st
			f.state.Generation++
		}
		f.state.Maintenance = works
		version := swim.Version{Incarnation: f.state.Generation << 32, BootID: f.randomNonZero()}
		f.persist(func(err error) {
			if err != nil {
				f.state = persistentState{ID: swim.ID(f.randomNonZero()), Generation: 1, Maintenance: f.state.Maintenance}
				version.Incarnation = 1 << 32
				f.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
			}
			f.identityStored = err == nil
			f.startMembership(version)
		})
	})
}

// startMembership comes once the identity is on disk, or known not to be.
func (f *Node) startMembership(version swim.Version) {
	if f.silenced {
		return
	}
	if f.roles != nil {
		if err := f.roles.start(f.state.ID, f.state.LeaseState); err != nil {
			f.log.Warn("what was promised to others can't be used: this sidecar is a new one", "error", err)
			f.newIdentity(func() { f.startMembership(swim.Version{Incarnation: 1 << 32, BootID: f.randomNonZero()}) })
			return
		}
	}
	self := swim.Record{ID: f.state.ID, Version: version, Name: f.options.Sidecar, Address: f.options.Advertise, Durable: f.identityStored && f.roles != nil}
	f.view = swim.New(f.net.Now(), self, swim.Settings{Join: f.options.Join, HotRestart: f.options.Replaceable, Seed: f.options.Rand.Uint64()}, membershipActions{f})
	f.log.Info("looking for peers", "fleet", f.options.Name, "listen", f.options.Listen, "advertise", f.options.Advertise, "id", self.ID, "incarnation", version.Incarnation)
	f.listen()
	f.tick()
}

// listen opens the listener. Another process may still hold it, the one that this one replaces; nothing waits for that.
func (f *Node) listen() {
	stop, err := f.net.Listen(f.options.Listen)
	if err != nil {
		if f.listenRetryAt = f.net.Now() + 0.2; !f.listenFailed {
			f.listenFailed = true
			f.log.Warn("peers can't come yet: trying again", "error", err)
		}
		return
	}
	f.stopListening, f.listenRetryAt = stop, 0
	if f.listenFailed {
		f.log.Info("peers can come", "listen", f.options.Listen)
	}
	f.listenFailed = false
}

// tick does what is due, and asks for the next call.
func (f *Node) tick() {
	now := f.net.Now()
	if f.listenRetryAt > 0 && now >= f.listenRetryAt && !f.silenced {
		f.listen()
	}
	f.checkShutdown()
	if f.view.IsReplaced() && !f.silenced {
		f.log.Info("another process speaks for this sidecar")
		f.silence()
		f.closeListener()
	}
	f.peers.Tick()
	if now >= f.view.NextTick() {
		f.view.Tick(now)
	}
	rank, count := f.view.Rank(swim.DeadHoldSeconds)
	if f.silenced || f.leaving {
		rank, count = 0, 1
	}
	if f.rank.Update(now, rank, count) {
		rank, count = f.rank.Current()
		f.log.Info("place in the fleet", "rank", rank, "of", count, "live", f.view.LiveCount())
		if !f.rank.IsConfigured() {
			rank = subsetStart(rank, count)
		}
		f.options.Placement.TakePlace(rank, count)
	}
	f.memberLogs.logSuppressed(now, f.log)
	if f.roles != nil {
		f.roles.tick(now)
	}
	f.scheduleTick()
}

// subsetStart returns the number that has the decisions begin their part of the boxes where a rank's arc does. Danger: told the rank itself, they begin
// elsewhere whenever the count is another, and one sidecar that comes moves the links of all.
func subsetStart(rank, count int) int {
	step, _ := policy.Subset(count, 1, count, 0)
	return subset.NumberAt(subset.PositionByRank(rank, count), count, step)
}

// scheduleTick asks for the next call.
func (f *Node) scheduleTick() {
	now := f.net.Now()
	next := f.view.NextTick()
	if next <= now {
		next = now + 0.25
	}
	if f.roles != nil {
		next = min(next, max(f.roles.nextTick(now), now+minTickSeconds))
	}
	f.alarm = next
	f.net.Alarm(next)
}

// minTickSeconds is between two calls that nothing else has asked for.
const minTickSeconds = 0.005

// CheckShutdown looks whether the core has been told to end.
func (f *Node) CheckShutdown() { f.run(f.checkShutdown) }

func (f *Node) checkShutdown() {
	switch ending, succeeded := f.options.Host.Ending(); {
	case !ending || f.silenced || f.leaving || f.view == nil:
	case succeeded: // another process speaks under this identity
		f.silence()
		f.view.Silence(f.net.Now())
		f.closeListener()
	case f.roles != nil && f.roles.releaseLeases(f.net.Now()):
	default:
		f.leaving = true
		f.view.Leave(f.net.Now())
	}
}

// silence has nothing said any more: another process speaks in place of this one.
func (f *Node) silence() {
	if f.silenced = true; f.roles != nil {
		f.roles.stop("another process has taken this one's place")
	}
}

func (f *Node) closeListener() {
	if f.stopListening != nil {
		f.stopListening()
		f.stopListening = nil
	}
	f.listenRetryAt = 0
}
