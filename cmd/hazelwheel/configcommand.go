package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// configCommand holds the commands that write and check configurations. They end with 0, with 1 where there are findings, and with 2 where
// they are used wrongly or a file can't be read.
func configCommand() *cli.Command {
	against := &cli.StringFlag{Name: "against", Usage: "the site's `FILE` that applications are checked against"}
	strict := &cli.BoolFlag{Name: "strict", Usage: "treat warnings as errors"}
	site := &cli.StringFlag{Name: "site", Usage: "the site's `FILE`; must be given"}
	out := &cli.StringFlag{Name: "out", Usage: "the `FOLDER` that files are written to; without it they go to standard output"}
	kinds := []string{"app", "site"}
	tool := &cli.Command{
		Name:  "config",
		Usage: "write and check configurations",
		Commands: []*cli.Command{
			newFileCommand(),
			{Name: "check", Usage: "check files that belong together", ArgsUsage: "FILE...", Action: checkFiles, Flags: []cli.Flag{against, strict,
				&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or sarif"}}},
			{Name: "explain", Usage: "explain a code or a field", ArgsUsage: "CODE|FIELD", Action: explainTerm, ShellComplete: completeWith(explainableTerms),
				Flags: []cli.Flag{&cli.BoolFlag{Name: "page", Usage: "print the page of all codes"}}},
			{Name: "render", Usage: "write the sidecar's files from an application's and its site's", ArgsUsage: "APP.toml", Action: renderFiles, Flags: []cli.Flag{site, out, strict}},
			{Name: "import", Usage: "write an application's and a site's file from the platform's", ArgsUsage: "CONFIG.json", Action: importFiles, Flags: []cli.Flag{out,
				&cli.StringFlag{Name: "features", Usage: "the operators' `FILE` of features"}}},
			{Name: "diff", Usage: "print how a second file differs", ArgsUsage: "A B", Action: diffFiles},
			{Name: "schema", Usage: "print the JSON Schema of a kind of file, for editors", ArgsUsage: "app|site", Action: printSchema,
				ShellComplete: completeWith(func() []string { return kinds })},
		},
	}
	for _, c := range tool.Commands {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err) }
	}
	return tool
}

// completeWith returns a shell completion that offers words.
func completeWith(words func() []string) cli.ShellCompleteFunc {
	return func(_ context.Context, c *cli.Command) {
		for _, word := range words() {
			fmt.Fprintln(c.Root().Writer, word)
		}
	}
}

// explainableTerms returns the codes of all checks and the paths of all fields, sorted.
func explainableTerms() []string {
	var terms []string
	for _, c := range lint.Checks() {
		terms = append(terms, c.Code)
	}
	for _, k := range []appconfig.Kind{appconfig.AppFile, appconfig.SiteFile} {
		for _, f := range appconfig.Fields(k) {
			terms = append(terms, f.Path)
		}
	}
	slices.Sort(terms)
	return slices.Compact(terms)
}
