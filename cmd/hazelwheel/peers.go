package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/coordination"
)

func peersCommand() *cli.Command {
	return &cli.Command{Name: "peers", Usage: "show whom a running sidecar knows of its fleet", Action: showPeers, Flags: []cli.Flag{
		&cli.StringFlag{Name: "ops", Usage: "the `ADDRESS` of the sidecar's door", Required: true},
		&cli.BoolFlag{Name: "json", Usage: "as the sidecar says it"}}}
}

// showPeers prints who is there. A sidecar that can't be reached or knows no fleet ends with 1.
func showPeers(ctx context.Context, c *cli.Command) error {
	raw, err := askDoor(ctx, c.String("ops"), "PEERS")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var s coordination.Status
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tFOR\tADDRESS\tID\tLINKED\tBY")
	for _, m := range s.Members {
		linked, by := "", "itself"
		if m.Connected {
			linked = "yes"
		}
		if m.ID == s.ID {
			linked = "this one"
		}
		if len(m.AccusedBy) > 0 {
			by = strings.Join(m.AccusedBy, " ")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, time.Duration(m.StateSeconds*float64(time.Second)).Round(time.Second), m.Address, m.ID, linked, by)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	kept := ""
	if !s.IdentityStored {
		kept = "; its identity does not survive a restart"
	}
	_, err = fmt.Fprintf(c.Root().Writer, "fleet %s: %d live; this one is rank %d of %d%s\n", s.Fleet, s.Live, s.Rank, s.Count, kept)
	return err
}
