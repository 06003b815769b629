package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
)

// MaintenanceRecord is what a sidecar goes by, as its disk keeps it and as others tell it.
type MaintenanceRecord struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"` // the greatest that was seen of the job: a lower one must not undo what is kept
	Body    []byte `json:"body"`
}

// isNewer orders what is agreed: of two founders' groups the later one's, and within it by version.
func isNewer(epoch, version, epoch2, version2 uint64) bool {
	return epoch > epoch2 || epoch == epoch2 && version > version2
}

// restore takes what an earlier life went by, before anything is sent.
func (w *maintenanceRole) restore(k *MaintenanceRecord) {
	if k == nil {
		return
	}
	w.roles.fence.Restore([]lease.Grant{{Role: maintenanceRoleName, Token: k.Token}})
	w.apply(k.Epoch, k.Version, k.Body, false)
}

// apply goes by a version from now on. One that is not newer than what is known changes nothing.
func (w *maintenanceRole) apply(epoch, version uint64, body []byte, keep bool) {
	if !isNewer(epoch, version, w.epoch, w.version) {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		w.roles.countMalformed(maintenanceRoleName)
		return
	}
	w.epoch, w.version, w.body, w.state = epoch, version, body, state
	now := w.roles.node.net.Now()
	var names []string
	for name := range state.Cordoned {
		if names = append(names, name); w.outSince[name] == 0 {
			w.outSince[name] = now
		}
	}
	slices.Sort(names)
	for name := range w.outSince {
		if _, out := slices.BinarySearch(names, name); !out {
			delete(w.outSince, name)
		}
	}
	w.servers.TakeOut(slices.Compact(names))
	if keep {
		w.roles.node.runAfterCall(w.persistRecord)
	}
}

// persistRecord has what it goes by outlive the process. Where it can't be, a later process asks.
func (w *maintenanceRole) persistRecord() {
	f := w.roles.node
	token := uint64(0)
	for _, g := range w.roles.fence.Highest() {
		if g.Role == maintenanceRoleName {
			token = g.Token
		}
	}
	f.state.Maintenance = &MaintenanceRecord{w.epoch, w.version, token, w.body}
	if f.identityStored {
		f.persist(func(error) {})
	}
}

func (w *maintenanceRole) handleRecord(now float64, from *peers.Link, a *recordMessage) {
	if a.Holder != "" && len(a.Holder) <= 64 && len(a.Blockers) <= 2*maintenance.MaxServers && len(a.PlanAges) <= maintenance.MaxPlans {
		w.holderName, w.blockers, w.announcedAt, w.planAges, w.planAgesAt = a.Holder, a.Blockers, now, a.PlanAges, now
	}
	switch {
	case !isNewer(a.Epoch, a.Version, w.epoch, w.version):
	case a.Body == nil && a.Version > 0:
		w.sendRecordVersion(from)
	default:
		w.apply(a.Epoch, a.Version, a.Body, true)
	}
}

// handleRecordVersion tells a neighbour what it lacks, or asks for what it has.
func (w *maintenanceRole) handleRecordVersion(from *peers.Link, h recordVersion) {
	switch {
	case isNewer(w.epoch, w.version, h.Epoch, h.Version):
		w.roles.sendReply(from, maintenanceRoleName, w.maxToken(), kindRecord, mustMarshal(&recordMessage{Epoch: w.epoch, Version: w.version, Body: w.body}))
	case isNewer(h.Epoch, h.Version, w.epoch, w.version):
		w.sendRecordVersion(from)
	}
}

// sendRecordVersion tells a neighbour by what this sidecar goes.
func (w *maintenanceRole) sendRecordVersion(l *peers.Link) {
	if token := w.maxToken(); token != 0 {
		w.roles.sendReply(l, maintenanceRoleName, token, kindRecordVersion, mustMarshal(recordVersion{w.epoch, w.version}))
	}
}

// maxToken returns the greatest token that is known of the job; 0: none is.
func (w *maintenanceRole) maxToken() uint64 { return w.roles.maxToken(maintenanceRoleName) }

// handleLinkUp takes a new link: who was cut off learns at once what it missed.
func (w *maintenanceRole) handleLinkUp(l *peers.Link) { w.sendRecordVersion(l) }
