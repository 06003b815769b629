package main

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/lab/maintenanceagent"
	"hazelwheel/internal/lab/processcluster"
)

// A sidecar is killed permanently while a server is drained: it is named as the blocker, and counts as gone after the time that the plan
// states.
func TestWorkSidecarKilled(t *testing.T) {
	y := newMaintenanceFleet(t, 4, 3, 3).open()
	y.startAgent("anna", nil)
	dead := y.without(y.awaitCoordinator(y.all...), y.all[0], y.all[1], y.all[2])
	if len(dead) == 0 {
		dead = y.all[3:] // then this one owns the role as well
	}
	b := y.hold(y.all[0], "write")
	y.submitPlan(y.all[0], `gone = "6s"`, b)
	y.awaitBlocker(b, "has something out there", "m00")
	dead[0].kill()
	b.release()
	y.awaitBlocker(b, "not heard to have stopped sending there", dead[0].name)
	assert.Empty(t, y.records())
	assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
	y.serving()
}

// While a server is in maintenance, sidecars start with the endpoint list that their configuration had before: one with its state, one
// that has lost it, and one that was killed before the server was drained and doesn't know of it. Another one reloads its configuration.
func TestWorkSidecarsStart(t *testing.T) {
	y := newMaintenanceFleet(t, 6, 3, 3).open()
	y.startAgent("anna", func(m *maintenanceagent.Agent) {
		m.WorkDuration = func(string) time.Duration { return 12 * time.Second }
	})
	before := y.all[5]
	before.kill()
	b := y.machines[1]
	y.submitPlan(y.all[0], `gone = "1s"`, b)
	y.awaitStage(b, maintenance.InMaintenance)
	for _, m := range y.all[3:] {
		if m != before {
			m.kill()
		}
		if m == y.all[4] {
			require.NoError(t, os.Remove(filepath.Join(m.dir, "peer")))
		}
		m.start()
	}
	y.all[2].signal(syscall.SIGHUP)
	y.ready(y.all[3:]...)
	responses := map[*fleetMember]int64{}
	for _, m := range y.all {
		responses[m] = m.responses.Load()
	}
	y.poll("all have served", func() bool {
		return !slices.ContainsFunc(y.all, func(m *fleetMember) bool { return m.responses.Load() < responses[m]+50 })
	})
	for _, m := range y.all {
		y.poll(m.name+" does not use the server", func() bool { s, ok := m.maintenanceStatus(); return ok && slices.Equal(s.Cordoned, []string{b.name}) })
	}
	s := y.newestStatus()
	require.Equal(t, maintenance.InMaintenance, stage(&s, b).Stage, "all sidecars were back before the maintenance ended")
	assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
	y.serving()
}

// One request takes half a minute to answer, and another was given up on while its server still processes it: the server is not handed
// over before they have ended, or can't go on any more.
func TestWorkRequestInFlight(t *testing.T) {
	t.Parallel() // else all other tests wait until its last case has ended
	for _, k := range []struct {
		name     string
		patience string // the client's Request-Timeout
		giveUpS  float64
		heldS    float64
	}{{"answered after half a minute", "40000m", 40, 30}, {"abandoned by its client", "3000m", 8, 5}} {
		t.Run(k.name, func(t *testing.T) {
			y := newMaintenanceFleet(t, 3, 3, 3)
			usual := y.testFleet.settings
			y.testFleet.settings = func(s map[string]any) {
				usual(s)
				class := s["classes"].([]map[string]any)[1]
				class["giveUpS"], class["objectiveS"] = k.giveUpS, k.giveUpS
			}
			y.open()
			y.startAgent("anna", nil)
			b := y.hold(y.all[1], "write", "Request-Timeout", k.patience)
			y.submitPlan(y.all[0], "", b)
			y.awaitBlocker(b, "has something out there", "m01")
			y.pollFor(3*patience, "the plan waits for the request", func() bool {
				s := y.newestStatus()
				require.NotEqual(t, maintenance.Drained, stage(&s, b).Stage)
				return len(s.Plans) > 0 && s.Plans[0].AgeSeconds > k.heldS
			})
			assert.Empty(t, y.records())
			b.release()
			assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
			y.serving()
		})
	}
}

