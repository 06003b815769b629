package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// applyTexts say when a running sidecar applies a change, by the word for it of appconfig.Change.
var applyTexts = map[string]string{"SIGHUP": "taken in at SIGHUP", "restart": "taken in at a restart", "never": "nothing for a sidecar to take in"}

// diffFiles prints the fields in which two files of a kind differ, and when a running sidecar applies each change. It ends with 1 where there
// are any.
func diffFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError(errors.New("config diff: name two files"))
	}
	var files []*appconfig.File
	for _, name := range c.Args().Slice() {
		f := appconfig.Open(name, c.Root().Reader)
		if len(f.Faults) > 0 && lint.Worst(lint.Run([]*appconfig.File{f}, nil)) == lint.Error {
			if err := writeText(c.Root().ErrWriter, lint.Run([]*appconfig.File{f}, nil)); err != nil {
				return err
			}
			return usageError(fmt.Errorf("%s can't be compared before it is put right", name))
		}
		files = append(files, f)
	}
	a, b := files[0], files[1]
	if (a.App == nil || b.App == nil) && (a.Site == nil || b.Site == nil) {
		return usageError(fmt.Errorf("%s is of kind %s and %s of kind %s; there is nothing to compare", a.Name, a.Kind, b.Name, b.Kind))
	}
	changes := appconfig.Diff(a, b)
	for _, change := range changes {
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: %s (%s)\n", change.Field, change.Words, applyTexts[change.When]); err != nil {
			return err
		}
	}
	if len(changes) > 0 {
		return cli.Exit("", exitFailure)
	}
	return nil
}
