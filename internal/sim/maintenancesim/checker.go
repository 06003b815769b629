package maintenancesim

import (
	"bytes"
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/sim/seeds"
)

// Finding is a rule that was broken.
type Finding = seeds.Violation

// The rules.
const (
	RuleInUse       = "work-occupied" // work begins on a server with requests in flight or within its quiet period, or a server that is worked on gets a request
	RuleTooMany     = "work-many"     // more servers are out of service than a plan allows
	RuleWorkedTwice = "work-twice"    // work on a server begins twice for one plan, or by two agents
	RuleToken       = "work-token"    // a fencing token is no greater than an earlier one, or was never committed
	RuleShared      = "work-shared"   // two plans that go on have a server in common
	RuleWarmUp      = "work-cold"     // a server drains while an earlier one has not had its time to warm up
	RuleMinCapacity = "work-keep"     // a server drains though less than the plan's minimum capacity remains
	RuleEnd         = "work-end"      // a plan does not end, or a server of it reaches a final stage without its work or a reason
	RuleReply       = "work-answer"   // a reply does not hold
	RuleState       = "work-state"    // a committed state can't be decoded, or is encoded to something else
	RulePanic       = "panic"
)

const (
	maxFindings          = 20
	capacityTolerance    = 1e-9
	timeTolerance        = 1e-6
	disturbanceSeconds   = 8.0 // after which sidecars know of a server that changed by itself
	uncordonDelaySeconds = 3.0 // after the end of an operator's uncordon in which the server may still be in use
)

// checker is what the rules are checked against: what agents have done and when servers changed.
type checker struct {
	findings         []Finding
	greatestToken    uint64
	acquisitions     []*acquisition
	completedAt      map[string]float64 // when work on a server was last completed
	pendingCommands  []*pendingCommand
	undisturbedSince float64 // since when no server has changed by itself; +Inf: one is changed
}

// acquisition is the work of an agent on a server.
type acquisition struct {
	plan      uint64
	server    *server
	agent     *agent
	token     uint64
	startedAt float64
	endedAt   float64 // 0: it goes on
}

// violated records a broken rule.
func (s *Simulation) violated(rule, format string, args ...any) {
	f := Finding{At: s.Now(), Rule: rule, Why: fmt.Sprintf(format, args...)}
	s.log("BROKEN %v", f)
	if len(s.findings) < maxFindings {
		s.findings = append(s.findings, f)
	}
}

// isUncordoned reports whether an operator has a server in use at some sidecar, or had until just now.
func (s *Simulation) isUncordoned(b *server) bool {
	return slices.ContainsFunc(s.sidecars, func(n *sidecar) bool { return n.uncordonedUntil[b.name] > s.Now()-uncordonDelaySeconds })
}

// wasForced reports whether a server was handed out by force under a token, or put back in service by an operator after it was lost.
func (s *Simulation) wasForced(name string, token uint64) bool {
	for _, p := range s.committed().State.Plans {
		for _, server := range p.Servers {
			if server.Name == name && server.Token == token {
				return len(server.ForcedPast) > 0 || server.Stage == maintenance.Skipped
			}
		}
	}
	return false
}

// wasAbandoned reports whether the work was abandoned while it went on.
func (s *Simulation) wasAbandoned(a *acquisition) bool {
	for _, p := range s.committed().State.Plans {
		for _, server := range p.Servers {
			if server.Token == a.token && (server.Stage == maintenance.Lost || server.Stage == maintenance.Skipped) {
				return true
			}
		}
	}
	return false
}

// checkRequest checks that a server that gets a request is not being worked on.
func (s *Simulation) checkRequest(b *server, from *sidecar) {
	if b.agent != nil && from.uncordonedUntil[b.name] <= s.Now() && !s.wasForced(b.name, b.token) {
		s.violated(RuleInUse, "%s gets a request from %s, which applies version %d of %d, while %s works on it", b.name, from.name(), from.version,
			s.version, b.agent.name)
	}
}

