package maintenanceagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/decide/maintenance"
)

// defaultPollInterval is the pause between two attempts to acquire a server if PollInterval is 0.
const defaultPollInterval = 200 * time.Millisecond

// Agent is a maintenance agent that works on one server at a time. Its fields are set before Run and not changed while it runs. Records and
// RejectedGrants may be called at any time, Run from one goroutine at a time.
type Agent struct {
	Name           string
	AdminEndpoints func() []string                   // addresses of the admin endpoints, any of which takes commands
	WorkDuration   func(server string) time.Duration // how long the work on a server takes
	OnWork         func(server string, started bool) // called when work on a server starts and when it is done; may be nil
	PollInterval   time.Duration                     // between two attempts to acquire a server; 0: defaultPollInterval
	CompletesTwice bool                              // each completion is sent a second time, as a command of its own

	mu             sync.Mutex // guards the fields below
	records        []Record
	highestToken   uint64            // of the accepted grants
	rejectedGrants int               // see RejectedGrants
	assigned       maintenance.Reply // the grant on which it works, kept when Run ends before the completion
}

// Records returns the records of all work so far, in the order of its start.
func (a *Agent) Records() []Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.records)
}

// RejectedGrants returns how many grants the agent rejected because their token was not greater than an earlier one.
func (a *Agent) RejectedGrants() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejectedGrants
}

// Run acquires servers and works on them until ctx ends. If that interrupts the work on a server, the agent does not report its completion, as if
// it had crashed; a later Run continues if it is granted the same server under the same token.
func (a *Agent) Run(ctx context.Context) {
	interval := a.PollInterval
	if interval == 0 {
		interval = defaultPollInterval
	}
	for ctx.Err() == nil {
		grant, err := Execute(ctx, a.AdminEndpoints, maintenance.Command{Kind: maintenance.AcquireServer, Agent: a.Name})
		if err != nil || grant.Err != "" || grant.Server == "" || !a.acceptGrant(&grant) {
			sleep(ctx, interval)
			continue
		}
		a.performWork(ctx, &grant)
	}
}

// acceptGrant reports whether the agent may work on a granted server, and records the grant if so. Danger: a grant whose token is not greater than
// an earlier one comes from a coordinator that was replaced meanwhile, and the server may be back in service since.
func (a *Agent) acceptGrant(grant *maintenance.Reply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isSame := grant.Server == a.assigned.Server && grant.Token == a.assigned.Token
	if grant.Token <= a.highestToken && !isSame {
		a.rejectedGrants++
		return false
	}
	a.highestToken, a.assigned = max(a.highestToken, grant.Token), *grant
	return true
}

// performWork works on a granted server and reports its completion, unless ctx ends before.
func (a *Agent) performWork(ctx context.Context, grant *maintenance.Reply) {
	index := a.startRecord(grant)
	if a.OnWork != nil {
		a.OnWork(grant.Server, true)
	}
	isDone := sleep(ctx, a.WorkDuration(grant.Server))
	if isDone && a.OnWork != nil {
		a.OnWork(grant.Server, false)
	}
	a.mu.Lock()
	a.records[index].EndedAt = time.Now()
	a.mu.Unlock()
	if !isDone {
		return
	}
	completions := 1
	if a.CompletesTwice {
		completions = 2
	}
	for range completions {
		a.complete(ctx, grant, index)
	}
}

// startRecord appends a record of work that starts now and returns its index.
func (a *Agent) startRecord(grant *maintenance.Reply) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, Record{Agent: a.Name, Server: grant.Server, Token: grant.Token, ForcedReason: grant.Text, StartedAt: time.Now()})
	return len(a.records) - 1
}

// complete reports the completion of work until it is answered or ctx ends, and adds an answer that refuses it to the record.
func (a *Agent) complete(ctx context.Context, grant *maintenance.Reply, index int) {
	for ctx.Err() == nil {
		reply, err := Execute(ctx, a.AdminEndpoints, maintenance.Command{Kind: maintenance.CompleteServer, Server: grant.Server, Token: grant.Token})
		if err != nil {
			continue // the outcome is unknown, so the completion is reported again
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.assigned = maintenance.Reply{}
		if reply.Err != "" {
			a.records[index].CompletionErrors = append(a.records[index].CompletionErrors, reply.Err)
		}
		return
	}
}

// sleep waits for a duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
