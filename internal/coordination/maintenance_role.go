package coordination

import (
	"math"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// maintenanceRoleName is the role's name on the wire and in the settings.
const maintenanceRoleName = "works"

// OnMaintenanceStep is a hook for tests, called at the holder of the role with the name of a step; nil: none. The steps are "agreed"
// (a version was committed and is not announced yet), "told" (it was announced), "empty" (a server was found to be drained, and that is
// not proposed yet) and "handed" (a reply that hands a server to a maintenance agent is about to be sent).
var OnMaintenanceStep func(step string)

func callStepHook(step string) {
	if OnMaintenanceStep != nil {
		OnMaintenanceStep(step)
	}
}

// maintenanceRole is the role "works": its holder uses a maintenance.Coordinator to decide in which order servers are drained. The
// decisions are versions of a record that the voters commit. The holder announces each version, and a sidecar that lacks one gets it
// from a neighbor. Every sidecar cordons the servers that its applied version names, also after a restart. While a plan is active the
// holder surveys all members for their reports of the servers, in the same way as reportRole. Commands of operators and maintenance
// agents are forwarded over all links until they reach the holder, whose replies are flooded back.
type maintenanceRole struct {
	roles   *roleManager
	servers sidecar.MaintainedServers

	// The record that is applied here.
	epoch, version uint64 // both 0: there is no record
	body           []byte // the encoded state
	state          maintenance.State
	outSince       map[string]float64 // when each server was cordoned here by the record

	// The holder's last announcement.
	holderName  string
	blockers    []maintenance.Blocker
	announcedAt float64 // -Inf: none was received
	planAges    []planAge
	planAgesAt  float64

	// The last survey, as a member that responds.
	parentLink          int // link by which the request first arrived
	surveyToken         uint64
	round               uint64
	gathered            *maintenance.Report // to be sent over parentLink at sendAt; nil: none
	sendAt              float64
	budget              responseBudget
	completed, rejected uint64 // requests, as of the last local report
	reportedAt          float64
	serverCompleted     map[string]uint64 // requests by server, as of the last local report

	commands []*trackedCommand // oldest first

	// At the holder.
	heldToken      uint64                   // 0: this sidecar is not the holder
	coordinator    *maintenance.Coordinator // nil: the committed record is not known yet
	carriedOver    []byte                   // state of an earlier epoch that must be committed before anything else; nil: none
	proposed       []byte                   // state that is being committed; nil: none
	writeRetryAt   float64
	announceAt     float64
	surveyAt       float64
	surveyDeadline float64
	surveyed       []maintenance.Member // of the present survey
	collected      *maintenance.Report  // sum of the reports of the present survey; nil: no survey is in progress
	// The version that was last announced with its body.
	announcedEpoch, announcedVersion uint64
}

var _ singletonRole = (*maintenanceRole)(nil)

func newMaintenanceRole(m *roleManager) *maintenanceRole {
	now := m.node.loop.Now()
	return &maintenanceRole{roles: m, servers: m.node.options.Servers, outSince: map[string]float64{}, announcedAt: math.Inf(-1), budget: newResponseBudget(now),
		reportedAt: now, serverCompleted: map[string]uint64{}}
}

// Name implements singletonRole.
func (r *maintenanceRole) Name() string { return maintenanceRoleName }

// Start implements singletonRole. The coordinator is created once the committed record is known, see handleCommitted.
func (r *maintenanceRole) Start(token uint64) {
	r.heldToken, r.coordinator, r.carriedOver, r.proposed, r.collected = token, nil, nil, nil, nil
	r.announceAt, r.surveyAt, r.announcedVersion, r.announcedEpoch = 0, 0, 0, 0
}

// Stop implements singletonRole. It makes commands without a reply due, so that they are sent to the next holder without delay.
func (r *maintenanceRole) Stop() {
	r.heldToken, r.coordinator, r.carriedOver, r.proposed, r.collected = 0, nil, nil, nil, nil
	for _, c := range r.commands {
		c.forwardedAt = math.Inf(-1)
	}
}

// HandleMessage implements singletonRole. Messages that can't be decoded are ignored.
func (r *maintenanceRole) HandleMessage(from *peers.Link, m *frames.RoleMessage) {
	now := r.roles.node.loop.Now()
	switch m.Kind {
	case kindRecord:
		var record recordMessage
		if frames.Unmarshal(m.Body, &record) == nil {
			r.handleRecord(now, from, &record)
		}
	case kindRecordVersion:
		var v recordVersion
		if frames.Unmarshal(m.Body, &v) == nil {
			r.handleRecordVersion(from, v)
		}
	case kindSurveyRequest:
		var request surveyRequest
		if frames.Unmarshal(m.Body, &request) == nil {
			r.handleSurveyRequest(now, from, m.Token, &request)
		}
	case kindSurveyResponse:
		var response surveyResponse
		if frames.Unmarshal(m.Body, &response) == nil {
			r.handleSurveyResponse(now, m.Token, &response)
		}
	case kindCommand:
		var c maintenance.Command
		if frames.Unmarshal(m.Body, &c) == nil && c.Nonce != 0 {
			r.handleCommand(now, &c, from)
		}
	case kindCommandReply:
		var reply maintenance.Reply
		if frames.Unmarshal(m.Body, &reply) == nil {
			r.recordReply(now, &reply)
		}
	}
}

// Tick implements singletonRole.
func (r *maintenanceRole) Tick(now float64) (next float64) {
	next = now + idleAnnounceIntervalSeconds
	if r.gathered != nil {
		if now >= r.sendAt {
			r.sendSurveyResponse(now)
		}
		if r.gathered != nil {
			next = min(next, r.sendAt)
		}
	}
	if r.heldToken == 0 {
		return min(next, r.retryCommands(now))
	}
	return min(next, r.tickHolder(now))
}
