package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/processcluster"
	"hazelwheel/internal/maintenanceplan"
	"hazelwheel/internal/sidecarconfig"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "run a fleet of sidecars as processes with faults between them, and check the invariants from outside",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "sidecars", Usage: "`N` processes", Value: 7},
			&cli.IntFlag{Name: "boxes", Usage: "`N` servers", Value: 6},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of the environment"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long clients send requests"},
			&cli.StringFlag{Name: "script", Usage: "the `FILE` of a script of faults"},
			&cli.BoolFlag{Name: "draw", Usage: "draw the faults from the seed"},
			&cli.StringSliceFlag{Name: "jobs", Usage: "the singleton roles `JOBS`, some of list, report, drill, works"},
			&cli.FloatFlag{Name: "load", Usage: "the load as a `PART` of the servers' capacity; default: drawn"},
			&cli.StringFlag{Name: "plan", Usage: "the `FILE` of a maintenance plan, submitted once all sidecars know each other; sites = [\"*\"] are all sites"},
			&cli.BoolFlag{Name: "hand", Usage: "with --plan: a script sends OFFLINE and ONLINE to all admin endpoints, server by server, with fixed delays"},
			&cli.IntFlag{Name: "trials", Usage: "stop the owner of the first of --jobs, or the voters' leader, `N` times, in place of other faults"},
			&cli.IntFlag{Name: "fleets", Usage: "with --trials: `N` fleets at a time, of 5 to 9 sidecars without --sidecars", Value: 1},
			&cli.StringFlag{Name: "other", Usage: "the program `FILE` of another version, which the last sidecars run, without roles"},
			&cli.BoolFlag{Name: "others-own", Usage: "with --other: they own roles and vote, too"},
			&cli.IntFlag{Name: "others", Usage: "with --other: the last `N` sidecars", Value: 1},
			&cli.BoolFlag{Name: "show-script", Usage: "print the script of the faults and run nothing"},
			&cli.BoolFlag{Name: "simulated", Usage: "run the same fleet and faults in simulated time, without processes"},
			&cli.BoolFlag{Name: "trace", Usage: "with --simulated: print what happens, one line a step"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a plot, an SVG: the live members and the membership that each sidecar had"},
			&cli.StringFlag{Name: "binary", Usage: "hazelwheel's `FILE`; default: beside this program"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for the sidecars' output"},
		},
		Action: runFleet,
	}
}

// runFleet runs a fleet as processes, or with --simulated in simulated time, and prints its violations and figures.
func runFleet(ctx context.Context, c *cli.Command) error {
	s, err := fleetSettings(c)
	if err != nil {
		return err
	}
	if c.Bool("show-script") {
		script := s.DrawScript()
		return writeScript(c.Root().Writer, &script)
	}
	if c.Bool("simulated") {
		return simulateFleet(c, &s)
	}
	if s.Binary, err = sidecarBinary(c.String("binary")); err != nil {
		return err
	}
	if s.OtherBinary != "" {
		if s.OtherBinary, err = filepath.Abs(s.OtherBinary); err != nil {
			return err
		}
		if _, err := os.Stat(s.OtherBinary); err != nil {
			return usageError(err)
		}
	}
	if path := c.String("log"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // a lost end of the log harms nothing
		s.Log = f
	}
	if s.Dir, err = os.MkdirTemp("", "hazellab"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(s.Dir) }() // temporary
	ctx, stop := signalContext(ctx)
	defer stop()
	if s.Trials > 0 {
		return runTrials(ctx, c, s)
	}
	report, err := processcluster.Run(ctx, s)
	if err != nil {
		return err
	}
	return writeFleetReport(c, report)
}

// fleetSettings returns the settings that the flags give, without those of a run: the programs, the log and the folder. Its errors are
// usage errors.
func fleetSettings(c *cli.Command) (processcluster.Settings, error) {
	s := processcluster.Settings{Sidecars: c.Int("sidecars"), Servers: c.Int("boxes"), Seed: c.Uint64("seed"), Duration: c.Duration("for"),
		DrawFaults: c.Bool("draw"), Roles: c.StringSlice("jobs"), Load: c.Float("load"), Trials: c.Int("trials"), OtherBinary: c.String("other")}
	if err := readMaintenancePlan(c, &s); err != nil {
		return s, err
	}
	if s.Trials > 0 && !c.IsSet("for") {
		s.Duration = maxFleetDuration // the run ends with the last trial
	}
	if s.OtherBinary != "" {
		s.OtherCount, s.OthersHaveRoles = c.Int("others"), c.Bool("others-own")
	}
	if err := validateFleet(c, &s); err != nil {
		return s, usageError(err)
	}
	return s, readFleetScript(c, &s)
}

