package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"hazelwheel/internal/lab/processcluster"
)

// printMaintenance says what came of a plan.
func printMaintenance(out io.Writer, w *processcluster.MaintenanceReport) {
	for _, line := range w.Violations {
		fmt.Fprintln(out, line)
	}
	for _, wait := range w.Blockers {
		fmt.Fprintf(out, "waits: %s %s %s\n", wait.Server, wait.Reason, strings.Join(wait.Members, " "))
	}
	goes := "ended"
	if !w.Ended {
		goes = "did not end"
	}
	fmt.Fprintf(out, "plan of %d boxes: %d done, %d skipped, %d lost; it %s within %.1f s\n", w.Servers, w.Done, w.Skipped, w.Lost, goes, w.TotalSeconds)
	fmt.Fprintf(out, "meanwhile %.3f of the worth served in time in the worst ten seconds, from %.1f s on; %d of %d tries refused\n", w.WorstTenSeconds, w.WorstAtSeconds, w.Rejected, w.Attempts)
	for _, why := range slices.SortedFunc(maps.Keys(w.BlockedSeconds), func(a, b string) int { return cmp.Compare(w.BlockedSeconds[b], w.BlockedSeconds[a]) }) {
		fmt.Fprintf(out, "%8.1f s  %s\n", w.BlockedSeconds[why], why)
	}
	if w.SentByReturning > 0 {
		fmt.Fprintf(out, "%d requests came to boxes that were worked on, of sidecars that had counted as gone\n", w.SentByReturning)
	}
}

// formatSpread says a median and the greatest of some times.
func formatSpread(all []float64) string {
	if len(all) == 0 {
		return "(never)"
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return fmt.Sprintf("%.1f s (median; at most %.1f s, of %d)", all[len(all)/2], all[len(all)-1], len(all))
}
