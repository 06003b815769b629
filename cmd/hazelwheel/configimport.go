package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

func importFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fault(errors.New("config import: name one of the platform's files"))
	}
	names := []string{c.Args().First()}
	if f := c.String("features"); f != "" {
		names = append(names, f)
	}
	files, err := openFiles(c, names)
	if err != nil {
		return fault(err)
	}
	if files[0].Kind != appconfig.PlatformFile || files[0].App == nil || len(files) > 1 && files[1].Kind != appconfig.FeaturesFile {
		if err := judge(c, c.Root().ErrWriter, files, nil, asText); err != nil {
			return err
		}
		return fault(fmt.Errorf("config import: want the platform's file, and with --features the operators'"))
	}
	var extras *appconfig.File
	if len(files) > 1 {
		extras = files[1]
	}
	found := lint.Run(files, nil)
	if err := asText(c.Root().ErrWriter, found); err != nil {
		return err
	}
	if slices.ContainsFunc(found, func(f lint.Finding) bool { return f.Lost() }) {
		return cli.Exit("", 1) // what makes no sense would be left out of what is written without a word
	}
	app, site := appconfig.Import(files[0], extras)
	appText, err := appconfig.Format(app)
	if err != nil {
		return err
	}
	siteText, err := appconfig.Format(site)
	if err != nil {
		return err
	}
	return writeFiles(c, []output{{"app.toml", appText, app.DrillSecret != ""}, {"site.toml", siteText, false}})
}
