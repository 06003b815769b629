package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/coordination"
)

func fleetCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "ops", Usage: "the `ADDRESS` of the sidecar's door", Required: true},
		&cli.BoolFlag{Name: "json", Usage: "as the sidecar says it"}}
	return &cli.Command{Name: "fleet", Usage: "show and move what one sidecar does on behalf of all", Commands: []*cli.Command{
		{Name: "owners", Usage: "show who owns which job", Flags: flags, Action: showFleet("OWNERS", writeOwners)},
		{Name: "electors", Usage: "show who agrees on that", Flags: flags, Action: showFleet("ELECTORS", writeElectors)},
		{Name: "report", Usage: "show how the requests of the whole fleet fare, by class", Flags: flags, Action: showFleet("REPORT", writeReport)},
		{Name: "step-down", Usage: "have a job go to another owner", ArgsUsage: "JOB", Flags: flags[:1:1], Action: stepDown},
		workCommand(flags),
	}}
}

// showFleet asks a door, and has the answer written as a table. A sidecar that can't be reached or does not know ends with 1.
func showFleet[T any](call string, write func(t *tabwriter.Writer, v *T)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		raw, err := askDoor(ctx, c.String("ops"), call)
		if err != nil {
			return err
		}
		if c.Bool("json") {
			_, err := c.Root().Writer.Write(raw)
			return err
		}
		var v T
		if err := json.Unmarshal(raw, &v); err != nil {
			return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
		}
		t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
		write(t, &v)
		return t.Flush()
	}
}

func writeOwners(t *tabwriter.Writer, s *coordination.LeaseStatus) {
	fmt.Fprintln(t, "JOB\tOWNER\tID\tTOKEN\tHERE\tTAKEN\tREFUSED")
	for _, j := range s.Roles {
		owner, here := j.HolderName, ""
		if j.Holder == "" {
			owner = "nobody"
		}
		switch {
		case j.HeldToken != 0:
			here = "owned"
		case j.Capable:
			here = "can"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", j.Role, owner, j.Holder, tokenText(j.Token), here, j.Accepted, j.Rejected)
	}
	switch {
	case s.Epoch == 0:
		fmt.Fprintln(t, "no electors are known yet: all that are named must once be there together")
	case s.Leader == nil:
		fmt.Fprintln(t, "no leader is known")
	}
	if s.IneligibleReason != "" {
		fmt.Fprintf(t, "this sidecar works for no others: it is %s\n", s.IneligibleReason)
	}
}

func writeElectors(t *tabwriter.Writer, s *coordination.LeaseStatus) {
	fmt.Fprintln(t, "NAME\tSTATE\tADDRESS\tID\tLEADS")
	for _, e := range s.Voters {
		leads := ""
		if s.Leader != nil && s.Leader.ID == e.ID {
			leads = "yes"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", e.Name, e.State, e.Address, e.ID, leads)
	}
	fmt.Fprintf(t, "epoch %d, term %d, log %d\n", s.Epoch, s.Term, s.Index)
	if s.Local.PersistFailed {
		fmt.Fprintln(t, "this sidecar does not vote: what it promises can't be kept on its disk")
	}
}

func writeReport(t *tabwriter.Writer, r *coordination.Report) {
	fmt.Fprintln(t, "CLASS\tPER S\tSERVED\tTHROTTLED\tFAILED\tABANDONED\tP50\tP90\tP99\tP99.9\tMAX")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%.1f\t%d\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\n", c.Class, c.RatePerSecond, c.Served, c.Throttled, c.Failed, c.Abandoned,
			c.P50, c.P90, c.P99, c.P999, c.Max)
	}
	missing := ""
	if len(r.Missing) > 0 {
		missing = "; missing: " + strings.Join(r.Missing, " ")
	}
	if r.OmittedMissing > 0 {
		missing += fmt.Sprintf(" and %d more", r.OmittedMissing)
	}
	fmt.Fprintf(t, "%d of %d sidecars, %.1f s ago, by %s under %s%s\n", r.Answered, r.Requested, r.AgeSeconds, r.Holder, tokenText(r.Token), missing)
}

// stepDown asks for another owner.
func stepDown(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fault(fmt.Errorf("step-down: want one job"))
	}
	raw, err := askDoor(ctx, c.String("ops"), "STEPDOWN "+c.Args().First())
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(raw)
	return err
}
