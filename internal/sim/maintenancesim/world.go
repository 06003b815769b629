// Package maintenancesim plays work on boxes by itself: sidecars that send to boxes and go by what is agreed, owners of the job that carry
// plans out and are replaced at any instant, mechanics and operators, all drawn from a seed. What is decided is the program's own
// (internal/decide/maintenance); who is there, the electors and the links are played. It judges from outside: what boxes got, what
// mechanics did, and what was agreed.
package maintenancesim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// World is a fleet whose boxes are worked on. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng   *rand.Rand
	trace func(at float64, line string)
	hash  uint64

	boxes     []*box
	nodes     []*node
	mechanics []*mechanic
	order     maintenance.Order
	coldS     float64 // by the settings
	spec      maintenance.Spec

	// What the electors keep. A write is agreed if it is of the token granted last and of the version that there is.
	epoch    uint64
	version  uint64
	body     []byte
	before   []byte // the version before
	token    uint64
	owner    *node // that it was granted to, in that run
	ownerRun int
	down     bool // no majority: nothing is agreed, nothing granted

	perS     float64 // requests a second, all together
	refusing float64 // part that is refused
	late     int     // sidecars whose lists are late
	lossPart float64 // of messages
	stopPart float64 // of the owner's steps at which it dies or stands still
	calmly   bool    // nothing happens any more but the work

	judge
	counts Counts
}

// Counts are what a day was about.
type Counts struct {
	Plans        int `json:"Plans"`  // that were agreed
	WorkStarted  int `json:"Worked"` // boxes on which work began
	Done         int `json:"Done"`
	Skipped      int `json:"Skipped"`
	Lost         int `json:"Lost"`
	Forced       int `json:"Forced"`
	GivenBack    int `json:"Backed"` // boxes that were given back before anybody had them
	Leases       int `json:"Owners"`
	HolderFaults int `json:"Stopped"` // owners that died or stood still at a step
	StaleWrites  int `json:"Refused"` // writes of owners that were replaced, or came late
}

type box struct {
	name, site, kind string
	size             float64
	down             bool // it answers nobody
	unlisted         bool
	draining         bool
	coldTo           float64
	out              int     // executions that are out there
	lastAt           float64 // when something new came, or ended
	lastBy           *node
	worker           *mechanic // who works on it,
	token            uint64    // under which
}

// node is a sidecar over all lives of its process.
type node struct {
	w       *Simulation
	number  int
	id      swim.ID
	life    uint64
	run     int // events of an earlier run are void
	up      bool
	frozen  bool
	cut     bool    // from its peers, not from boxes
	left    bool    // it said that it leaves
	sinceAt float64 // since when it has been heard, or not
	beganAt float64
	waiting []func()

	version uint64 // by which it goes; it lasts, with the state
	state   maintenance.State
	outs    map[string]bool    // banned
	hand    map[string]float64 // boxes that were given back here by hand, until then
	open    map[string]int     // executions
	lastAt  map[string]float64

	c       *maintenance.Coordinator // as an owner, by its own view
	token   uint64
	learned uint64 // the version that its coordinator goes by
	writing bool
	timer   float64
}

func (w *Simulation) between(a, b float64) float64 { return a + (b-a)*w.rng.Float64() }
func (w *Simulation) chance(part float64) bool     { return part > 0 && w.rng.Float64() < part }

// note adds to the history.
func (w *Simulation) note(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", w.hash, w.Now(), line)
	w.hash = h.Sum64()
	if w.trace != nil {
		w.trace(w.Now(), line)
	}
}

func (w *Simulation) latency() float64 { return w.between(0.001, 0.03) }

// --- Sidecars ---

func (n *node) name() string { return fmt.Sprint("n", n.number) }

// call has a process do something, now or when it goes on; one that has ended does nothing.
func (n *node) call(run int, do func()) {
	switch {
	case n.run != run || !n.up:
	case n.frozen:
		n.waiting = append(n.waiting, func() { n.call(run, do) })
	default:
		do()
	}
}

