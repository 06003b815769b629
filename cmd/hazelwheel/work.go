package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/coordination"
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

// workLine is a command as a door takes it.
func workLine(w maintenance.Command) string {
	raw, err := json.Marshal(w)
	if err != nil { // numbers and texts always marshal
		panic(err)
	}
	return "WORK " + string(raw)
}

// How often a command is repeated that is not agreed yet, and for how long.
const (
	sayAgain   = 200 * time.Millisecond
	agreedIn   = 10 * time.Second
	notAgreed  = "WAIT"
	loopIsLate = "the event loop is late"
)

// errUnknown is that of a command which may or may not be done.
var errUnknown = errors.New("not known whether it was done")

// sayWork has a command done, and says what came of it. A fleet that says no ends with 1.
func sayWork(ctx context.Context, c *cli.Command, w maintenance.Command) error {
	for w.Nonce == 0 {
		w.Nonce = rand.Uint64()
	}
	raw, err := untilAgreed(ctx, c.String("ops"), workLine(w))
	if errors.Is(err, errUnknown) {
		return fmt.Errorf("it is %w; the same again with --nonce %d is done once", err, w.Nonce)
	}
	if err != nil {
		return err
	}
	var r maintenance.Reply
	if err := json.Unmarshal(raw, &r); err != nil {
		return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	if c.Bool("json") {
		if _, err := c.Root().Writer.Write(raw); err != nil {
			return err
		}
	}
	switch {
	case r.Err != "":
		return fmt.Errorf("%w: %s", errDoor, r.Err)
	case c.Bool("json"):
		return nil
	case w.Kind == maintenance.AcquireServer && r.Server == "":
		_, err = fmt.Fprintln(c.Root().Writer, strings.TrimSpace("- "+r.Text))
	case w.Kind == maintenance.AcquireServer:
		_, err = fmt.Fprintf(c.Root().Writer, "%s %s\n", r.Server, tokenText(r.Token))
	default:
		text := string(w.Kind)
		if r.Plan != 0 {
			text += fmt.Sprintf(": plan %d", r.Plan)
		}
		if w.Server != "" {
			text += ": " + w.Server
		}
		if r.Text != "" {
			text += ": " + r.Text
		}
		_, err = fmt.Fprintln(c.Root().Writer, "OK "+text)
	}
	return err
}

// untilAgreed says a command at a door again and again until there is an answer. What was said once may be done, whatever comes after it.
func untilAgreed(ctx context.Context, address, line string) ([]byte, error) {
	by := time.Now().Add(agreedIn)
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	tick := time.NewTicker(sayAgain)
	defer tick.Stop()
	for said, last := false, ""; ; {
		raw, err := askDoor(ctx, address, line)
		switch {
		case errors.Is(err, errDoor) && strings.Contains(err.Error(), loopIsLate):
			said, last = true, err.Error()
		case errors.Is(err, errDoor):
			return nil, err
		case err != nil && !said && !errors.Is(err, errHeard):
			return nil, err
		case err != nil && last != "" && time.Until(by) < sayAgain: // it was cut short: what was said before tells more
		case err != nil:
			said, last = true, err.Error()
		case bytes.HasPrefix(raw, []byte(notAgreed)):
			said, last = true, "nobody has settled it within "+agreedIn.String()
		default:
			return raw, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w (%s)", errUnknown, last)
		case <-tick.C:
		}
	}
}

// readToken reads a token as it is written for people, or as one number.
func readToken(text string) (uint64, error) {
	epoch, number, dotted := strings.Cut(text, ".")
	if !dotted {
		epoch, number = "0", text
	}
	e, err := strconv.ParseUint(epoch, 10, 24)
	n, also := strconv.ParseUint(number, 10, 64)
	if err != nil || also != nil || dotted && n >= 1<<40 || e == 0 && n == 0 {
		return 0, fmt.Errorf("%.40q is not a token like 1.57", text)
	}
	return e<<40 | n, nil
}

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
