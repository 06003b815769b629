package processcluster

import (
	"fmt"
	"slices"
	"time"

	"hazelwheel/internal/checker"
)

// The rules for owners of singleton roles.
const (
	staleOwnerRule = "old-owner" // no effect is accepted under a lower token than an earlier one
	noOwnerRule    = "no-owner"  // in calm, while a majority of voters lives, each role has an owner that all members know, within ownerTimeout
)

// ownerTimeout is how long after the last fault each role must have an owner. The target is 5 s; the check allows four times as much, because the
// machine is shared.
const ownerTimeout = 20 * time.Second

// maxRoleViolations is the number of violations of roles that are reported in detail, by each checker.
const maxRoleViolations = 20

// voterCount returns how many of the given number of sidecars are voters, the first ones.
func voterCount(sidecars int) int {
	switch {
	case sidecars >= 15:
		return 7
	case sidecars >= 7:
		return 5
	}
	return 3
}

// RoleReport is the result for singleton roles.
type RoleReport struct {
	Violations          []string  `json:"wrong,omitempty"` // of staleOwnerRule
	Confirmations       int       `json:"confirmed"`       // renewals confirmed by leaders, all consistent with one order of the grants
	Effects             int       `json:"effects"`         // frames between sidecars that carry or reject an effect
	Stale               int       `json:"old"`             // of these, under a lower token than an earlier one
	Rejected            int       `json:"refused"`         // of these, rejections of stale effects
	StaleByOwner        int       `json:"late"`            // stale effects sent by their owner itself
	Grants              int       `json:"grants"`          // that admin endpoints reported
	WithoutOwnerSeconds []float64 `json:"without_s"`       // each time in which no running sidecar held a role
}

// roleView is the answer of an admin endpoint to OWNERS, as far as it is used here.
type roleView struct {
	Here struct {
		Elector bool `json:"elector"`
		Leads   bool `json:"leads"`
	} `json:"here"`
	UnwillingReason string `json:"unwilling"` // why the sidecar takes no role; empty if it would
	Voters          []struct {
		State string `json:"state"`
	} `json:"electors"`
	Roles []struct {
		Job    string   `json:"job"`
		Token  uint64   `json:"token"`
		Held   uint64   `json:"held"`
		Seen   uint64   `json:"seen"`
		Tokens []uint64 `json:"taken_of"`
	} `json:"jobs"`
}

// queryRoles queries an admin endpoint for roles and returns nil if it does not answer.
func queryRoles(address string) *roleView {
	var view roleView
	if queryAdmin(address, "OWNERS", &view) != nil {
		return nil
	}
	return &view
}

// roles checks the singleton roles of a cluster. Cluster.mu guards the fields below grants.
type roles struct {
	names               []string
	effects             *EffectChecker
	grants              *GrantHistory
	violations          []string
	tokens              map[string]map[uint64]bool // by role: all that members have reported
	ownerlessSince      map[string]time.Time       // by role: when no running sidecar was first seen to hold it; no entry while one does
	withoutOwnerSeconds []float64
	ownedAt             map[string]time.Time // by role: when all members last named its owner
	isReported          bool                 // a violation of noOwnerRule was reported in this calm
}

// newRoles returns checkers of the named roles.
func newRoles(names []string) *roles {
	return &roles{names: names, effects: NewEffectChecker(), grants: NewGrantHistory(), tokens: map[string]map[uint64]bool{},
		ownerlessSince: map[string]time.Time{}, ownedAt: map[string]time.Time{}}
}

// report builds the report after the processes have exited.
func (r *roles) report() *RoleReport {
	violations, effects, rejected, stale := r.effects.Results()
	report := &RoleReport{
		Violations: append(violations, r.violations...), Effects: effects, Rejected: rejected, Stale: stale, StaleByOwner: r.effects.StaleByOwner(),
		WithoutOwnerSeconds: r.withoutOwnerSeconds,
	}
	var reason string
	if report.Confirmations, reason = r.grants.CheckLinearizable(); reason != "" {
		report.Violations = append(report.Violations, reason)
	}
	for _, name := range r.names {
		report.Grants += len(r.tokens[name])
	}
	return report
}

