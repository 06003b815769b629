package coordination

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// singletonRole is work that one sidecar, the holder of its lease, does on behalf of all. Start and Stop alternate; between them the
// role may send messages to all members by roleManager.broadcast. Receivers check the fencing token, so a message that is sent after
// the lease has ended does no harm.
type singletonRole interface {
	Name() string
	// Start is called when this sidecar has become the holder of the lease, under a token.
	Start(token uint64)
	// Stop is called when this sidecar no longer holds the lease.
	Stop()
	// HandleMessage handles a message of the role whose token is not too low. It is called at all members, not only at the holder.
	HandleMessage(from *peers.Link, m *frames.RoleMessage)
	// Tick does what is due by time and returns when to call it next. It is called at all members, not only at the holder, and also soon
	// after Start and after each HandleMessage.
	Tick(now float64) (next float64)
}

// lapseHandler is a singletonRole that does no harm when two sidecars act as its holder. It may continue to send messages by
// roleManager.broadcastLapsed after its lease was not renewed.
type lapseHandler interface {
	// HandleLapse is called after Stop if the lease ended because it was not renewed.
	HandleLapse(token uint64)
}

const (
	// fitnessIntervalSeconds is the time between two checks whether this sidecar is fit to hold roles.
	fitnessIntervalSeconds = 1.0
	// leaveTimeoutSeconds limits how long a shutdown waits until the leases have other holders. It is shorter than any drain period.
	leaveTimeoutSeconds = 0.5
	// maxRoles and maxRoleNameBytes limit the state of roles, since peers choose the names.
	maxRoles         = 64
	maxRoleNameBytes = 64
)

// roleState is what is known here of one role.
type roleState struct {
	name      string
	role      singletonRole // nil: this sidecar can't hold it
	nextTick  float64       // when role.Tick is due
	heldToken uint64        // the token under which this sidecar holds the lease; 0: it does not
	sequence  uint64        // of the last broadcast under heldToken
	unfit     bool          // as last passed to lease.Node.SetWilling

	accepted  uint64 // messages
	rejected  uint64 // messages whose token was too low
	malformed uint64 // messages whose body could not be decoded or was implausible

	received          replayWindow
	maxToken          uint64    // highest token of an accepted message
	lastBroadcastLink int       // link by which the last broadcast arrived
	acceptedTokens    [8]uint64 // ring buffer of the tokens of accepted messages, with an entry for each change
	acceptedTokensAt  int
}

// roleManager starts and stops the singleton roles as their leases start and end, and sends and receives their messages. It belongs to
// its Node.
type roleManager struct {
	node   *Node
	lease  *lease.Node  // nil: this process has no identity at the moment, or another process has taken it over
	fence  lease.Fence  // highest token seen of each role
	states []*roleState // sorted by name

	// The roles that this sidecar can hold, among those that have methods beyond singletonRole; nil: it can't hold the role.
	listRelay   *listRelay
	faults      *faultRole
	maintenance *maintenanceRole

	membershipChanges uint64  // swim.View.Changes as of the last SetMembers
	fitnessCheckAt    float64 // when updateFitness is due
	ineligibleReason  string  // why this sidecar is not fit to hold roles; empty: it is fit
	leaveDeadline     float64 // 0: this sidecar does not leave
	logs              logLimiter
	rejectionLogs     logLimiter
}

func newRoleManager(n *Node) *roleManager {
	m := &roleManager{node: n}
	for _, name := range slices.Sorted(slices.Values(n.options.Roles)) {
		s := &roleState{name: name}
		switch i := slices.Index(listRoleNames[:], name); {
		case name == reportRoleName:
			s.role = newReportRole(m)
		case name == faultRoleName:
			m.faults = newFaultRole(m)
			s.role = m.faults
		case name == maintenanceRoleName:
			m.maintenance = newMaintenanceRole(m)
			s.role = m.maintenance
		case i >= 0:
			if m.listRelay == nil {
				m.listRelay = newListRelay(m)
			}
			s.role = m.listRelay.sources[i]
		}
		m.states = append(m.states, s)
	}
	return m
}

// start starts the lease protocol under an identity. After an error neither the identity nor its saved state may be used.
func (m *roleManager) start(id swim.ID, saved []byte) (err error) {
	o := &m.node.options
	settings := lease.Settings{InitialVoters: o.Voters, Address: o.Advertise, Roles: o.Roles, RecordedRoles: []string{maintenanceRoleName}, Seed: o.Rand.Uint64()}
	m.lease, err = lease.New(m.node.loop.Now(), id, settings, saved, leaseActions{m})
	m.membershipChanges, m.fitnessCheckAt = 0, 0
	for _, s := range m.states {
		s.unfit = false
	}
	return err
}

