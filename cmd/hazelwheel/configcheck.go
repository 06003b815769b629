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

// checkFiles checks the files that are named as belonging together, and prints the findings.
func checkFiles(_ context.Context, c *cli.Command) error {
	writers := map[string]findingsWriter{"text": writeText, "json": lint.WriteJSON, "sarif": lint.WriteSARIF}
	write := writers[c.String("format")]
	switch {
	case write == nil:
		return usageError(fmt.Errorf("--format: %q is none of text, json, sarif", c.String("format")))
	case c.Args().Len() == 0:
		return usageError(errors.New("config check: no file is named"))
	}
	against, err := openSiteFile(c, "against")
	if err != nil {
		return usageError(err)
	}
	files, err := openFiles(c, c.Args().Slice())
	if err != nil {
		return usageError(err)
	}
	return reportFindings(c, c.Root().Writer, files, against, write)
}

// explainTerm prints the explanation of a check by its code or of a field by its path; with --page that of all checks.
func explainTerm(_ context.Context, c *cli.Command) error {
	if c.Bool("page") {
		_, err := io.WriteString(c.Root().Writer, lint.Page())
		return err
	}
	if c.Args().Len() != 1 {
		return usageError(errors.New("config explain: name one code, like HW041, or one field, like class.aim"))
	}
	text, ok := lint.Explain(c.Args().First())
	if !ok {
		return usageError(errors.New(text))
	}
	_, err := io.WriteString(c.Root().Writer, text)
	return err
}

// printSchema prints the JSON Schema of a kind of file.
func printSchema(_ context.Context, c *cli.Command) error {
	kind := appconfig.Kind(c.Args().First())
	if kind != appconfig.AppFile && kind != appconfig.SiteFile || c.Args().Len() != 1 {
		return usageError(errors.New("config schema: name app or site"))
	}
	schema, err := appconfig.Schema(kind)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s\n", schema)
	return err
}
