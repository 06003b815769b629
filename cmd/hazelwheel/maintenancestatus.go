package main

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/decide/maintenance"
)

// stageNames are the texts of the table for the stages of a server's maintenance.
var stageNames = map[maintenance.Stage]string{
	maintenance.Pending:       "waiting",
	maintenance.Draining:      "leaving",
	maintenance.Drained:       "ready",
	maintenance.InMaintenance: "taken",
	maintenance.WarmingUp:     "cold",
	maintenance.Done:          "done",
	maintenance.Skipped:       "skipped",
	maintenance.Lost:          "lost",
}

// writeMaintenanceStatus writes a table of the plans' servers with what blocks each, then a line for each plan and one for the
// coordinator.
func writeMaintenanceStatus(t *tabwriter.Writer, s *coordination.MaintenanceStatus) {
	fmt.Fprintln(t, "PLAN\tBOX\tSITE\tSTAGE\tSINCE\tMECHANIC\tTOKEN\tWAITS FOR")
	for i := range s.Plans {
		plan := &s.Plans[i]
		for j := range plan.Servers {
			writeServer(t, plan, &plan.Servers[j], s.Blockers)
		}
	}
	for i := range s.Plans {
		writePlanSummary(t, &s.Plans[i], s.Blockers)
	}
	if s.Holder == "" {
		fmt.Fprintf(t, "version %d is agreed; nobody settles the order at the moment\n", s.Version)
	} else {
		fmt.Fprintf(t, "version %d is agreed; %s settles the order, %.1f s ago\n", s.Version, s.Holder, s.AgeSeconds)
	}
	if len(s.Reinstated) > 0 {
		fmt.Fprintf(t, "given back here by hand: %s\n", strings.Join(s.Reinstated, " "))
	}
}

// writeServer writes the row of one server of a plan.
func writeServer(t *tabwriter.Writer, plan *maintenance.Plan, server *maintenance.Server, blockers []maintenance.Blocker) {
	remarks := describeBlockers(blockers, plan.Number, server.Name)
	if server.Overdue {
		remarks = append(remarks, "it is late")
	}
	if len(server.ForcedPast) > 0 {
		remarks = append(remarks, "forced past "+strings.Join(server.ForcedPast, " "))
	}
	if server.Reason != "" {
		remarks = append(remarks, server.Reason)
	}
	token, since := "", ""
	if server.Token != 0 {
		token = formatToken(server.Token)
	}
	if server.SinceVersion != 0 {
		since = strconv.FormatUint(server.SinceVersion, 10)
	}
	fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", plan.Number, server.Name, server.Site, stageNames[server.Stage], since, server.Agent, token,
		strings.Join(remarks, "; "))
}

// writePlanSummary writes how far a plan has come, and what blocks it as a whole.
func writePlanSummary(t *tabwriter.Writer, plan *maintenance.Plan, blockers []maintenance.Blocker) {
	count := map[maintenance.Stage]int{}
	for i := range plan.Servers {
		count[plan.Servers[i].Stage]++
	}
	text := fmt.Sprintf("plan %d, %s: %d of %d done", plan.Number, plan.Spec.Name, count[maintenance.Done], len(plan.Servers))
	if n := count[maintenance.Skipped]; n > 0 {
		text += fmt.Sprintf(", %d skipped", n)
	}
	if n := count[maintenance.Lost]; n > 0 {
		text += fmt.Sprintf(", %d lost", n)
	}
	text += ", " + toDuration(plan.AgeSeconds).Round(time.Second).String() + " old"
	if plan.PausedBy != "" {
		text += ", paused by " + plan.PausedBy
	}
	if plan.Aborted {
		text += ", aborted"
	}
	if plan.Ended {
		text += ", ended"
	}
	if reasons := describeBlockers(blockers, plan.Number, ""); len(reasons) > 0 {
		text += "; " + strings.Join(reasons, "; ")
	}
	fmt.Fprintln(t, text)
}

// describeBlockers returns the blockers of one server of a plan, or with an empty name those of the plan as a whole, each with the
// sidecars that are the cause.
func describeBlockers(blockers []maintenance.Blocker, plan uint64, server string) []string {
	var all []string
	for i := range blockers {
		b := &blockers[i]
		if b.Plan != plan || b.Server != server {
			continue
		}
		text := b.Reason
		if len(b.Members) > 0 {
			text += ": " + strings.Join(b.Members, " ")
		}
		all = append(all, text)
	}
	return all
}
