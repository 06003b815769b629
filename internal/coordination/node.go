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

// Node is one sidecar's part in its fleet. It must be used on the event loop only; see the package doc. Times are seconds of
// netio.EventLoop.Now.
type Node struct {
	options Options
	loop    netio.EventLoop
	log     *slog.Logger
	port    int // of Settings.Listen

	peers        *peers.Transport
	view         *swim.View // nil until the identity is persisted or the write has failed
	rank         swim.StableRank
	links        map[int]*peers.Link     // links that are up, by Link.Number; never iterated, since the order would be random
	linkByMember map[swim.ID]*peers.Link // the latest link to each member; never iterated
	upLinks      []*peers.Link           // the same links in the order in which they came up
	roles        *roleManager            // nil: there are no singleton roles

	stopListening func()
	listenRetryAt float64 // 0: the listener is open, or was closed for good
	listenFailed  bool    // the last attempt to listen failed, and that was logged

	depth     int      // of nested calls of run
	afterCall []func() // run at the end of the outermost call

	store          StateSaver // nil: nothing is persisted
	saved          SavedState // as passed to UseStore
	state          persistentState
	identityStored bool // the identity in state is on disk

	isReplaced bool // another process has taken over this identity: nothing is sent any more
	isLeaving  bool // the other members have been told that this sidecar leaves
	memberLogs logLimiter
	panics     uint64 // recovered
}

const (
	// listenRetrySeconds is the time between two attempts to open the listener.
	listenRetrySeconds = 0.2
	// overdueTickSeconds is the time until the next tick if the membership is still overdue after a tick.
	overdueTickSeconds = 0.25
	// minTickSeconds is the minimum time between two ticks that roles request.
	minTickSeconds = 0.005
)

