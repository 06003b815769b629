package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/stub"
)

// readLoadPlan returns the plan that the flags give, or that of the file which --plan names.
func readLoadPlan(c *cli.Command) (p load.Plan, err error) {
	if path := c.String("plan"); path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return p, err
		}
		if err := json.Unmarshal(raw, &p); err != nil {
			return p, fmt.Errorf("%s: %w", path, err)
		}
		p.Target = c.String("target")
		return p, nil
	}
	p = load.Plan{Target: c.String("target"), For: c.Duration("for"), Poisson: c.Bool("poisson"), Links: c.Int("links"),
		New: c.Float("new"), Body: c.Int("body"), Patience: c.Duration("patience"), Slack: c.Duration("slack"), Calm: c.Bool("calm"),
		Retries: c.Int("retries"), Backoff: c.Duration("backoff"), Threads: c.Int("threads"),
		Seed: c.Uint64("seed"), Step: c.Duration("step")}
	if p.Classes, err = parseClasses(c.String("class")); err != nil {
		return p, err
	}
	if text := c.String("rate"); text != "" {
		if path, isFile := strings.CutPrefix(text, "@"); isFile {
			raw, err := os.ReadFile(path)
			if err != nil {
				return p, err
			}
			text = strings.Join(strings.Fields(string(raw)), ",")
		}
		if p.Stages, err = parseStages(text, p.For); err != nil {
			return p, err
		}
	}
	if text := c.String("from"); text != "" {
		if p.From, err = netip.ParseAddr(text); err != nil {
			return p, fmt.Errorf("from: %w", err)
		}
	}
	return p, nil
}

// parseClasses parses classes like raise-alert=1,other:safe=3. The effect of a stub server's class is known; that of others must be given.
func parseClasses(text string) ([]load.Class, error) {
	var classes []load.Class
	for _, part := range strings.Split(text, ",") {
		name, share, hasShare := strings.Cut(part, "=")
		c := load.Class{Share: 1}
		if hasShare {
			var err error
			if c.Share, err = strconv.ParseFloat(share, 64); err != nil || c.Share <= 0 {
				return nil, fmt.Errorf("class: %q has no share above 0", part)
			}
		}
		name, effect, hasEffect := strings.Cut(name, ":")
		if !hasEffect {
			effect = map[string]string{stub.SafeClass: "safe", stub.KeyedClass: "keyed", stub.UnsafeClass: "unsafe"}[name]
		}
		switch effect {
		case "safe":
			c.Safe = true
		case "keyed":
			c.Keyed = true
		case "unsafe":
		default:
			return nil, fmt.Errorf("class: %q is neither :safe, :keyed nor :unsafe", part)
		}
		c.Name = name
		classes = append(classes, c)
	}
	return classes, nil
}

// parseStages parses a rate, which lasts for the given duration, or stages like 100:5s,100-400:10s.
func parseStages(text string, duration time.Duration) ([]load.Stage, error) {
	var stages []load.Stage
	for _, part := range strings.Split(text, ",") {
		rates, length, hasLength := strings.Cut(part, ":")
		s := load.Stage{For: duration}
		var err error
		if hasLength {
			if s.For, err = time.ParseDuration(length); err != nil {
				return nil, fmt.Errorf("rate: %q: %w", part, err)
			}
		}
		from, to, isRamp := strings.Cut(rates, "-")
		if s.From, err = strconv.ParseFloat(from, 64); err == nil && isRamp {
			s.To, err = strconv.ParseFloat(to, 64)
		} else {
			s.To = s.From
		}
		if err != nil {
			return nil, fmt.Errorf("rate: %q: not a rate, nor two with - between", part)
		}
		stages = append(stages, s)
	}
	return stages, nil
}
