package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/compare"
	"hazelwheel/internal/lab/experiment"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print in which figures two balancers, or two experiments, differ significantly",
		ArgsUsage: "A B",
		Description: "Each is FOLDER or FOLDER:BALANCER. Two folders alone are compared balancer by balancer. Two balancers of one\n" +
			"folder are compared run by run, as they took turns.",
		Flags:  []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of the bootstrap"}},
		Action: compareFolders,
	}
}

// compareFolders prints the figures of two sides and which of them differ by more than chance.
func compareFolders(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError(errors.New("compare: two are wanted, each FOLDER or FOLDER:BALANCER"))
	}
	var sides [2]compare.Side
	for i, text := range c.Args().Slice() {
		var err error
		if sides[i], err = openSide(text); err != nil {
			return usageError(err)
		}
	}
	if (sides[0].Balancer == "") != (sides[1].Balancer == "") {
		return usageError(errors.New("compare: both or neither must name a balancer"))
	}
	for i, s := range sides {
		if s.Data.Partial {
			fmt.Fprintf(os.Stderr, "hazellab: %s is partial: %s\n", c.Args().Get(i), s.Data.Why)
		}
	}
	lines, skipped := compare.Compare(sides[0], sides[1], c.Uint64("seed"))
	compare.Print(c.Root().Writer, lines, skipped)
	return nil
}

// openSide opens an experiment by FOLDER or FOLDER:BALANCER. A folder whose name has a colon is found, too.
func openSide(text string) (s compare.Side, err error) {
	folder := text
	if _, err := os.Stat(text); err != nil {
		if i := strings.LastIndexByte(text, ':'); i > 0 {
			folder, s.Balancer = text[:i], text[i+1:]
		}
	}
	if s.Data, err = experiment.Open(folder); err != nil {
		return s, err
	}
	isNamed := func(b experiment.Balancer) bool { return b.Name == s.Balancer }
	if s.Balancer != "" && !slices.ContainsFunc(s.Data.Spec.Balancers, isNamed) {
		return s, fmt.Errorf("%s has no balancer %q", folder, s.Balancer)
	}
	return s, nil
}
