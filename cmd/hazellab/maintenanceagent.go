package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/maintenanceagent"
)

func maintenanceAgentCommand() *cli.Command {
	return &cli.Command{
		Name:  "mechanic",
		Usage: "act as a maintenance agent for the servers that sidecars drain, until Ctrl-C",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "ops", Usage: "the `ADDRESSES` of sidecars' admin endpoints, tried in turn", Required: true},
			&cli.StringFlag{Name: "name", Usage: "the agent's `NAME`", Required: true},
			&cli.DurationFlag{Name: "takes", Usage: "the duration of the work on a server", Value: 2 * time.Second},
			&cli.BoolFlag{Name: "twice", Usage: "report completion twice"},
		},
		Action: runMaintenanceAgent,
	}
}

// runMaintenanceAgent runs a maintenance agent until a signal, and prints when it starts and ends the work on a server.
func runMaintenanceAgent(ctx context.Context, c *cli.Command) error {
	var endpoints []string
	for endpoint := range strings.SplitSeq(c.String("ops"), ",") {
		if endpoint = strings.TrimSpace(endpoint); endpoint != "" {
			endpoints = append(endpoints, endpoint)
		}
	}
	if len(endpoints) == 0 {
		return usageError(errors.New("ops: there are no addresses"))
	}
	workDuration := c.Duration("takes")
	if workDuration < 0 {
		return usageError(fmt.Errorf("takes: %v is less than nothing", workDuration))
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	out := c.Root().Writer
	agent := &maintenanceagent.Agent{
		Name:           c.String("name"),
		AdminEndpoints: func() []string { return endpoints },
		WorkDuration:   func(string) time.Duration { return workDuration },
		CompletesTwice: c.Bool("twice"),
		OnWork: func(server string, hasStarted bool) {
			if hasStarted {
				fmt.Fprintln(out, "works on", server)
			} else {
				fmt.Fprintln(out, "is done with", server)
			}
		},
	}
	agent.Run(ctx)
	fmt.Fprintf(out, "%s: %d boxes\n", agent.Name, len(agent.Records()))
	return nil
}
