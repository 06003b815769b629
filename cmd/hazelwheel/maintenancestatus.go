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

// stages say how far the work on a box has come.
var stages = map[maintenance.Stage]string{maintenance.Pending: "waiting", maintenance.Draining: "leaving", maintenance.Drained: "ready", maintenance.InMaintenance: "taken", maintenance.WarmingUp: "cold",
	maintenance.Done: "done", maintenance.Skipped: "skipped", maintenance.Lost: "lost"}

// writeWorks writes plans, box by box, and what each waits for.
func writeWorks(t *tabwriter.Writer, s *coordination.MaintenanceStatus) {
	fmt.Fprintln(t, "PLAN\tBOX\tSITE\tSTAGE\tSINCE\tMECHANIC\tTOKEN\tWAITS FOR")
	waits := func(plan uint64, box string) string {
		var all []string
		for _, w := range s.Blockers {
			if w.Plan == plan && w.Server == box {
				text := w.Reason
				if len(w.Members) > 0 {
					text += ": " + strings.Join(w.Members, " ")
				}
				all = append(all, text)
			}
		}
		return strings.Join(all, "; ")
	}
	for i := range s.Plans {
		p := &s.Plans[i]
		for _, b := range p.Servers {
			token, why := "", waits(p.Number, b.Name)
			if b.Token != 0 {
				token = tokenText(b.Token)
			}
			for _, more := range []struct {
				on   bool
				text string
			}{{b.Overdue, "it is late"}, {len(b.ForcedPast) > 0, "forced past " + strings.Join(b.ForcedPast, " ")}, {b.Reason != "", b.Reason}} {
				if more.on && why != "" {
					why += "; "
				}
				if more.on {
					why += more.text
				}
			}
			since := ""
			if b.SinceVersion != 0 {
				since = strconv.FormatUint(b.SinceVersion, 10)
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Number, b.Name, b.Site, stages[b.Stage], since, b.Agent, token, why)
		}
	}
	for i := range s.Plans {
		p := &s.Plans[i]
		count := map[maintenance.Stage]int{}
		for _, b := range p.Servers {
			count[b.Stage]++
		}
		text := fmt.Sprintf("plan %d, %s: %d of %d done", p.Number, p.Spec.Name, count[maintenance.Done], len(p.Servers))
		for _, more := range []struct {
			on   bool
			text string
		}{{count[maintenance.Skipped] > 0, fmt.Sprintf("%d skipped", count[maintenance.Skipped])}, {count[maintenance.Lost] > 0, fmt.Sprintf("%d lost", count[maintenance.Lost])},
			{true, seconds(p.AgeSeconds).Round(time.Second).String() + " old"}, {p.PausedBy != "", "paused by " + p.PausedBy}, {p.Aborted, "aborted"}, {p.Ended, "ended"}} {
			if more.on {
				text += ", " + more.text
			}
		}
		if w := waits(p.Number, ""); w != "" {
			text += "; " + w
		}
		fmt.Fprintln(t, text)
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
