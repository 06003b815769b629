package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/sidecarconfig"
)

// showClients prints who holds which connections at the running sidecar. One that can't be reached ends with 1.
func showClients(ctx context.Context, c *cli.Command) error {
	cfg, err := sidecarconfig.Load(c.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	raw, err := ask(ctx, cfg.Listen, "/clients")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var all struct {
		Links, Most, Reserve, Addresses int
		Clients                         []admission.Client
	}
	if err := json.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ADDRESS\tKNOWN\tLINKS\tBYTES\tSTATES")
	for _, client := range all.Clients {
		known := "no"
		if client.IsKnown {
			known = "yes"
		}
		var states []string
		for name, n := range client.States {
			states = append(states, fmt.Sprintf("%s %d", name, n))
		}
		slices.Sort(states)
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", client.Address, known, client.Conns, client.BufferedBytes, strings.Join(states, ", "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if more := all.Addresses - len(all.Clients); more > 0 {
		fmt.Fprintf(c.Root().Writer, "and %d more addresses\n", more)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%d links of at most %d, of which %d are for known clients alone\n", all.Links, all.Most, all.Reserve)
	return err
}
