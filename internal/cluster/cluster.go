// Package cluster hosts a process's part in the fleet: it exchanges records, the configuration and the list of servers with
// other processes, so that each reaches all. What decides is in internal/decide/membership.
package cluster

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/boot"
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routes"
	"hazelwheel/internal/transport"
)

const (
	gossipPath = "/fleet/v1/gossip"
	// ExchangeEvery is the time between exchanges.
	ExchangeEvery = 400 * time.Millisecond
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

// List is a reading of the platform's list and when it was read.
type List struct {
	Digest uint64
	Data   []byte    // the servers, packed
	ReadAt time.Time // zero: there is none
}

// Unpack returns the servers, none where there is no reading.
func (l *List) Unpack() ([]message.Instance, error) {
	if l.ReadAt.IsZero() {
		return nil, nil
	}
	return message.UnpackList(l.Data)
}

// Facts is what a process has learned.
type Facts struct {
	Table  *message.Table
	List   List
	Voters register.Value // the voters alone, of the newest epoch heard of
	Grants []register.Grant
	Plan   message.StagePlan
	Rank   int // of this process among its kind
	Count  int
}

// Node takes part in the fleet.
type Node struct {
	log    *logrus.Entry
	client *transport.Client
	start  time.Time

	mu      sync.Mutex
	view    *membership.View
	facts   Facts
	changed chan struct{} // closed and replaced when facts change
	loads   loads
	table   claim
	list    claim

	contact  *contact
	meshSize int // other control processes that are called in turns
	meshNext int // whose turn it is
}

// New returns a node for the process of the settings. The record's name, address, zone and life are filled in.
func New(settings *boot.Settings, self membership.Record, client *transport.Client, log *logrus.Entry) *Node {
	self.Name, self.Zone = settings.NodeID+"/"+string(self.Kind), settings.Zone
	self.Life = rand.Uint64()
	self.Incarnation = uint64(max(time.Now().UnixMilli(), 1))
	seeds := settings.SeedAddresses()
	view := membership.New(membership.Settings{SuspectAfterS: suspectAfter, ForgetAfterS: forgetAfter, ViewSize: viewSize,
		SampleSize: sampleSize, BeatSize: beatSize}, self, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Node{log: log, client: client, start: time.Now(), view: view, changed: make(chan struct{}),
		contact: newContact(time.Now())}
}

// Register adds the node's paths to a router.
func (n *Node) Register(router *mux.Router) {
	router.HandleFunc(gossipPath, transport.Handle(n.serveGossip)).Methods("POST")
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
	lacks := n.facts.Table == nil || n.facts.List.ReadAt.IsZero()
	if lacks && time.Since(n.start) < firstFor {
		return firstEvery
	}
	return ExchangeEvery
}

func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	n.view.Tick(n.now())
	n.contact.tick(time.Now())
	n.place()
	partners := []string{n.view.Partner()}
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
	return append(addresses[from:], addresses[:from]...)[:meshMost]
}

// claim says that something large has been asked for, so that it is not taken from several peers at once.
type claim struct {
	until time.Time
}

// take returns whether nobody else has asked lately.
func (c *claim) take() bool {
	if time.Now().Before(c.until) {
		return false
	}
	c.until = time.Now().Add(claimFor)
	return true
}

func (c *claim) release() { c.until = time.Time{} }

// exchange tells a peer what is known here and takes what it knows; where it lacks news, they follow.
func (n *Node) exchange(ctx context.Context, address string) {
	request := n.digest()
	n.mu.Lock()
	request.TakeTable, request.TakeList = n.table.take(), n.list.take()
	n.mu.Unlock()
	reply, err := n.call(ctx, address, request)
	n.mu.Lock()
	if request.TakeTable {
		n.table.release()
	}
	if request.TakeList {
		n.list.release()
	}
	n.mu.Unlock()
	if err != nil {
		n.log.WithField("peer", address).WithError(err).Debug("exchange failed")
		return
	}
	n.absorb(reply)
	n.supply(ctx, address, reply)
}

// supply sends a peer what it asks for.
func (n *Node) supply(ctx context.Context, address string, reply *message.Gossip) {
	if !reply.TakeTable && !reply.TakeList {
		return
	}
	news := n.digest()
	n.attach(news, reply.TakeTable, reply.TakeList)
	if answer, err := n.call(ctx, address, news); err == nil {
		n.absorb(answer)
	}
}

// attach adds the configuration or the list to a message.
func (n *Node) attach(out *message.Gossip, table, list bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if table {
		out.Table = n.facts.Table
	}
	if list && out.List.Digest == n.facts.List.Digest {
		out.List.Data = n.facts.List.Data
	}
}

func (n *Node) call(ctx context.Context, address string, request *message.Gossip) (*message.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	reply := &message.Gossip{}
	if err := n.client.Call(ctx, address, gossipPath, request, reply); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.contact.answer(address, time.Now())
	n.mu.Unlock()
	return reply, nil
}

// push tells a few processes at once that there is news. Those that lack it ask for it and tell others.
func (n *Node) push() {
	n.mu.Lock()
	addresses := n.view.Fanout(n.now(), pushFanout)
	n.mu.Unlock()
	request := n.digest()
	for _, address := range addresses {
		go func() {
			if reply, err := n.call(context.Background(), address, request); err == nil {
				n.absorb(reply)
				n.supply(context.Background(), address, reply)
			}
		}()
	}
}

// digest builds a message that names what is known here.
func (n *Node) digest() *message.Gossip {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &message.Gossip{Format: message.FormatVersion, Records: n.view.Sample(n.now()), Beats: n.view.Beats(n.now()),
		Voters: votersOf(n.facts.Voters), Grants: n.facts.Grants, Plan: n.facts.Plan, Loads: n.loads.young()}
	if n.facts.Table != nil {
		out.Version = n.facts.Table.Version
	}
	if !n.facts.List.ReadAt.IsZero() {
		age := float64(time.Since(n.facts.List.ReadAt)) / float64(time.Millisecond)
		out.List = message.List{Digest: n.facts.List.Digest, AgeMs: age}
	}
	return out
}

func votersOf(value register.Value) register.Value {
	return register.Value{Epoch: value.Epoch, Voters: value.Voters, Previous: value.Previous}
}

// serveGossip answers an exchange with what the peer asks for, and asks for what is lacking here.
func (n *Node) serveGossip(_ context.Context, request *message.Gossip) (*message.Gossip, error) {
	if request.Format != message.FormatVersion {
		return nil, message.Error.New("format %d, want %d", request.Format, message.FormatVersion)
	}
	lacksTable, lacksList := n.lacks(request)
	n.absorb(request)
	reply := n.digest()
	newerTable := reply.Version > request.Version
	newerList := reply.List.Digest != request.List.Digest && !lacksList
	n.attach(reply, request.TakeTable && newerTable, request.TakeList && newerList)
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.TakeTable = lacksTable && request.Table == nil && n.table.take()
	reply.TakeList = lacksList && request.List.Data == nil && n.list.take()
	return reply, nil
}

// lacks tells whether the peer has a newer table or list than this process.
func (n *Node) lacks(request *message.Gossip) (table, list bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	table = request.Version > 0 && (n.facts.Table == nil || request.Version > n.facts.Table.Version)
	return table, n.younger(request.List) && request.List.Digest != n.facts.List.Digest
}

// younger tells whether a peer's reading of the list is younger than the own one. Danger: readings that were sent at the same
// moment differ by what the network took; freshBy keeps an older one from taking its place.
func (n *Node) younger(list message.List) bool {
	if list.Digest == 0 {
		return false
	}
	return n.facts.List.ReadAt.IsZero() || readAt(list).After(n.facts.List.ReadAt.Add(freshBy))
}

func readAt(list message.List) time.Time {
	return time.Now().Add(-time.Duration(list.AgeMs * float64(time.Millisecond)))
}

// absorb takes what a peer told.
func (n *Node) absorb(told *message.Gossip) {
	n.mu.Lock()
	n.view.Merge(n.now(), told.Records)
	n.view.MergeBeats(n.now(), told.Beats)
	n.loads.merge(told.Loads)
	n.place()
	if told.Voters.Epoch > n.facts.Voters.Epoch {
		n.facts.Voters = votersOf(told.Voters)
	}
	n.mergeGrants(told.Grants)
	if told.Plan.Newer(&n.facts.Plan) {
		n.facts.Plan = told.Plan
		n.announce()
	}
	younger := n.younger(told.List)
	if younger && told.List.Digest == n.facts.List.Digest {
		n.facts.List.ReadAt = readAt(told.List)
		younger = false
	}
	n.mu.Unlock()
	if told.Table != nil {
		n.takeTable(told.Table)
	}
	if younger && told.List.Data != nil {
		n.takeList(List{Digest: told.List.Digest, Data: told.List.Data, ReadAt: readAt(told.List)})
	}
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

// announce wakes those that wait for changes.
func (n *Node) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetTable takes a configuration that holds.
func (n *Node) SetTable(table *routes.Table) {
	packed, err := message.PackTable(table)
	if err != nil {
		n.log.WithError(err).Error("a configuration can't be packed")
		return
	}
	n.takeTable(packed)
}

// takeTable takes a configuration. Versions never go back.
func (n *Node) takeTable(table *message.Table) {
	n.mu.Lock()
	n.table.release()
	if n.facts.Table != nil && table.Version <= n.facts.Table.Version {
		n.mu.Unlock()
		return
	}
	n.facts.Table = table
	n.announce()
	n.mu.Unlock()
	n.log.WithField("version", table.Version).WithField("bytes", len(table.Data)).Info("configuration")
	n.push()
}

// SetList takes a reading of the platform's list.
func (n *Node) SetList(instances []message.Instance, at time.Time) {
	digest := listDigest(instances)
	n.mu.Lock()
	same := digest == n.facts.List.Digest
	data := n.facts.List.Data
	n.mu.Unlock()
	if !same {
		packed, err := message.PackList(instances)
		if err != nil {
			n.log.WithError(err).Error("a list can't be packed")
			return
		}
		data = packed
	}
	n.takeList(List{Digest: digest, Data: data, ReadAt: at})
}

func (n *Node) takeList(list List) {
	n.mu.Lock()
	n.list.release()
	if !n.facts.List.ReadAt.IsZero() && !list.ReadAt.After(n.facts.List.ReadAt) {
		n.mu.Unlock()
		return
	}
	differs := list.Digest != n.facts.List.Digest
	n.facts.List = list
	if differs {
		n.announce()
	}
	n.mu.Unlock()
	if differs {
		n.push()
	}
}

// mergeGrants takes those with higher tokens.
func (n *Node) mergeGrants(grants []register.Grant) {
	for _, grant := range grants {
		i := slices.IndexFunc(n.facts.Grants, func(g register.Grant) bool { return g.Role == grant.Role })
		if i < 0 {
			n.facts.Grants = append(slices.Clone(n.facts.Grants), grant)
		} else if grant.Token > n.facts.Grants[i].Token {
			n.facts.Grants = slices.Clone(n.facts.Grants)
			n.facts.Grants[i] = grant
		}
	}
}

// SetPlan takes the plan of the process that orders stages, and has it carried to all.
func (n *Node) SetPlan(plan message.StagePlan) {
	n.mu.Lock()
	newer := plan.Newer(&n.facts.Plan)
	if newer {
		n.facts.Plan = plan
		n.announce()
	}
	n.mu.Unlock()
	if newer {
		n.push()
	}
}

// SetDemands replaces what this process tells of its proxy.
func (n *Node) SetDemands(demands []membership.Demand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetDemands(demands)
}

// SetVoters takes the voters and the grants of a value that holds.
func (n *Node) SetVoters(value register.Value) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeGrants(value.Grants)
	if value.Epoch > n.facts.Voters.Epoch {
		n.facts.Voters = votersOf(value)
	}
}

// listDigest never is 0 and does not go by order.
func listDigest(instances []message.Instance) uint64 {
	sum := uint64(1)
	for i := range instances {
		data, err := msgpack.Marshal(&instances[i])
		if err != nil {
			continue // an Instance holds nothing that can't be marshalled
		}
		hash := fnv.New64a()
		_, _ = hash.Write(data)
		sum += hash.Sum64()
	}
	return max(sum, 1)
}

// Facts returns what is known, and a channel that is closed once that has changed.
func (n *Node) Facts() (Facts, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.facts, n.changed
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

// Leave tells others that this process is about to end.
func (n *Node) Leave() {
	n.mu.Lock()
	n.view.Leave()
	partners := n.mesh()
	n.mu.Unlock()
	n.push()
	for _, partner := range partners {
		go n.exchange(context.Background(), partner)
	}
}
