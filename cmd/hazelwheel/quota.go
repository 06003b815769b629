package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/quotas"
	"hazelwheel/internal/quotas/replay"
	"hazelwheel/internal/sidecarconfig"
)

// quotaCommands query the quotas of the running sidecar, or simulate a file of groups without one. Config is the flag of its configuration.
func quotaCommands(config cli.Flag) []*cli.Command {
	asJSON := &cli.BoolFlag{Name: "json", Usage: jsonUsage}
	return []*cli.Command{
		{Name: "show", Usage: "show the groups of the running sidecar with their use, loans, debts and rejections", Flags: []cli.Flag{config, asJSON},
			Action: showQuotas},
		{Name: "explain", Usage: "explain a group's last rejection", Action: explainQuota, Flags: []cli.Flag{config, asJSON,
			&cli.StringFlag{Name: "group", Usage: "the `PATH` of the group, as north.city", Required: true}}},
		{Name: "simulate", Usage: "simulate a load under a file of groups", Action: simulateQuotas, Flags: []cli.Flag{
			&cli.StringFlag{Name: "quotas", Usage: "the `FILE` of groups", Required: true},
			&cli.StringFlag{Name: "load", Usage: "the `SERIES` of the groups' demand, as CSV", Required: true},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` to write a chart to, as SVG"},
			&cli.IntFlag{Name: "replicas", Usage: "the number `N` of sidecars that share the quotas; one of them is simulated", Value: 1}}},
	}
}

// fetchQuotas gets the quotas of the running sidecar, as JSON and decoded into the value that to points to. It is an error where the
// sidecar can't be reached or has no quotas.
func fetchQuotas(ctx context.Context, c *cli.Command, query string, to any) (raw []byte, err error) {
	cfg, err := sidecarconfig.Load(c.String("config"), os.Getenv)
	if err != nil {
		return nil, err
	}
	if raw, err = fetchStatus(ctx, cfg.Listen, http1.QuotaPath+query); err != nil {
		return nil, err
	}
	return raw, decodeReply(raw, to)
}

// showQuotas prints the groups of the running sidecar as a tree, with a line for each limit of a group.
func showQuotas(ctx context.Context, c *cli.Command) error {
	var view quota.View
	raw, err := fetchQuotas(ctx, c, "", &view)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		_, err := out.Write(raw)
		return err
	}
	t := newTable(out)
	fmt.Fprintln(t, "GROUP\tLIMIT\tQUOTA\tHOLDS\tUSED\tOWES\tCLAIMS\tBORROWED\tREPAID\tLENT\tSERVED\tREFUSED")
	for _, g := range view.Groups {
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
	if omitted := view.All + 1 - len(view.Groups); omitted > 0 {
		fmt.Fprintf(out, "and %d more groups\n", omitted)
	}
	return nil
}

// explainQuota prints why the running sidecar last rejected a request of a group.
func explainQuota(ctx context.Context, c *cli.Command) error {
	var e quota.Explanation
	raw, err := fetchQuotas(ctx, c, "?group="+url.QueryEscape(c.String("group")), &e)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		_, err := out.Write(raw)
		return err
	}
	return writeExplanation(out, &e)
}

// writeExplanation writes a rejection, then the present state of the limits from the group up to the root.
func writeExplanation(out io.Writer, e *quota.Explanation) error {
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
			verb, capacity := "holds", l.Depth
			if g.Path != e.Group {
				verb = "has to lend"
			}
			if l.Limit == "open" {
				verb, capacity = "are", l.Quota
			}
			fmt.Fprintf(out, "  %s: %s %s %.4g of %.4g", g.Path, l.Limit, verb, l.Level, capacity)
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

// simulateQuotas replays a series of demand under a file of groups and prints what it leads to. It ends with 2 where either can't be used.
func simulateQuotas(_ context.Context, c *cli.Command) error {
	tree, err := quotas.ReadFile(c.String("quotas"))
	if err != nil {
		return usageError(err)
	}
	replicas := c.Int("replicas")
	if replicas < 1 {
		return usageError(errors.New("--replicas: want 1 or more"))
	}
	f, err := os.Open(c.String("load"))
	if err != nil {
		return usageError(err)
	}
	defer func() { _ = f.Close() }() // read only
	load, err := replay.ReadSeries(f, tree)
	if err != nil {
		return usageError(fmt.Errorf("%s: %w", c.String("load"), err))
	}
	defaults := quotas.Defaults()
	result := replay.Run(tree, load, defaults.LimiterSettings(replicas))
	if err := result.WriteTable(c.Root().Writer); err != nil || c.String("picture") == "" {
		return err
	}
	out, err := os.Create(c.String("picture"))
	if err != nil {
		return usageError(err)
	}
	return errors.Join(result.WriteChart(out), out.Close())
}
