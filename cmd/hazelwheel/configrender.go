package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
)

func renderFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fault(errors.New("config render: name one application's file"))
	}
	if c.String("site") == "" {
		return fault(errors.New("config render: --site is missing"))
	}
	site, err := siteFile(c, "site")
	if err != nil {
		return fault(err)
	}
	app := appconfig.Open(c.Args().First(), c.Root().Reader)
	if err := judge(c, c.Root().ErrWriter, []*appconfig.File{app}, site, asText); err != nil {
		return err // what is wrong is not rendered: it would be served
	}
	if app.Kind != appconfig.AppFile {
		return fault(fmt.Errorf("%s is no application's file", app.Name))
	}
	platform, features, err := appconfig.Render(app.App, site.Site)
	if err != nil {
		return fault(err)
	}
	return writeFiles(c, []output{{"config.json", platform, false}, {"features.json", features, app.App.DrillSecret != ""}})
}