// The load grows while servers are out, or a site is lost: servers that no agent works on are reinstated, no more are drained, and once
// the trouble is over the plan goes on.
func TestWorkOverloadAndSiteLoss(t *testing.T) {
	t.Parallel() // else all other tests wait until its last case has ended
	for _, k := range []struct {
		name, waits string
		begins      func(y *maintenanceFleet) (ends func())
	}{
		{"a site is lost", "site c is lost", func(y *maintenanceFleet) func() {
			for _, b := range y.machines {
				if b.site == "c" {
					b.set(breaks(""))
				}
			}
			return func() {
				for _, b := range y.machines {
					b.set(b.ServeHTTP)
				}
			}
		}},
		{"the load doubles and doubles again", "of the capacity serves", func(y *maintenanceFleet) func() {
			var all []func()
			for range 3 {
				all = append(all, sync.OnceFunc(y.serveAll()))
				y.Cleanup(all[len(all)-1])
			}
			return func() {
				for _, stop := range all {
					stop()
				}
			}
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			y := newMaintenanceFleet(t, 3, 3, 6).open()
			y.submitPlan(y.awaitCoordinator(y.all...), "at_once = 2\nkeep = 0.6", y.machines[0], y.machines[1], y.machines[3], y.machines[4]) // servers of sites a and b
			y.poll("two servers are drained", func() bool { return y.counts()[maintenance.Drained] == 2 })
			y.poll("the plan is older than 15 s", func() bool { s := y.newestStatus(); return s.Plans[0].AgeSeconds > 15 })
			ends := k.begins(y)
			began := time.Now()
			y.poll("both servers are reinstated", func() bool { return y.counts()[maintenance.Pending] == 4 })
			t.Log("servers reinstated after", time.Since(began))
			y.poll("the status gives the reason", func() bool {
				s := y.newestStatus()
				return slices.ContainsFunc(s.Blockers, func(w maintenance.Blocker) bool {
					return strings.Contains(w.Reason, k.waits) || strings.Contains(w.Reason, "is seen how")
				})
			})
			ends()
			y.startAgent("anna", nil)
			p := y.awaitEnd()
			assert.False(t, slices.ContainsFunc(p.Servers, func(b maintenance.Server) bool { return b.Stage != maintenance.Done }), "%+v", p.Servers)
			assert.Len(t, y.records(), 4)
			y.serving()
		})
	}
}

// An operator reinstates a server at one sidecar while a plan has it out: that sidecar uses it, and it is not handed over until the
// operator bans it there. It stays banned there when the plan has ended, until the operator reinstates it.
func TestWorkManualReinstatement(t *testing.T) {
	y := newMaintenanceFleet(t, 3, 3, 3).open()
	y.startAgent("anna", nil)
	b, hand := y.hold(y.all[0], "write"), y.all[2]
	setServer := func(line string) {
		text, err := callOnce(hand.ops, line+" "+b.name+"\n")
		require.NoError(t, err)
		require.Contains(t, text, "OK")
	}
	y.submitPlan(y.all[1], "", b)
	y.awaitBlocker(b, "has something out there", "m00")
	setServer("ONLINE")
	before := b.requestCount()
	y.poll("the server is used there", func() bool { return b.requestCount() > before })
	b.release()
	y.awaitBlocker(b, "in use there by hand", hand.name)
	s, _ := hand.maintenanceStatus()
	assert.Equal(t, []string{b.name}, s.Reinstated)
	assert.Empty(t, y.records())
	setServer("OFFLINE")
	assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
	ours := func() (n int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, v := range b.received {
			if v.by == hand.name {
				n++
			}
		}
		return n
	}
	n, responses := ours(), hand.responses.Load()
	y.poll("the sidecar uses other servers", func() bool { return hand.responses.Load() > responses+100 })
	assert.Equal(t, n, ours(), "the operator has banned it there")
	setServer("ONLINE")
	y.poll("the server is used there again", func() bool { return ours() > n })
	y.serving()
}

