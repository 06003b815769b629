package main

import (
	"context"
	"errors"
	"slices"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// importFiles converts the platform's file, and the operators' file of features where one is named, to an application's and a site's file.
func importFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("config import: name one of the platform's files"))
	}
	names := []string{c.Args().First()}
	if f := c.String("features"); f != "" {
		names = append(names, f)
	}
	files, err := openFiles(c, names)
	if err != nil {
		return usageError(err)
	}
	if files[0].Kind != appconfig.PlatformFile || files[0].App == nil || len(files) > 1 && files[1].Kind != appconfig.FeaturesFile {
		if err := reportFindings(c, c.Root().ErrWriter, files, nil, writeText); err != nil {
			return err
		}
		return usageError(errors.New("config import: want the platform's file, and with --features the operators'"))
	}
	var features *appconfig.File
	if len(files) > 1 {
		features = files[1]
	}
	findings := lint.Run(files, nil)
	if err := writeText(c.Root().ErrWriter, findings); err != nil {
		return err
	}
	if slices.ContainsFunc(findings, func(f lint.Finding) bool { return f.Lost() }) {
		return cli.Exit("", exitFailure) // the written files would silently lack the values that can't be read
	}
	app, site := appconfig.Import(files[0], features)
	appText, err := appconfig.Format(app)
	if err != nil {
		return err
	}
	siteText, err := appconfig.Format(site)
	if err != nil {
		return err
	}
	return writeFiles(c, []outputFile{{"app.toml", appText, app.DrillSecret != ""}, {"site.toml", siteText, false}})
}
