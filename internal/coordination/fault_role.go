package coordination

import (
	"bytes"
	"cmp"
	"math"
	"slices"

	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// faultRoleName is the role's name on the wire and in the settings.
const faultRoleName = "drill"

const (
	// faultListIntervalSeconds is the time between two lists of the holder while a fault runs.
	faultListIntervalSeconds = 2.0
	// faultOrderRetrySeconds is how often a sidecar sends the order of a fault again until the holder has announced it.
	faultOrderRetrySeconds = 0.5
	// An ended fault is remembered for retentionSeconds plus retentionFraction of its duration, since the rates of clocks differ by up
	// to 5 %.
	retentionSeconds, retentionFraction = 600.0, 0.2
	// forwardRetryFraction is the fraction of a retry interval that must have passed before a message that is received again is
	// forwarded again.
	forwardRetryFraction = 0.9
)

// faultRole is the role "drill": a fault that an operator starts at one sidecar runs at all sidecars. The sidecar that has checked the
// operator's secret starts the fault and sends an order towards the holder, which announces it to all. Each sidecar starts a fault
// with a given ID once and ends it by its own clock, so a change of the holder has no effect on running faults. A new holder learns of
// them from the sidecars that run them, and announces them with the remaining time, also to sidecars that join later.
type faultRole struct {
	roles      *roleManager
	runs       []*faultRun // sorted by ID; ended ones are kept until forgetAt
	heldToken  uint64      // 0: this sidecar is not the holder
	announceAt float64     // when the holder sends the next list
}

// faultRun is a fault that this sidecar knows.
type faultRun struct {
	faultOrder
	endsAt      float64
	forgetAt    float64
	announced   bool    // it is in the holder's last list
	forwardedAt float64 // when it was last sent towards the holder; -Inf: never
	rejection   string  // why it was not started here; empty: it was
}

// FaultStatus is the status of a fault that runs or ran at all sidecars of the fleet.
type FaultStatus struct {
	ID               uint64  `json:"id"`
	Fault            string  `json:"drill"`
	RemainingSeconds float64 `json:"left_s"`            // here; 0: it has ended
	Announced        bool    `json:"told,omitempty"`    // it is in the holder's last list
	Rejection        string  `json:"refused,omitempty"` // why it was not started here
}

var _ singletonRole = (*faultRole)(nil)

func newFaultRole(m *roleManager) *faultRole { return &faultRole{roles: m} }

// Name implements singletonRole.
func (r *faultRole) Name() string { return faultRoleName }

// Start implements singletonRole.
func (r *faultRole) Start(token uint64) { r.heldToken, r.announceAt = token, 0 }

// Stop implements singletonRole.
func (r *faultRole) Stop() { r.heldToken = 0 }

// FaultStarted implements sidecar.FaultObserver: it makes a fault that an operator has started at this sidecar known to the fleet. sign
// returns the signature for the fault's ID, which is drawn here.
func (n *Node) FaultStarted(name string, durationSeconds float64, sign func(id uint64) []byte) {
	n.run(func() {
		if n.roles == nil || n.roles.faults == nil {
			return
		}
		id := n.randomNonZero()
		n.roles.faults.addRun(n.loop.Now(), &faultOrder{ID: id, Name: name, RemainingSeconds: durationSeconds, Signature: sign(id)}, true)
		n.roles.requestTick(faultRoleName)
	})
}

// addRun adds a fault that is not known yet, and starts it unless runsHere is true. It returns nil if there are too many faults.
func (r *faultRole) addRun(now float64, order *faultOrder, runsHere bool) *faultRun {
	if len(r.runs) >= maxFaultRuns {
		return nil
	}
	run := &faultRun{faultOrder: *order, endsAt: now + order.RemainingSeconds, forwardedAt: math.Inf(-1)}
	run.forgetAt = run.endsAt + retentionSeconds + retentionFraction*order.RemainingSeconds
	if !runsHere {
		if err := r.roles.node.options.Faults.RunRemoteFault(order.Name, order.ID, order.Signature, order.RemainingSeconds); err != nil {
			run.rejection = err.Error()
			r.roles.logInfo("fault of the fleet not started", "fault", order.Name, "error", err)
		}
	}
	i, _ := r.findRun(order.ID)
	r.runs = slices.Insert(r.runs, i, run)
	return run
}

// findRun returns the index of a fault in runs, or the index at which to insert it.
func (r *faultRole) findRun(id uint64) (i int, found bool) {
	return slices.BinarySearchFunc(r.runs, id, func(run *faultRun, id uint64) int { return cmp.Compare(run.ID, id) })
}

// trackRun returns the run of a received order, and starts the fault if it is not known. Danger: a fault that has been started or has
// ended here must not be started again, whichever sidecar sends it. trackRun returns nil if the order contradicts the known one or
// there are too many faults.
func (r *faultRole) trackRun(now float64, order *faultOrder) *faultRun {
	i, found := r.findRun(order.ID)
	if !found {
		return r.addRun(now, order, false)
	}
	run := r.runs[i]
	if run.Name != order.Name || !bytes.Equal(run.Signature, order.Signature) {
		r.roles.countMalformed(faultRoleName)
		return nil
	}
	return run
}

// HandleMessage implements singletonRole.
func (r *faultRole) HandleMessage(from *peers.Link, m *frames.RoleMessage) {
	now := r.roles.node.loop.Now()
	switch m.Kind {
	case kindFaultOrder:
		var order faultOrder
		if frames.Unmarshal(m.Body, &order) != nil || !order.isValid() {
			r.roles.countMalformed(faultRoleName)
			return
		}
		r.handleOrder(now, &order, m.Token, from)
	case kindFaultList:
		var list faultList
		if frames.Unmarshal(m.Body, &list) != nil || !list.isValid() {
			r.roles.countMalformed(faultRoleName)
			return
		}
		r.handleList(now, &list)
	}
}

// handleOrder handles an order on its way to the holder: the holder announces it, other sidecars forward it.
func (r *faultRole) handleOrder(now float64, order *faultOrder, token uint64, from *peers.Link) {
	run := r.trackRun(now, order)
	if run == nil || now < run.forwardedAt+forwardRetryFraction*faultOrderRetrySeconds || now >= run.endsAt {
		return
	}
	if run.forwardedAt = now; r.heldToken != 0 {
		if !run.announced {
			r.announceAt = 0
		}
		return
	}
	r.forward(now, run, token, from)
}

// handleList handles the holder's list. Faults that are not in it are sent towards the holder again by retryOrders.
func (r *faultRole) handleList(now float64, list *faultList) {
	for _, run := range r.runs {
		run.announced = false
	}
	for i := range list.Orders {
		if run := r.trackRun(now, &list.Orders[i]); run != nil {
			run.announced = true
		}
	}
}

// Tick implements singletonRole.
func (r *faultRole) Tick(now float64) (next float64) {
	r.runs = slices.DeleteFunc(r.runs, func(run *faultRun) bool { return now >= run.forgetAt })
	next = now + faultListIntervalSeconds
	if r.heldToken == 0 {
		return min(next, r.retryOrders(now))
	}
	if now < r.announceAt {
		return min(next, r.announceAt)
	}
	r.announceAt = now + faultListIntervalSeconds
	var list faultList
	for _, run := range r.runs {
		if now < run.endsAt {
			list.Orders = append(list.Orders, run.orderAt(now))
		}
	}
	// The first list under a lease is sent even if it is empty, so that sidecars that run a fault send its order to the new holder.
	if len(list.Orders) == 0 && r.roles.state(faultRoleName).sequence > 0 {
		return next
	}
	if r.roles.broadcast(faultRoleName, kindFaultList, mustMarshal(list)) {
		for _, run := range r.runs {
			run.announced = true
		}
	}
	return min(next, r.announceAt)
}

// retryOrders sends running faults that the holder has not announced towards it, and returns when to do so again; +Inf: never.
func (r *faultRole) retryOrders(now float64) (next float64) {
	next = math.Inf(1)
	token := uint64(0)
	for _, run := range r.runs {
		if now >= run.endsAt || run.announced {
			continue
		}
		if token == 0 {
			token = r.roles.maxToken(faultRoleName)
		}
		if now >= run.forwardedAt+faultOrderRetrySeconds && token != 0 {
			run.forwardedAt = now
			r.forward(now, run, token, nil)
		}
		next = now + faultOrderRetrySeconds
	}
	return next
}

// orderAt returns the order with the remaining time.
func (run *faultRun) orderAt(now float64) faultOrder {
	order := run.faultOrder
	order.RemainingSeconds = max(run.endsAt-now, 0)
	return order
}

// forward sends the order of a fault towards the holder, over all links except the link except, which may be nil.
func (r *faultRole) forward(now float64, run *faultRun, token uint64, except *peers.Link) {
	r.roles.sendTowardsHolder(faultRoleName, token, kindFaultOrder, mustMarshal(run.orderAt(now)), except)
}

func (r *faultRole) status() (all []FaultStatus) {
	now := r.roles.node.loop.Now()
	for _, run := range r.runs {
		all = append(all, FaultStatus{run.ID, run.Name, roundTenths(max(run.endsAt-now, 0)), run.announced, run.rejection})
	}
	return all
}
