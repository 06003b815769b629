package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/frontend/admin"
	"hazelwheel/internal/maintenanceplan"
)

// maintenanceCommand holds the commands of operators and of maintenance agents. Flags are adminFlags.
func maintenanceCommand(flags []cli.Flag) *cli.Command {
	submit := func(kind maintenance.Kind, usage, argsUsage string, minArgs int, setArgs argSetter) *cli.Command {
		return submitSubcommand(flags, kind, usage, argsUsage, minArgs, setArgs)
	}
	return &cli.Command{Name: "work", Usage: "plan and control the maintenance of servers", Commands: []*cli.Command{
		submit(maintenance.SubmitPlan, "submit a maintenance plan", "FILE", 1, setPlanFile),
		{Name: "check", Usage: "check the file of a plan, without a sidecar", ArgsUsage: "FILE", Action: checkPlan},
		{Name: "status", Usage: "show the plans, their servers, and what blocks them", Flags: flags, Action: showStatus("WORKS", writeMaintenanceStatus)},
		submit(maintenance.PausePlan, "pause a plan: drain no more servers, and reinstate those not yet in maintenance", "[PLAN]", 0, setPlanNumber),
		submit(maintenance.ResumePlan, "resume a paused plan", "[PLAN]", 0, setPlanNumber),
		submit(maintenance.AbortPlan, "end a plan: servers not yet in maintenance are reinstated", "[PLAN]", 0, setPlanNumber),
		submit(maintenance.SkipServer, "skip a server, or reinstate one that was lost", "BOX", 1, setServer),
		submit(maintenance.ForceDrained, "treat a server as drained, whichever sidecar has not reported so", "BOX", 1, setServer),
		submit(maintenance.AcquireServer, "acquire a drained server for an agent, or print the one that it has", "MECHANIC", 1, setAgent),
		submit(maintenance.CompleteServer, "report that the maintenance of a server is complete", "BOX TOKEN", 2, setServerAndToken),
		submit(maintenance.FailServer, "report that it has failed: the server stays out", "BOX TOKEN [WHY]", 2, setServerAndToken),
	}}
}

// argSetter sets the fields of a command that its arguments on the command line hold. Their number has been checked.
type argSetter func(c *maintenance.Command, args []string) error

// submitSubcommand returns the subcommand that submits a command of one kind. Each word of argsUsage stands for an argument; the first
// minArgs must be given.
func submitSubcommand(flags []cli.Flag, kind maintenance.Kind, usage, argsUsage string, minArgs int, setArgs argSetter) *cli.Command {
	nonce := &cli.Uint64Flag{Name: "nonce", Usage: "the `NUMBER` of an earlier command whose outcome is not known: repeated with it, the command is done once"}
	by := &cli.StringFlag{Name: "by", Usage: "the `NAME` of who issues the command, for the record"}
	return &cli.Command{Name: string(kind), Usage: usage, ArgsUsage: argsUsage, Flags: []cli.Flag{flags[0], flags[1], nonce, by},
		Action: func(ctx context.Context, c *cli.Command) error {
			command := maintenance.Command{Nonce: c.Uint64("nonce"), Kind: kind, Agent: c.String("by")}
			args, maxArgs := c.Args().Slice(), len(strings.Fields(argsUsage))
			if len(args) < minArgs || len(args) > maxArgs {
				return usageError(fmt.Errorf("work %s: want %s", kind, argsUsage))
			}
			if err := setArgs(&command, args); err != nil {
				return usageError(fmt.Errorf("work %s: %w", kind, err))
			}
			return submitCommand(ctx, c, command)
		}}
}

func setPlanFile(c *maintenance.Command, args []string) error {
	spec, err := readPlan(args[0])
	c.Spec = &spec
	return err
}

// setPlanNumber leaves the number 0 where there is no argument: it stands for the only plan that has not ended.
func setPlanNumber(c *maintenance.Command, args []string) (err error) {
	if len(args) == 0 {
		return nil
	}
	if c.Plan, err = strconv.ParseUint(args[0], 10, 64); err != nil || c.Plan == 0 {
		return fmt.Errorf("%.40q is not the number of a plan", args[0])
	}
	return nil
}

func setServer(c *maintenance.Command, args []string) error {
	c.Server = args[0]
	return nil
}

func setAgent(c *maintenance.Command, args []string) error {
	c.Agent = args[0]
	return nil
}

func setServerAndToken(c *maintenance.Command, args []string) (err error) {
	c.Server = args[0]
	if len(args) > 2 {
		c.Reason = args[2]
	}
	c.Token, err = parseToken(args[1])
	return err
}

// readPlan reads the file of a plan. A plan that is too long for the admin endpoint is an error.
func readPlan(path string) (maintenance.Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return maintenance.Spec{}, err
	}
	spec, err := maintenanceplan.Parse(path, text, time.Now())
	if err != nil {
		return spec, err
	}
	longest := maintenance.Command{Nonce: 1<<64 - 1, Kind: maintenance.SubmitPlan, Spec: &spec}
	if len(encodeCommand(longest)) >= admin.MaxMaintenanceLine {
		err = fmt.Errorf("%s: the plan is too long for a door, which takes %d bytes", path, admin.MaxMaintenanceLine)
	}
	return spec, err
}

// checkPlan prints a summary of a plan that the admin endpoint would accept.
func checkPlan(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("work check: want FILE"))
	}
	spec, err := readPlan(c.Args().First())
	if err != nil {
		return usageError(err)
	}
	var selectors []string
	for _, selector := range []struct {
		name   string
		values []string
	}{{"boxes", spec.Servers}, {"sites", spec.Sites}, {"types", spec.Types}} {
		if len(selector.values) > 0 {
			selectors = append(selectors, selector.name+" "+strings.Join(selector.values, " "))
		}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: %s; %v each, %d at once, %g of the capacity stays\n", spec.Name, strings.Join(selectors, "; "),
		toDuration(spec.WorkSeconds), spec.MaxConcurrent, spec.MinCapacity)
	return err
}
