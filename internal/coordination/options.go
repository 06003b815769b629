package coordination

import (
	"log/slog"
	"math/rand/v2"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecar"
)

// Settings say how a sidecar is found and whom it looks for.
type Settings struct {
	Name      string   // of the fleet; empty: the sidecar knows no other
	Listen    string   // address and port for peers
	Advertise string   // where peers dial it; empty: Listen
	Join      []string // addresses to begin with
	Dir       string   // for what must survive a restart; empty: each start is a new process
	Electors  []string // addresses of those that agree on who owns which job; empty: nobody owns any
	Jobs      []string // that this sidecar can do on behalf of all
}

// IsEnabled tells whether the sidecar looks for peers.
func (s *Settings) IsEnabled() bool { return s.Name != "" }

// StateStore keeps the state. What Save was given is on disk, synced, when done is called with nil, on the loop.
type StateStore interface {
	Save(data []byte, done func(error))
}

// Options are what a fleet is made of.
type Options struct {
	Settings
	Sidecar          string // its name
	Self, Replicas   int    // by the configuration
	MaxLinks         int    // that there may be to peers
	Replaceable      bool   // another process may take this one's place, with its identity and address
	Host             sidecar.Asked
	Placement        sidecar.Placed
	Lists            sidecar.Lists     // for the job "list" alone
	Faults           sidecar.Drills    // for the job "drill" alone
	Servers          sidecar.Boxes     // for the job "works" alone
	MaintenanceOrder maintenance.Order // which box leaves next; others than the first are there to be weighed
	Rand             *rand.Rand
	Net              netio.Net
	Log              *slog.Logger
}