// workStarted checks that an agent may begin to work on a server. After a crash it may continue.
func (s *Simulation) workStarted(by *agent, b *server, token uint64) {
	s.log("%s starts work on %s, token %d", by.name, b.name, token)
	if slices.ContainsFunc(s.acquisitions, func(a *acquisition) bool {
		return a.token == token && a.server == b && a.agent == by && a.endedAt == 0
	}) {
		b.agent = by
		return
	}
	state := s.committed().State
	plan, handedOut := findToken(&state, b.name, token)
	if plan == nil {
		s.violated(RuleToken, "%s was handed out to %s under token %d, which was never committed", b.name, by.name, token)
		return
	}
	if b.agent != nil && b.agent != by && !s.wasForced(b.name, b.token) {
		s.violated(RuleWorkedTwice, "%s works on %s, on which %s works", by.name, b.name, b.agent.name)
	}
	s.checkEmpty(plan, by, b, token)
	a := &acquisition{plan: plan.Number, server: b, agent: by, token: token, startedAt: s.Now()}
	s.checkConcurrent(plan, a, handedOut.Stage == maintenance.Lost)
	s.acquisitions = append(s.acquisitions, a)
	s.counts.WorkStarted++
	b.agent, b.token = by, token
}

// findToken returns the server that was handed out under a token, with its plan; of several the last.
func findToken(state *maintenance.State, name string, token uint64) (plan *maintenance.Plan, server *maintenance.Server) {
	for i := range state.Plans {
		p := &state.Plans[i]
		for j := range p.Servers {
			if o := &p.Servers[j]; o.Name == name && o.Token == token {
				plan, server = p, o
			}
		}
	}
	return plan, server
}

// checkEmpty checks that a server that is not forced has no request in flight, nor had one within the quiet period.
func (s *Simulation) checkEmpty(p *maintenance.Plan, by *agent, b *server, token uint64) {
	quietSeconds := p.Spec.QuietPeriodSeconds()
	if s.wasForced(b.name, token) || s.isUncordoned(b) {
		return
	}
	if b.inFlight > 0 {
		s.violated(RuleInUse, "%d requests are in flight to %s as %s begins", b.inFlight, b.name, by.name)
	} else if b.lastUsedAt > 0 && s.Now()-b.lastUsedAt < quietSeconds-1e-9 {
		s.violated(RuleInUse, "%s was in use %.3f s before %s begins, less than %g s, by %s", b.name, s.Now()-b.lastUsedAt, by.name, quietSeconds, b.lastUser.name())
	}
}

// checkConcurrent checks that agents work on no more servers of a plan than it allows, and on none twice.
func (s *Simulation) checkConcurrent(p *maintenance.Plan, next *acquisition, isLost bool) {
	b := next.server
	concurrent, atSite := 1, 1
	for _, a := range s.acquisitions {
		if a.plan != next.plan {
			continue
		}
		if a.server == b {
			s.violated(RuleWorkedTwice, "%s is worked on under token %d for plan %d, and was under token %d", b.name, next.token, next.plan, a.token)
		}
		if a.endedAt == 0 && !s.wasAbandoned(a) {
			concurrent++
			if a.server.site == b.site {
				atSite++
			}
		}
	}
	if !isLost && (concurrent > p.Spec.MaxConcurrent || atSite > max(p.Spec.MaxPerSite, 1)) {
		s.violated(RuleTooMany, "agents work on %d servers of plan %d, %d of them of site %s", concurrent, next.plan, atSite, b.site)
	}
}

// workEnded records the end of the work on a server.
func (s *Simulation) workEnded(by *agent, b *server, token uint64) {
	s.log("%s ended work on %s, token %d", by.name, b.name, token)
	for _, a := range s.acquisitions {
		if a.token == token && a.server == b {
			a.endedAt = s.Now()
		}
	}
	b.agent = nil
}

// checkCommit checks a state that is about to be committed against the one that it replaces.
func (s *Simulation) checkCommit(body []byte) {
	state, err := maintenance.Decode(body)
	if err != nil {
		s.violated(RuleState, "%v", err)
		return
	}
	if again, err := state.Encode(); err != nil || !bytes.Equal(again, body) {
		s.violated(RuleState, "encoded again it differs: %v", err)
	}
	was := s.committed().State
	s.log("version %d: %s", s.version+1, summary(&state))
	token := uint64(0) // of the server that is handed out
	for i := range state.Plans {
		token = s.checkPlan(&was, &state, &state.Plans[i], token)
	}
	s.greatestToken = max(s.greatestToken, token)
	for i := range was.Plans {
		p := &was.Plans[i]
		isMissing := findPlan(&state, p.Number) == nil
		if isMissing && (!p.Ended || slices.ContainsFunc(p.Servers, func(server maintenance.Server) bool { return server.Stage == maintenance.Lost })) {
			s.violated(RuleEnd, "plan %d is missing", p.Number)
		}
	}
}