func (n *node) start() {
	w := n.w
	if n.up {
		return
	}
	n.up, n.frozen, n.left, n.waiting, n.sinceAt, n.beganAt = true, false, false, nil, w.Now(), w.Now()
	n.run++
	n.life = w.rng.Uint64() | 1
	n.open, n.lastAt, n.hand = map[string]int{}, map[string]float64{}, map[string]float64{}
	if n.outs == nil {
		n.outs = map[string]bool{}
	}
	w.note("%s begins, version %d", n.name(), n.version)
	if !n.cut { // it asks before it sends
		n.take(w.version, w.body)
	}
	run := n.run
	w.After(w.between(0, 0.5), func() { n.send(run) })
}

func (n *node) stop(word bool) {
	if !n.up {
		return
	}
	n.w.note("%s ends", n.name())
	n.up, n.frozen, n.waiting, n.left, n.sinceAt = false, false, nil, word, n.w.Now()
	n.run++
	for name, k := range n.open { // its links end, and what was out there with them
		b := n.w.box(name)
		b.out -= k
	}
	n.open = nil
	n.drop("its process has ended")
}

func (n *node) freeze(forS float64) {
	if !n.up || n.frozen {
		return
	}
	n.w.note("%s stands still for %.2f s", n.name(), forS)
	n.frozen, n.sinceAt = true, n.w.Now()
	run := n.run
	n.w.After(forS, func() {
		if n.run == run {
			n.thaw()
		}
	})
}

func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// take has a sidecar go by what is agreed.
func (n *node) take(version uint64, body []byte) {
	if version <= n.version {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		n.w.broken(RuleState, "%v", err)
		return
	}
	n.version, n.state, n.outs = version, state, map[string]bool{}
	for b := range state.Cordoned {
		n.outs[b] = true
	}
}

// banned tells whether a sidecar sends nothing new to a box.
func (n *node) banned(name string) bool { return n.outs[name] && n.hand[name] <= n.w.Now() }

// send sends to one of the boxes that it may send to, again and again.
func (n *node) send(run int) {
	w := n.w
	n.call(run, func() {
		b := w.boxes[w.rng.IntN(len(w.boxes))]
		if n.banned(b.name) || b.unlisted || b.down && w.chance(0.9) {
			return
		}
		w.got(b, n)
		n.open[b.name]++
		n.lastAt[b.name], b.lastAt, b.lastBy = w.Now(), w.Now(), n
		b.out++
		lasts := w.between(0.01, 0.4)
		if w.chance(0.003) {
			lasts = w.between(5, 30)
		}
		w.After(lasts, func() {
			if n.run != run {
				return
			}
			b.out--
			b.lastAt, b.lastBy = w.Now(), n
			n.call(run, func() {
				n.open[b.name]--
				n.lastAt[b.name] = w.Now()
			})
		})
	})
	w.After(w.between(0.1, 0.9), func() {
		if n.run == run {
			n.send(run)
		}
	})
}

// reached tells whether two hear each other.
func (n *node) reached(by *node) bool {
	return n == by || n.up && by.up && !n.cut && !by.cut && !n.frozen && !by.frozen
}

// says is what one sidecar says of itself and of the boxes.
func (n *node) says() (from maintenance.Reporter, open []maintenance.InUse) {
	from = maintenance.Reporter{ID: n.id, BootID: n.life, Version: n.version}
	for _, b := range n.w.boxes {
		if !n.outs[b.name] {
			continue
		}
		settle := 1.0
		for _, p := range n.state.Plans {
			if slices.ContainsFunc(p.Servers, func(o maintenance.Server) bool { return o.Name == b.name && o.Stage.IsCordoned() }) {
				settle = p.Spec.QuietPeriodSeconds()
			}
		}
		hand := n.hand[b.name] > n.w.Now()
		if last, sent := n.lastAt[b.name]; hand || n.open[b.name] > 0 || sent && n.w.Now()-last < settle {
			open = append(open, maintenance.InUse{Server: b.name, Member: n.id, Uncordoned: hand, InFlight: n.open[b.name]})
		}
	}
	return from, open
}

