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

// readLoadPlan returns what the command line asks for.
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
		if path, recorded := strings.CutPrefix(text, "@"); recorded {
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

// parseClasses reads classes like raise-alert=1,other:safe=3.
func parseClasses(text string) ([]load.Class, error) {
	var all []load.Class
	for _, part := range strings.Split(text, ",") {
		name, share, weighted := strings.Cut(part, "=")
		c := load.Class{Share: 1}
		if weighted {
			var err error
			if c.Share, err = strconv.ParseFloat(share, 64); err != nil || c.Share <= 0 {
				return nil, fmt.Errorf("class: %q has no share above 0", part)
			}
		}
		name, effect, given := strings.Cut(name, ":")
		if !given {
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
		all = append(all, c)
	}
	return all, nil
}

// parseStages reads a rate, or stages like 100:5s,100-400:10s.
func parseStages(text string, whole time.Duration) ([]load.Stage, error) {
	var all []load.Stage
	for _, part := range strings.Split(text, ",") {
		rates, length, staged := strings.Cut(part, ":")
		s := load.Stage{For: whole}
		var err error
		if staged {
			if s.For, err = time.ParseDuration(length); err != nil {
				return nil, fmt.Errorf("rate: %q: %w", part, err)
			}
		}
		from, to, ramp := strings.Cut(rates, "-")
		if s.From, err = strconv.ParseFloat(from, 64); err == nil && ramp {
			s.To, err = strconv.ParseFloat(to, 64)
		} else {
			s.To = s.From
		}
		if err != nil {
			return nil, fmt.Errorf("rate: %q: not a rate, nor two with - between", part)
		}
		all = append(all, s)
	}
	return all, nil
}
