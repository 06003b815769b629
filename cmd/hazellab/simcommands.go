package main

import (
	"errors"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

// errRulesBroken is the error of a command that has found a rule broken, and has said which.
var errRulesBroken = errors.New("a rule was broken")

// simCommands play the sidecar in simulated time.
func simCommands() []*cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Usage: "the `SEED` of the day"}
	script := &cli.StringFlag{Name: "script", Usage: "the `FILE` that holds the day's script, in place of a seed"}
	jobs := &cli.IntFlag{Name: "jobs", Usage: "`N` days at a time", Value: 1}
	core := &cli.StringFlag{Name: "core", Usage: "what is played: sidecar, random or least", Value: "sidecar"}
	boxes := &cli.IntFlag{Name: "boxes", Usage: "`N` boxes at the start of a day, with as much more traffic; 0: 12 to 19"}
	sidecars := &cli.IntFlag{Name: "sidecars", Usage: "`N` sidecars; 0: 3 to 5"}
	together := &cli.StringFlag{Name: "fleet", Usage: "whether sidecars know each other: on, owners (on, with jobs that one does for all), works (owners, with boxes that are worked on), off, apart (off, with the troubles of on), or on a third of the seeds where nothing is said"}
	told := &cli.IntFlag{Name: "told", Usage: "have configurations say that there are `N` sidecars; 0: as many as there are"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}
	speech := &cli.StringFlag{Name: "speech", Usage: "what applications and boxes speak: http, binary or compact", Value: "http"}
	rule := &cli.StringFlag{Name: "rule", Usage: "the `RULE` that is to stay broken; without it the first that breaks"}
	return []*cli.Command{
		{Name: "sim", Usage: "play days in simulated time and judge them", Action: simulate, Flags: []cli.Flag{seed, script, jobs, core, speech, asJSON,
			&cli.StringFlag{Name: "seeds", Usage: "the `RANGE` of seeds, as 1-10000"},
			boxes, sidecars, together, told,
			&cli.BoolFlag{Name: "by-second", Usage: "print what boxes and discovery are asked in each second"},
			&cli.BoolFlag{Name: "trace", Usage: "print what happens, one line a step"},
			&cli.BoolFlag{Name: "each", Usage: "print a line for each day"},
			&cli.BoolFlag{Name: "first", Usage: "stop at the first day that breaks a rule"},
			&cli.BoolFlag{Name: "quiet-days", Usage: "play the days without their troubles"},
			&cli.FloatFlag{Name: "batch", Usage: "have a batch come beside the applications' requests, at `N` times its share"},
			&cli.BoolFlag{Name: "quotas", Usage: "have the sidecars hold groups to their quotas"},
			&cli.BoolFlag{Name: "show-script", Usage: "print the script of the seed and play nothing"}}},
		endpointListsCommand(sidecars, boxes, together, core, speech, told),
		{Name: "shrink", Usage: "find a smaller day that breaks the same rule", Action: shrink, Flags: []cli.Flag{seed, script, core, speech, rule,
			&cli.StringFlag{Name: "out", Usage: "the `FILE` for the smallest script; without it, standard output"},
			&cli.IntFlag{Name: "budget", Usage: "play `N` days at most", Value: 400}}},
		{Name: "mutants", Usage: "break the program in many ways and see whether the rules notice", Action: runMutants, Flags: []cli.Flag{jobs, asJSON,
			&cli.StringFlag{Name: "dir", Usage: "the `DIR` of the patches", Value: sim.MutantsDir},
			&cli.StringSliceFlag{Name: "only", Usage: "a `PART` of the names of those to try; may be given again"},
			&cli.Uint64Flag{Name: "last", Usage: "the last `SEED` that is played; the first is 1", Value: 100}}},
	}
}
