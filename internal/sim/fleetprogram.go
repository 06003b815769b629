package sim

import (
	"log/slog"
	"math/rand/v2"
	"net"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/multiplex"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

// fleetProgram is a sidecar with its coordination.Node as a Program.
type fleetProgram struct {
	sidecarProgram
	handler netio.Handler
	node    *coordination.Node
}

// Start implements netio.Handler.
func (p fleetProgram) Start() { p.handler.Start() }

// Open implements netio.Handler.
func (p fleetProgram) Open(c netio.Conn) bool { return p.handler.Open(c) }

// Traffic implements netio.Handler.
func (p fleetProgram) Traffic(c netio.Conn, data []byte) { p.handler.Traffic(c, data) }

// Closed implements netio.Handler.
func (p fleetProgram) Closed(c netio.Conn, err error) { p.handler.Closed(c, err) }

// Alarm implements netio.Handler.
func (p fleetProgram) Alarm() { p.handler.Alarm() }

// Drain implements Program; the node notifies its peers.
func (p fleetProgram) Drain() {
	p.sidecarProgram.Drain()
	p.node.CheckShutdown()
}

// Leftovers implements Program. Connections to peers are not the sidecar's and don't count.
func (p fleetProgram) Leftovers() []Leftover { return p.sidecarProgram.Leftovers() }

const (
	peersPort = "7946"
	fleetName = "day"
)

// peersAddress returns the address at which peers connect to a sidecar.
func peersAddress(s *environment.SidecarSpec) string { return net.JoinHostPort(s.IP, peersPort) }

// fleetFactory returns the Factory of a sidecar that is a member of the day's fleet.
func (d *day) fleetFactory(s *simulatedSidecar) Factory {
	return func(cfg sidecarconfig.Config, loop netio.EventLoop, log *slog.Logger) (Program, error) {
		shared := multiplex.New(loop)
		sc, err := sidecar.New(cfg, featureconfig.Features{}, []sidecar.Frontend{http1.New(cfg, rewrite.Settings{})}, shared.Core(), log)
		if err != nil {
			return nil, err
		}
		s.starts++
		rng := rand.New(rand.NewPCG(d.spec.Seed, uint64(s.number)<<32+uint64(s.starts)))
		var join []string
		for i := range min(3, len(d.sidecars)) {
			join = append(join, peersAddress(&d.sidecars[i].spec))
		}
		links := peers.MaxLinks(d.spec.MaxDescriptors)
		settings := coordination.Settings{Name: fleetName, Listen: peersAddress(&s.spec), Join: join}
		if d.hasRoles && len(join) == 3 {
			settings.Voters, settings.Roles = join, sidecarconfig.Jobs
			sc.EnableRequestStats()
			sc.EnableMaintenance()
		}
		f, err := coordination.New(coordination.Options{MaxLinks: links, Settings: settings, Sidecar: s.spec.Name,
			Self: cfg.Settings.Policy.Self, Replicas: cfg.Settings.Policy.Replicas, RoleHost: sc, RankReceiver: sc, Lists: listRelay{sc, s}, Faults: sc, Servers: sc, MaintenanceOrder: d.maintenanceOrder, Rand: rng, EventLoop: shared.Companion(), Log: log})
		if err != nil {
			return nil, err
		}
		if len(settings.Roles) > 0 {
			sc.SetListObserver(f)
		}
		f.UseStore(simulatedDisk{s, loop, 0.02 * rng.Float64()}, s.state)
		if d.maintenance != nil {
			d.maintenance.restoreRecord(s, f)
		}
		sc.ReserveDescriptors(peers.Descriptors(links))
		s.node = f
		return fleetProgram{sidecarProgram{sc}, shared.Handler(sc, f, f.OwnsConn), f}, nil
	}
}
