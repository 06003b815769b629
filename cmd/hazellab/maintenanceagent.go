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
		Usage: "stand in for somebody who works on boxes that sidecars hand over, until Ctrl-C",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "ops", Usage: "the `ADDRESSES` of sidecars' doors, any of which is asked", Required: true},
			&cli.StringFlag{Name: "name", Usage: "its `NAME`", Required: true},
			&cli.DurationFlag{Name: "takes", Usage: "how long the work on a box takes", Value: 2 * time.Second},
			&cli.BoolFlag{Name: "twice", Usage: "say done twice"},
		},
		Action: runMaintenanceAgent,
	}
}

func runMaintenanceAgent(ctx context.Context, c *cli.Command) error {
	var doors []string
	for door := range strings.SplitSeq(c.String("ops"), ",") {
		if door = strings.TrimSpace(door); door != "" {
			doors = append(doors, door)
		}
	}
	if len(doors) == 0 {
		return usageError(errors.New("ops: there are no addresses"))
	}
	if c.Duration("takes") < 0 {
		return usageError(fmt.Errorf("takes: %v is less than nothing", c.Duration("takes")))
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	out := c.Root().Writer
	m := &maintenanceagent.Agent{Name: c.String("name"), AdminEndpoints: func() []string { return doors }, WorkDuration: func(string) time.Duration { return c.Duration("takes") },
		CompletesTwice: c.Bool("twice"), OnWork: func(box string, on bool) {
			if on {
				fmt.Fprintln(out, "works on", box)
			} else {
				fmt.Fprintln(out, "is done with", box)
			}
		}}
	m.Run(ctx)
	all := m.Records()
	fmt.Fprintf(out, "%s: %d boxes\n", m.Name, len(all))
	return nil
}
