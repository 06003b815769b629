package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/coordination"
)

func fleetCommand() *cli.Command {
	flags := adminFlags()
	return &cli.Command{Name: "fleet", Usage: "show and move the singleton roles of a fleet of sidecars", Commands: []*cli.Command{
		{Name: "owners", Usage: "show which sidecar owns which role", Flags: flags, Action: showStatus("OWNERS", writeRoles)},
		{Name: "electors", Usage: "show the voters that grant the roles' leases", Flags: flags, Action: showStatus("ELECTORS", writeVoters)},
		{Name: "report", Usage: "show request counts and latencies of the whole fleet, by class", Flags: flags, Action: showStatus("REPORT", writeReport)},
		{Name: "step-down", Usage: "have the owner of a role release it", ArgsUsage: "JOB", Flags: flags[:1:1], Action: stepDown},
		maintenanceCommand(flags),
	}}
}

// writeRoles writes who owns each role, and why the replying sidecar or the whole fleet can't take one.
func writeRoles(t *tabwriter.Writer, s *coordination.LeaseStatus) {
	fmt.Fprintln(t, "JOB\tOWNER\tID\tTOKEN\tHERE\tTAKEN\tREFUSED")
	for _, role := range s.Roles {
		owner, here := role.HolderName, ""
		if role.Holder == "" {
			owner = "nobody"
		}
		switch {
		case role.HeldToken != 0:
			here = "owned"
		case role.Capable:
			here = "can"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", role.Role, owner, role.Holder, formatToken(role.Token), here, role.Accepted, role.Rejected)
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

// writeVoters writes the voters, then the position of the replying sidecar's log.
func writeVoters(t *tabwriter.Writer, s *coordination.LeaseStatus) {
	fmt.Fprintln(t, "NAME\tSTATE\tADDRESS\tID\tLEADS")
	for _, voter := range s.Voters {
		leads := ""
		if s.Leader != nil && s.Leader.ID == voter.ID {
			leads = "yes"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", voter.Name, voter.State, voter.Address, voter.ID, leads)
	}
	fmt.Fprintf(t, "epoch %d, term %d, log %d\n", s.Epoch, s.Term, s.Index)
	if s.Local.PersistFailed {
		fmt.Fprintln(t, "this sidecar does not vote: what it promises can't be kept on its disk")
	}
}

// writeReport writes the fleet's requests by class, then which sidecars the report covers.
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
	fmt.Fprintf(t, "%d of %d sidecars, %.1f s ago, by %s under %s%s\n", r.Answered, r.Requested, r.AgeSeconds, r.Holder, formatToken(r.Token), missing)
}

// stepDown asks the sidecar at the admin endpoint to release a role that it owns, so that another one acquires it.
func stepDown(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("step-down: want one job"))
	}
	raw, err := queryAdmin(ctx, c.String("ops"), "STEPDOWN "+c.Args().First())
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(raw)
	return err
}
