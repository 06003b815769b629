package sim

import (
	"log/slog"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecarconfig"
)

// Program is a sidecar as a day needs it.
type Program interface {
	netio.Handler
	// Do calls f on the program's loop, with what follows from it.
	Do(f func())
	// Drain has the program end once all that it has taken is answered.
	Drain()
	// Reload gives it a new configuration, or the error that came of reading it.
	Reload(cfg sidecarconfig.Config, err error)
	// Offline and Online are the operators' calls to take a server out and to give it back.
	CordonServer(server string) error
	UncordonServer(server string) error
	// Held says what the program holds, by name; a program at rest holds nothing.
	Leftovers() []Leftover
}

// Holding is a number of things that a program holds.
type Leftover struct {
	Name  string
	Count int
}

// Core returns a program that has not begun, on its network.
type Factory func(cfg sidecarconfig.Config, net netio.EventLoop, log *slog.Logger) (Program, error)
