package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

func checkFiles(_ context.Context, c *cli.Command) error {
	writers := map[string]func(io.Writer, []lint.Finding) error{"text": asText, "json": lint.WriteJSON, "sarif": lint.WriteSARIF}
	write := writers[c.String("format")]
	switch {
	case write == nil:
		return fault(fmt.Errorf("--format: %q is none of text, json, sarif", c.String("format")))
	case c.Args().Len() == 0:
		return fault(errors.New("config check: no file is named"))
	}
	against, err := siteFile(c, "against")
	if err != nil {
		return fault(err)
	}
	files, err := openFiles(c, c.Args().Slice())
	if err != nil {
		return fault(err)
	}
	return judge(c, c.Root().Writer, files, against, write)
}

func explainWord(_ context.Context, c *cli.Command) error {
	if c.Bool("page") {
		_, err := io.WriteString(c.Root().Writer, lint.Page())
		return err
	}
	if c.Args().Len() != 1 {
		return fault(errors.New("config explain: name one code, like HW041, or one field, like class.aim"))
	}
	text, ok := lint.Explain(c.Args().First())
	if !ok {
		return fault(errors.New(text))
	}
	_, err := io.WriteString(c.Root().Writer, text)
	return err
}

func printSchema(_ context.Context, c *cli.Command) error {
	kind := appconfig.Kind(c.Args().First())
	if kind != appconfig.AppFile && kind != appconfig.SiteFile || c.Args().Len() != 1 {
		return fault(errors.New("config schema: name app or site"))
	}
	schema, err := appconfig.Schema(kind)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s\n", schema)
	return err
}
