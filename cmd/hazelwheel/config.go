package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// configCommand is the tool that writes and checks configurations. It ends with 0, with 1 where there are findings, and
// with 2 where it was used wrongly or a file can't be read.
func configCommand() *cli.Command {
	against := &cli.StringFlag{Name: "against", Usage: "the site's `FILE` that applications are held against"}
	strict := &cli.BoolFlag{Name: "strict", Usage: "warnings count like errors"}
	site := &cli.StringFlag{Name: "site", Usage: "the site's `FILE`; must be given"}
	out := &cli.StringFlag{Name: "out", Usage: "the `FOLDER` that files are written to; without it they go to standard output"}
	kinds := []string{"app", "site"}
	tool := &cli.Command{
		Name:  "config",
		Usage: "write and check configurations",
		Commands: []*cli.Command{
			newCommand(),
			{Name: "check", Usage: "check files that belong together", ArgsUsage: "FILE...", Action: checkFiles, Flags: []cli.Flag{against, strict,
				&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or sarif"}}},
			{Name: "explain", Usage: "say what a code or a field means", ArgsUsage: "CODE|FIELD", Action: explainWord, ShellComplete: completeWith(explainable),
				Flags: []cli.Flag{&cli.BoolFlag{Name: "page", Usage: "the page of all codes"}}},
			{Name: "render", Usage: "write the files by which the sidecar serves an application", ArgsUsage: "APP.toml", Action: renderFiles, Flags: []cli.Flag{site, out, strict}},
			{Name: "import", Usage: "write an application's and a site's file from the platform's", ArgsUsage: "CONFIG.json", Action: importFiles, Flags: []cli.Flag{out,
				&cli.StringFlag{Name: "features", Usage: "the operators' `FILE` of features"}}},
			{Name: "diff", Usage: "say what is otherwise in a second file", ArgsUsage: "A B", Action: diffFiles},
			{Name: "schema", Usage: "print the JSON Schema of a kind of file, for editors", ArgsUsage: "app|site", Action: printSchema,
				ShellComplete: completeWith(func() []string { return kinds })},
		},
	}
	for _, c := range tool.Commands {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return fault(err) }
	}
	return tool
}

// completeWith completes words.
func completeWith(words func() []string) cli.ShellCompleteFunc {
	return func(_ context.Context, c *cli.Command) {
		for _, word := range words() {
			fmt.Fprintln(c.Root().Writer, word)
		}
	}
}

func explainable() []string {
	var all []string
	for _, c := range lint.Checks() {
		all = append(all, c.Code)
	}
	for _, k := range []appconfig.Kind{appconfig.AppFile, appconfig.SiteFile} {
		for _, f := range appconfig.Fields(k) {
			all = append(all, f.Path)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// coloured tells whether output goes to a terminal whose user has not asked for no colour.
func coloured(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && term.IsTerminal(int(f.Fd()))
}

// openFiles reads files; standard input stands for one of them at most.
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

// judge prints what is wrong with files and returns the error to end with.
func judge(c *cli.Command, w io.Writer, files []*appconfig.File, against *appconfig.File, write func(io.Writer, []lint.Finding) error) error {
	found := lint.Run(files, against)
	if err := write(w, found); err != nil {
		return err
	}
	if slices.ContainsFunc(files, func(f *appconfig.File) bool { return f.Gone }) {
		return cli.Exit("", 2)
	}
	worst := lint.Worst(found)
	if worst == lint.Error || c.Bool("strict") && worst == lint.Warning {
		return cli.Exit("", 1)
	}
	return nil
}

func asText(w io.Writer, found []lint.Finding) error { return lint.WriteText(w, found, coloured(w)) }

// siteFile reads the site's file that a flag names; nil where it names none.
func siteFile(c *cli.Command, flag string) (*appconfig.File, error) {
	name := c.String(flag)
	if name == "" {
		return nil, nil
	}
	f := appconfig.Open(name, c.Root().Reader)
	if f.Site == nil || len(f.Faults) > 0 {
		if err := asText(c.Root().ErrWriter, lint.Run([]*appconfig.File{f}, nil)); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("--%s: %s is not a site's file that can be used", flag, name)
	}
	return f, nil
}

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

// output is a file that a command writes.
type output struct {
	name   string
	text   []byte
	secret bool // it holds the hash of one
}

// mode lets the sidecar's user read what another has rendered, unless that would show a secret's hash to all.
func (o *output) mode() os.FileMode {
	if o.secret {
		return 0o600
	}
	return 0o644
}

// writeFiles puts files into the folder that --out names, or one after the other on standard output. Danger: a sidecar that is
// told to read its file again while it is written would read a half; so each is written beside its place and moved there.
func writeFiles(c *cli.Command, all []output) error {
	folder := c.String("out")
	for _, o := range all {
		if len(o.text) == 0 {
			continue
		}
		if folder == "" {
			if _, err := c.Root().Writer.Write(o.text); err != nil {
				return err
			}
			continue
		}
		if err := writeWhole(filepath.Join(folder, o.name), o.text, o.mode()); err != nil {
			return fault(err)
		}
		fmt.Fprintln(c.Root().ErrWriter, "written:", filepath.Join(folder, o.name))
	}
	return nil
}

func writeWhole(path string, text []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".hazelwheel-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // temporary
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

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

// diffFiles ends with 1 where something is otherwise.
func diffFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return fault(errors.New("config diff: name two files"))
	}
	var files []*appconfig.File
	for _, name := range c.Args().Slice() {
		f := appconfig.Open(name, c.Root().Reader)
		if len(f.Faults) > 0 && lint.Worst(lint.Run([]*appconfig.File{f}, nil)) == lint.Error {
			if err := asText(c.Root().ErrWriter, lint.Run([]*appconfig.File{f}, nil)); err != nil {
				return err
			}
			return fault(fmt.Errorf("%s can't be compared before it is put right", name))
		}
		files = append(files, f)
	}
	a, b := files[0], files[1]
	if (a.App == nil || b.App == nil) && (a.Site == nil || b.Site == nil) {
		return fault(fmt.Errorf("%s is of kind %s and %s of kind %s; there is nothing to compare", a.Name, a.Kind, b.Name, b.Kind))
	}
	all := appconfig.Diff(a, b)
	taken := map[string]string{"SIGHUP": "taken in at SIGHUP", "restart": "taken in at a restart", "never": "nothing for a sidecar to take in"}
	for _, change := range all {
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: %s (%s)\n", change.Field, change.Words, taken[change.When]); err != nil {
			return err
		}
	}
	if len(all) > 0 {
		return cli.Exit("", 1)
	}
	return nil
}

// mostServedBytes bounds the files that are checked beside serving. Danger: a text takes many times its size while it is checked,
// and a sidecar is killed beyond its memory.
const mostServedBytes = 1 << 20

// adviser logs what the checks say of the files that a sidecar serves by, each thing once. It is advice: what serve refuses is
// not decided here.
type adviser struct {
	log  *slog.Logger
	said map[string]bool
}

// look checks files and logs what is new. An empty name stands for none. Danger: a fault of a check must not keep a sidecar
// from serving.
func (a *adviser) look(names ...string) {
	defer func() {
		if p := recover(); p != nil {
			a.log.Error("the configuration could not be checked", "panic", p)
		}
	}()
	found := findings(names)
	for i, f := range found {
		alike := 0
		for j, other := range found {
			if other.Code == f.Code && other.File == f.File {
				if j < i {
					alike = -1
					break
				}
				alike++
			}
		}
		text := f.File + f.Code + f.Message // what has moved in the file is nothing new
		if alike < 0 || f.Severity == lint.Note || a.said[text] {
			continue
		}
		a.said[text] = true
		a.log.Warn("configuration", "code", f.Code, "at", fmt.Sprintf("%s:%s", f.File, f.Place), "says", f.Message, "alike", alike)
	}
}

// findings returns what the checks say of files. Danger: what is no plain file, as a pipe, was read by the sidecar itself and may
// never say anything again.
func findings(names []string) []lint.Finding {
	var files []*appconfig.File
	for _, name := range names {
		if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() && info.Size() <= mostServedBytes {
			files = append(files, appconfig.Open(name, nil))
		}
	}
	return lint.Run(files, nil)
}

// sayFindings prints warnings and errors among the findings.
func sayFindings(w io.Writer, names ...string) {
	for _, f := range findings(names) {
		if f.Severity > lint.Note {
			fmt.Fprintln(w, f.String())
		}
	}
}
