package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/quotas"
	played "hazelwheel/internal/quotas/replay"
	"hazelwheel/internal/sidecarconfig"
)

// quotaCommands ask the running sidecar for its quotas, or try a file of groups out.
func quotaCommands(file cli.Flag) []*cli.Command {
	asJSON := &cli.BoolFlag{Name: "json", Usage: "as the sidecar says it"}
	return []*cli.Command{
		{Name: "show", Usage: "show the groups with their use, loans, debts and refusals at the running sidecar", Flags: []cli.Flag{file, asJSON},
			Action: showQuotas},
		{Name: "explain", Usage: "say why a group's last refusal was made", Action: explainQuota, Flags: []cli.Flag{file, asJSON,
			&cli.StringFlag{Name: "group", Usage: "the `PATH` of the group, as north.city", Required: true}}},
		{Name: "simulate", Usage: "say what a file of groups would have done to a load", Action: simulateQuotas, Flags: []cli.Flag{
			&cli.StringFlag{Name: "quotas", Usage: "the `FILE` of groups", Required: true},
			&cli.StringFlag{Name: "load", Usage: "the `SERIES` of what groups ask for, as CSV", Required: true},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a picture, SVG"},
			&cli.IntFlag{Name: "replicas", Usage: "of `N` sidecars, what one does with its part", Value: 1}}},
	}
}

// askQuotas gets what the running sidecar says of its quotas. One that can't be reached, or has none, ends with 1.
func askQuotas(ctx context.Context, c *cli.Command, query string, told any) (raw []byte, err error) {
	cfg, err := sidecarconfig.Load(c.String("config"), os.Getenv)
	if err != nil {
		return nil, err
	}
	if raw, err = ask(ctx, cfg.Listen, http1.QuotaPath+query); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, told); err != nil {
		return nil, fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	return raw, nil
}

func showQuotas(ctx context.Context, c *cli.Command) error {
	var v quota.View
	raw, err := askQuotas(ctx, c, "", &v)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		_, err := out.Write(raw)
		return err
	}
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "GROUP\tLIMIT\tQUOTA\tHOLDS\tUSED\tOWES\tCLAIMS\tBORROWED\tREPAID\tLENT\tSERVED\tREFUSED")
	for _, g := range v.Groups {
		name := strings.Repeat("  ", g.Depth) + g.Path[strings.LastIndexByte(g.Path, '.')+1:]
		for i, l := range g.Limits {
			fmt.Fprintf(t, "%s\t%s\t%.6g\t%.6g\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f", name, l.Limit, l.Quota, l.Level, l.Used, l.Debt, l.Credit, l.Borrowed,
				l.Repaid, l.Lent)
			if i == 0 {
				fmt.Fprintf(t, "\t%d\t%d", g.Served, g.Rejected)
			}
			fmt.Fprintln(t)
			name = ""
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if more := v.All + 1 - len(v.Groups); more > 0 {
		fmt.Fprintf(out, "and %d more groups\n", more)
	}
	return nil
}

func explainQuota(ctx context.Context, c *cli.Command) error {
	var e quota.Explanation
	raw, err := askQuotas(ctx, c, "?group="+url.QueryEscape(c.String("group")), &e)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		_, err := out.Write(raw)
		return err
	}
	return explain(out, &e)
}

// explain says an explanation in words.
func explain(out io.Writer, e *quota.Explanation) error {
	switch {
	case e.Limit == "":
		fmt.Fprintf(out, "%s: no refusal is remembered\n", e.Group)
	case e.Capped:
		fmt.Fprintf(out, "%s: refused %.1f s ago by %s: its cap, or that of a group above it, was reached; told to come after %.3f s\n", e.Group, e.AgoSeconds,
			e.Limit, e.RetryAfterSeconds)
	default:
		fmt.Fprintf(out, "%s: refused %.1f s ago by %s: its own bucket held %.4g, and with what it could borrow it lacked %.4g; told to come after %.3f s\n",
			e.Group, e.AgoSeconds, e.Limit, e.Level, e.Shortfall, e.RetryAfterSeconds)
	}
	fmt.Fprintf(out, "%d refusals in all. Now, from the group to the root:\n", e.Rejected)
	for _, g := range e.Chain {
		for _, l := range g.Limits {
			if e.Limit != "" && l.Limit != e.Limit {
				continue
			}
			what, of := "holds", l.Depth
			if g.Path != e.Group {
				what = "has to lend"
			}
			if l.Limit == "open" {
				what, of = "are", l.Quota
			}
			fmt.Fprintf(out, "  %s: %s %s %.4g of %.4g", g.Path, l.Limit, what, l.Level, of)
			switch {
			case l.Debt >= 1:
				fmt.Fprintf(out, ", owes %.0f", l.Debt)
			case l.Credit >= 1:
				fmt.Fprintf(out, ", has lent %.0f", l.Credit)
			}
			fmt.Fprintln(out)
		}
	}
	return nil
}

// simulateQuotas ends with 2 where the file or the series is at fault.
func simulateQuotas(_ context.Context, c *cli.Command) error {
	tree, err := quotas.ReadFile(c.String("quotas"))
	if err != nil {
		return fault(err)
	}
	replicas := c.Int("replicas")
	if replicas < 1 {
		return fault(errors.New("--replicas: want 1 or more"))
	}
	f, err := os.Open(c.String("load"))
	if err != nil {
		return fault(err)
	}
	defer func() { _ = f.Close() }() // read only
	load, err := played.ReadSeries(f, tree)
	if err != nil {
		return fault(fmt.Errorf("%s: %w", c.String("load"), err))
	}
	s := quotas.Defaults()
	r := played.Run(tree, load, s.LimiterSettings(replicas))
	if err := r.WriteTable(c.Root().Writer); err != nil || c.String("picture") == "" {
		return err
	}
	out, err := os.Create(c.String("picture"))
	if err != nil {
		return fault(err)
	}
	return errors.Join(r.WriteChart(out), out.Close())
}
