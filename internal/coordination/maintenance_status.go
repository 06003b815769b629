package coordination

import (
	"errors"
	"math"

	"hazelwheel/internal/decide/maintenance"
)

// MaintenanceStatus is what a sidecar knows of work on boxes.
type MaintenanceStatus struct {
	Version    uint64                `json:"version"` // of what is agreed, as far as it is known here; 0: nothing is
	Owner      string                `json:"owner"`   // name of who settles the order; empty: nobody has said so yet
	AgeSeconds float64               `json:"age_s"`   // since its last word
	Plans      []maintenance.Plan    `json:"plans"`
	Waits      []maintenance.Blocker `json:"waits"` // what it waits for, by its last word
	Out        []string              `json:"out"`   // boxes that are out here by what is agreed
	Reinstated []string              `json:"hand"`  // of these, such as were given back here by hand
}

// ErrNoMaintenance is the answer where no order is settled.
var ErrNoMaintenance = errors.New("this sidecar's fleet does not settle work on boxes: fleet.jobs has no \"works\"")

// MaintenanceStatus returns what is known of work on boxes.
func (f *Node) MaintenanceStatus() (*MaintenanceStatus, error) {
	if f.roles == nil || f.roles.maintenance == nil {
		return nil, ErrNoMaintenance
	}
	w, now := f.roles.maintenance, f.net.Now()
	s := &MaintenanceStatus{Version: w.version, Owner: w.holderName, Plans: append([]maintenance.Plan{}, w.state.Plans...), Waits: append([]maintenance.Blocker{}, w.blockers...),
		Out: []string{}, Reinstated: []string{}}
	if !math.IsInf(w.announcedAt, -1) {
		s.AgeSeconds = math.Round(10*(now-w.announcedAt)) / 10
	}
	for i := range s.Plans {
		for _, a := range w.planAges {
			if a.Plan == s.Plans[i].Number {
				s.Plans[i].AgeSeconds = math.Round(10*(a.AgeSeconds+now-w.planAgesAt)) / 10
			}
		}
	}
	for _, b := range w.servers.Boxes() {
		if _, out := w.outSince[b.Name]; out {
			s.Out = append(s.Out, b.Name)
			if b.Kept {
				s.Reinstated = append(s.Reinstated, b.Name)
			}
		}
	}
	return s, nil
}

// SubmitMaintenance passes a command on to whoever settles the order. The answer comes with one of the next calls of the same nonce; false: not
// yet. A command that nobody has answered is passed on again and again until it has not been asked for any more for a while.
func (f *Node) SubmitMaintenance(c maintenance.Command) (reply maintenance.Reply, answered bool, err error) {
	f.run(func() {
		switch {
		case f.roles == nil || f.roles.maintenance == nil || f.view == nil:
			err = ErrNoMaintenance
		case c.Nonce == 0:
			err = errors.New("the command has no nonce")
		default:
			if err = c.Validate(); err == nil {
				reply, answered = f.roles.maintenance.submit(f.net.Now(), &c)
			}
		}
	})
	return reply, answered, err
}
