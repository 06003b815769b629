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

const (
	gossipPath = "/fleet/v1/gossip"
	// ExchangeInterval is the time between exchanges.
	ExchangeInterval = 400 * time.Millisecond
	// firstEvery is the time between exchanges until a configuration and a list were heard of.
	firstEvery = 80 * time.Millisecond
	firstFor   = 3 * time.Second
	// callWithin bounds one exchange.
	callWithin = 900 * time.Millisecond
	// pushFanout is to how many processes news are sent at once; each of them sends them on.
	pushFanout   = 3
	viewSize     = 8
	sampleSize   = 12
	beatSize     = 200
	suspectAfter = 2.8 // seconds
	forgetAfter  = 12  // seconds
	// claimFor is how long a process waits for something large that it has asked for before it asks another.
	claimFor = 350 * time.Millisecond
	// freshBy is by how much a reading of the list must be younger to take the place of one that differs.
	freshBy = 20 * time.Millisecond
	// meshMost bounds the control processes to which each of them speaks at every exchange; where there are more they take turns.
	meshMost = 6
)

// Node takes part in the fleet.
type Node struct {
	log    *logrus.Entry
	client *transport.Client
	start  time.Time

	mu      sync.Mutex
	view    *membership.View
	facts   State
	changed chan struct{} // closed and replaced when facts change
	loads   loads
	table   claim
	list    claim

	contact  *contact
	meshSize int // other control processes that are called in turns
	meshNext int // whose turn it is
}

// New returns a node for the process of the settings. The record's name, address, zone and life are filled in.
func New(settings *nodeconfig.Settings, self membership.Record, client *transport.Client, log *logrus.Entry) *Node {
	self.Name, self.Zone = settings.NodeID+"/"+string(self.Kind), settings.Zone
	self.RunID = rand.Uint64()
	self.Incarnation = uint64(max(time.Now().UnixMilli(), 1))
	seeds := settings.SeedAddresses()
	view := membership.New(membership.Settings{SuspectAfterSeconds: suspectAfter, ForgetAfterSeconds: forgetAfter, PartialViewSize: viewSize,
		RecordsPerExchange: sampleSize, HeartbeatsPerExchange: beatSize}, self, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Node{log: log, client: client, start: time.Now(), view: view, changed: make(chan struct{}),
		contact: newContact(time.Now())}
}

// RegisterHandlers adds the node's paths to a router.
func (n *Node) RegisterHandlers(router *mux.Router) {
	router.HandleFunc(gossipPath, transport.NewHandler(n.serveGossip)).Methods("POST")
}

// now is the time of the view: seconds on the steady clock.
func (n *Node) now() float64 { return time.Since(n.start).Seconds() }

// Run exchanges until the context ends.
func (n *Node) Run(ctx context.Context) {
	for {
		n.tick(ctx)
		pause := time.NewTimer(n.pause())
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// pause is short for a process that has just begun.
func (n *Node) pause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	lacks := n.facts.Table == nil || n.facts.Endpoints.ReadAt.IsZero()
	if lacks && time.Since(n.start) < firstFor {
		return firstEvery
	}
	return ExchangeInterval
}

func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	n.view.Tick(n.now())
	n.contact.tick(time.Now())
	n.place()
	partners := []string{n.view.PickPartner(n.now())}
	partners = append(partners, n.mesh()...)
	n.mu.Unlock()
	slices.Sort(partners)
	for _, partner := range slices.Compact(partners) {
		if partner != "" {
			go n.exchange(ctx, partner)
		}
	}
}

// mesh returns other control processes where this is one, all where they are few: they have to notice fast that one of them is gone.
func (n *Node) mesh() []string {
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
	n.meshSize = len(addresses)
	if len(addresses) <= meshMost {
		return addresses
	}
	from := n.meshNext % len(addresses)
	n.meshNext = from + meshMost
	return slices.Concat(addresses[from:], addresses[:from])[:meshMost]
}

// place takes the own place among processes of the kind.
func (n *Node) place() {
	self := n.view.Self()
	rank, count := n.view.Rank(self.Name, self.Kind)
	if rank != n.facts.Rank || count != n.facts.Count {
		n.facts.Rank, n.facts.Count = rank, count
		n.announce()
	}
}

// SetDemands replaces what this process tells of its proxy.
func (n *Node) SetDemands(demands []membership.Demand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetDemands(demands)
}

// SetReleasedToken tells others that this process has given up the role that it held with a token.
func (n *Node) SetReleasedToken(token uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetReleasedToken(token)
}

// Members returns who is there.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Members(n.now())
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetSeeds(seeds)
}

// AnnounceLeaving tells others that this process is about to end.
func (n *Node) AnnounceLeaving() {
	n.mu.Lock()
	n.view.MarkLeaving()
	partners := n.mesh()
	n.mu.Unlock()
	n.pushOut(n.digest()) // the own record is the news
	for _, partner := range partners {
		go n.exchange(context.Background(), partner)
	}
}
