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
	faultRoleName = "drill"

	kindFaultOrder = 1 // drillRun, over one link after the other to the owner
	kindFaultList  = 2 // drillRuns, to all

	// faultListIntervalSeconds is between two words of the owner while a drill runs, and orderEveryS between two of who has not heard from it.
	faultListIntervalSeconds, faultOrderRetrySeconds = 2.0, 0.5
	// retentionSeconds is how long, and rememberPart for what part of its length, an id is known whose drill has ended: clocks run 5 % apart.
	retentionSeconds, retentionFraction = 600.0, 0.2
	maxFaultRuns                        = 64 // with those that have ended
	maxFaultSeconds                     = 86400.0
)

// faultRun is one that this sidecar knows.
type faultRun struct {
	faultOrder
	endsAt      float64
	forgetAt    float64
	announced   bool    // the owner has told all of it
	forwardedAt float64 // when it was last passed on to the owner
	rejection   string  // why it does not run here; empty: it does, or did
}

// faultRole is a sidecar's part in the job.
type faultRole struct {
	roles      *roleManager
	runs       []*faultRun // by id
	heldToken  uint64      // under which it is owned here; 0: it is not
	announceAt float64
}

func newFaultRole(o *roleManager) *faultRole { return &faultRole{roles: o} }

func (d *faultRole) Name() string { return faultRoleName }

func (d *faultRole) Start(token uint64) { d.heldToken, d.announceAt = token, 0 }

func (d *faultRole) Stop() { d.heldToken = 0 }

// Drilled takes a drill that was started at this sidecar, where the secret was looked at.
func (f *Node) Drilled(name string, durationS float64, mark func(id uint64) []byte) {
	f.run(func() {
		if f.roles == nil || f.roles.faults == nil {
			return
		}
		id := f.randomNonZero()
		d := f.roles.faults
		d.addRun(f.net.Now(), &faultOrder{ID: id, Name: name, RemainingSeconds: durationS, Signature: mark(id)}, true)
		f.roles.state(faultRoleName).nextTick = 0
	})
}

// addRun takes a drill that is not known yet, and has it begin here.
func (d *faultRole) addRun(now float64, r *faultOrder, begun bool) *faultRun {
	if len(d.runs) >= maxFaultRuns {
		return nil
	}
	n := &faultRun{faultOrder: *r, endsAt: now + r.RemainingSeconds, forwardedAt: math.Inf(-1)}
	n.forgetAt = n.endsAt + retentionSeconds + retentionFraction*r.RemainingSeconds
	if !begun {
		if err := d.roles.node.options.Faults.RunDrill(r.Name, r.ID, r.Signature, r.RemainingSeconds); err != nil {
			n.rejection = err.Error()
			d.roles.logInfo("a drill of the fleet does not run here", "drill", r.Name, "error", err)
		}
	}
	at, _ := d.findRun(r.ID)
	d.runs = slices.Insert(d.runs, at, n)
	return n
}

func (d *faultRole) findRun(id uint64) (at int, found bool) {
	return slices.BinarySearchFunc(d.runs, id, func(r *faultRun, id uint64) int { return cmp.Compare(r.ID, id) })
}

// HandleMessage takes an order on its way to the owner, or what the owner tells.
func (d *faultRole) HandleMessage(from *peers.Link, e *frames.RoleMessage) {
	now := d.roles.node.net.Now()
	switch e.Kind {
	case kindFaultOrder:
		var r faultOrder
		if frames.Unmarshal(e.Body, &r) != nil || !r.isValid() {
			d.roles.countMalformed(faultRoleName)
			return
		}
		n := d.trackRun(now, &r)
		if n == nil || now < n.forwardedAt+0.9*faultOrderRetrySeconds || now >= n.endsAt {
			return
		}
		if n.forwardedAt = now; d.heldToken != 0 {
			if !n.announced {
				d.announceAt = 0
			}
			return
		}
		d.forward(now, n, e.Token, from)
	case kindFaultList:
		var all faultList
		if frames.Unmarshal(e.Body, &all) != nil || len(all.Orders) > maxFaultRuns || slices.ContainsFunc(all.Orders, func(r faultOrder) bool { return !r.isValid() }) {
			d.roles.countMalformed(faultRoleName)
			return
		}
		for _, n := range d.runs { // an owner that does not know it is told
			n.announced = false
		}
		for i := range all.Orders {
			if n := d.trackRun(now, &all.Orders[i]); n != nil {
				n.announced = true
			}
		}
	}
}

// trackRun returns what is known of a drill. Danger: one that has begun or ended here must not begin again, whoever tells of it.
func (d *faultRole) trackRun(now float64, r *faultOrder) *faultRun {
	at, found := d.findRun(r.ID)
	if !found {
		return d.addRun(now, r, false)
	}
	n := d.runs[at]
	if n.Name != r.Name || !bytes.Equal(n.Signature, r.Signature) {
		d.roles.countMalformed(faultRoleName)
		return nil
	}
	return n
}

// Tick passes on what the owner has not told of, and has the owner tell.
func (d *faultRole) Tick(now float64) (next float64) {
	d.runs = slices.DeleteFunc(d.runs, func(r *faultRun) bool { return now >= r.forgetAt })
	next = now + faultListIntervalSeconds
	token := uint64(0)
	for _, r := range d.runs {
		if now >= r.endsAt || r.announced || d.heldToken != 0 {
			continue
		}
		if token == 0 {
			token = d.roles.maxToken(faultRoleName)
		}
		if now >= r.forwardedAt+faultOrderRetrySeconds && token != 0 {
			r.forwardedAt = now
			d.forward(now, r, token, nil)
		}
		next = min(next, now+faultOrderRetrySeconds)
	}
	if d.heldToken == 0 {
		return next
	}
	if now < d.announceAt {
		return min(next, d.announceAt)
	}
	d.announceAt = now + faultListIntervalSeconds
	var all faultList
	for _, r := range d.runs {
		if now < r.endsAt {
			all.Orders = append(all.Orders, r.orderAt(now))
		}
	}
	// One without a drill is said at the beginning, so that who knows of any tells of it.
	if len(all.Orders) == 0 && d.roles.state(faultRoleName).sequence > 0 {
		return next
	}
	if d.roles.broadcast(faultRoleName, kindFaultList, mustMarshal(all)) {
		for _, r := range d.runs {
			r.announced = true
		}
	}
	return min(next, d.announceAt)
}

// orderAt returns a drill as it is now.
func (r *faultRun) orderAt(now float64) faultOrder {
	n := r.faultOrder
	n.RemainingSeconds = max(r.endsAt-now, 0)
	return n
}

// forward passes a drill on over all links but one.
func (d *faultRole) forward(now float64, r *faultRun, token uint64, except *peers.Link) {
	body := mustMarshal(r.orderAt(now))
	for _, l := range slices.Clone(d.roles.node.upLinks) { // a link may end with what is sent over it
		if l != except {
			d.roles.sendReply(l, faultRoleName, token, kindFaultOrder, body)
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

func (d *faultRole) status() (all []FaultStatus) {
	now := d.roles.node.net.Now()
	for _, r := range d.runs {
		all = append(all, FaultStatus{r.ID, r.Name, math.Round(10*max(r.endsAt-now, 0)) / 10, r.announced, r.rejection})
	}
	return all
}

var _ singletonRole = (*faultRole)(nil)
