package coordination

import (
	"bytes"
	"cmp"
	"math"
	"slices"

	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// The job "drill": a drill that operators start at any one sidecar runs at all. The sidecar that has looked at the secret begins it and
// tells the owner, over whoever lies between; the owner tells all. Each begins a drill once by its id and ends it by its own clock,
// so the owner's death changes nothing; a later owner learns from those who run it, and tells who comes late what is left.
const (
	drillName = "drill"

	kindOrder = 1 // drillRun, over one link after the other to the owner
	kindRuns  = 2 // drillRuns, to all

	// runsEveryS is between two words of the owner while a drill runs, and orderEveryS between two of who has not heard from it.
	runsEveryS, orderEveryS = 2.0, 0.5
	// rememberS is how long, and rememberPart for what part of its length, an id is known whose drill has ended: clocks run 5 % apart.
	rememberS, rememberPart = 600.0, 0.2
	mostRuns                = 64 // with those that have ended
	mostDrillS              = 86400.0
)

// run is one that this sidecar knows.
type run struct {
	drillRun
	until   float64
	forget  float64
	told    bool    // the owner has told all of it
	passAt  float64 // when it was last passed on to the owner
	refused string  // why it does not run here; empty: it does, or did
}

// driller is a sidecar's part in the job.
type driller struct {
	o     *owners
	runs  []*run // by id
	token uint64 // under which it is owned here; 0: it is not
	at    float64
}

func newDriller(o *owners) *driller { return &driller{o: o} }

func (d *driller) Name() string { return drillName }

func (d *driller) Begin(token uint64) { d.token, d.at = token, 0 }

func (d *driller) End() { d.token = 0 }

// Drilled takes a drill that was started at this sidecar, where the secret was looked at.
func (f *Node) Drilled(name string, durationS float64, mark func(id uint64) []byte) {
	f.enter(func() {
		if f.owners == nil || f.owners.drills == nil {
			return
		}
		id := f.drawn()
		d := f.owners.drills
		d.add(f.net.Now(), &drillRun{ID: id, Name: name, LeftS: durationS, Mark: mark(id)}, true)
		f.owners.job(drillName).next = 0
	})
}

// add takes a drill that is not known yet, and has it begin here.
func (d *driller) add(now float64, r *drillRun, begun bool) *run {
	if len(d.runs) >= mostRuns {
		return nil
	}
	n := &run{drillRun: *r, until: now + r.LeftS, passAt: math.Inf(-1)}
	n.forget = n.until + rememberS + rememberPart*r.LeftS
	if !begun {
		if err := d.o.f.o.Faults.RunDrill(r.Name, r.ID, r.Mark, r.LeftS); err != nil {
			n.refused = err.Error()
			d.o.note("a drill of the fleet does not run here", "drill", r.Name, "error", err)
		}
	}
	at, _ := d.find(r.ID)
	d.runs = slices.Insert(d.runs, at, n)
	return n
}

func (d *driller) find(id uint64) (at int, found bool) {
	return slices.BinarySearchFunc(d.runs, id, func(r *run, id uint64) int { return cmp.Compare(r.ID, id) })
}

// Heard takes an order on its way to the owner, or what the owner tells.
func (d *driller) Heard(from *peers.Link, e *frames.RoleMessage) {
	now := d.o.f.net.Now()
	switch e.Kind {
	case kindOrder:
		var r drillRun
		if frames.Unmarshal(e.Body, &r) != nil || !r.sane() {
			d.o.senseless(drillName)
			return
		}
		n := d.take(now, &r)
		if n == nil || now < n.passAt+0.9*orderEveryS || now >= n.until {
			return
		}
		if n.passAt = now; d.token != 0 {
			if !n.told {
				d.at = 0
			}
			return
		}
		d.pass(now, n, e.Token, from)
	case kindRuns:
		var all drillRuns
		if frames.Unmarshal(e.Body, &all) != nil || len(all.Runs) > mostRuns || slices.ContainsFunc(all.Runs, func(r drillRun) bool { return !r.sane() }) {
			d.o.senseless(drillName)
			return
		}
		for _, n := range d.runs { // an owner that does not know it is told
			n.told = false
		}
		for i := range all.Runs {
			if n := d.take(now, &all.Runs[i]); n != nil {
				n.told = true
			}
		}
	}
}

// take returns what is known of a drill. Danger: one that has begun or ended here must not begin again, whoever tells of it.
func (d *driller) take(now float64, r *drillRun) *run {
	at, found := d.find(r.ID)
	if !found {
		return d.add(now, r, false)
	}
	n := d.runs[at]
	if n.Name != r.Name || !bytes.Equal(n.Mark, r.Mark) {
		d.o.senseless(drillName)
		return nil
	}
	return n
}

// Tick passes on what the owner has not told of, and has the owner tell.
func (d *driller) Tick(now float64) (next float64) {
	d.runs = slices.DeleteFunc(d.runs, func(r *run) bool { return now >= r.forget })
	next = now + runsEveryS
	token := uint64(0)
	for _, r := range d.runs {
		if now >= r.until || r.told || d.token != 0 {
			continue
		}
		if token == 0 {
			token = d.o.token(drillName)
		}
		if now >= r.passAt+orderEveryS && token != 0 {
			r.passAt = now
			d.pass(now, r, token, nil)
		}
		next = min(next, now+orderEveryS)
	}
	if d.token == 0 {
		return next
	}
	if now < d.at {
		return min(next, d.at)
	}
	d.at = now + runsEveryS
	var all drillRuns
	for _, r := range d.runs {
		if now < r.until {
			all.Runs = append(all.Runs, r.left(now))
		}
	}
	// One without a drill is said at the beginning, so that who knows of any tells of it.
	if len(all.Runs) == 0 && d.o.job(drillName).number > 0 {
		return next
	}
	if d.o.spread(drillName, kindRuns, packed(all)) {
		for _, r := range d.runs {
			r.told = true
		}
	}
	return min(next, d.at)
}

// left returns a drill as it is now.
func (r *run) left(now float64) drillRun {
	n := r.drillRun
	n.LeftS = max(r.until-now, 0)
	return n
}

// pass passes a drill on over all links but one.
func (d *driller) pass(now float64, r *run, token uint64, except *peers.Link) {
	body := packed(r.left(now))
	for _, l := range slices.Clone(d.o.f.up) { // a link may end with what is sent over it
		if l != except {
			d.o.reply(l, drillName, token, kindOrder, body)
		}
	}
}

// FaultStatus is a drill of the whole fleet.
type FaultStatus struct {
	ID               uint64  `json:"id"`
	Fault            string  `json:"drill"`
	RemainingSeconds float64 `json:"left_s"`            // until it ends here; 0: it has
	Announced        bool    `json:"told,omitempty"`    // the owner has told all of it
	Rejection        string  `json:"refused,omitempty"` // why it does not run here
}

func (d *driller) seen() (all []FaultStatus) {
	now := d.o.f.net.Now()
	for _, r := range d.runs {
		all = append(all, FaultStatus{r.ID, r.Name, math.Round(10*max(r.until-now, 0)) / 10, r.told, r.refused})
	}
	return all
}

var _ work = (*driller)(nil)