// Limits of a fleet's settings.
const (
	maxFleetLoad       = 2 // of the servers' capacity
	maxFleetSidecars   = 400
	minFleetServers    = 3
	maxFleetServers    = 500
	minFleetDuration   = 5 * time.Second
	maxFleetDuration   = time.Hour
	minVoters          = 3
	maxFleetsAtATime   = 16
	maintenanceRole    = "works"
	allSitesOfTheFleet = "*"
)

// validateFleet returns an error that names the first flag whose value is out of range or does not go with others.
func validateFleet(c *cli.Command, s *processcluster.Settings) error {
	isUnknownRole := func(name string) bool { return !slices.Contains(sidecarconfig.Jobs, name) }
	hasScript := c.String("script") != ""
	switch {
	case s.Load < 0 || s.Load > maxFleetLoad:
		return fmt.Errorf("load: %g is not 0 to %d", s.Load, maxFleetLoad)
	case s.Sidecars < 1 || s.Sidecars > maxFleetSidecars:
		return fmt.Errorf("sidecars: %d is not 1 to %d", s.Sidecars, maxFleetSidecars)
	case s.Servers < minFleetServers || s.Servers > maxFleetServers:
		return fmt.Errorf("boxes: %d is not %d to %d", s.Servers, minFleetServers, maxFleetServers)
	case s.Duration < minFleetDuration || s.Duration > maxFleetDuration:
		return fmt.Errorf("for: %v is not 5s to 1h", s.Duration)
	case len(s.Roles) > 0 && s.Sidecars < minVoters:
		return errors.New("jobs: there must be three sidecars at least, which agree on who owns them")
	case slices.ContainsFunc(s.Roles, isUnknownRole):
		return fmt.Errorf("jobs: want some of %v", sidecarconfig.Jobs)
	case s.Trials > 0 && (len(s.Roles) == 0 || s.DrawFaults || hasScript || c.Bool("simulated")):
		return errors.New("trials: want --jobs, and neither --draw, --script nor --simulated")
	case c.Int("fleets") < 1 || c.Int("fleets") > maxFleetsAtATime:
		return fmt.Errorf("fleets: %d is not 1 to %d", c.Int("fleets"), maxFleetsAtATime)
	case s.OtherBinary != "" && (s.OtherCount < 1 || s.OtherCount >= s.Sidecars || len(s.Roles) > 0 && !s.OthersHaveRoles && s.Sidecars-s.OtherCount < minVoters):
		return errors.New("others: want 1 to one less than there are sidecars; three more with --jobs")
	case s.DrawFaults && hasScript:
		return errors.New("give one of --script and --draw")
	}
	return nil
}

// readFleetScript reads the script of the faults, if one is named. Its seed replaces that of the flags.
func readFleetScript(c *cli.Command, s *processcluster.Settings) error {
	path := c.String("script")
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError(err)
	}
	read := environment.ReadRealScript
	if c.Bool("simulated") {
		read = environment.ReadScript
	}
	if s.Script, err = read(path, text, s.Ranges()); err != nil {
		return usageError(err)
	}
	s.Seed = s.Script.Seed
	return nil
}

// readMaintenancePlan reads the maintenance plan, if one is named, and adds the role that it needs. Its errors are usage errors.
func readMaintenancePlan(c *cli.Command, s *processcluster.Settings) error {
	path := c.String("plan")
	switch {
	case path == "" && c.Bool("hand"):
		return usageError(errors.New("hand: there is no plan"))
	case path == "":
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError(err)
	}
	spec, err := maintenanceplan.Parse(path, text, time.Now())
	if err != nil {
		return usageError(err)
	}
	if slices.Equal(spec.Sites, []string{allSitesOfTheFleet}) {
		spec.Sites = environment.Draw(s.Seed, s.Ranges()).Sites
	}
	s.Maintenance = &processcluster.Maintenance{Spec: spec, Scripted: c.Bool("hand")}
	if !slices.Contains(s.Roles, maintenanceRole) {
		s.Roles = append(s.Roles, maintenanceRole)
	}
	return nil
}
