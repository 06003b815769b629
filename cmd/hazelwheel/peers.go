package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/coordination"
)

func peersCommand() *cli.Command {
	return &cli.Command{Name: "peers", Usage: "show the membership of the fleet as a running sidecar sees it", Flags: adminFlags(),
		Action: showStatus("PEERS", writePeers)}
}

// writePeers writes the members of the fleet, then a summary of the sidecar that replied.
func writePeers(t *tabwriter.Writer, s *coordination.Status) {
	fmt.Fprintln(t, "NAME\tSTATE\tFOR\tADDRESS\tID\tLINKED\tBY")
	for _, m := range s.Members {
		connected, accusedBy := "", "itself"
		if m.Connected {
			connected = "yes"
		}
		if m.ID == s.ID {
			connected = "this one"
		}
		if len(m.AccusedBy) > 0 {
			accusedBy = strings.Join(m.AccusedBy, " ")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, toDuration(m.StateSeconds).Round(time.Second), m.Address, m.ID, connected, accusedBy)
	}
	identity := ""
	if !s.IdentityStored {
		identity = "; its identity does not survive a restart"
	}
	fmt.Fprintf(t, "fleet %s: %d live; this one is rank %d of %d%s\n", s.Fleet, s.Live, s.Rank, s.Count, identity)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