// roleObservation is what the views of one poll say of a role together.
type roleObservation struct {
	held        uint64          // the greatest token that a member holds; 0: none holds the role
	reported    map[uint64]bool // the tokens that members report as the owner's
	hasMajority bool            // all members see a majority of the voters alive
	willing     int             // members that would take roles
}

// checkOwners checks the views that were polled at one time; faultAt is the time of the last fault before they were.
func (c *Cluster) checkOwners(views []*roleView, faultAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	roles, now := c.roles, time.Now()
	calm := time.Since(c.faultAt)
	if c.faultAt != faultAt || calm < ownerTimeout {
		roles.isReported = false
	}
	for _, name := range roles.names {
		observed := c.observeRole(name, views)
		difference := observed.difference(name)
		roles.recordOwnerless(name, observed.held, now)
		if difference == "" || !observed.hasMajority || observed.willing == 0 { // on a machine so busy that no sidecar is willing, a role needs no owner
			roles.ownedAt[name] = now
		}
		// Danger: if the machine stops for a second all leases expire, and the next poll finds no owner; only a lasting lack is a violation.
		if c.faultAt.Equal(faultAt) && calm > ownerTimeout && now.Sub(roles.ownedAt[name]) > ownerTimeout && !roles.isReported {
			roles.isReported = true
			c.reportViolation(checker.Rule(noOwnerRule), "", "%.1f s after the last trouble: %s; %d would do it", calm.Seconds(), difference, observed.willing)
		}
	}
}

// observeRole combines the views of a role, and records the tokens in them. The caller holds mu.
func (c *Cluster) observeRole(name string, views []*roleView) roleObservation {
	roles := c.roles
	observed := roleObservation{reported: map[uint64]bool{}, hasMajority: true}
	for i, view := range views {
		if view == nil {
			continue
		}
		if view.UnwillingReason == "" {
			observed.willing++
		}
		observed.hasMajority = observed.hasMajority && view.liveVoters() > len(view.Voters)/2
		for _, role := range view.Roles {
			if role.Job != name {
				continue
			}
			if !slices.IsSorted(role.Tokens) && len(roles.violations) < maxRoleViolations {
				roles.violations = append(roles.violations,
					fmt.Sprintf("%s says that it has taken effects of %s under the tokens %v", c.members[i].name, name, role.Tokens))
			}
			observed.held = max(observed.held, role.Held)
			observed.reported[role.Token] = true
			if roles.tokens[name] == nil {
				roles.tokens[name] = map[uint64]bool{}
			}
			if role.Token != 0 {
				roles.tokens[name][role.Token] = true
			}
		}
	}
	return observed
}

// liveVoters returns how many voters the view holds for alive.
func (v *roleView) liveVoters() (live int) {
	for _, voter := range v.Voters {
		if voter.State == "alive" {
			live++
		}
	}
	return live
}

// difference describes how the members differ on the owner of a role; it is empty if they agree.
func (o *roleObservation) difference(name string) string {
	if len(o.reported) > 1 || o.held == 0 || !o.reported[o.held] {
		return fmt.Sprintf("%s: held under %d, and the doors tell of %v", name, o.held, o.reported)
	}
	return ""
}

// recordOwnerless records the times in which no member holds a role that was granted before.
func (r *roles) recordOwnerless(name string, held uint64, now time.Time) {
	since, isOwnerless := r.ownerlessSince[name]
	switch {
	case held != 0 && isOwnerless:
		r.withoutOwnerSeconds = append(r.withoutOwnerSeconds, now.Sub(since).Seconds())
		delete(r.ownerlessSince, name)
	case held == 0 && !isOwnerless && len(r.tokens[name]) > 0:
		r.ownerlessSince[name] = now
	}
}
