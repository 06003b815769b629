// Package coordination has a sidecar know the others of its fleet: it drives the decisions about who is there over the links to
// peers, keeps the identity on disk, and tells the core its place. Serving never waits for it; with all peers gone the core
// goes by its settings. It belongs to the core's loop.
package coordination

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"strconv"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/subset"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// Settings say how a sidecar is found and whom it looks for.
type Settings struct {
	Name      string   // of the fleet; empty: the sidecar knows no other
	Listen    string   // address and port for peers
	Advertise string   // where peers dial it; empty: Listen
	Join      []string // addresses to begin with
	Dir       string   // for what must survive a restart; empty: each start is a new process
	Electors  []string // addresses of those that agree on who owns which job; empty: nobody owns any
	Jobs      []string // that this sidecar can do on behalf of all
}

// IsEnabled tells whether the sidecar looks for peers.
func (s *Settings) IsEnabled() bool { return s.Name != "" }

// StateStore keeps the state. What Save was given is on disk, synced, when done is called with nil, on the loop.
type StateStore interface {
	Save(data []byte, done func(error))
}

// Options are what a fleet is made of.
type Options struct {
	Settings
	Sidecar          string // its name
	Self, Replicas   int    // by the configuration
	MaxLinks         int    // that there may be to peers
	Replaceable      bool   // another process may take this one's place, with its identity and address
	Host             sidecar.Asked
	Placement        sidecar.Placed
	Lists            sidecar.Lists     // for the job "list" alone
	Faults           sidecar.Drills    // for the job "drill" alone
	Servers          sidecar.Boxes     // for the job "works" alone
	MaintenanceOrder maintenance.Order // which box leaves next; others than the first are there to be weighed
	Rand             *rand.Rand
	Net              netio.Net
	Log              *slog.Logger
}

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

var _ netio.Host = (*Node)(nil)

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

// UseStore says where the state is kept, and what is there already. It comes before Start, and before the sidecar sends anything: boxes
// that are out by what is there are out from the first request on.
func (f *Node) UseStore(disk StateStore, saved SavedState) {
	f.disk, f.saved = disk, saved
	if st, err := saved.decode(); err == nil {
		f.keepWorks(st.Works)
	}
}

// keepWorks takes what is known of boxes that are out, from an earlier life or from another sidecar.
func (f *Node) keepWorks(k *MaintenanceRecord) {
	if f.owners == nil || f.owners.works == nil || k == nil {
		return
	}
	w := f.owners.works
	if w.restore(k); w.version > 0 {
		f.state.Works = &MaintenanceRecord{w.epoch, w.version, max(k.Token, w.known()), w.body}
	}
}

// ValidateState tells why what is saved can't be taken over; nil where it can, or where there is nothing.
func ValidateState(saved SavedState) error {
	_, err := saved.decode()
	return err
}

// drawn returns a number that is not 0.
func (f *Node) drawn() uint64 { return f.o.Rand.Uint64() | 1 }

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

// save keeps the state. A sidecar without a folder has nothing to keep.
func (f *Node) save(done func(error)) {
	if f.disk == nil {
		f.later(func() { done(errNoDisk) })
		return
	}
	f.disk.Save(encodeState(f.state), func(err error) { f.enter(func() { done(err) }) })
}

var errNoDisk = errors.New("there is no folder")

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