// checkPlan checks a plan of a state that is about to be committed. token is that of a server that the state hands out, 0 if there was
// none in earlier plans; the result includes this plan.
func (s *Simulation) checkPlan(was, state *maintenance.State, p *maintenance.Plan, token uint64) uint64 {
	old := findPlan(was, p.Number)
	if old == nil {
		s.counts.Plans++
	}
	out, outAtSite := 0, map[string]int{}
	for j, server := range p.Servers {
		if server.Stage >= maintenance.Draining && server.Stage <= maintenance.WarmingUp {
			out++
			outAtSite[server.Site]++
			if outAtSite[server.Site] > max(p.Spec.MaxPerSite, 1) {
				s.violated(RuleTooMany, "%d servers of site %s are out for plan %d", outAtSite[server.Site], server.Site, p.Number)
			}
		}
		if !p.Ended {
			s.checkDisjoint(state, p, server.Name)
		}
		if old == nil || old.Servers[j].Stage == server.Stage {
			continue
		}
		s.checkStage(was, state, p, old.Servers[j], server)
		if server.Stage == maintenance.InMaintenance {
			if server.Token <= s.greatestToken || token != 0 {
				s.violated(RuleToken, "%s is handed out under token %d, after token %d", server.Name, server.Token, max(s.greatestToken, token))
			}
			token = server.Token
		}
	}
	if out > p.Spec.MaxConcurrent {
		s.violated(RuleTooMany, "%d servers are out for plan %d, at most %d may be", out, p.Number, p.Spec.MaxConcurrent)
	}
	return token
}

// checkDisjoint checks that a server belongs to no later plan that goes on.
func (s *Simulation) checkDisjoint(state *maintenance.State, by *maintenance.Plan, name string) {
	for i := range state.Plans {
		p := &state.Plans[i]
		if p.Number > by.Number && !p.Ended && slices.ContainsFunc(p.Servers, func(server maintenance.Server) bool { return server.Name == name }) {
			s.violated(RuleShared, "%s belongs to plans %d and %d", name, by.Number, p.Number)
		}
	}
}

// checkStage checks and counts the change of a server's stage.
func (s *Simulation) checkStage(was, state *maintenance.State, p *maintenance.Plan, from, to maintenance.Server) {
	if from.Stage >= maintenance.Done && !(from.Stage == maintenance.Lost && to.Stage == maintenance.Skipped) {
		s.violated(RuleEnd, "%s of plan %d changed from final stage %d to %d", to.Name, p.Number, from.Stage, to.Stage)
	}
	if from.Stage == maintenance.InMaintenance && to.Stage != maintenance.WarmingUp && to.Stage != maintenance.Lost {
		s.violated(RuleEnd, "%s leaves maintenance without its agent", to.Name)
	}
	switch to.Stage {
	case maintenance.Draining:
		s.checkDrain(was, state, p, to)
	case maintenance.Drained:
		if len(to.ForcedPast) > 0 {
			s.counts.Forced++
		}
	case maintenance.WarmingUp:
		s.completedAt[to.Name] = s.Now()
	case maintenance.Pending:
		s.counts.GivenBack++
	case maintenance.Done:
		s.counts.Done++
	case maintenance.Skipped:
		s.counts.Skipped++
	case maintenance.Lost:
		s.counts.Lost++
	}
	if (to.Stage == maintenance.Skipped || to.Stage == maintenance.Lost) && to.Reason == "" {
		s.violated(RuleEnd, "%s ends without a reason", to.Name)
	}
}

// checkDrain checks that a server may drain: the one before has warmed up, and enough capacity remains.
func (s *Simulation) checkDrain(was, state *maintenance.State, p *maintenance.Plan, draining maintenance.Server) {
	warmUpSeconds := p.Spec.WarmUpSeconds
	if warmUpSeconds == 0 {
		warmUpSeconds = max(s.warmUpSeconds, 5)
	}
	if out := s.countNotWarm(state, p, warmUpSeconds); out > p.Spec.MaxConcurrent {
		s.violated(RuleWarmUp, "%s drains as one of %d that are out or have not had %g s to warm up", draining.Name, out, warmUpSeconds)
	}
	wasOut := false // a server that an earlier plan has lost
	for name := range was.Cordoned {
		wasOut = wasOut || name == draining.Name
	}
	b := s.serverByName(draining.Name)
	remaining := s.remainingCapacity(state, b)
	isDisturbed := s.Now()-s.undisturbedSince <= disturbanceSeconds
	if !b.isUnavailable() && !wasOut && !isDisturbed && remaining < p.Spec.MinCapacity-capacityTolerance {
		s.violated(RuleMinCapacity, "%s drains, %.3f of the capacity remains, %.3f is required", draining.Name, remaining, p.Spec.MinCapacity)
	}
}

