package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
)

// renderFiles writes the sidecar's files of an application that passes the checks against its site.
func renderFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("config render: name one application's file"))
	}
	if c.String("site") == "" {
		return usageError(errors.New("config render: --site is missing"))
	}
	site, err := openSiteFile(c, "site")
	if err != nil {
		return usageError(err)
	}
	app := appconfig.Open(c.Args().First(), c.Root().Reader)
	if err := reportFindings(c, c.Root().ErrWriter, []*appconfig.File{app}, site, writeText); err != nil {
		return err // don't render a file with errors: the sidecar would run with it
	}
	if app.Kind != appconfig.AppFile {
		return usageError(fmt.Errorf("%s is no application's file", app.Name))
	}
	platform, features, err := appconfig.Render(app.App, site.Site)
	if err != nil {
		return usageError(err)
	}
	return writeFiles(c, []outputFile{{"config.json", platform, false}, {"features.json", features, app.App.DrillSecret != ""}})
}
