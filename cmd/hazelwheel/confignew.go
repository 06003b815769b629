package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/appconfig"
)

// question is a field of a new file that a flag gives, or else the user at the terminal.
type question struct {
	flag         string // name of the flag
	field        string // path of the field in the file
	prompt       string // also the usage of the flag
	defaultValue string
	isRequired   bool
}

// appQuestions are the questions for an application's file, in the order in which they are asked.
var appQuestions = []question{
	{"name", "name", "The instance's name", "", true},
	{"listen", "listen", "Address and port for the application to connect to", "127.0.0.1:3000", true},
	{"discovery", "discovery", "Address and port of discovery", "", true},
	{"home", "home", "The place where it runs", "", false},
	{"index", "index", "Its number among its replicas, from 0", "0", false},
	{"replicas", "replicas", "How many replicas there are", "1", false},
	{"waits", "client.waits", "How long the application waits for a response in all", "", false},
	{"connections", "client.connections", "The most connections that it opens", "", false},
	{"rate", "client.rate", "Requests a second when it is busy", "", false},
	{"health-port", "health.port", "A port for health, or nothing", "", false},
	{"capture", "capture.bytes", "Bytes of decisions to record, like 512KiB, or nothing", "", false},
}

// siteQuestions are the questions for a site's file, in the order in which they are asked.
var siteQuestions = []question{
	{"name", "name", "The site's name", "", true},
	{"places", "places", "Its places, separated by commas", "", true},
	{"connect-timeout", "connections.timeout", "Time-out of a connect to a server", "250ms", true},
	{"idle", "connections.idle", "Servers close idle connections after", "5s", false},
	{"attempts", "requests.attempts", "Attempts of a request", "3", false},
	{"probes", "probes.allowed", "Do servers answer health checks (true, false)", "true", false},
	{"ask-within", "discovery.ask_within", "The list of servers counts as fresh for", "10s", false},
	{"drain-grace", "rules.drain_grace", "No request is sent to a draining server after", "750ms", false},
}

// newFileKinds holds, for each kind of file that config new writes, its questions and the fields that aren't asked for.
var newFileKinds = map[string]struct {
	questions   []question
	fixedFields map[string]string // values by field
}{
	"app": {questions: appQuestions},
	"site": {siteQuestions, map[string]string{
		"requests.cancel":          "true",
		"requests.retry_after":     "true",
		"requests.max_retry_after": "1500ms",
		"discovery.mode":           "ask",
		"rules.answer_slack":       "20ms",
		"round":                    "5ms",
	}},
}

func newFileCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "kind", Value: "app", Usage: "app or site"},
		&cli.StringFlag{Name: "site", Usage: "the site's `FILE`, which defines classes and places"},
		&cli.StringSliceFlag{Name: "class", Usage: "a class: its name, then fields, `\"NAME effect=safe aim=600ms deadline=3s\"`; with --site the name is enough"},
		&cli.StringFlag{Name: "write", Usage: "the `FILE` to write; without it the text goes to standard output"},
		&cli.BoolFlag{Name: "force", Usage: "overwrite an existing file"},
	}
	for _, q := range slices.Concat(appQuestions, siteQuestions) {
		if !slices.ContainsFunc(flags, func(f cli.Flag) bool { return slices.Contains(f.Names(), q.flag) }) {
			flags = append(flags, &cli.StringFlag{Name: q.flag, Usage: q.prompt})
		}
	}
	return &cli.Command{Name: "new", Usage: "write a first file; what no flag gives is asked for at a terminal", Flags: flags, Action: newFile}
}

// newFile writes a file that passes the checks, or prints their findings about the answers.
func newFile(_ context.Context, c *cli.Command) error {
	kind := c.String("kind")
	fileKind, ok := newFileKinds[kind]
	if !ok {
		return usageError(fmt.Errorf("--kind: %q is neither app nor site", kind))
	}
	if c.Args().Len() > 0 {
		return usageError(fmt.Errorf("config new: %q is no flag", c.Args().First()))
	}
	path := c.String("write")
	if _, err := os.Lstat(path); path != "" && err == nil && !c.Bool("force") {
		return usageError(fmt.Errorf("%s is there already; --force writes over it", path))
	}
	site, err := openSiteFile(c, "site")
	if err != nil {
		return usageError(err)
	}
	w := &wizard{c: c, in: bufio.NewReader(c.Root().Reader), fileAnswers: newFileAnswers(kind)}
	for field, value := range fileKind.fixedFields {
		w.fields[field] = value
	}
	if f, ok := c.Root().Reader.(*os.File); ok {
		w.isInteractive = term.IsTerminal(int(f.Fd()))
	}
	if err := w.collect(fileKind.questions, site); err != nil {
		return usageError(err)
	}
	file := appconfig.Read("the answers", []byte(w.encode()))
	text, err := formatFile(kind, file)
	if err != nil {
		return err
	}
	if len(file.Faults) == 0 {
		file = appconfig.Read("the new file", text)
	}
	if err := reportFindings(c, c.Root().ErrWriter, []*appconfig.File{file}, site, writeText); err != nil {
		return err
	}
	if path == "" {
		_, err = c.Root().Writer.Write(text)
		return err
	}
	if err := writeFileAtomically(path, text, 0o644); err != nil {
		return usageError(err)
	}
	fmt.Fprintln(c.Root().ErrWriter, "written:", path)
	return nil
}
