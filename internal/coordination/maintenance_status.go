package coordination

import (
	"errors"
	"math"

	"hazelwheel/internal/decide/maintenance"
)

// MaintenanceStatus is the response to the admin command WORKS. Operators' tools read the JSON keys.
type MaintenanceStatus struct {
	Version    uint64                `json:"version"` // of the record that is applied here; 0: none is
	Holder     string                `json:"owner"`   // name of the role's holder; empty: no announcement was received yet
	AgeSeconds float64               `json:"age_s"`   // since the holder's last announcement
	Plans      []maintenance.Plan    `json:"plans"`
	Blockers   []maintenance.Blocker `json:"waits"` // what the plans wait for, by the last announcement
	Cordoned   []string              `json:"out"`   // servers that are cordoned here by the record
	Reinstated []string              `json:"hand"`  // those of Cordoned that an operator has put back in service at this sidecar
}

// ErrNoMaintenance is returned if this sidecar can't hold the role "works".
var ErrNoMaintenance = errors.New("this sidecar's fleet does not settle work on boxes: fleet.jobs has no \"works\"")

var errNoNonce = errors.New("the command has no nonce")

// MaintenanceStatus returns the status of maintenance, or ErrNoMaintenance. It must be called on the event loop.
func (n *Node) MaintenanceStatus() (*MaintenanceStatus, error) {
	if n.roles == nil || n.roles.maintenance == nil {
		return nil, ErrNoMaintenance
	}
	r, now := n.roles.maintenance, n.loop.Now()
	s := &MaintenanceStatus{Version: r.version, Holder: r.holderName, Plans: append([]maintenance.Plan{}, r.state.Plans...),
		Blockers: append([]maintenance.Blocker{}, r.blockers...), Cordoned: []string{}, Reinstated: []string{}} // none is [] in JSON, not null
	if !math.IsInf(r.announcedAt, -1) {
		s.AgeSeconds = roundTenths(now - r.announcedAt)
	}
	for i := range s.Plans {
		for _, a := range r.planAges {
			if a.Plan == s.Plans[i].Number {
				s.Plans[i].AgeSeconds = roundTenths(a.AgeSeconds + now - r.planAgesAt)
			}
		}
	}
	for _, server := range r.servers.Servers() {
		if _, isCordoned := r.outSince[server.Name]; isCordoned {
			s.Cordoned = append(s.Cordoned, server.Name)
			if server.IsKeptInUse {
				s.Reinstated = append(s.Reinstated, server.Name)
			}
		}
	}
	return s, nil
}

// SubmitMaintenance sends a command to the holder of the role "works". While there is no reply yet, answered is false, and the caller
// calls again with the same command; the nonce identifies the command, so that it is executed once. Between the calls the command is
// sent again, for commandInterestSeconds after the last call. The error is ErrNoMaintenance or states what is invalid in the command.
// SubmitMaintenance must be called on the event loop.
func (n *Node) SubmitMaintenance(c maintenance.Command) (reply maintenance.Reply, answered bool, err error) {
	n.run(func() {
		switch {
		case n.roles == nil || n.roles.maintenance == nil || n.view == nil:
			err = ErrNoMaintenance
		case c.Nonce == 0:
			err = errNoNonce
		default:
			if err = c.Validate(); err == nil {
				reply, answered = n.roles.maintenance.submit(n.loop.Now(), &c)
			}
		}
	})
	return reply, answered, err
}
