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

// known is a sidecar with its fleet, as a Program.
type fleetProgram struct {
	core
	handler netio.Handler
	node    *coordination.Node
}

func (p fleetProgram) Start() { p.handler.Start() }

func (p fleetProgram) Open(c netio.Conn) bool { return p.handler.Open(c) }

func (p fleetProgram) Traffic(c netio.Conn, data []byte) { p.handler.Traffic(c, data) }

func (p fleetProgram) Closed(c netio.Conn, err error) { p.handler.Closed(c, err) }

func (p fleetProgram) Alarm() { p.handler.Alarm() }

// Drain has the others told, too.
func (p fleetProgram) Drain() {
	p.core.Drain()
	p.node.CheckShutdown()
}

// Held leaves out the links to peers, which are none of the sidecar's.
func (p fleetProgram) Leftovers() []Leftover { return p.core.Leftovers() }

const (
	peersPort = "7946"
	fleetName = "day"
)

// peersAddress is where the others of its fleet reach a sidecar.
func peersAddress(s *environment.SidecarSpec) string { return net.JoinHostPort(s.IP, peersPort) }

// withFleet returns the Core of a sidecar that knows the others of its day.
func (d *day) fleetFactory(s *instance) Factory {
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
		return fleetProgram{core{sc}, shared.Handler(sc, f, f.OwnsConn), f}, nil
	}
}
