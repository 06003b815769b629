package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a router fleet as processes under overlapping signals, kills, lost disks and changes, and check the invariants from outside",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`N` runs, one after the other"},
			&cli.FloatFlag{Name: "minutes", Value: 1, Usage: "how long faults are injected"},
			&cli.IntFlag{Name: "processes", Value: 15, Usage: "`N` processes at most"},
			&cli.BoolFlag{Name: "beside", Usage: "run control within agents, on machines with a proxy"},
			&cli.StringFlag{Name: "binary", Usage: "hazelfleet's `FILE`; default: beside this program"},
			&cli.StringFlag{Name: "other", Usage: "an earlier version's `FILE`, which agents and control run at about every other start"},
			&cli.StringFlag{Name: "mutant", Usage: "run a program with the fault `NAME` instead, and fail where its check finds nothing; within the repository"},
			&cli.StringFlag{Name: "report", Usage: "the `FILE` for the reports, one JSON object a line"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for the output of the processes"},
		},
		Action: runSoak,
	}
}

// runSoak runs the seeds one after the other and prints the report of each. It fails where a run violated an invariant.
func runSoak(ctx context.Context, c *cli.Command) error {
	settings := soak.Settings{Seed: c.Uint64("seed"), FaultDuration: time.Duration(c.Float("minutes") * float64(time.Minute)), Processes: c.Int("processes"),
		Binary: c.String("binary"), OtherBinary: c.String("other"), ControlInAgents: c.Bool("beside")}
	mutant, err := buildMutant(c.String("mutant"), &settings)
	if err != nil {
		return usageError(err)
	}
	if settings.Binary == "" {
		if settings.Binary, err = siblingProgram("hazelfleet"); err != nil {
			return err
		}
	}
	if err := settings.Validate(); err != nil {
		return usageError(err)
	}
	if name := c.String("log"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return usageError(err)
		}
		defer func() { _ = file.Close() }() // a lost end of the log harms nothing
		settings.Log = file
	}
	// Danger: an uncaught signal would end this program and leave its processes running.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	failedRuns := 0
	for range c.Int("seeds") {
		report, err := soak.Run(ctx, settings)
		if err != nil {
			return err
		}
		fmt.Print(report)
		if err := appendReport(c.String("report"), report); err != nil {
			return err
		}
		_, isFound := report.Violations[mutant.Rule]
		if mutant.Name != "" && !isFound || mutant.Name == "" && len(report.Violations) > 0 {
			failedRuns++
		}
		settings.Seed++
	}
	if failedRuns > 0 && mutant.Name != "" {
		return fmt.Errorf("%d of %d runs with the mutant %s did not break the rule %s", failedRuns, c.Int("seeds"), mutant.Name, mutant.Rule)
	}
	if failedRuns > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", failedRuns, c.Int("seeds"))
	}
	return nil
}

// buildMutant builds the program with a named fault, for settings to run, and returns the mutant; without a name the zero value, and nothing is
// built. The program stays in the system's temporary folder for as long as the runs last.
func buildMutant(name string, settings *soak.Settings) (soak.Mutant, error) {
	if name == "" {
		return soak.Mutant{}, nil
	}
	mutant, err := soak.FindMutant(name)
	if err != nil {
		return soak.Mutant{}, err
	}
	dir, err := os.MkdirTemp("", "soak-mutant-")
	if err != nil {
		return soak.Mutant{}, err
	}
	settings.Binary, err = mutant.Build(dir)
	return *mutant, err
}

// appendReport appends a report to a file as one line of JSON, if a file is named.
func appendReport(name string, report *soak.Result) error {
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(file).Encode(report), file.Close())
}