// The same plan is submitted at both sides of a network partition. The side with a majority accepts it, and waits; the other replies
// that the outcome is unknown. Once the partition heals, the second side learns of the first one's plan, which is carried out once. A
// repeated command is done once.
func TestWorkPlanDuringPartition(t *testing.T) {
	y := newMaintenanceFleet(t, 5, 5, 3).open()
	y.startAgent("anna", nil)
	y.awaitCoordinator(y.all...)
	left, right := y.all[:3], y.all[3:]
	ways := processcluster.Directions(names(left), names(right), false)
	y.peerProxy.SetFault(processcluster.LinkFault{Cut: true}, ways...)
	y.awaitView(left, left)
	y.awaitCoordinator(left...)
	file := y.writePlan(`cold = "4s"`, y.machines...)
	y.recordPlan(file, y.machines...)
	y.work(left[0], "plan", file, "--nonce", "7")
	out, code := y.command("fleet", "work", "plan", file, "--nonce", "8", "--ops", right[0].ops)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "not known whether it was done")
	y.poll("the silent sidecar is named", func() bool {
		s, _ := left[0].maintenanceStatus()
		return slices.ContainsFunc(s.Blockers, func(w maintenance.Blocker) bool { return w.Server == "" && slices.Equal(w.Members, names(right)) })
	})
	assert.Equal(t, 3, y.counts()[maintenance.Pending])
	y.peerProxy.SetFault(processcluster.LinkFault{}, ways...)
	y.poll("the other side knows the plan", func() bool { s, ok := right[0].maintenanceStatus(); return ok && len(s.Plans) == 1 })
	out, code = y.command("fleet", "work", "plan", file, "--nonce", "8", "--ops", right[0].ops)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "is of plan 1 (yard), which has not ended")
	assert.Contains(t, y.work(right[0], "plan", file, "--nonce", "7"), "plan 1")
	p := y.awaitEnd()
	assert.Equal(t, uint64(1), p.Number)
	assert.Len(t, y.records(), 3)
	y.serving()
}

// A plan is aborted while servers are in three states: those that no agent works on are reinstated at once, and the one in maintenance
// returns when it is complete.
func TestWorkIsAborted(t *testing.T) {
	y := newMaintenanceFleet(t, 3, 3, 6).open()
	long := make(chan struct{})
	y.startAgent("anna", func(m *maintenanceagent.Agent) {
		m.WorkDuration = func(string) time.Duration { <-long; return 0 }
	})
	b := y.hold(y.all[0], "write")
	others := slices.DeleteFunc(slices.Clone(y.machines), func(o *machine) bool { return o == b })
	y.submitPlan(y.all[1], "at_once = 5\nby_site = 2\nkeep = 0.1", append(others[:4], b)...)
	y.pollFor(6*patience, "servers are draining, drained and in maintenance", func() bool {
		count := y.counts()
		return count[maintenance.Draining] > 0 && count[maintenance.Drained] > 0 && count[maintenance.InMaintenance] == 1
	})
	y.work(y.all[2], "abort")
	y.poll("servers that no agent works on are reinstated", func() bool { return y.counts()[maintenance.Skipped] == 4 })
	s := y.newestStatus()
	assert.False(t, s.Plans[0].Ended)
	assert.Len(t, s.Cordoned, 1)
	close(long)
	p := y.awaitEnd()
	for _, k := range p.Servers {
		if k.Stage != maintenance.Done {
			assert.Equal(t, "the plan was aborted by an operator", k.Reason)
		}
	}
	assert.Len(t, y.records(), 1)
	b.release()
	y.serving()
}

