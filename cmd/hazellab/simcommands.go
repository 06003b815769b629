package main

import (
	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

// simCommands run the sidecar in simulated time.
func simCommands() []*cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Usage: "the `SEED` of the day"}
	script := &cli.StringFlag{Name: "script", Usage: "the `FILE` that holds the day's script, in place of a seed"}
	jobs := &cli.IntFlag{Name: "jobs", Usage: "`N` days at a time", Value: 1}
	core := &cli.StringFlag{Name: "core", Usage: "the balancer: sidecar, random or least", Value: "sidecar"}
	boxes := &cli.IntFlag{Name: "boxes", Usage: "`N` servers at the start of a day, with traffic in proportion; 0: 12 to 19"}
	sidecars := &cli.IntFlag{Name: "sidecars", Usage: "`N` sidecars; 0: 3 to 5"}
	fleetMode := &cli.StringFlag{Name: "fleet", Usage: "whether the sidecars form a fleet: on, owners (on, with singleton roles), works (owners, with maintenance of servers), off, apart (off, with the faults of on); default: on a third of the seeds"}
	configuredSidecars := &cli.IntFlag{Name: "told", Usage: "set the number of sidecars in the configurations to `N`; 0: as many as there are"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}
	protocol := &cli.StringFlag{Name: "speech", Usage: "the protocol of applications and servers: http, binary or compact", Value: "http"}
	rule := &cli.StringFlag{Name: "rule", Usage: "the `RULE` whose violation is kept; default: the first that is violated"}
	return []*cli.Command{
		{Name: "sim", Usage: "run days in simulated time and check the invariants", Action: simulate, Flags: []cli.Flag{seed, script, jobs, core, protocol, asJSON,
			&cli.StringFlag{Name: "seeds", Usage: "the `RANGE` of seeds, as 1-10000"},
			boxes, sidecars, fleetMode, configuredSidecars,
			&cli.BoolFlag{Name: "by-second", Usage: "print the load of servers and discovery in each second"},
			&cli.BoolFlag{Name: "trace", Usage: "print what happens, one line a step"},
			&cli.BoolFlag{Name: "each", Usage: "print a line for each day"},
			&cli.BoolFlag{Name: "first", Usage: "stop at the first day that violates an invariant"},
			&cli.BoolFlag{Name: "quiet-days", Usage: "run the days without their faults"},
			&cli.FloatFlag{Name: "batch", Usage: "add a batch client at `N` times its quota share"},
			&cli.BoolFlag{Name: "quotas", Usage: "enforce the quotas of groups"},
			&cli.BoolFlag{Name: "show-script", Usage: "print the script of the seed and run nothing"}}},
		endpointListsCommand(sidecars, boxes, fleetMode, core, protocol, configuredSidecars),
		{Name: "shrink", Usage: "find a smaller day that violates the same invariant", Action: shrink, Flags: []cli.Flag{seed, script, core, protocol, rule,
			&cli.StringFlag{Name: "out", Usage: "the `FILE` for the smallest script; without it, standard output"},
			&cli.IntFlag{Name: "budget", Usage: "run `N` days at most", Value: 400}}},
		{Name: "mutants", Usage: "apply patches that break the program, and check that the invariants catch each", Action: runMutants, Flags: []cli.Flag{jobs, asJSON,
			&cli.StringFlag{Name: "dir", Usage: "the `DIR` of the patches", Value: sim.MutantsDir},
			&cli.StringSliceFlag{Name: "only", Usage: "a `PART` of the names of those to try; may be given again"},
			&cli.Uint64Flag{Name: "last", Usage: "the last `SEED` that is run; the first is 1", Value: 100}}},
	}
}
