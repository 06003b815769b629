package coordination

import (
	"math"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// maintenanceRole is a sidecar's part in the job.
type maintenanceRole struct {
	roles   *roleManager
	servers sidecar.Boxes

	// Of every sidecar.
	epoch, version      uint64 // of what it goes by
	body                []byte
	state               maintenance.State
	outSince            map[string]float64 // since when a box is out here
	blockers            []maintenance.Blocker
	holderName          string
	announcedAt         float64 // of the owner's last word; -Inf: there was none
	planAges            []planAge
	planAgesAt          float64
	parentLink          int // the link over which the question has come
	surveyToken         uint64
	round               uint64
	gathered            *maintenance.Report // that is to go there; nil: nothing is
	sendAt              float64
	budget              budget
	completed, rejected uint64 // requests, when it was asked last
	reportedAt          float64
	serverCompleted     map[string]uint64
	commands            []*trackedCommand // in the order in which they came

	// Of the owner.
	heldToken      uint64
	coordinator    *maintenance.Coordinator // nil: what is agreed is not known yet
	carriedOver    []byte                   // what was agreed under an earlier founding, and is to be kept again before all else
	proposed       []byte                   // the body that is being agreed; nil: none
	writeRetryAt   float64
	announceAt     float64
	surveyAt       float64
	surveyDeadline float64
	surveyed       []maintenance.Member
	collected      *maintenance.Report // nil: no round is on

	announcedVersion, announcedEpoch uint64 // what all were told of whole
}

func newMaintenanceRole(o *roleManager) *maintenanceRole {
	now := o.node.net.Now()
	w := &maintenanceRole{roles: o, servers: o.node.options.Servers, outSince: map[string]float64{}, announcedAt: math.Inf(-1), budget: budget{responseBurstBytes, now}, reportedAt: now,
		serverCompleted: map[string]uint64{}}
	return w
}

func (w *maintenanceRole) Name() string { return maintenanceRoleName }

// AtStep, where a build for tests sets it, is called by the owner at named instants: "agreed", when a version is agreed and before
// anybody is told; "told", when all were; "empty", before a box that is empty is agreed to be; "handed", before a mechanic is told.
var OnMaintenanceStep func(step string)

func reachStep(step string) {
	if OnMaintenanceStep != nil {
		OnMaintenanceStep(step)
	}
}

// HandleMessage takes an effect.
func (w *maintenanceRole) HandleMessage(from *peers.Link, e *frames.RoleMessage) {
	now := w.roles.node.net.Now()
	switch e.Kind {
	case kindRecord:
		var a recordMessage
		if frames.Unmarshal(e.Body, &a) == nil {
			w.handleRecord(now, from, &a)
		}
	case kindRecordVersion:
		var h recordVersion
		if frames.Unmarshal(e.Body, &h) == nil {
			w.handleRecordVersion(from, h)
		}
	case kindSurveyRequest:
		var q surveyRequest
		if frames.Unmarshal(e.Body, &q) == nil {
			w.parentLink, w.surveyToken, w.round = from.Number, e.Token, q.Round
			w.gathered, w.sendAt = w.localReport(now), now+surveyGatherSeconds
			if isNewer(q.Epoch, q.Version, w.epoch, w.version) {
				w.sendRecordVersion(from)
			}
		}
	case kindSurveyResponse:
		var s surveyResponse
		if frames.Unmarshal(e.Body, &s) != nil || s.Round != w.round {
			return
		}
		switch {
		case w.heldToken != 0 && e.Token == w.heldToken:
			if w.collected != nil {
				_ = w.collected.Merge(&s.Report) // what makes no sense is not in the round, nor those that it is from
			}
		case e.Token == w.surveyToken:
			if w.gathered == nil {
				w.gathered, w.sendAt = &maintenance.Report{}, now+surveyGatherSeconds
			}
			_ = w.gathered.Merge(&s.Report) // the same
		}
	case kindCommand:
		var c maintenance.Command
		if frames.Unmarshal(e.Body, &c) == nil && c.Nonce != 0 {
			w.handleCommand(now, &c, from)
		}
	case kindCommandReply:
		var r maintenance.Reply
		if frames.Unmarshal(e.Body, &r) == nil {
			w.recordReply(now, &r)
		}
	}
}

func (w *maintenanceRole) Start(token uint64) {
	w.heldToken, w.coordinator, w.carriedOver, w.proposed, w.collected = token, nil, nil, nil, nil
	w.announceAt, w.surveyAt, w.announcedVersion, w.announcedEpoch = 0, 0, 0, 0
}

func (w *maintenanceRole) Stop() {
	w.heldToken, w.coordinator, w.carriedOver, w.proposed, w.collected = 0, nil, nil, nil, nil
	for _, d := range w.commands { // the next owner says what came of them
		d.forwardedAt = math.Inf(-1)
	}
}

// Tick does what is due, and says when to be called next.
func (w *maintenanceRole) Tick(now float64) (next float64) {
	next = now + idleAnnounceIntervalSeconds
	if w.gathered != nil {
		if now >= w.sendAt {
			w.sendSurveyResponse(now)
		}
		if w.gathered != nil {
			next = min(next, w.sendAt)
		}
	}
	for _, d := range w.commands {
		if d.answered || now-d.requestedAt > commandInterestSeconds || w.heldToken != 0 {
			continue
		}
		if now >= d.forwardedAt+commandRetrySeconds {
			w.forwardCommand(now, d, nil)
		}
		next = min(next, now+commandRetrySeconds)
	}
	if w.heldToken == 0 {
		return next
	}
	return min(next, w.tickHolder(now))
}

var _ singletonRole = (*maintenanceRole)(nil)
