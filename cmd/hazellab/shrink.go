package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/sim"
)

// writeScript writes a script in the form in which environment.ReadScript reads it.
func writeScript(w io.Writer, s *environment.Script) error {
	text, err := s.Format()
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// shrink finds a smaller script that violates the same invariant, and writes it. It ends with 1 as that invariant is violated.
func shrink(_ context.Context, c *cli.Command) error {
	o, err := simOptions(c)
	if err != nil {
		return err
	}
	s, name, err := selectedScript(c, o)
	if err != nil {
		return err
	}
	rule := checker.Rule(c.String("rule"))
	r, err := sim.Play(s, o)
	if err != nil {
		return wrapScriptError(err)
	}
	if rule == "" && len(r.Violations) > 0 {
		rule = r.Violations[0].Rule
	}
	if !r.HasViolation(rule) {
		return usageError(fmt.Errorf("rule: %s does not break %q", name, rule))
	}
	smallest := sim.Shrink(s, rule, o, c.Int("budget"), func(s *environment.Script, played int) {
		fmt.Fprintf(os.Stderr, "%d days played: %d troubles, %d sidecars, %d boxes, %g s\n", played, len(s.Faults), s.Sidecars, s.Servers, s.LengthSeconds)
	})
	if err := writeScriptTo(c.String("out"), c.Root().Writer, &smallest); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "breaks %s; replay with: hazellab sim --script %s%s --trace\n", rule, c.String("out"), protocolFlag(o))
	return errRulesBroken
}

// writeScriptTo writes a script to a file, or to out where no file is named.
func writeScriptTo(file string, out io.Writer, script *environment.Script) error {
	if file == "" {
		return writeScript(out, script)
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(writeScript(f, script), f.Close())
}
