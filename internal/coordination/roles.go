package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// singletonRole is a job that one sidecar does on behalf of all. Begin and End are called in turns, each on the loop; between them the job
// may speak to all by owners.spread. What it says is checked where it is heard: to speak under a lease that has ended does no harm.
type singletonRole interface {
	Name() string
	Start(token uint64)
	Stop()
	// Heard takes an effect that has come over a link and whose token is not too low, also where another owns the job.
	HandleMessage(from *peers.Link, e *frames.RoleMessage)
	// Tick does what is due, owner or not, and says when to be called next.
	Tick(now float64) (next float64)
}

// lapseHandler is work that does no harm when two do it at once, and may go on by owners.spreadOn after its lease was not renewed.
type lapseHandler interface {
	// Lapsed follows End.
	HandleLapse(token uint64)
}

const (
	// fitnessIntervalSeconds is the time between two looks whether this sidecar may work for others.
	fitnessIntervalSeconds = 1.0
	// leaveTimeoutSeconds is how long what is owned may take to be given back, after the word to end. It is less than any drain takes.
	leaveTimeoutSeconds = 0.5
)

// roleState is one that is known here.
type roleState struct {
	name             string
	role             singletonRole // nil: it is done by others alone
	nextTick         float64       // when work is to be called
	heldToken        uint64        // the token under which this sidecar owns it; 0: it does not
	sequence         uint64        // of the last effect under it
	unfit            bool
	accepted         uint64 // effects
	rejected         uint64 // of a token that was too low
	malformed        uint64 // whose body made no sense
	received         replayWindow
	maxToken         uint64    // the greatest token that has come in
	lastLink         int       // the link by which the last effect came that was for all
	acceptedTokens   [8]uint64 // of the effects that were taken last, as they changed
	acceptedTokensAt int
}

// roleManager is a sidecar's part in who does what on behalf of all. It belongs to its Fleet.
type roleManager struct {
	node              *Node
	lease             *lease.Node // nil: the identity is being drawn anew, or is another process's
	fence             lease.Fence
	states            []*roleState     // by name
	listRelay         *listRelay       // nil: no lists are passed on
	faults            *faultRole       // nil: drills are each sidecar's own
	maintenance       *maintenanceRole // nil: no work on boxes is settled
	membershipChanges uint64           // of the view, that the decisions know of
	fitnessAt         float64
	ineligibleReason  string // it may not work for others; empty: it may
	leaveDeadline     float64
	logs              logLimiter
	rejectionLogs     logLimiter
}

func newRoleManager(f *Node) *roleManager {
	o := &roleManager{node: f}
	for _, name := range slices.Sorted(slices.Values(f.options.Jobs)) {
		j := &roleState{name: name}
		switch i := slices.Index(listRoleNames[:], name); {
		case name == reportRoleName:
			j.role = newReportRole(o)
		case name == faultRoleName:
			o.faults = newFaultRole(o)
			j.role = o.faults
		case name == maintenanceRoleName:
			o.maintenance = newMaintenanceRole(o)
			j.role = o.maintenance
		case i >= 0:
			if o.listRelay == nil {
				o.listRelay = newListRelay(o)
			}
			j.role = o.listRelay.sources[i]
		}
		o.states = append(o.states, j)
	}
	return o
}

// start takes the identity and what was promised under it. An error says that neither is to be used.
func (o *roleManager) start(id swim.ID, promised []byte) (err error) {
	o.lease, err = lease.New(o.node.net.Now(), id, lease.Settings{InitialVoters: o.node.options.Electors, Address: o.node.options.Advertise, Roles: o.node.options.Jobs, RecordedRoles: []string{maintenanceRoleName}, Seed: o.node.options.Rand.Uint64()},
		promised, leaseActions{o})
	o.membershipChanges, o.fitnessAt = 0, 0
	for _, j := range o.states {
		j.unfit = false
	}
	return err
}

// stop ends all at once: this process no longer has its identity.
func (o *roleManager) stop(why string) {
	for _, j := range o.states {
		o.stopRole(j, why)
	}
	o.lease = nil
}

