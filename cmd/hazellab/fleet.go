package main

import (
	"context"
	"encoding/json"
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
		Usage: "play a fleet of sidecars that know each other, as processes with troubles between them, and judge it from outside",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "sidecars", Usage: "`N` processes", Value: 7},
			&cli.IntFlag{Name: "boxes", Usage: "`N` boxes", Value: 6},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the world"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long clients ask"},
			&cli.StringFlag{Name: "script", Usage: "the `FILE` that holds the troubles"},
			&cli.BoolFlag{Name: "draw", Usage: "draw the troubles from the seed"},
			&cli.StringSliceFlag{Name: "jobs", Usage: "the `JOBS` that one sidecar does on behalf of all: list, report, drill, works"},
			&cli.FloatFlag{Name: "load", Usage: "the `PART` of the boxes' capacity that clients ask for; default: drawn"},
			&cli.StringFlag{Name: "plan", Usage: "the `FILE` of a plan of work on boxes, which is given once all know each other; sites = [\"*\"] are all sites"},
			&cli.BoolFlag{Name: "hand", Usage: "with --plan: a script calls OFFLINE and ONLINE at all doors, box by box, with fixed waits"},
			&cli.IntFlag{Name: "trials", Usage: "have whoever owns the first of --jobs, or leads the electors, taken away `N` times, in place of other troubles"},
			&cli.IntFlag{Name: "fleets", Usage: "with --trials: `N` fleets beside each other, of 5 to 9 sidecars where --sidecars says nothing", Value: 1},
			&cli.StringFlag{Name: "other", Usage: "the `FILE` of another version, which the last sidecars run, without jobs"},
			&cli.BoolFlag{Name: "others-own", Usage: "with --other: they do jobs and elect, too"},
			&cli.IntFlag{Name: "others", Usage: "with --other: the last `N` sidecars", Value: 1},
			&cli.BoolFlag{Name: "show-script", Usage: "print the troubles and play nothing"},
			&cli.BoolFlag{Name: "simulated", Usage: "play the same fleet and troubles in simulated time, with no process"},
			&cli.BoolFlag{Name: "trace", Usage: "with --simulated: print what happens, one line a step"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a picture, an SVG: who was there, and who was held for alive"},
			&cli.StringFlag{Name: "binary", Usage: "hazelwheel's `FILE`; default: beside this program"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for what the sidecars say"},
		},
		Action: runFleet,
	}
}

