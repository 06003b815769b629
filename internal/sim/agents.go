package sim

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
)

// simulatedAgent is a maintenance agent: it acquires servers, restarts them and reports the completion.
type simulatedAgent struct {
	driver     *maintenanceDriver
	name       string
	maxToken   uint64
	current    *workRecord // the last server acquired
	isReliable bool        // always takes the same time, never fails and never crashes
}

// poll acquires a server, and tries again until one is granted.
func (a *simulatedAgent) poll() {
	d := a.driver
	d.submit(maintenance.Command{Kind: maintenance.AcquireServer, Agent: a.name}, 6, func(r maintenance.Reply, answered bool) {
		switch {
		case !answered || r.Err != "" || r.Server == "" || r.Token < a.maxToken:
			d.after(0.5+d.rng.Float64(), a.poll)
		case r.Token == a.maxToken && a.current != nil && a.current.isDone: // the report of its completion was not answered
			a.reportCompletion()
		default:
			a.handleGrant(r)
		}
	})
}

// handleGrant maintains the server that was granted.
func (a *simulatedAgent) handleGrant(r maintenance.Reply) {
	d := a.driver
	i := slices.IndexFunc(d.servers, func(b serverState) bool { return b.name == r.Server })
	if i < 0 {
		d.reportViolation(checker.RepeatInvariant, "%s is handed over, which there is not", r.Server)
		return
	}
	a.maxToken = r.Token
	if a.current == nil || a.current.token != r.Token {
		a.current = &workRecord{plan: r.Plan, server: i, agent: a.name, token: r.Token}
		d.startWork(a.current)
	}
	work, workSeconds := a.current, d.spec.WorkSeconds*(0.5+0.7*d.rng.Float64())
	if a.isReliable {
		workSeconds = d.spec.WorkSeconds
	}
	now := d.day.network.Now()
	if a.isReliable || d.rng.IntN(2) == 0 {
		d.day.faults.StopServer(i, now)
	}
	if !a.isReliable && d.rng.IntN(8) == 0 { // it crashes, and polls again later
		d.after(workSeconds/2, func() { d.after(1+5*d.rng.Float64(), a.poll) })
		return
	}
	d.after(workSeconds, func() {
		d.day.faults.StartServer(i, d.day.network.Now())
		d.after(0.2, func() {
			work.isDone, work.hasFailed = true, !a.isReliable && d.rng.IntN(20) == 0
			d.servers[i].work = nil
			d.trace("%s has worked on %s under %d", a.name, d.servers[i].name, work.token)
			a.reportCompletion()
		})
	})
}

// reportCompletion reports the end of the maintenance until that is answered.
func (a *simulatedAgent) reportCompletion() {
	d, work := a.driver, a.current
	cmd := maintenance.Command{Kind: maintenance.CompleteServer, Server: d.servers[work.server].name, Token: work.token, Agent: a.name}
	if work.hasFailed {
		cmd.Kind = maintenance.FailServer
	}
	d.submit(cmd, 10, func(r maintenance.Reply, answered bool) {
		if !answered {
			a.reportCompletion()
			return
		}
		d.trace("%s says %s of %s under %d: %s", a.name, cmd.Kind, cmd.Server, cmd.Token, r.Err)
		a.poll()
	})
}