// countNotWarm counts the servers that are out of service, and those of a plan that have not had their time to warm up.
func (s *Simulation) countNotWarm(state *maintenance.State, p *maintenance.Plan, warmUpSeconds float64) (n int) {
	for _, q := range state.Plans {
		for _, server := range q.Servers {
			isOut := server.Stage >= maintenance.Draining && server.Stage <= maintenance.InMaintenance
			isBack := q.Number == p.Number && (server.Stage == maintenance.WarmingUp || server.Stage == maintenance.Done)
			completedAt := s.completedAt[server.Name]
			if isOut || isBack && completedAt > 0 && s.Now()-completedAt < warmUpSeconds-timeTolerance && !wasDeclaredWarm(server) {
				n++
			}
		}
	}
	return n
}

// remainingCapacity returns the fraction of the capacity that serves without one more server.
func (s *Simulation) remainingCapacity(state *maintenance.State, without *server) float64 {
	out := map[string]bool{}
	for name := range state.Cordoned {
		out[name] = true
	}
	for _, p := range state.Plans {
		for _, server := range p.Servers {
			if server.Stage == maintenance.WarmingUp {
				out[server.Name] = true
			}
		}
	}
	total, remaining := 0.0, 0.0
	for _, b := range s.servers {
		total += b.capacity
		if !out[b.name] && b != without && !b.isUnavailable() {
			remaining += b.capacity
		}
	}
	return remaining / total
}

// wasDeclaredWarm reports whether an operator ended a server's slow start.
func wasDeclaredWarm(server maintenance.Server) bool {
	return server.Stage == maintenance.Done && server.Reason != ""
}

func findPlan(state *maintenance.State, number uint64) *maintenance.Plan {
	if i := slices.IndexFunc(state.Plans, func(p maintenance.Plan) bool { return p.Number == number }); i >= 0 {
		return &state.Plans[i]
	}
	return nil
}

// checkPlanReply checks that a plan whose submission was answered is committed.
func (s *Simulation) checkPlanReply(r maintenance.Reply) {
	if r.Plan == 0 || r.Plan > s.committed().State.LastNumber {
		s.violated(RuleReply, "plan %d is answered, which is not committed", r.Plan)
	}
}

// checkEnd checks that all plans have ended, and that work was done on each server that is Done.
func (s *Simulation) checkEnd() {
	state := s.committed().State
	for i := range state.Plans {
		p := &state.Plans[i]
		if !p.Ended {
			s.violated(RuleEnd, "plan %d has not ended: %s; %v; lease holder: %s", p.Number, summary(&state), s.blockers(), s.describeLeaseHolder())
			continue
		}
		for _, server := range p.Servers {
			wasWorkedOn := slices.ContainsFunc(s.acquisitions, func(a *acquisition) bool { return a.plan == p.Number && a.server.name == server.Name && a.endedAt > 0 })
			if server.Stage < maintenance.Done || server.Stage == maintenance.Done && !wasWorkedOn {
				s.violated(RuleEnd, "%s of plan %d has ended as %d, worked on: %t", server.Name, p.Number, server.Stage, wasWorkedOn)
			}
		}
	}
}

// blockers returns what the lease holder's coordinator waits for.
func (s *Simulation) blockers() []maintenance.Blocker {
	if s.leaseHolder == nil || s.leaseHolder.coordinator == nil {
		return nil
	}
	return s.leaseHolder.coordinator.Blockers()
}

func (s *Simulation) describeLeaseHolder() string {
	h := s.leaseHolder
	if h == nil {
		return "none"
	}
	return fmt.Sprintf("%s (running %t, coordinates %t)", h.name(), h.isRunning, h.coordinator != nil)
}

// summary returns a state in one line: for each plan its number, the stages of its servers, "p" if it is paused and "." if it has
// ended.
func summary(state *maintenance.State) string {
	const letters = "wlrTcdsX" // by stage
	line := ""
	for _, p := range state.Plans {
		stages := make([]byte, 0, len(p.Servers))
		for _, server := range p.Servers {
			stages = append(stages, letters[server.Stage])
		}
		line += fmt.Sprintf("%d:%s", p.Number, stages)
		if p.PausedBy != "" {
			line += "p"
		}
		if p.Ended {
			line += "."
		}
		line += " "
	}
	return line
}
