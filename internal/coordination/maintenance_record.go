package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
)

// maxHolderNameBytes limits the holder's name in an announcement.
const maxHolderNameBytes = 64

// MaintenanceRecord is the maintenance record that a sidecar applies: which servers are cordoned for which plan. It is persisted, and
// QueryMaintenance gets it from peers.
type MaintenanceRecord struct {
	Epoch   uint64 `json:"epoch"` // of the voters' founding
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"` // highest token seen of the role, so that no message under a lower one can undo the record
	Body    []byte `json:"body"`  // a maintenance.State
}

// isNewer reports whether one version of the record is newer than another. Versions start from 1 in each epoch.
func isNewer(epoch, version, otherEpoch, otherVersion uint64) bool {
	return epoch > otherEpoch || epoch == otherEpoch && version > otherVersion
}

// LearnMaintenance applies a record that QueryMaintenance has returned. It must be called after UseStore and before Start.
func (n *Node) LearnMaintenance(record *MaintenanceRecord) { n.adoptMaintenance(record) }

// MaintenanceRecord returns the record that this sidecar applies, nil if there is none. It must be called on the event loop.
func (n *Node) MaintenanceRecord() *MaintenanceRecord {
	if n.roles == nil || n.roles.maintenance == nil || n.roles.maintenance.version == 0 {
		return nil
	}
	r := n.roles.maintenance
	return &MaintenanceRecord{r.epoch, r.version, r.maxToken(), r.body}
}

// restore applies a record from before Start.
func (r *maintenanceRole) restore(record *MaintenanceRecord) {
	r.roles.fence.Restore([]lease.Grant{{Role: maintenanceRoleName, Token: record.Token}})
	r.apply(record.Epoch, record.Version, record.Body, false)
}

// apply cordons the servers of a record, and uncordons those that are no longer in it. A record that is not newer than the present one
// changes nothing.
func (r *maintenanceRole) apply(epoch, version uint64, body []byte, persist bool) {
	if !isNewer(epoch, version, r.epoch, r.version) {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		r.roles.countMalformed(maintenanceRoleName)
		return
	}
	r.epoch, r.version, r.body, r.state = epoch, version, body, state
	now := r.roles.node.loop.Now()
	var names []string
	for name := range state.Cordoned {
		if names = append(names, name); r.outSince[name] == 0 {
			r.outSince[name] = now
		}
	}
	slices.Sort(names)
	for name := range r.outSince {
		if _, isCordoned := slices.BinarySearch(names, name); !isCordoned {
			delete(r.outSince, name)
		}
	}
	r.servers.SetUnderMaintenance(slices.Compact(names))
	if persist {
		r.roles.node.runAfterCall(r.persistRecord)
	}
}

// persistRecord writes the record to disk with the node's state. Errors are ignored: the next process queries its peers.
func (r *maintenanceRole) persistRecord() {
	n := r.roles.node
	n.state.Maintenance = &MaintenanceRecord{r.epoch, r.version, r.roles.fenceToken(maintenanceRoleName), r.body}
	if n.identityStored {
		n.persist(func(error) {})
	}
}

// handleRecord handles an announcement of the holder, or a record that this sidecar has requested from a neighbor.
func (r *maintenanceRole) handleRecord(now float64, from *peers.Link, m *recordMessage) {
	if m.Holder != "" && len(m.Holder) <= maxHolderNameBytes && len(m.Blockers) <= 2*maintenance.MaxServers && len(m.PlanAges) <= maintenance.MaxPlans {
		r.holderName, r.blockers, r.announcedAt, r.planAges, r.planAgesAt = m.Holder, m.Blockers, now, m.PlanAges, now
	}
	switch {
	case !isNewer(m.Epoch, m.Version, r.epoch, r.version):
	case m.Body == nil && m.Version > 0:
		r.sendRecordVersion(from) // requests the body
	default:
		r.apply(m.Epoch, m.Version, m.Body, true)
	}
}

// handleRecordVersion handles a neighbor's version: it sends the record if the neighbor's is older, or requests it if the neighbor's
// is newer.
func (r *maintenanceRole) handleRecordVersion(from *peers.Link, v recordVersion) {
	switch {
	case isNewer(r.epoch, r.version, v.Epoch, v.Version):
		r.roles.sendReply(from, maintenanceRoleName, r.maxToken(), kindRecord, mustMarshal(r.recordMessage()))
	case isNewer(v.Epoch, v.Version, r.epoch, r.version):
		r.sendRecordVersion(from)
	}
}

// recordMessage returns the present record for a sidecar that lacks it.
func (r *maintenanceRole) recordMessage() *recordMessage {
	return &recordMessage{Epoch: r.epoch, Version: r.version, Body: r.body}
}

// sendRecordVersion tells a neighbor the version of the record here. A neighbor with a newer record replies with that.
func (r *maintenanceRole) sendRecordVersion(link *peers.Link) {
	if token := r.maxToken(); token != 0 {
		r.roles.sendReply(link, maintenanceRoleName, token, kindRecordVersion, mustMarshal(recordVersion{r.epoch, r.version}))
	}
}

// handleLinkUp requests a newer record from a new neighbor.
func (r *maintenanceRole) handleLinkUp(link *peers.Link) { r.sendRecordVersion(link) }

// maxToken returns the highest known token of the role, 0 if none is known.
func (r *maintenanceRole) maxToken() uint64 { return r.roles.maxToken(maintenanceRoleName) }
