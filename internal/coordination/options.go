package coordination

import (
	"log/slog"
	"math/rand/v2"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecar"
)

// Settings are the operators' settings of the fleet (keys fleet.*).
type Settings struct {
	Name      string   // of the fleet; only sidecars of the same fleet are linked. Empty: coordination is off
	Listen    string   // host:port on which links of peers are accepted
	Advertise string   // host:port that peers dial; empty: Listen
	Join      []string // addresses of the first peers to dial
	Dir       string   // directory of the state that must survive a restart; empty: each start is a new member
	Voters    []string // addresses of the initial voters; empty: there are no singleton roles
	Roles     []string // singleton roles that this sidecar can hold
}

// IsEnabled reports whether the sidecar is a member of a fleet.
func (s *Settings) IsEnabled() bool { return s.Name != "" }

// StateSaver persists the state of a Node. Save returns at once. It calls done on the event loop, with nil once the data is synced to
// disk or with the error. Calls of done are in the order of the calls of Save.
type StateSaver interface {
	Save(data []byte, done func(error))
}

// Options configure a Node.
type Options struct {
	Settings
	Sidecar          string // name of this sidecar
	Self, Replicas   int    // rank and count of the configuration, used until the membership is known
	MaxLinks         int    // maximum number of links to peers
	Replaceable      bool   // a hot restart may transfer this process's identity and address to another process
	RoleHost         sidecar.RoleHost
	RankReceiver     sidecar.RankReceiver
	Lists            sidecar.ListReceiver      // needed for the role "list"
	Faults           sidecar.FaultRunner       // needed for the role "drill"
	Servers          sidecar.MaintainedServers // needed for the role "works"
	MaintenanceOrder maintenance.Order         // in which servers are drained; production uses the zero value
	Rand             *rand.Rand                // the only source of randomness
	EventLoop        netio.EventLoop
	Log              *slog.Logger
}
