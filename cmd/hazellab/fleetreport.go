package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/processcluster"
)

// writeFleetReport writes the plot that --picture names, then the report as text or JSON. The error is errRulesBroken where there are
// violations, and a usage error where the maintenance plan was rejected.
func writeFleetReport(c *cli.Command, r *processcluster.Report) error {
	if path := c.String("picture"); path != "" {
		writePlot := r.WriteMembershipPlot
		if r.Maintenance != nil {
			writePlot = r.WriteMaintenancePlot
		}
		if err := writePlot(path); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		if err := printJSON(c.Root().Writer, r); err != nil {
			return err
		}
	} else {
		printFleetReport(c.Root().Writer, r)
	}
	if r.Maintenance != nil && r.Maintenance.Error != "" {
		return usageError(fmt.Errorf("plan: %s", r.Maintenance.Error))
	}
	if r.ViolationCount > 0 {
		return errRulesBroken
	}
	return nil
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(raw))
	return err
}

// printFleetReport writes the violations and the figures of a run.
func printFleetReport(out io.Writer, r *processcluster.Report) {
	for _, v := range r.Violations {
		fmt.Fprintf(out, "%7.2f s  %-12s %-6s %s\n", v.AtSeconds, v.Rule, v.Sidecar, v.Reason)
	}
	fmt.Fprintf(out, "%d troubles; %.3f of the worth served in time; %d views asked for; %.0f bytes a second between peers, of each\n",
		len(r.Faults), r.Service, r.Views, r.PeerBytesPerSecond)
	fmt.Fprintf(out, "all agreed after %s; one that went was known after %s; the laboratory was %.2f s late at most\n",
		formatSpread(r.AgreedSeconds), formatSpread(r.DetectedSeconds), r.LoopLateSeconds)
	if roles := r.Roles; roles != nil {
		fmt.Fprintf(out, "%d grants; %d effects on the wire, %d of them under a token that was not the greatest any more; %d refusals\n",
			roles.Grants, roles.Effects, roles.Stale, roles.Rejected)
		fmt.Fprintf(out, "without an owner for %s, as the doors tell each quarter of a second\n", formatSpread(roles.WithoutOwnerSeconds))
	}
	if r.Maintenance != nil {
		printMaintenance(out, r.Maintenance)
	}
	fmt.Fprintf(out, "fleet: %d sidecars, %d rules broken\n", r.Sidecars, r.ViolationCount)
}

// printMaintenance writes the violations and the figures of a maintenance plan, and what blocked its servers, the longest first.
func printMaintenance(out io.Writer, m *processcluster.MaintenanceReport) {
	for _, line := range m.Violations {
		fmt.Fprintln(out, line)
	}
	for _, blocker := range m.Blockers {
		fmt.Fprintf(out, "waits: %s %s %s\n", blocker.Server, blocker.Reason, strings.Join(blocker.Members, " "))
	}
	outcome := "ended"
	if !m.Ended {
		outcome = "did not end"
	}
	fmt.Fprintf(out, "plan of %d boxes: %d done, %d skipped, %d lost; it %s within %.1f s\n", m.Servers, m.Done, m.Skipped, m.Lost, outcome, m.TotalSeconds)
	fmt.Fprintf(out, "meanwhile %.3f of the worth served in time in the worst ten seconds, from %.1f s on; %d of %d tries refused\n", m.WorstTenSeconds, m.WorstAtSeconds, m.Rejected, m.Attempts)
	longestFirst := func(a, b string) int { return cmp.Compare(m.BlockedSeconds[b], m.BlockedSeconds[a]) }
	for _, reason := range slices.SortedFunc(maps.Keys(m.BlockedSeconds), longestFirst) {
		fmt.Fprintf(out, "%8.1f s  %s\n", m.BlockedSeconds[reason], reason)
	}
	if m.SentByReturning > 0 {
		fmt.Fprintf(out, "%d requests came to boxes that were worked on, of sidecars that had counted as gone\n", m.SentByReturning)
	}
}

// formatSpread formats the median and the maximum of times in seconds.
func formatSpread(times []float64) string {
	if len(times) == 0 {
		return "(never)"
	}
	times = slices.Clone(times)
	slices.Sort(times)
	return fmt.Sprintf("%.1f s (median; at most %.1f s, of %d)", times[len(times)/2], times[len(times)-1], len(times))
}
