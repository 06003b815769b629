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

// isColorTerminal reports whether output goes to a terminal that shows colors, and the user has not turned them off by NO_COLOR.
func isColorTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && term.IsTerminal(int(f.Fd()))
}

// openFiles reads files by their names; "-" stands for standard input. A name that is given twice is an error. A file that can't be read
// is included in the result, marked as Unreadable.
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

// reportFindings checks files, writes the findings, and returns the error that ends the program with the status of the worst finding, or
// nil where the files pass. The parameter against is the site's file that applications are checked against, or nil.
func reportFindings(c *cli.Command, w io.Writer, files []*appconfig.File, against *appconfig.File, write findingsWriter) error {
	findings := lint.Run(files, against)
	if err := write(w, findings); err != nil {
		return err
	}
	if slices.ContainsFunc(files, func(f *appconfig.File) bool { return f.Unreadable }) {
		return cli.Exit("", exitUsage)
	}
	worst := lint.Worst(findings)
	if worst == lint.Error || c.Bool("strict") && worst == lint.Warning {
		return cli.Exit("", exitFailure)
	}
	return nil
}

// findingsWriter writes findings in one of the formats of config check.
type findingsWriter func(w io.Writer, findings []lint.Finding) error

func writeText(w io.Writer, findings []lint.Finding) error {
	return lint.WriteText(w, findings, isColorTerminal(w))
}

// openSiteFile reads the site's file that a flag names; nil where it names none. The findings of a file that can't be used are printed.
func openSiteFile(c *cli.Command, flag string) (*appconfig.File, error) {
	name := c.String(flag)
	if name == "" {
		return nil, nil
	}
	f := appconfig.Open(name, c.Root().Reader)
	if f.Site == nil || len(f.Faults) > 0 {
		if err := writeText(c.Root().ErrWriter, lint.Run([]*appconfig.File{f}, nil)); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("--%s: %s is not a site's file that can be used", flag, name)
	}
	return f, nil
}
