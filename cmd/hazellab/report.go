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
		Usage:     "turn experiments' folders into report.html and report.md",
		ArgsUsage: "FOLDER...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the `FOLDER` for the pages; default: the first of those that are read"},
			&cli.BoolFlag{Name: "pictures", Usage: "write each plot as an SVG file, too"},
		},
		Action: writeReportPages,
	}
}

func writeReportPages(_ context.Context, c *cli.Command) error {
	var all []*experiment.Data
	for _, folder := range c.Args().Slice() {
		d, err := experiment.Open(folder)
		if err != nil {
			return usageError(err)
		}
		all = append(all, d)
	}
	if len(all) == 0 {
		return usageError(errors.New("report: a FOLDER is wanted"))
	}
	out := c.String("out")
	if out == "" {
		out = all[0].Folder
	}
	for name, write := range map[string]func(io.Writer, []*experiment.Data) error{"report.html": report.HTML, "report.md": report.Markdown} {
		f, err := os.Create(filepath.Join(out, name))
		if err != nil {
			return err
		}
		err = write(f, all)
		if err = errors.Join(err, f.Close()); err != nil { // what is not whole is no report
			return err
		}
	}
	for _, d := range all {
		if !c.Bool("pictures") {
			break
		}
		if err := report.Pictures(out, d); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.Root().Writer, "%s and report.md\n", filepath.Join(out, "report.html"))
	return nil
}
