package sim

import (
	"log/slog"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecarconfig"
)

// Program is what a day plays as a sidecar. Its methods but Do are for its event loop; Do may be called from the simulation's
// goroutine.
type Program interface {
	netio.Handler
	// Do calls f on the program's event loop and then does what follows from it.
	Do(f func())
	// Drain starts a graceful shutdown: the program stops once all accepted requests are answered.
	Drain()
	// Reload applies a new configuration, or reports the error of parsing it.
	Reload(cfg sidecarconfig.Config, err error)
	// CordonServer and UncordonServer are the operators' commands.
	CordonServer(server string) error
	UncordonServer(server string) error
	// Leftovers returns the resources in use beyond those of an idle program, by name.
	Leftovers() []Leftover
}

// Leftover is a number of resources of one kind that are still in use.
type Leftover struct {
	Name  string
	Count int
}

// Factory returns a program that has not been started, on an event loop.
type Factory func(cfg sidecarconfig.Config, net netio.EventLoop, log *slog.Logger) (Program, error)
