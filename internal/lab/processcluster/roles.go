package processcluster

import (
	"fmt"
	"slices"
	"time"

	"hazelwheel/internal/checker"
)

// What is judged of owners.
const (
	staleOwnerRule = "old-owner" // no effect is taken under a token lower than one that was taken before
	noOwnerRule    = "no-owner"  // some time after the last trouble, while a majority of the electors lives, no job is for long without an owner that all know
)

// electorsOf returns how many of so many sidecars are electors.
func voterCount(sidecars int) int {
	switch {
	case sidecars >= 15:
		return 7
	case sidecars >= 7:
		return 5
	}
	return 3
}

// Owned is what came of the jobs.
type RoleReport struct {
	Violations          []string  `json:"wrong,omitempty"`
	Confirmations       int       `json:"confirmed"` // words of leaders that a grant holds, which have an order with the grants
	Effects             int       `json:"effects"`   // on the wire
	Stale               int       `json:"old"`       // of these, under a token lower than one that somebody had said
	Rejected            int       `json:"refused"`   // answers to old ones
	StaleByOwner        int       `json:"late"`      // effects that their owner itself said after a greater token had been said
	Grants              int       `json:"grants"`    // that the doors told of
	WithoutOwnerSeconds []float64 `json:"without_s"` // for how long no sidecar that runs held a job, each time
}

// owners is what a door tells of jobs, as far as it is looked at here.
type roleView struct {
	Here struct {
		Elector bool `json:"elector"`
		Leads   bool `json:"leads"`
	} `json:"here"`
	UnwillingReason string `json:"unwilling"` // why it does nothing for others
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

func queryRoles(address string) *roleView {
	var view roleView
	if queryAdmin(address, "OWNERS", &view) != nil {
		return nil
	}
	return &view
}

// jobs are those that a troupe's sidecars do.
type roles struct {
	names               []string
	effects             *EffectChecker
	grants              *GrantHistory
	violations          []string
	tokens              map[string]map[uint64]bool
	ownerlessSince      map[string]time.Time // when the last that held a job was last seen to; the zero time while one does
	withoutOwnerSeconds []float64
	ownedAt             map[string]time.Time // when a job had an owner that all named, last
	isReported          bool                 // that all is not well, in this calm
}

func newRoles(names []string) *roles {
	return &roles{names: names, effects: NewEffectChecker(), grants: NewGrantHistory(), tokens: map[string]map[uint64]bool{}, ownerlessSince: map[string]time.Time{}, ownedAt: map[string]time.Time{}}
}

func (r *roles) report() *RoleReport {
	violations, effects, rejected, stale := r.effects.Results()
	report := &RoleReport{Violations: append(violations, r.violations...), Effects: effects, Rejected: rejected, Stale: stale, StaleByOwner: r.effects.StaleByOwner(), WithoutOwnerSeconds: r.withoutOwnerSeconds}
	var reason string
	if report.Confirmations, reason = r.grants.CheckLinearizable(); reason != "" {
		report.Violations = append(report.Violations, reason)
	}
	for _, name := range r.names {
		report.Grants += len(r.tokens[name])
	}
	return report
}

// judgeOwners looks at one round of the doors' answers.
func (c *Cluster) checkOwners(views []*roleView, faultAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	roles, now := c.roles, time.Now()
	calm := time.Since(c.faultAt)
	if c.faultAt != faultAt || calm < ownerTimeout {
		roles.isReported = false
	}
	for _, name := range roles.names {
		held, difference, reported, hasMajority, willing := uint64(0), "", map[uint64]bool{}, true, 0
		for i, view := range views {
			if view == nil {
				continue
			}
			if view.UnwillingReason == "" {
				willing++
			}
			live := 0
			for _, voter := range view.Voters {
				if voter.State == "alive" {
					live++
				}
			}
			hasMajority = hasMajority && live > len(view.Voters)/2
			for _, role := range view.Roles {
				if role.Job != name {
					continue
				}
				if !slices.IsSorted(role.Tokens) && len(roles.violations) < 20 {
					roles.violations = append(roles.violations, fmt.Sprintf("%s says that it has taken effects of %s under the tokens %v", c.members[i].name, name, role.Tokens))
				}
				if held = max(held, role.Held); roles.tokens[name] == nil {
					roles.tokens[name] = map[uint64]bool{}
				}
				if reported[role.Token] = true; role.Token != 0 {
					roles.tokens[name][role.Token] = true
				}
			}
		}
		if len(reported) > 1 || held == 0 || !reported[held] {
			difference = fmt.Sprintf("%s: held under %d, and the doors tell of %v", name, held, reported)
		}
		ownerlessSince, isOwnerless := roles.ownerlessSince[name]
		switch {
		case held != 0 && isOwnerless:
			roles.withoutOwnerSeconds = append(roles.withoutOwnerSeconds, now.Sub(ownerlessSince).Seconds())
			delete(roles.ownerlessSince, name)
		case held == 0 && !isOwnerless && len(roles.tokens[name]) > 0:
			roles.ownerlessSince[name] = now
		}
		if difference == "" || !hasMajority || willing == 0 { // where the machine starves all, nobody is to own anything
			roles.ownedAt[name] = now
		}
		// Danger: on a machine that stands still for a second all leases end, and the next look finds nobody.
		if c.faultAt.Equal(faultAt) && calm > ownerTimeout && now.Sub(roles.ownedAt[name]) > ownerTimeout && !roles.isReported {
			roles.isReported = true
			c.reportViolation(checker.Rule(noOwnerRule), "", "%.1f s after the last trouble: %s; %d would do it", calm.Seconds(), difference, willing)
		}
	}
}

// ownedWithin after the last trouble each job has an owner. Aim: 5 s; what fails is four times that, since the machine is shared.
const ownerTimeout = 20 * time.Second