// An agent dies while it has a server, and continues with it after its restart; another agent gets nothing meanwhile. An agent that is
// too slow loses its server, and its report comes too late. Old tokens and second reports are rejected.
func TestWorkAgents(t *testing.T) {
	y := newMaintenanceFleet(t, 3, 3, 3).open()
	owner := y.awaitCoordinator(y.all...)
	slow := func(m *maintenanceagent.Agent) {
		m.WorkDuration = func(string) time.Duration { return 4 * time.Second }
		m.CompletesTwice = true
	}
	anna, dies := y.startAgent("anna", slow)
	y.submitPlan(owner, "takes = \"1s\"\nlate = \"2s\"", y.machines[:1]...)
	first := y.awaitStage(y.machines[0], maintenance.InMaintenance)
	dies()
	assert.Regexp(t, "^-", y.work(owner, "next", "bob"), "anna has the server")
	y.poll("the server is overdue", func() bool { s := y.newestStatus(); return stage(&s, y.machines[0]).Overdue })
	assert.Equal(t, maintenance.InMaintenance, y.awaitStage(y.machines[0], maintenance.InMaintenance).Stage)
	again := y.runAgent(anna)
	assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
	again()
	assert.Zero(t, anna.RejectedGrants())
	for _, r := range y.records() {
		assert.Equal(t, first.Token, r.Token)
		assert.Empty(t, r.CompletionErrors, "repeating \"done\" has no effect")
	}

	bob, stop := y.startAgent("bob", slow)
	y.submitPlan(owner, "name = \"second\"\ntakes = \"1s\"\nlate = \"2s\"\nwhen_late = \"give-up\"", y.machines[1])
	p := y.awaitEnd()
	assert.Equal(t, maintenance.Lost, p.Servers[0].Stage)
	assert.Equal(t, "bob had it for longer than 2 s", p.Servers[0].Reason)
	y.poll("the agent's report came too late", func() bool { r := bob.Records(); return len(r) == 1 && len(r[0].CompletionErrors) == 2 })
	assert.Contains(t, bob.Records()[0].CompletionErrors[0], "is not worked on under")
	stop()
	lost := y.machines[1].requestCount()
	responses := owner.responses.Load()
	y.poll("the others serve", func() bool { return owner.responses.Load() > responses+100 })
	assert.Equal(t, lost, y.machines[1].requestCount(), "a lost server stays out")
	out, code := y.command("fleet", "work", "done", y.machines[0].name, formatToken(first.Token-1), "--ops", owner.ops)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "nobody works on "+y.machines[0].name)
	out, code = y.command("fleet", "work", "failed", y.machines[0].name, formatToken(first.Token), "--ops", owner.ops)
	assert.Equal(t, 1, code, out)
	y.work(owner, "skip", y.machines[1].name)
	y.poll("the server is reinstated", func() bool { return y.machines[1].requestCount() > lost })

	// Forced while a request is in flight: the status records the sidecar that had it.
	b := y.hold(owner, "write")
	y.submitPlan(owner, "name = \"third\"", b)
	y.awaitBlocker(b, "has something out there", owner.name)
	y.startAgent("carl", nil)
	assert.Contains(t, y.work(y.all[0], "force", b.name), "past "+owner.name)
	last := y.awaitEnd().Servers[0]
	assert.Equal(t, []string{owner.name}, last.ForcedPast)
	assert.Equal(t, maintenance.Done, last.Stage)
	b.release()
	y.serving()
}

// Discovery changes a server that is out: it is removed, listed at another address, or listed as draining. It stays out, and returns in
// its time.
func TestWorkDiscoveryChanges(t *testing.T) {
	t.Parallel() // else all other tests wait until its last case has ended
	for name, change := range map[string]func(e *endpoint, other endpoint){
		"dropped":         func(e *endpoint, _ endpoint) { e.Status = "DELETED" },
		"another address": func(e *endpoint, other endpoint) { e.Address = other.Address },
		"draining":        func(e *endpoint, _ endpoint) { e.Status = "DRAINING" },
	} {
		t.Run(name, func(t *testing.T) {
			y := newMaintenanceFleet(t, 3, 3, 4).open()
			over := make(chan struct{})
			y.startAgent("anna", func(m *maintenanceagent.Agent) {
				m.WorkDuration = func(string) time.Duration { <-over; return 0 }
			})
			b := y.machines[0]
			moved := &machine{server: newServer(t, b.name, nil), site: b.site}
			moved.set(moved.ServeHTTP)
			y.submitPlan(y.all[0], "", b)
			y.awaitStage(b, maintenance.InMaintenance)
			e := b.entry()
			change(&e, moved.entry())
			lists := func(m *fleetMember) float64 { return (&testSidecar{T: t, listen: m.listen}).counter("lists") }
			before := map[*fleetMember]float64{}
			for _, m := range y.all {
				before[m] = lists(m)
			}
			y.registry.publish(e, false)
			y.poll("all sidecars have received the list", func() bool {
				return !slices.ContainsFunc(y.all, func(m *fleetMember) bool { return lists(m) == before[m] })
			})
			responses := y.all[0].responses.Load()
			y.poll("the sidecars go on serving", func() bool { return y.all[0].responses.Load() > responses+100 })
			assert.Zero(t, moved.requestCount(), "the server is out at whichever address it is listed")
			close(over)
			assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
			y.registry.publish(b.entry(), false)
			was := b.requestCount()
			y.poll("the sidecar serves again", func() bool { return b.requestCount() > was })
			y.serving()
		})
	}
}

