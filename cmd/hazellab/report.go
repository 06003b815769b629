package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "write report.html and report.md of experiments",
		ArgsUsage: "FOLDER...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the `FOLDER` for the pages; default: that of the first experiment"},
			&cli.BoolFlag{Name: "pictures", Usage: "write each plot as an SVG file, too"},
		},
		Action: writeReportPages,
	}
}

// writeReportPages writes report.html and report.md of experiments, and with --pictures their plots.
func writeReportPages(_ context.Context, c *cli.Command) error {
	var experiments []*experiment.Data
	for _, folder := range c.Args().Slice() {
		d, err := experiment.Open(folder)
		if err != nil {
			return usageError(err)
		}
		experiments = append(experiments, d)
	}
	if len(experiments) == 0 {
		return usageError(errors.New("report: a FOLDER is wanted"))
	}
	out := c.String("out")
	if out == "" {
		out = experiments[0].Folder
	}
	for name, write := range map[string]func(io.Writer, []*experiment.Data) error{"report.html": report.HTML, "report.md": report.Markdown} {
		f, err := os.Create(filepath.Join(out, name))
		if err != nil {
			return err
		}
		err = write(f, experiments)
		if err = errors.Join(err, f.Close()); err != nil { // a page that is not complete is an error
			return err
		}
	}
	if c.Bool("pictures") {
		for _, d := range experiments {
			if err := report.Pictures(out, d); err != nil {
				return err
			}
		}
	}
	fmt.Fprintf(c.Root().Writer, "%s and report.md\n", filepath.Join(out, "report.html"))
	return nil
}
