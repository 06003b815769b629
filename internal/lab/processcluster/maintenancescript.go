package processcluster

import (
	"context"
	"slices"
	"time"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/lab/maintenanceagent"
)

// The fixed waits of the script: until a server counts as drained, which is as long as a request may take, and until the next server is drained, which
// is as long as servers may be warming up.
const (
	scriptDrainSeconds  = 10.0
	scriptWarmUpSeconds = 24.0
)

// runScript takes one server after the other out of service at all admin endpoints and back, with fixed waits, until ctx ends.
func (r *maintenanceRun) runScript(ctx context.Context) {
	sendToAll := func(line string) {
		for _, address := range r.cluster.adminAddresses() {
			if answer, err := maintenanceagent.SendLine(ctx, address, line); err != nil || string(answer[:min(2, len(answer))]) != "OK" {
				r.report.FailedCalls++
			}
		}
	}
	setStage := func(server string, stage maintenance.Stage) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recordStage(server, stage)
	}
	r.mu.Lock()
	r.submittedAt = unixNow()
	r.mu.Unlock()
	for _, server := range r.plannedServers() {
		setStage(server, maintenance.Pending)
	}
	for _, server := range r.plannedServers() {
		setStage(server, maintenance.Draining)
		sendToAll("OFFLINE " + server)
		if !sleep(ctx, durationOfSeconds(scriptDrainSeconds)) {
			return
		}
		setStage(server, maintenance.InMaintenance)
		r.mu.Lock()
		r.scriptRecords = append(r.scriptRecords, maintenanceagent.Record{Agent: "script", Server: server, StartedAt: time.Now()})
		r.mu.Unlock()
		if !sleep(ctx, durationOfSeconds(r.settings.Spec.WorkSeconds)) {
			return
		}
		r.mu.Lock()
		r.scriptRecords[len(r.scriptRecords)-1].EndedAt = time.Now()
		r.mu.Unlock()
		setStage(server, maintenance.WarmingUp)
		sendToAll("ONLINE " + server)
		if !sleep(ctx, durationOfSeconds(scriptWarmUpSeconds)) {
			return
		}
		setStage(server, maintenance.Done)
	}
	r.mu.Lock()
	r.endedAt = unixNow()
	r.mu.Unlock()
}

// plannedServers returns the names of the initial servers that the plan selects.
func (r *maintenanceRun) plannedServers() (names []string) {
	spec := &r.settings.Spec
	for _, server := range r.day.Servers[:r.day.InitialServers] {
		isInGroup := len(spec.Sites)+len(spec.Types) > 0 && (len(spec.Sites) == 0 || slices.Contains(spec.Sites, r.day.Sites[server.Site])) &&
			(len(spec.Types) == 0 || slices.Contains(spec.Types, r.day.ServerKinds[server.Kind]))
		if isInGroup || slices.Contains(spec.Servers, server.Name) {
			names = append(names, server.Name)
		}
	}
	return names
}
