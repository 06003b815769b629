package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/sidecarconfig"
)

// clientsStatus is what the sidecar serves at /clients.
type clientsStatus struct {
	Conns     int                `json:"links"`
	MaxConns  int                `json:"most"`
	Reserved  int                `json:"reserve"` // connections that only known clients get
	Addresses int                `json:"addresses"`
	Clients   []admission.Client `json:"clients"` // at most so many as the sidecar lists
}

// showClients prints the client connections of the running sidecar by address. It ends with 1 where the sidecar can't be reached.
func showClients(ctx context.Context, c *cli.Command) error {
	cfg, err := sidecarconfig.Load(c.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	raw, err := fetchStatus(ctx, cfg.Listen, "/clients")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var status clientsStatus
	if err := decodeReply(raw, &status); err != nil {
		return err
	}
	t := newTable(c.Root().Writer)
	fmt.Fprintln(t, "ADDRESS\tKNOWN\tLINKS\tBYTES\tSTATES")
	for _, client := range status.Clients {
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
	if omitted := status.Addresses - len(status.Clients); omitted > 0 {
		fmt.Fprintf(c.Root().Writer, "and %d more addresses\n", omitted)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%d links of at most %d, of which %d are for known clients alone\n", status.Conns, status.MaxConns, status.Reserved)
	return err
}