// members is who is there as one sidecar sees it.
func (w *Simulation) members(by *node) (all []maintenance.Member) {
	for _, n := range w.nodes {
		if n.life == 0 || n.run == 1 && n != by && w.Now()-n.beganAt < 0.3 {
			continue // nobody knows of it yet
		}
		m := maintenance.Member{ID: n.id, Name: n.name(), BootID: n.life, StateAgeSeconds: w.Now() - n.sinceAt}
		switch {
		case n.left && !n.up:
			m.State = swim.Left
		case n.reached(by):
		case m.StateAgeSeconds < 1.5:
		case m.StateAgeSeconds < 4:
			m.State = swim.Suspect
		default:
			m.State = swim.Dead
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b maintenance.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

func (w *Simulation) box(name string) *box {
	return w.boxes[slices.IndexFunc(w.boxes, func(b *box) bool { return b.name == name })]
}

// --- The owner ---

// grant has the job go to a sidecar.
func (w *Simulation) grant(n *node) {
	if w.down || !n.up || n.frozen || n.cut {
		return
	}
	w.token++
	w.owner, w.ownerRun = n, n.run
	w.counts.Leases++
	w.note("%s owns the job under %d", n.name(), w.token)
	token, run := w.token, n.run
	a := w.agreed()
	if w.version > 1 && w.chance(0.3) { // the last write comes late
		a.Version--
		a.State, _ = maintenance.Decode(w.before)
		w.After(w.between(0.1, 2), func() {
			n.call(run, func() {
				if n.token == token && n.c != nil {
					n.learn(w.version, w.body)
				}
			})
		})
	}
	n.drop("it is granted anew")
	w.After(w.latency(), func() {
		n.call(run, func() {
			if n.token >= token {
				return
			}
			n.token = token
			n.c = maintenance.New(maintenance.Settings{WarmUpSeconds: w.coldS, Order: w.order})
			n.c.Start(w.Now(), a)
			n.learned, n.writing, n.timer = a.Version, false, 0
			n.ask(run, token)
			n.drive()
		})
	})
}

func (n *node) drop(why string) {
	if n.c != nil {
		n.w.note("%s does not own the job any more: %s", n.name(), why)
	}
	n.c, n.writing = nil, false
}

func (w *Simulation) agreed() maintenance.Committed {
	state, err := maintenance.Decode(w.body)
	if err != nil {
		w.broken(RuleState, "%v", err)
	}
	return maintenance.Committed{Epoch: w.epoch, Version: w.version, State: state}
}

// ask asks all for their words, again and again.
func (n *node) ask(run int, token uint64) {
	w := n.w
	if n.c == nil || n.token != token || n.run != run {
		return
	}
	again := func() {
		w.After(w.between(0.4, 0.9), func() { n.call(run, func() { n.ask(run, token) }) })
	}
	if !n.c.NeedsSnapshot() {
		again()
		return
	}
	r := maintenance.FleetSnapshot{Complete: true}
	for _, o := range w.nodes {
		if !o.up || o.life == 0 {
			continue
		}
		if !o.reached(n) || w.chance(w.lossPart) {
			if o.up {
				r.Complete = false
			}
			continue
		}
		life := o.run
		w.After(w.between(0.01, 0.2), func() {
			if o.run != life || !o.reached(n) {
				return
			}
			from, open := o.says()
			r.Report.Reporters, r.Report.InUse = append(r.Report.Reporters, from), append(r.Report.InUse, open...)
		})
	}
	w.After(w.between(0.25, 0.4), func() {
		r.Members = w.members(n) // as it is known when all has come
		r.Report.Servers = w.seen()
		r.Report.CompletedPerSecond, r.Report.RejectedPerSecond, r.Report.StaleMembers = w.perS*w.between(0.95, 1.05), w.perS*w.refusing, w.late
		n.call(run, func() {
			if n.c == nil || n.token != token {
				return
			}
			n.c.Observe(w.Now(), r)
			n.drive()
			again()
		})
	})
}

// seen is what all say of the boxes.
func (w *Simulation) seen() (all []maintenance.ServerStatus) {
	up := 0
	for _, n := range w.nodes {
		if n.up {
			up++
		}
	}
	serve := 0
	for _, b := range w.boxes {
		if !b.down && b.worker == nil {
			serve++
		}
	}
	for _, b := range w.boxes {
		s := maintenance.ServerStatus{Server: b.name, Site: b.site, Type: b.kind, Capacity: b.size, ListedBy: up, Busy: b.out > 0}
		if b.unlisted {
			s.ListedBy = 0
		}
		if b.draining {
			s.DrainingBy = up
		}
		if b.down {
			s.UnresponsiveBy = up
		} else {
			s.CompletedPerSecond = w.perS / float64(max(serve, 1))
		}
		if b.coldTo > w.Now() {
			s.WarmingUpBy = up
		}
		all = append(all, s)
	}
	return all
}

// drive has an owner's coordinator go on.
func (n *node) drive() {
	w, c, run, token := n.w, n.c, n.run, n.token
	if c == nil {
		return
	}
	next := c.Step(w.Now())
	for _, r := range c.Replies() {
		w.replied(n, r)
	}
	if at := c.StepDeadline(w.Now()); n.timer <= w.Now() || at < n.timer-1e-9 {
		n.timer = max(at, w.Now()+0.05)
		w.After(n.timer-w.Now(), func() {
			n.call(run, func() {
				if n.c == c {
					n.timer = 0
					n.drive()
				}
			})
		})
	}
	if next == nil || n.writing {
		return
	}
	body, err := next.Encode()
	if err != nil {
		w.broken(RuleState, "%v", err)
		return
	}
	version := n.learned
	n.writing = true
	write := func() {
		w.After(w.between(0.003, 0.05), func() { w.write(n, run, token, version, body) })
		w.After(1, func() { // it is repeated until something is learned
			n.call(run, func() {
				if n.c == c && n.writing {
					n.writing = false
					n.drive()
				}
			})
		})
	}
	if w.chance(w.stopPart) {
		w.counts.HolderFaults++
		switch w.rng.IntN(3) {
		case 0: // it dies before it has written
			n.stop(false)
			w.back(n)
			return
		case 1: // it stands still before it writes
			n.freeze(w.between(0.3, 20))
			n.waiting = append(n.waiting, func() { n.call(run, write) })
			return
		default: // it has written, and dies before it learns of it
			write()
			w.After(w.between(0, 0.06), func() {
				if n.run == run {
					n.stop(false)
					w.back(n)
				}
			})
			return
		}
	}
	write()
}

// write has the electors agree on a state, if it is the owner's and in place of the one that there is.
func (w *Simulation) write(n *node, run int, token, version uint64, body []byte) {
	if w.down {
		return
	}
	ok := token == w.token && version == w.version
	if ok {
		w.changed(body)
		w.version++
		w.before, w.body = w.body, body
		w.spread()
	} else {
		w.counts.StaleWrites++
	}
	current, at, old := w.body, w.version, token < w.token
	if w.chance(w.lossPart) {
		return
	}
	w.After(w.latency(), func() {
		n.call(run, func() {
			switch {
			case n.c == nil || n.token != token:
			case old:
				n.drop("another one does")
			default:
				n.learn(at, current)
			}
		})
	})
}

// learn tells an owner's coordinator what is agreed.
func (n *node) learn(version uint64, body []byte) {
	if version <= n.learned {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		n.w.broken(RuleState, "%v", err)
		return
	}
	n.learned, n.writing = version, false
	n.c.ApplyCommitted(n.w.Now(), maintenance.Committed{Epoch: n.w.epoch, Version: version, State: state})
	n.drive()
}

// spread has what is agreed go to all that can be reached, sooner or later.
func (w *Simulation) spread() {
	version, body := w.version, w.body
	for _, n := range w.nodes {
		run := n.run
		var try func()
		try = func() {
			if n.run != run || n.version >= version {
				return
			}
			if n.cut || w.chance(0.2) {
				w.After(w.between(0.2, 1), try)
				return
			}
			n.call(run, func() { n.take(version, body) })
		}
		w.After(w.between(0.005, 0.3), try)
	}
}