// stopRole ends a job that is owned here.
func (o *roleManager) stopRole(j *roleState, why string) {
	if j.heldToken == 0 {
		return
	}
	o.logInfo("no longer the owner of a job", "job", j.name, "token", j.heldToken, "why", why)
	if j.heldToken = 0; j.role != nil {
		j.role.Stop()
	}
}

// logInfo writes a line of the log, unless there are too many.
func (o *roleManager) logInfo(text string, args ...any) {
	if now := o.node.net.Now(); o.logs.allow(now) {
		o.node.log.Info(text, args...)
	}
}

// tick does what is due.
func (o *roleManager) tick(now float64) {
	if o.lease == nil {
		return
	}
	if c := o.node.view.Changes(); c != o.membershipChanges {
		o.membershipChanges = c
		o.lease.SetMembers(now, o.leaseMembers())
	}
	if now >= o.fitnessAt {
		o.updateFitness(now)
	}
	if now >= o.lease.NextTick() {
		o.lease.Tick(now)
	}
	for _, j := range o.states {
		if j.role != nil && now >= j.nextTick {
			j.nextTick = j.role.Tick(now)
		}
	}
	o.logs.logSuppressed(now, o.node.log)
	o.rejectionLogs.logSuppressed(now, o.node.log)
}

func (o *roleManager) leaseMembers() []lease.Member {
	var all []lease.Member
	for m := range o.node.view.Members {
		all = append(all, lease.Member{ID: m.ID, Address: m.Address, State: m.State, Durable: m.Durable, StateAgeSeconds: m.StateAgeSeconds})
	}
	return all
}

// updateFitness tells the decisions whether this sidecar may work for others.
func (o *roleManager) updateFitness(now float64) {
	o.fitnessAt = now + fitnessIntervalSeconds
	fit, why := o.node.options.Host.Fit()
	if why != o.ineligibleReason {
		o.logInfo("work for others", "willing", fit, "why", why)
	}
	o.ineligibleReason = why
	for _, j := range o.states {
		if j.unfit == fit {
			j.unfit = !fit
			o.lease.SetWilling(now, j.name, fit)
		}
	}
}

// nextTick returns when tick is to be called.
func (o *roleManager) nextTick(now float64) float64 {
	if o.lease == nil {
		return now + fitnessIntervalSeconds
	}
	next := min(o.lease.NextTick(), o.fitnessAt)
	for _, j := range o.states {
		if j.role != nil {
			next = min(next, j.nextTick)
		}
	}
	if o.leaveDeadline > now {
		next = min(next, o.leaveDeadline)
	}
	return next
}

// releaseLeases gives back what is owned, and tells whether that still takes time.
func (o *roleManager) releaseLeases(now float64) bool {
	if o.lease == nil {
		return false
	}
	if o.leaveDeadline == 0 {
		o.leaveDeadline = now + leaveTimeoutSeconds
		o.lease.Leave(now)
	}
	return now < o.leaveDeadline && !o.lease.HasLeft()
}

// state returns one by its name, nil where it is not known and there is room for no more.
func (o *roleManager) state(name string) *roleState {
	i, found := slices.BinarySearchFunc(o.states, name, func(j *roleState, name string) int {
		switch {
		case j.name < name:
			return -1
		case j.name > name:
			return 1
		}
		return 0
	})
	if found {
		return o.states[i]
	}
	// Danger: names come from outside.
	if len(o.states) >= maxRoles || len(name) > 64 {
		return nil
	}
	o.states = slices.Insert(o.states, i, &roleState{name: name})
	return o.states[i]
}

const maxRoles = 64

// maxToken returns the greatest token that is known of a job, 0: none is.
func (o *roleManager) maxToken(name string) (token uint64) {
	if o.lease != nil {
		for _, g := range o.lease.Table().Grants {
			if g.Role == name {
				token = g.Token
			}
		}
	}
	for _, g := range o.fence.Highest() {
		if g.Role == name {
			token = max(token, g.Token)
		}
	}
	return token
}

// countMalformed counts an effect whose body makes no sense. It is dropped, and what it came over goes on: its token was good.
func (o *roleManager) countMalformed(name string) {
	if j := o.state(name); j != nil {
		j.malformed++
	}
}
