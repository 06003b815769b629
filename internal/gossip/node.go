package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// gossipPath is the HTTP path of exchanges and updates.
const gossipPath = "/fleet/v1/gossip"

const (
	// ExchangeInterval is the time between two exchanges of a process.
	ExchangeInterval = 400 * time.Millisecond
	// startupExchangeInterval replaces ExchangeInterval until a configuration and endpoints are known, for startupPeriod at most.
	startupExchangeInterval = 80 * time.Millisecond
	startupPeriod           = 3 * time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = 900 * time.Millisecond
	// maxControlPartners bounds the control processes with which a control process makes exchanges in one interval. If there
	// are more, it contacts them in turn.
	maxControlPartners = 6
)

// The settings of the membership: see membership.Settings.
const (
	partialViewSize       = 8
	recordsPerExchange    = 12
	heartbeatsPerExchange = 200
	suspectAfterSeconds   = 2.8
	forgetAfterSeconds    = 12
)

// Node takes part in the gossip on behalf of a fleet process. Its methods may be called from any goroutine.
type Node struct {
	log       *logrus.Entry
	client    *transport.Client
	startedAt time.Time

	mu              sync.Mutex // guards the fields below; never held during a call
	view            *membership.View
	state           State
	stateChanged    chan struct{} // closed and replaced when state changes
	loads           loadReports
	tableFetch      fetchSlot
	endpointsFetch  fetchSlot
	reachability    *replyTimes
	controlPeers    int // number of other control processes
	nextControlPeer int // index of the first one to contact in the next interval
}

// New returns a node for the process that the settings describe. It fills in the name, zone, run ID and incarnation of self; the
// caller sets the other fields.
func New(settings *nodeconfig.Settings, self membership.Record, client *transport.Client, log *logrus.Entry) *Node {
	self.Name, self.Zone = settings.NodeID+"/"+string(self.Kind), settings.Zone
	self.RunID = rand.Uint64()
	self.Incarnation = uint64(max(time.Now().UnixMilli(), 1))
	seeds := settings.SeedAddresses()
	view := membership.New(membership.Settings{SuspectAfterSeconds: suspectAfterSeconds, ForgetAfterSeconds: forgetAfterSeconds,
		PartialViewSize: partialViewSize, RecordsPerExchange: recordsPerExchange, HeartbeatsPerExchange: heartbeatsPerExchange},
		self, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Node{log: log, client: client, startedAt: time.Now(), view: view, stateChanged: make(chan struct{}),
		reachability: newReplyTimes(time.Now())}
}

// RegisterHandlers adds the node's paths to a router.
func (n *Node) RegisterHandlers(router *mux.Router) {
	router.HandleFunc(gossipPath, transport.NewHandler(n.handleGossip)).Methods("POST")
}

// now returns the time on the view's clock: seconds since the node was created, by the monotonic clock.
func (n *Node) now() float64 { return time.Since(n.startedAt).Seconds() }

// Run makes exchanges until the context ends.
func (n *Node) Run(ctx context.Context) {
	for {
		n.tick(ctx)
		timer := time.NewTimer(n.exchangeInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// exchangeInterval returns the time until the next exchange, which is short after the start.
func (n *Node) exchangeInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	isIncomplete := n.state.Table == nil || n.state.Endpoints.ReadAt.IsZero()
	if isIncomplete && time.Since(n.startedAt) < startupPeriod {
		return startupExchangeInterval
	}
	return ExchangeInterval
}

// tick starts the exchanges of one interval. It doesn't wait for them: a slow peer must not delay the next interval.
func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	n.view.Tick(n.now())
	n.reachability.tick(time.Now())
	n.updateRank()
	partners := []string{n.view.PickPartner(n.now())}
	partners = append(partners, n.controlPartners()...)
	n.mu.Unlock()
	slices.Sort(partners)
	for _, partner := range slices.Compact(partners) {
		if partner != "" {
			go n.exchange(ctx, partner)
		}
	}
}

// controlPartners returns, for a control process, the addresses of other control processes to exchange with now: all, or
// maxControlPartners of them in turn. Control processes have to detect quickly that one of them has failed. The caller holds mu.
func (n *Node) controlPartners() []string {
	self := n.view.Self()
	if self.Kind != membership.Control {
		return nil
	}
	var addresses []string
	for _, member := range n.view.Members(n.now()) {
		if member.Kind == membership.Control && member.Name != self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	n.controlPeers = len(addresses)
	if len(addresses) <= maxControlPartners {
		return addresses
	}
	first := n.nextControlPeer % len(addresses)
	n.nextControlPeer = first + maxControlPartners
	return slices.Concat(addresses[first:], addresses[:first])[:maxControlPartners]
}

// updateRank updates the local rank among the processes of its kind. The caller holds mu.
func (n *Node) updateRank() {
	self := n.view.Self()
	rank, count := n.view.Rank(self.Name, self.Kind)
	if rank != n.state.Rank || count != n.state.Count {
		n.state.Rank, n.state.Count = rank, count
		n.notifyChanged()
	}
}

// SetDemands replaces the demands of this process's proxy in its record.
func (n *Node) SetDemands(demands []membership.Demand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetDemands(demands)
}

// SetReleasedToken puts the fencing token of a role that this process has released into its record.
func (n *Node) SetReleasedToken(token uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetReleasedToken(token)
}

// SetSeeds replaces the addresses of seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetSeeds(seeds)
}

// Members returns all known processes, this one among them.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Members(n.now())
}

// AnnounceLeaving marks this process as leaving, and sends its record to a few processes and to its control partners. It
// doesn't wait for the calls, which continue after the context of Run has ended.
func (n *Node) AnnounceLeaving() {
	n.mu.Lock()
	n.view.MarkLeaving()
	partners := n.controlPartners()
	n.mu.Unlock()
	n.pushMessage(n.buildExchange()) // an update would not carry the record
	for _, partner := range partners {
		go n.exchange(context.Background(), partner)
	}
}