// stop ends all roles and the lease protocol when this process no longer has its identity.
func (m *roleManager) stop(reason string) {
	for _, s := range m.states {
		m.stopRole(s, reason)
	}
	m.lease = nil
}

// stopRole ends a role if this sidecar holds it.
func (m *roleManager) stopRole(s *roleState, reason string) {
	if s.heldToken == 0 {
		return
	}
	m.logInfo("no longer the owner of a job", "job", s.name, "token", s.heldToken, "reason", reason)
	if s.heldToken = 0; s.role != nil {
		s.role.Stop()
	}
}

// logInfo logs a line, within the rate limit of m.logs.
func (m *roleManager) logInfo(message string, args ...any) {
	if m.logs.allow(m.node.loop.Now()) {
		m.node.log.Info(message, args...)
	}
}

// tick does what is due by time.
func (m *roleManager) tick(now float64) {
	if m.lease == nil {
		return
	}
	if c := m.node.view.Changes(); c != m.membershipChanges {
		m.membershipChanges = c
		m.lease.SetMembers(now, m.leaseMembers())
	}
	if now >= m.fitnessCheckAt {
		m.updateFitness(now)
	}
	if now >= m.lease.NextTick() {
		m.lease.Tick(now)
	}
	for _, s := range m.states {
		if s.role != nil && now >= s.nextTick {
			s.nextTick = s.role.Tick(now)
		}
	}
	m.logs.logSuppressed(now, m.node.log)
	m.rejectionLogs.logSuppressed(now, m.node.log)
}

// nextTick returns when tick is due.
func (m *roleManager) nextTick(now float64) float64 {
	if m.lease == nil {
		return now + fitnessIntervalSeconds
	}
	next := min(m.lease.NextTick(), m.fitnessCheckAt)
	for _, s := range m.states {
		if s.role != nil {
			next = min(next, s.nextTick)
		}
	}
	if m.leaveDeadline > now {
		next = min(next, m.leaveDeadline)
	}
	return next
}

// leaseMembers returns the membership in the form of package lease.
func (m *roleManager) leaseMembers() []lease.Member {
	var all []lease.Member
	for member := range m.node.view.Members {
		all = append(all, lease.Member{ID: member.ID, Address: member.Address, State: member.State, Durable: member.Durable, StateAgeSeconds: member.StateAgeSeconds})
	}
	return all
}

// updateFitness tells the lease protocol whether this sidecar is fit to hold roles.
func (m *roleManager) updateFitness(now float64) {
	m.fitnessCheckAt = now + fitnessIntervalSeconds
	fit, reason := m.node.options.RoleHost.CanTakeRoles()
	if reason != m.ineligibleReason {
		m.logInfo("eligibility for roles changed", "eligible", fit, "reason", reason)
	}
	m.ineligibleReason = reason
	for _, s := range m.states {
		if s.unfit == fit {
			s.unfit = !fit
			m.lease.SetWilling(now, s.name, fit)
		}
	}
}

// releaseLeases releases all leases and reports whether a shutdown should still wait for that.
func (m *roleManager) releaseLeases(now float64) (pending bool) {
	if m.lease == nil {
		return false
	}
	if m.leaveDeadline == 0 {
		m.leaveDeadline = now + leaveTimeoutSeconds
		m.lease.Leave(now)
	}
	return now < m.leaveDeadline && !m.lease.HasLeft()
}

// state returns the state of a role, which is added if it is new. It returns nil if there are too many roles or the name is too long,
// since names come from peers.
func (m *roleManager) state(name string) *roleState {
	i, found := slices.BinarySearchFunc(m.states, name, func(s *roleState, name string) int { return cmp.Compare(s.name, name) })
	if found {
		return m.states[i]
	}
	if len(m.states) >= maxRoles || len(name) > maxRoleNameBytes {
		return nil
	}
	m.states = slices.Insert(m.states, i, &roleState{name: name})
	return m.states[i]
}

// requestTick makes the next tick call the Tick of a role.
func (m *roleManager) requestTick(name string) { m.state(name).nextTick = 0 }

// maxToken returns the highest token of a role that is known from grants or messages, 0 if none is.
func (m *roleManager) maxToken(name string) (token uint64) {
	if m.lease != nil {
		for _, g := range m.lease.Table().Grants {
			if g.Role == name {
				token = g.Token
			}
		}
	}
	return max(token, m.fenceToken(name))
}

// fenceToken returns the highest token of a role that is known from messages, 0 if none is.
func (m *roleManager) fenceToken(name string) uint64 {
	for _, g := range m.fence.Highest() {
		if g.Role == name {
			return g.Token
		}
	}
	return 0
}

// countMalformed counts a message whose body can't be used. The message is dropped, but its link is not closed, since the token was
// valid.
func (m *roleManager) countMalformed(name string) {
	if s := m.state(name); s != nil {
		s.malformed++
	}
}