// anew draws another identity, and has done called once it is on disk or known not to be.
func (f *Node) anew(done func()) {
	f.state = state{ID: swim.ID(f.drawn()), Generation: 1, Works: f.state.Works}
	f.save(func(err error) {
		if f.stored = err == nil; err != nil {
			f.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
		}
		done()
	})
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

// enter wraps each call on the loop: a panic stops here, and what follows from the call is done before it ends.
func (f *Node) enter(do func()) {
	f.depth++
	f.guard(do)
	for f.depth == 1 && len(f.posted) > 0 {
		next := f.posted[0]
		f.posted = f.posted[1:]
		f.guard(next)
	}
	if f.depth == 1 && f.owners != nil && f.view != nil { // what has come may bring what is due forward
		f.guard(f.arm)
	}
	f.depth--
}

func (f *Node) guard(do func()) (failed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			failed = true
			f.panics++
			f.log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	do()
	return false
}

// later has something done at the end of the present call. Danger: the decisions' actions must not call back into them.
func (f *Node) later(do func()) { f.posted = append(f.posted, do) }

// --- the loop's calls ---

// OwnsConn tells whether a connection is a peer's.
func (f *Node) OwnsConn(c netio.Conn) bool {
	switch c.Context().(type) {
	case *peers.Link:
		return true
	case nil:
		tcp, ok := c.LocalAddr().(*net.TCPAddr)
		return ok && tcp.Port == f.port
	}
	return false
}

// Open takes a connection.
func (f *Node) Open(c netio.Conn) (keep bool) {
	f.enter(func() { keep = f.view != nil && !f.hushed && f.peers.Open(c) })
	return keep
}

// Traffic takes what has come over one.
func (f *Node) Traffic(c netio.Conn, data []byte) {
	f.enter(func() {
		if f.guard(func() { f.peers.Traffic(c, data) }) {
			f.net.Close(c)
		}
	})
}

// Closed takes its end.
func (f *Node) Closed(c netio.Conn, err error) { f.enter(func() { f.peers.Closed(c, err) }) }

// Alarm comes when something is due.
func (f *Node) Alarm() {
	f.enter(func() {
		if f.view != nil {
			f.tick()
		}
	})
}

// --- the links' calls ---

// Hello says who this sidecar is.
func (f *Node) Hello() frames.Hello {
	h := f.view.Hello()
	body, err := frames.Marshal(h)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	return frames.Hello{Fleet: f.o.Name, Name: f.o.Sidecar, ID: uint64(h.Self.ID), Address: f.o.Advertise, Body: body}
}

// LinkUp takes a link.
func (f *Node) LinkUp(l *peers.Link, h frames.Hello) bool {
	var hello swim.Hello
	if h.ID == 0 {
		f.answerAsker(l)
		return false
	}
	if err := frames.Unmarshal(h.Body, &hello); err != nil || uint64(hello.Self.ID) != h.ID || f.left || f.view.HasLostIdentity() {
		if l.Address != "" { // Danger: a dial of which the decisions hear nothing is never made again
			f.view.DialFailed(f.net.Now(), l.Address)
		}
		return false
	}
	f.links[l.Number] = l
	f.view.LinkUp(f.net.Now(), l.Number, l.Address, hello)
	if f.links[l.Number] != l {
		return true // it ends with this call
	}
	f.byID[hello.Self.ID] = l
	f.up = append(f.up, l)
	if o := f.owners; o != nil && o.t != nil {
		o.t.HandleLinkUp(f.net.Now(), hello.Self.ID)
	}
	if o := f.owners; o != nil && o.works != nil {
		o.works.linkUp(l)
	}
	return true
}

// drop forgets a link.
func (f *Node) drop(l *peers.Link) {
	delete(f.links, l.Number)
	if id := swim.ID(l.Hello.ID); f.byID[id] == l {
		delete(f.byID, id)
	}
	if i := slices.Index(f.up, l); i >= 0 {
		f.up = slices.Delete(f.up, i, i+1)
	}
}

// LinkDown takes a link's end.
func (f *Node) LinkDown(l *peers.Link, _ error) {
	f.drop(l)
	f.view.LinkDown(f.net.Now(), l.Number)
}

// DialFailed takes the end of a dial.
func (f *Node) DialFailed(address string, err error) {
	f.log.Debug("a peer can't be reached", "address", address, "error", err)
	f.enter(func() { f.view.DialFailed(f.net.Now(), address) })
}

// HandleFrame takes a frame. A topic that is not known here is a later version's, and skipped.
func (f *Node) HandleFrame(l *peers.Link, topic frames.Topic, body []byte) error {
	switch topic {
	case frames.TopicMembership:
		var m swim.Message
		if err := frames.Unmarshal(body, &m); err != nil {
			return err
		}
		f.view.HandleMessage(f.net.Now(), l.Number, &m)
	case frames.TopicLease:
		if o := f.owners; o != nil && o.t != nil && f.links[l.Number] == l {
			var m lease.Message
			if err := frames.Unmarshal(body, &m); err != nil {
				return err
			}
			o.t.HandleMessage(f.net.Now(), swim.ID(l.Hello.ID), &m)
		}
	case frames.TopicRole:
		if o := f.owners; o != nil && f.links[l.Number] == l {
			var e frames.RoleMessage
			if err := frames.Unmarshal(body, &e); err != nil {
				return err
			}
			o.take(l, &e)
		}
	}
	return nil
}

// --- the decisions' actions ---

type actions struct{ f *Node }

func (a actions) Dial(address string) { a.f.later(func() { a.f.peers.Dial(address) }) }

func (a actions) Send(link int, m *swim.Message) {
	l := a.f.links[link]
	if l == nil {
		return
	}
	body, err := frames.Marshal(m)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	l.Send(frames.TopicMembership, body)
}

func (a actions) Close(link int) {
	if l := a.f.links[link]; l != nil {
		a.f.drop(l)
		a.f.later(func() { a.f.peers.CloseLink(l) })
	}
}

func (a actions) MemberChanged(r swim.Record, was swim.State, known bool) {
	a.f.notes.changed(a.f.net.Now(), a.f.log, r, was, known)
}

// Renew draws another identity and speaks under it once it is on disk.
func (a actions) ReplaceIdentity(why string) {
	f := a.f
	f.log.Warn("this sidecar goes on under another identity", "why", why, "was", f.view.Self().ID)
	f.later(func() {
		if f.owners != nil {
			f.owners.stop("the identity is given up")
		}
		f.anew(func() {
			f.view.AdoptIdentity(f.net.Now(), f.state.ID, swim.Version{Incarnation: 1 << 32, BootID: f.drawn()}, f.stored && f.owners != nil)
			if f.owners == nil {
				return
			}
			if err := f.owners.begin(f.state.ID, nil); err != nil { // there is nothing that could be wrong
				panic(err)
			}
		})
	})
}