// New returns a Node that does nothing before Start. An error names the invalid setting.
func New(o Options) (*Node, error) {
	n := &Node{options: o, loop: o.EventLoop, log: o.Log.With("component", "coordination"), links: map[int]*peers.Link{}, linkByMember: map[swim.ID]*peers.Link{},
		rank: swim.NewStableRank(o.Self, o.Replicas)}
	if n.options.Advertise == "" {
		n.options.Advertise = o.Listen
	}
	_, port, err := net.SplitHostPort(o.Listen)
	if err == nil {
		n.port, err = strconv.Atoi(port)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	n.options.Log, n.options.Roles = n.log, expandListRoles(o.Roles)
	n.peers = peers.New(o.Name, o.MaxLinks, n, o.EventLoop, n.log)
	if len(o.Voters) > 0 {
		n.roles = newRoleManager(n)
	}
	return n, nil
}

// Start implements netio.Handler: it continues the identity that was passed to UseStore or draws a new one, persists it and then joins
// the fleet. Danger: a process must know all votes that were given under its identity, so an identity that can't be written again is
// not used.
func (n *Node) Start() {
	n.run(func() {
		record := n.state.Maintenance
		n.state = persistentState{ID: swim.ID(n.randomNonZero()), Generation: 1}
		if state, err := n.saved.decode(); err != nil {
			n.log.Warn("saved state unusable: continuing under a new identity", "error", err)
		} else if n.saved.Data != nil {
			n.state = state
			n.state.Generation++
		}
		n.state.Maintenance = record
		version := swim.Version{Incarnation: n.state.Generation << 32, BootID: n.randomNonZero()}
		n.persist(func(err error) {
			if err != nil {
				n.state = persistentState{ID: swim.ID(n.randomNonZero()), Generation: 1, Maintenance: n.state.Maintenance}
				version.Incarnation = firstIncarnation
				n.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
			}
			n.identityStored = err == nil
			n.startMembership(version)
		})
	})
}

// startMembership starts the protocols, after the identity was persisted or the write has failed.
func (n *Node) startMembership(version swim.Version) {
	if n.isReplaced {
		return
	}
	if n.roles != nil {
		if err := n.roles.start(n.state.ID, n.state.LeaseState); err != nil {
			n.log.Warn("saved lease state unusable: continuing under a new identity", "error", err)
			n.newIdentity(func() { n.startMembership(swim.Version{Incarnation: firstIncarnation, BootID: n.randomNonZero()}) })
			return
		}
	}
	self := swim.Record{ID: n.state.ID, Version: version, Name: n.options.Sidecar, Address: n.options.Advertise, Durable: n.identityStored && n.roles != nil}
	settings := swim.Settings{Join: n.options.Join, HotRestart: n.options.Replaceable, Seed: n.options.Rand.Uint64()}
	n.view = swim.New(n.loop.Now(), self, settings, membershipActions{n})
	n.log.Info("membership started", "fleet", n.options.Name, "listen", n.options.Listen, "advertise", n.options.Advertise, "id", self.ID,
		"incarnation", version.Incarnation)
	n.listen()
	n.tick()
}

// listen opens the listener. If that fails it schedules another attempt, since during a hot restart the port may still belong to the
// old process. Nothing else waits for the listener.
func (n *Node) listen() {
	stop, err := n.loop.Listen(n.options.Listen)
	if err != nil {
		if n.listenRetryAt = n.loop.Now() + listenRetrySeconds; !n.listenFailed {
			n.listenFailed = true
			n.log.Warn("peers can't come yet: trying again", "error", err)
		}
		return
	}
	n.stopListening, n.listenRetryAt = stop, 0
	if n.listenFailed {
		n.log.Info("peers can come", "listen", n.options.Listen)
	}
	n.listenFailed = false
}

// closeListener closes the listener for good.
func (n *Node) closeListener() {
	if n.stopListening != nil {
		n.stopListening()
		n.stopListening = nil
	}
	n.listenRetryAt = 0
}

// tick does what is due by time and schedules the next call.
func (n *Node) tick() {
	now := n.loop.Now()
	if n.listenRetryAt > 0 && now >= n.listenRetryAt && !n.isReplaced {
		n.listen()
	}
	n.checkShutdown()
	if n.view.IsReplaced() && !n.isReplaced {
		n.log.Info("identity taken over by another process")
		n.handleReplacement()
		n.closeListener()
	}
	n.peers.Tick()
	if now >= n.view.NextTick() {
		n.view.Tick(now)
	}
	n.updateRank(now)
	n.memberLogs.logSuppressed(now, n.log)
	if n.roles != nil {
		n.roles.tick(now)
	}
	n.scheduleTick()
}

// updateRank tells the sidecar its rank among the live members once a new one is stable.
func (n *Node) updateRank(now float64) {
	rank, count := n.view.Rank(swim.DeadHoldSeconds)
	if n.isReplaced || n.isLeaving {
		rank, count = 0, 1
	}
	if !n.rank.Update(now, rank, count) {
		return
	}
	rank, count = n.rank.Current()
	n.log.Info("rank changed", "rank", rank, "count", count, "live", n.view.LiveCount())
	if !n.rank.IsConfigured() {
		rank = subsetStart(rank, count)
	}
	n.options.RankReceiver.SetRank(rank, count)
}

// subsetStart returns the number that makes the policy start its subset of the servers at the position of a rank. Given the rank
// itself, the policy would start elsewhere whenever the count changes, so that a sidecar that joins would move the connections of all.
func subsetStart(rank, count int) int {
	step, _ := policy.Subset(count, 1, count, 0)
	return subset.NumberAt(subset.PositionByRank(rank, count), count, step)
}

// scheduleTick asks the loop for the next call of Alarm.
func (n *Node) scheduleTick() {
	now := n.loop.Now()
	next := n.view.NextTick()
	if next <= now {
		next = now + overdueTickSeconds
	}
	if n.roles != nil {
		next = min(next, max(n.roles.nextTick(now), now+minTickSeconds))
	}
	n.loop.SetAlarm(next)
}

// CheckShutdown starts to leave the fleet if the sidecar is shutting down. It should be called when that may have changed; tick checks
// it, too.
func (n *Node) CheckShutdown() { n.run(n.checkShutdown) }

func (n *Node) checkShutdown() {
	switch ending, succeeded := n.options.RoleHost.ShutdownState(); {
	case !ending || n.isReplaced || n.isLeaving || n.view == nil:
	case succeeded: // another process continues this identity
		n.handleReplacement()
		n.view.AbandonIdentity(n.loop.Now())
		n.closeListener()
	case n.roles != nil && n.roles.releaseLeases(n.loop.Now()): // the other members are told once the roles have other holders
	default:
		n.isLeaving = true
		n.view.Leave(n.loop.Now())
	}
}

// handleReplacement ends all roles, since another process has taken over this identity. This process sends nothing under it any more.
func (n *Node) handleReplacement() {
	if n.isReplaced = true; n.roles != nil {
		n.roles.stop("identity taken over by another process")
	}
}
