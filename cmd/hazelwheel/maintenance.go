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

// workCommand is all that operators and mechanics say of work on boxes.
func workCommand(flags []cli.Flag) *cli.Command {
	nonce := &cli.Uint64Flag{Name: "nonce", Usage: "the `NUMBER` of a command of which it was not known whether it was done: it is done once"}
	by := &cli.StringFlag{Name: "by", Usage: "the `NAME` of who says so, for the record"}
	// say returns a command whose words are arguments of the command line, of which so many must be there.
	say := func(kind maintenance.Kind, usage, words string, least int, fill func(c *maintenance.Command, args []string) error) *cli.Command {
		return &cli.Command{Name: string(kind), Usage: usage, ArgsUsage: words, Flags: []cli.Flag{flags[0], flags[1], nonce, by},
			Action: func(ctx context.Context, c *cli.Command) error {
				w, args := maintenance.Command{Nonce: c.Uint64("nonce"), Kind: kind, Agent: c.String("by")}, c.Args().Slice()
				if most := len(strings.Fields(words)); len(args) < least || len(args) > most {
					return fault(fmt.Errorf("work %s: want %s", kind, words))
				}
				if err := fill(&w, args); err != nil {
					return fault(fmt.Errorf("work %s: %w", kind, err))
				}
				return sayWork(ctx, c, w)
			}}
	}
	plan := func(c *maintenance.Command, args []string) (err error) {
		if len(args) > 0 {
			if c.Plan, err = strconv.ParseUint(args[0], 10, 64); err != nil || c.Plan == 0 {
				return fmt.Errorf("%.40q is not the number of a plan", args[0])
			}
		}
		return nil
	}
	box := func(c *maintenance.Command, args []string) error { c.Server = args[0]; return nil }
	ended := func(c *maintenance.Command, args []string) (err error) {
		if c.Server = args[0]; len(args) > 2 {
			c.Reason = args[2]
		}
		c.Token, err = readToken(args[1])
		return err
	}
	return &cli.Command{Name: "work", Usage: "have boxes taken out for work on them, in an order that the sidecars settle", Commands: []*cli.Command{
		say(maintenance.SubmitPlan, "give a plan", "FILE", 1, func(c *maintenance.Command, args []string) error {
			spec, err := readPlan(args[0])
			c.Spec = &spec
			return err
		}),
		{Name: "check", Usage: "check the file of a plan, without a sidecar", ArgsUsage: "FILE", Action: checkPlan},
		{Name: "status", Usage: "show the plans, their boxes, and what is waited for", Flags: flags, Action: showFleet("WORKS", writeWorks)},
		say(maintenance.PausePlan, "have nothing more leave, and give back what nobody works on", "[PLAN]", 0, plan),
		say(maintenance.ResumePlan, "have a plan go on", "[PLAN]", 0, plan),
		say(maintenance.AbortPlan, "end a plan: what nobody works on is given back", "[PLAN]", 0, plan),
		say(maintenance.SkipServer, "have a box not be worked on; give a box back that was lost", "BOX", 1, box),
		say(maintenance.ForceDrained, "have a box count as empty, whoever has not said so", "BOX", 1, box),
		say(maintenance.AcquireServer, "take a box that is ready, or be told of the one that one has", "MECHANIC", 1, func(c *maintenance.Command, args []string) error {
			c.Agent = args[0]
			return nil
		}),
		say(maintenance.CompleteServer, "say that the work on a box has ended", "BOX TOKEN", 2, ended),
		say(maintenance.FailServer, "say that it has ended without success: the box stays out", "BOX TOKEN [WHY]", 2, ended),
	}}
}

// readPlan reads the file of a plan. The door takes lines up to a bound.
func readPlan(path string) (maintenance.Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return maintenance.Spec{}, err
	}
	spec, err := maintenanceplan.Parse(path, text, time.Now())
	if err == nil && len(workLine(maintenance.Command{Nonce: 1<<64 - 1, Kind: maintenance.SubmitPlan, Spec: &spec})) >= admin.MaxMaintenanceLine {
		err = fmt.Errorf("%s: the plan is too long for a door, which takes %d bytes", path, admin.MaxMaintenanceLine)
	}
	return spec, err
}

func checkPlan(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fault(errors.New("work check: want FILE"))
	}
	s, err := readPlan(c.Args().First())
	if err != nil {
		return fault(err)
	}
	of := []string{}
	for _, list := range []struct {
		what string
		all  []string
	}{{"boxes", s.Servers}, {"sites", s.Sites}, {"types", s.Types}} {
		if len(list.all) > 0 {
			of = append(of, list.what+" "+strings.Join(list.all, " "))
		}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: %s; %v each, %d at once, %g of the capacity stays\n", s.Name, strings.Join(of, "; "), seconds(s.WorkSeconds), s.MaxConcurrent, s.MinCapacity)
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
