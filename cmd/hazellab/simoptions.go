package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/environment"
	"hazelwheel/internal/sim"
)

// simOptions returns the options of the simulation that the flags give.
func simOptions(c *cli.Command) (sim.Options, error) {
	o := sim.Options{Servers: c.Int("boxes"), Sidecars: c.Int("sidecars"), FleetMode: sim.FleetMode(c.String("fleet"))}
	if o.Sidecars != 0 && (o.Sidecars < 1 || o.Sidecars > 1000) {
		return o, usageError(fmt.Errorf("sidecars: %d is not 1 to 1000", o.Sidecars))
	}
	if o.ConfiguredSidecars = c.Int("told"); o.ConfiguredSidecars < 0 || o.ConfiguredSidecars > 10000 {
		return o, usageError(fmt.Errorf("told: %d is not 0 to 10000", o.ConfiguredSidecars))
	}
	if o.FleetMode != sim.FleetBySeed && o.FleetMode != sim.FleetOn && o.FleetMode != sim.FleetOff && o.FleetMode != sim.FleetFaultsOnly && o.FleetMode != sim.FleetWithRoles &&
		o.FleetMode != sim.FleetWithMaintenance {
		return o, usageError(fmt.Errorf("fleet: %q is none of on, off, apart, owners, works", o.FleetMode))
	}
	if o.Servers != 0 && (o.Servers < 12 || o.Servers > 2000) {
		return o, usageError(fmt.Errorf("boxes: %d is not 12 to 2000", o.Servers))
	}
	core, ok := sim.Factories[c.String("core")]
	if !ok {
		return o, usageError(fmt.Errorf("core: %q is none of sidecar, random, least", c.String("core")))
	}
	o.Factory, o.Protocol = core, environment.Protocol(c.String("speech"))
	switch {
	case !slices.Contains(environment.Protocols, o.Protocol):
		return o, usageError(fmt.Errorf("speech: %q is none of http, binary, compact", o.Protocol))
	case o.Protocol.IsThrift() && c.String("core") != "sidecar":
		return o, usageError(errors.New("speech: only the sidecar speaks Thrift"))
	case o.Protocol.IsThrift():
		o.Factory = sim.NewThriftSidecar
	}
	o.BatchFactor, o.Quotas = c.Float("batch"), c.Bool("quotas")
	if o.Protocol.IsThrift() && (o.BatchFactor > 0 || o.Quotas) {
		return o, usageError(errors.New("speech: batches and quotas are played over HTTP"))
	}
	if o.BatchFactor < 0 || o.BatchFactor > 100 {
		return o, usageError(fmt.Errorf("batch: want 0 to 100, not %g", o.BatchFactor))
	}
	return o, nil
}

// protocolFlag returns the flag by which a command repeats the protocol of a day, with a space before it; "" for HTTP, the default.
func protocolFlag(o sim.Options) string {
	if o.Protocol.IsThrift() {
		return " --speech " + string(o.Protocol)
	}
	return ""
}

// selectedScript returns the script of --script or --seed, and the flags by which a command repeats it.
func selectedScript(c *cli.Command, o sim.Options) (environment.Script, string, error) {
	file := c.String("script")
	switch {
	case (file == "") == !c.IsSet("seed"):
		return environment.Script{}, "", usageError(errors.New("give one of --seed and --script"))
	case file == "":
		return o.DrawScript(c.Uint64("seed")), "--seed " + strconv.FormatUint(c.Uint64("seed"), 10) + protocolFlag(o), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return environment.Script{}, "", usageError(err)
	}
	s, err := environment.ReadScript(file, text, o.Ranges())
	if err != nil {
		return environment.Script{}, "", usageError(err)
	}
	return *s, "--script " + file + protocolFlag(o), nil
}

// wrapScriptError makes the error of an invalid script a usage error.
func wrapScriptError(err error) error {
	if errors.Is(err, sim.ErrInvalidScript) {
		return usageError(err)
	}
	return err
}