func runFleet(ctx context.Context, c *cli.Command) error {
	s := processcluster.Settings{Sidecars: c.Int("sidecars"), Servers: c.Int("boxes"), Seed: c.Uint64("seed"), Duration: c.Duration("for"), DrawFaults: c.Bool("draw"),
		Roles: c.StringSlice("jobs"), Load: c.Float("load"), Trials: c.Int("trials"), OtherBinary: c.String("other")}
	if err := readMaintenancePlan(c, &s); err != nil {
		return err
	}
	if s.Trials > 0 && !c.IsSet("for") {
		s.Duration = time.Hour
	}
	if s.OtherBinary != "" {
		s.OtherCount, s.OthersHaveRoles = c.Int("others"), c.Bool("others-own")
	}
	switch {
	case s.Load < 0 || s.Load > 2:
		return usageError(fmt.Errorf("load: %g is not 0 to 2", s.Load))
	case s.Sidecars < 1 || s.Sidecars > 400:
		return usageError(fmt.Errorf("sidecars: %d is not 1 to 400", s.Sidecars))
	case s.Servers < 3 || s.Servers > 500:
		return usageError(fmt.Errorf("boxes: %d is not 3 to 500", s.Servers))
	case s.Duration < 5*time.Second || s.Duration > time.Hour:
		return usageError(fmt.Errorf("for: %v is not 5s to 1h", s.Duration))
	case len(s.Roles) > 0 && s.Sidecars < 3:
		return usageError(errors.New("jobs: there must be three sidecars at least, which agree on who owns them"))
	case slices.ContainsFunc(s.Roles, func(name string) bool { return !slices.Contains(sidecarconfig.Jobs, name) }):
		return usageError(fmt.Errorf("jobs: want some of %v", sidecarconfig.Jobs))
	case s.Trials > 0 && (len(s.Roles) == 0 || s.DrawFaults || c.String("script") != "" || c.Bool("simulated")):
		return usageError(errors.New("trials: want --jobs, and neither --draw, --script nor --simulated"))
	case c.Int("fleets") < 1 || c.Int("fleets") > 16:
		return usageError(fmt.Errorf("fleets: %d is not 1 to 16", c.Int("fleets")))
	case s.OtherBinary != "" && (s.OtherCount < 1 || s.OtherCount >= s.Sidecars || len(s.Roles) > 0 && !s.OthersHaveRoles && s.Sidecars-s.OtherCount < 3):
		return usageError(errors.New("others: want 1 to one less than there are sidecars; three more with --jobs"))
	case s.DrawFaults && c.String("script") != "":
		return usageError(errors.New("give one of --script and --draw"))
	}
	if path := c.String("script"); path != "" {
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
	}
	if c.Bool("show-script") {
		script := s.DrawScript()
		text, err := script.Format()
		if err != nil {
			return err
		}
		_, err = c.Root().Writer.Write(text)
		return err
	}
	if c.Bool("simulated") {
		return simulateFleet(c, &s)
	}
	var err error
	if s.Binary, err = sidecarBinary(c.String("binary")); err != nil {
		return err
	}
	if _, err := os.Stat(s.Binary); err != nil {
		return usageError(err)
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
		defer func() { _ = f.Close() }() // a log, beside which nothing depends on it
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
	r, err := processcluster.Run(ctx, s)
	if err != nil {
		return err
	}
	if path := c.String("picture"); path != "" {
		draw := r.WriteMembershipPlot
		if r.Maintenance != nil {
			draw = r.WriteMaintenancePlot
		}
		if err := draw(path); err != nil {
			return err
		}
	}
	out := c.Root().Writer
	if c.Bool("json") {
		raw, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(raw))
	} else {
		for _, f := range r.Violations {
			fmt.Fprintf(out, "%7.2f s  %-12s %-6s %s\n", f.AtSeconds, f.Rule, f.Sidecar, f.Reason)
		}
		fmt.Fprintf(out, "%d troubles; %.3f of the worth served in time; %d views asked for; %.0f bytes a second between peers, of each\n",
			len(r.Faults), r.Service, r.Views, r.PeerBytesPerSecond)
		fmt.Fprintf(out, "all agreed after %s; one that went was known after %s; the laboratory was %.2f s late at most\n", formatSpread(r.AgreedSeconds), formatSpread(r.DetectedSeconds), r.LoopLateSeconds)
		if o := r.Roles; o != nil {
			fmt.Fprintf(out, "%d grants; %d effects on the wire, %d of them under a token that was not the greatest any more; %d refusals\n", o.Grants, o.Effects, o.Stale, o.Rejected)
			fmt.Fprintf(out, "without an owner for %s, as the doors tell each quarter of a second\n", formatSpread(o.WithoutOwnerSeconds))
		}
		if r.Maintenance != nil {
			printMaintenance(out, r.Maintenance)
		}
		fmt.Fprintf(out, "fleet: %d sidecars, %d rules broken\n", r.Sidecars, r.ViolationCount)
	}
	if r.Maintenance != nil && r.Maintenance.Error != "" {
		return usageError(fmt.Errorf("plan: %s", r.Maintenance.Error))
	}
	if r.ViolationCount > 0 {
		return errRulesBroken
	}
	return nil
}

// readMaintenancePlan reads the plan, if one is named.
func readMaintenancePlan(c *cli.Command, s *processcluster.Settings) error {
	path := c.String("plan")
	if path == "" && c.Bool("hand") {
		return usageError(errors.New("hand: there is no plan"))
	} else if path == "" {
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
	if slices.Equal(spec.Sites, []string{"*"}) {
		spec.Sites = environment.Draw(s.Seed, s.Ranges()).Sites
	}
	s.Maintenance = &processcluster.Maintenance{Spec: spec, Scripted: c.Bool("hand")}
	if !slices.Contains(s.Roles, "works") {
		s.Roles = append(s.Roles, "works")
	}
	return nil
}
