package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// coloured tells whether output goes to a terminal whose user has not asked for no colour.
func coloured(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && term.IsTerminal(int(f.Fd()))
}

// openFiles reads files; standard input stands for one of them at most.
func openFiles(c *cli.Command, names []string) ([]*appconfig.File, error) {
	var files []*appconfig.File
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return nil, fmt.Errorf("%s is named twice", name)
		}
		files = append(files, appconfig.Open(name, c.Root().Reader))
	}
	return files, nil
}

// judge prints what is wrong with files and returns the error to end with.
func judge(c *cli.Command, w io.Writer, files []*appconfig.File, against *appconfig.File, write func(io.Writer, []lint.Finding) error) error {
	found := lint.Run(files, against)
	if err := write(w, found); err != nil {
		return err
	}
	if slices.ContainsFunc(files, func(f *appconfig.File) bool { return f.Gone }) {
		return cli.Exit("", 2)
	}
	worst := lint.Worst(found)
	if worst == lint.Error || c.Bool("strict") && worst == lint.Warning {
		return cli.Exit("", 1)
	}
	return nil
}

func asText(w io.Writer, found []lint.Finding) error { return lint.WriteText(w, found, coloured(w)) }

// siteFile reads the site's file that a flag names; nil where it names none.
func siteFile(c *cli.Command, flag string) (*appconfig.File, error) {
	name := c.String(flag)
	if name == "" {
		return nil, nil
	}
	f := appconfig.Open(name, c.Root().Reader)
	if f.Site == nil || len(f.Faults) > 0 {
		if err := asText(c.Root().ErrWriter, lint.Run([]*appconfig.File{f}, nil)); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("--%s: %s is not a site's file that can be used", flag, name)
	}
	return f, nil
}
