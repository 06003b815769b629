package process

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/coordination/statefile"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/admin"
	"hazelwheel/internal/netio/multiplex"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/sidecarconfig"
)

// Bounds of the members that a status lists: for the admin endpoint, where they are asked for, and in the counters.
const (
	maxAdminMembers   = 10000
	maxCounterMembers = 100
	maxQueriedMembers = 8 // that are queried for the maintenance record at a start
)

// joinFleet connects the sidecar to the other members of its fleet.
func (p *Process) joinFleet(cfg sidecarconfig.Config, config featureconfig.Fleet, shared *multiplex.SharedLoop) (err error) {
	maxLinks := peers.MaxLinks(cfg.Limits.Sockets)
	p.fleet, err = coordination.New(coordination.Options{
		MaxLinks: maxLinks,
		Settings: coordination.Settings{
			Name:      config.Name,
			Listen:    config.Listen,
			Advertise: config.Advertise,
			Join:      config.Join,
			Dir:       config.Dir,
			Voters:    config.Voters,
			Roles:     config.Jobs,
		},
		Sidecar:      cfg.Name,
		Self:         cfg.Settings.Policy.Self,
		Replicas:     cfg.Settings.Policy.Replicas,
		Replaceable:  cfg.Passed > 0,
		RoleHost:     p.Sidecar,
		RankReceiver: p.Sidecar,
		Lists:        p.Sidecar,
		Faults:       p.Sidecar,
		Servers:      p.Sidecar,
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		EventLoop:    shared.Companion(),
		Log:          p.log,
	})
	if err != nil {
		return err
	}
	p.handler = shared.Handler(p.Sidecar, p.fleet, p.fleet.OwnsConn)
	p.ReserveDescriptors(peers.Descriptors(maxLinks))
	if slices.Contains(config.Jobs, "report") {
		p.EnableRequestStats()
	}
	if slices.Contains(config.Jobs, "list") {
		p.SetListObserver(p.fleet)
	}
	if slices.Contains(config.Jobs, "drill") {
		p.SetFaultObserver(p.fleet)
	}
	if slices.Contains(config.Jobs, "works") {
		p.EnableMaintenance()
		seeds := slices.DeleteFunc(slices.Clone(config.Join), func(a string) bool { return a == config.Advertise || a == config.Listen })
		p.queryFleet = func() { p.queryMaintenance(config.Name, cfg.Name, seeds[:min(len(seeds), maxQueriedMembers)]) }
	}
	p.SetFleetStatus(func() any { return p.fleet.Status(maxCounterMembers) }, p.fleet)
	if p.admin != nil {
		p.admin.Peers = func() []byte { return jsonLine(p.fleet.Status(maxAdminMembers)) }
	}
	if p.admin != nil && len(config.Voters) > 0 {
		p.admin.Leases = p.leaseCommands()
	}
	if config.Dir != "" {
		p.stateFiles = statefile.Open(config.Dir, func(done func()) {
			select {
			case <-p.stopped: // nothing waits for it any more
			default:
				p.loop.Post(done)
			}
		})
	}
	return nil
}

// loadFleetState loads the fleet's state that an earlier process has saved. A file that can't be used is put aside.
func (p *Process) loadFleetState() {
	saved := p.stateFiles.Load()
	if saved.Err == nil && coordination.ValidateState(saved) != nil {
		if err := p.stateFiles.Quarantine(); err != nil {
			p.log.Error("fleet state file can't be put aside", "error", err)
		}
	}
	p.fleet.UseStore(p.stateFiles, saved)
}

// maintenanceQueryTimeout bounds the wait for the maintenance record at a start. No request waits for it.
const maintenanceQueryTimeout = 500 * time.Millisecond

// queryMaintenance asks other members of the fleet which servers are under maintenance, before there are clients.
func (p *Process) queryMaintenance(fleetName, name string, seeds []string) {
	startedAt := time.Now()
	record := coordination.QueryMaintenance(fleetName, name, seeds, startedAt.Add(maintenanceQueryTimeout))
	if record == nil {
		p.log.Warn("no member could be queried for the maintenance record, using the stored one", "duration", time.Since(startedAt).Round(time.Millisecond))
		return
	}
	p.log.Info("maintenance record queried", "epoch", record.Epoch, "version", record.Version, "duration", time.Since(startedAt).Round(time.Millisecond))
	p.fleet.LearnMaintenance(record)
}

// jsonLine returns a value as a line of JSON.
func jsonLine(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n')
}

// leaseCommands returns the admin endpoint's commands about leases and maintenance.
func (p *Process) leaseCommands() *admin.LeaseCommands {
	leaseStatus := func() ([]byte, error) {
		status, err := p.fleet.LeaseStatus()
		return jsonLine(status), err
	}
	return &admin.LeaseCommands{Status: leaseStatus, Voters: leaseStatus, StepDown: p.fleet.StepDown, Report: func() ([]byte, error) {
		report, err := p.fleet.Report()
		return jsonLine(report), err
	}, Maintenance: func() ([]byte, error) {
		status, err := p.fleet.MaintenanceStatus()
		return jsonLine(status), err
	}, SubmitMaintenance: func(command []byte) ([]byte, error) {
		var c maintenance.Command
		if err := json.Unmarshal(command, &c); err != nil {
			return nil, fmt.Errorf("the command makes no sense: %w", err)
		}
		reply, answered, err := p.fleet.SubmitMaintenance(c)
		if err == nil && !answered {
			return []byte("WAIT\n"), nil
		}
		return jsonLine(reply), err
	}}
}