// The fleet doubles during a plan and shrinks again. Then a majority of the electors is lost: no more servers are drained, and an
// operator can reinstate those that are out.
func TestWorkFleetChanges(t *testing.T) {
	y := newMaintenanceFleet(t, 8, 3, 4)
	for _, m := range y.all[4:] {
		m.gone.Store(true)
	}
	for _, m := range y.all[:4] {
		m.start()
	}
	y.ready(y.all[:4]...)
	y.awaitAgreement(y.all[:4]...)
	y.startClients()
	anna, dies := y.startAgent("anna", nil)
	y.submitPlan(y.all[0], `gone = "2s"`, y.machines...)
	y.awaitStage(y.machines[0], maintenance.Draining, maintenance.Drained, maintenance.InMaintenance, maintenance.WarmingUp, maintenance.Done)
	for _, m := range y.all[4:] {
		m.start()
	}
	y.ready(y.all[4:]...)
	y.awaitAgreement(y.all...)
	y.poll("the plan goes on with all", func() bool { return y.counts()[maintenance.Done] >= 2 })
	for i, m := range y.all[4:] {
		if i%2 == 0 {
			m.term()
		} else {
			m.kill()
		}
	}
	y.poll("the plan goes on without them", func() bool { return y.counts()[maintenance.Done] >= 3 })
	dies()
	var last *machine
	y.poll("the last server is drained", func() bool {
		s := y.newestStatus()
		for _, b := range y.machines {
			if k := stage(&s, b); k.Stage == maintenance.Drained {
				last = b
			}
		}
		return last != nil
	})
	assert.Len(t, anna.Records(), 3)
	for _, m := range y.all[:2] {
		m.kill()
	}
	left := y.all[2:4]
	// Danger: an admin endpoint that does not reply in time shows nothing. An owner whose lease is still valid may hand the server over
	// meanwhile, which is agreed once the majority is back.
	y.poll("no sidecar coordinates the plans", func() bool {
		return !slices.ContainsFunc(left, func(m *fleetMember) bool {
			j, replied := m.queryRole("works")
			return !replied || j.HeldToken != 0
		})
	})
	bob, ends := y.startAgent("bob", nil)
	out, code := y.command("fleet", "work", "resume", "--ops", left[0].ops)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "not known")
	assert.Empty(t, bob.Records(), "no server is handed over")
	before := last.requestCount()
	for _, m := range left {
		text, err := callOnce(m.ops, "ONLINE "+last.name+"\n")
		require.NoError(t, err)
		require.Contains(t, text, "OK")
	}
	y.poll("the sidecar serves", func() bool { return last.requestCount() > before })
	ends()
	for _, m := range y.all[:2] {
		m.start()
	}
	y.ready(y.all[:2]...)
	y.awaitBlocker(last, "in use there by hand", left[0].name)
	y.serving()
}

// While a server is in maintenance, a process takes over from a sidecar with its socket. Then all are killed at once and restart, as
// after a power failure: servers that are out stay out, and the plan goes on.
func TestWorkFullRestart(t *testing.T) {
	y := newMaintenanceFleet(t, 3, 3, 3)
	m := y.all[2]
	l, err := net.Listen("tcp", m.listen)
	require.NoError(t, err)
	m.inheritedSocket, err = l.(*net.TCPListener).File()
	require.NoError(t, err)
	defer m.inheritedSocket.Close()
	l.Close()
	m.env = append(m.env, "TMPDIR="+m.tmp, "GW_PASSED_SOCKET=4")
	y.open()
	over := make(chan struct{})
	y.startAgent("anna", func(m *maintenanceagent.Agent) {
		m.WorkDuration = func(string) time.Duration { <-over; return 0 }
	})
	b := y.machines[0]
	y.submitPlan(y.all[0], "", b)
	out := func() {
		t.Helper()
		responses := map[*fleetMember]int64{}
		for _, m := range y.all {
			y.poll(m.name+" does not use the server", func() bool { s, ok := m.maintenanceStatus(); return ok && slices.Equal(s.Cordoned, []string{b.name}) })
			responses[m] = m.responses.Load()
		}
		y.poll("all serve", func() bool {
			return !slices.ContainsFunc(y.all, func(m *fleetMember) bool { return m.responses.Load() < responses[m]+30 })
		})
	}
	y.awaitStage(b, maintenance.InMaintenance)
	out()
	old, ended := m.cmd, m.ended
	m.ops = freeAddress(t) // each process has its own admin endpoint
	m.start()
	y.poll("the new process does not use the server", func() bool { s, ok := m.maintenanceStatus(); return ok && slices.Equal(s.Cordoned, []string{b.name}) })
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	<-ended
	y.awaitAgreement(y.all...)
	out()
	for _, m := range y.all {
		m.gone.Store(true)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range y.all {
		<-m.ended
		m.start()
	}
	y.ready(y.all...)
	out()
	close(over)
	assert.Equal(t, maintenance.Done, y.awaitEnd().Servers[0].Stage)
	y.serving()
}
