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

// What is told of a fleet's members, at most: at the door, where one asks for them, and among the counters.
const (
	mostAtDoor  = 10000
	mostCounted = 100
	mostAsked   = 8 // that are asked at a start which boxes are out
)

// join has the sidecar know the others of its fleet.
func (p *Process) join(cfg sidecarconfig.Config, on featureconfig.Fleet, shared *multiplex.SharedLoop) (err error) {
	links := peers.MaxLinks(cfg.Limits.Sockets)
	p.fleet, err = coordination.New(coordination.Options{MaxLinks: links,
		Settings: coordination.Settings{Name: on.Name, Listen: on.Listen, Advertise: on.Advertise, Join: on.Join, Dir: on.Dir, Voters: on.Electors, Roles: on.Jobs}, Sidecar: cfg.Name, Self: cfg.Settings.Policy.Self, Replicas: cfg.Settings.Policy.Replicas,
		Replaceable: cfg.Passed > 0, RoleHost: p.Sidecar, RankReceiver: p.Sidecar, Lists: p.Sidecar, Faults: p.Sidecar, Servers: p.Sidecar, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		EventLoop: shared.Companion(), Log: p.log})
	if err != nil {
		return err
	}
	p.host = shared.Handler(p.Sidecar, p.fleet, p.fleet.OwnsConn)
	p.ReserveDescriptors(peers.Descriptors(links))
	if slices.Contains(on.Jobs, "report") {
		p.EnableRequestStats()
	}
	if slices.Contains(on.Jobs, "list") {
		p.SetListObserver(p.fleet)
	}
	if slices.Contains(on.Jobs, "drill") {
		p.SetFaultObserver(p.fleet)
	}
	if slices.Contains(on.Jobs, "works") {
		p.EnableMaintenance()
		join := slices.DeleteFunc(slices.Clone(on.Join), func(a string) bool { return a == on.Advertise || a == on.Listen })
		p.askFirst = func() { p.ask(on.Name, cfg.Name, join[:min(len(join), mostAsked)]) }
	}
	p.SetFleetStatus(func() any { return p.fleet.Status(mostCounted) }, p.fleet)
	if p.door != nil {
		p.door.Peers = func() []byte { return line(p.fleet.Status(mostAtDoor)) }
	}
	if p.door != nil && len(on.Electors) > 0 {
		p.door.Leases = p.owners()
	}
	if on.Dir != "" {
		p.folder = statefile.Open(on.Dir, func(done func()) {
			select {
			case <-p.over: // nobody waits for it any more
			default:
				p.loop.Post(done)
			}
		})
	}
	return nil
}

// remember reads what an earlier life of the sidecar has left.
func (p *Process) remember() {
	saved := p.folder.Load()
	if saved.Err == nil && coordination.ValidateState(saved) != nil {
		if err := p.folder.Quarantine(); err != nil {
			p.log.Error("what was saved can't be put aside", "error", err)
		}
	}
	p.fleet.UseStore(p.folder, saved)
}

// askWithin is how long a start may wait for others' word of what is agreed. It is no request that waits.
const askWithin = 500 * time.Millisecond

// ask asks others of the fleet which boxes are out, before there are clients.
func (p *Process) ask(fleetName, name string, join []string) {
	began := time.Now()
	k := coordination.QueryMaintenance(fleetName, name, join, began.Add(askWithin))
	if k == nil {
		p.log.Warn("nobody could be asked which servers are out by agreement: going by what is kept here", "after", time.Since(began).Round(time.Millisecond))
		return
	}
	p.log.Info("asked which servers are out by agreement", "epoch", k.Epoch, "version", k.Version, "after", time.Since(began).Round(time.Millisecond))
	p.fleet.LearnMaintenance(k)
}

// line returns a value as a line of JSON.
func line(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n')
}

// owners are the door's calls about who owns what.
func (p *Process) owners() *admin.LeaseCommands {
	owners := func() ([]byte, error) {
		seen, err := p.fleet.LeaseStatus()
		return line(seen), err
	}
	return &admin.LeaseCommands{Status: owners, Voters: owners, StepDown: p.fleet.StepDown, Report: func() ([]byte, error) {
		rep, err := p.fleet.Report()
		return line(rep), err
	}, Maintenance: func() ([]byte, error) {
		seen, err := p.fleet.MaintenanceStatus()
		return line(seen), err
	}, SubmitMaintenance: func(command []byte) ([]byte, error) {
		var c maintenance.Command
		if err := json.Unmarshal(command, &c); err != nil {
			return nil, fmt.Errorf("the command makes no sense: %w", err)
		}
		reply, answered, err := p.fleet.SubmitMaintenance(c)
		if err == nil && !answered {
			return []byte("WAIT\n"), nil
		}
		return line(reply), err
	}}
}
