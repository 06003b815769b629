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

// question is a field of a new file that is asked for, or given by the flag of its name.
type question struct {
	flag, field, ask, usual string
	need                    bool
}

var appQuestions = []question{
	{"name", "name", "The instance's name", "", true},
	{"listen", "listen", "Address and port for the application to connect to", "127.0.0.1:3000", true},
	{"discovery", "discovery", "Address and port of discovery", "", true},
	{"home", "home", "The place where it runs", "", false},
	{"index", "index", "Its number among its replicas, from 0", "0", false},
	{"replicas", "replicas", "How many replicas there are", "1", false},
	{"waits", "client.waits", "How long the application waits for an answer in all", "", false},
	{"connections", "client.connections", "The most connections that it opens", "", false},
	{"rate", "client.rate", "Requests a second when it is busy", "", false},
	{"health-port", "health.port", "A port for health, or nothing", "", false},
	{"capture", "capture.bytes", "How much to record of the decisions, like 512KiB, or nothing", "", false},
}

var siteQuestions = []question{
	{"name", "name", "The site's name", "", true},
	{"places", "places", "Its places, with commas", "", true},
	{"connect-timeout", "connections.timeout", "A connection to a box has failed after", "250ms", true},
	{"idle", "connections.idle", "Boxes close idle connections after", "5s", false},
	{"attempts", "requests.attempts", "Attempts for a request", "3", false},
	{"probes", "probes.allowed", "Do boxes answer probes (true, false)", "true", false},
	{"ask-within", "discovery.ask_within", "The list counts as told after", "10s", false},
	{"drain-grace", "rules.drain_grace", "Nothing is sent to a draining box after", "750ms", false},
}

// kinds of new files: their questions, and what they hold besides.
var newKinds = map[string]struct {
	questions []question
	fixed     map[string]string
}{
	"app":  {appQuestions, nil},
	"site": {siteQuestions, map[string]string{"requests.cancel": "true", "requests.retry_after": "true", "requests.max_retry_after": "1500ms", "discovery.mode": "ask", "rules.answer_slack": "20ms", "round": "5ms"}},
}

func newCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "kind", Value: "app", Usage: "app or site"},
		&cli.StringFlag{Name: "site", Usage: "the site's `FILE`, which knows classes and places"},
		&cli.StringSliceFlag{Name: "class", Usage: "a class: its name, then fields, `\"NAME effect=safe aim=600ms deadline=3s\"`; with --site the name is enough"},
		&cli.StringFlag{Name: "write", Usage: "the `FILE` to write; without it the text goes to standard output"},
		&cli.BoolFlag{Name: "force", Usage: "write over a file that is there"},
	}
	for _, q := range slices.Concat(appQuestions, siteQuestions) {
		if !slices.ContainsFunc(flags, func(f cli.Flag) bool { return slices.Contains(f.Names(), q.flag) }) {
			flags = append(flags, &cli.StringFlag{Name: q.flag, Usage: q.ask})
		}
	}
	return &cli.Command{Name: "new", Usage: "write a file to begin with; what no flag says is asked for at a terminal", Flags: flags, Action: newFile}
}

// newFile writes a file that passes the checks, or says what they have to say of the answers.
func newFile(_ context.Context, c *cli.Command) error {
	kind := c.String("kind")
	k, ok := newKinds[kind]
	if !ok {
		return fault(fmt.Errorf("--kind: %q is neither app nor site", kind))
	}
	if c.Args().Len() > 0 {
		return fault(fmt.Errorf("config new: %q is no flag", c.Args().First()))
	}
	path := c.String("write")
	if _, err := os.Lstat(path); path != "" && err == nil && !c.Bool("force") {
		return fault(fmt.Errorf("%s is there already; --force writes over it", path))
	}
	site, err := siteFile(c, "site")
	if err != nil {
		return fault(err)
	}
	w := &wizard{c: c, kind: kind, in: bufio.NewReader(c.Root().Reader), fields: map[string]string{"format": kind + "/1"}}
	for field, value := range k.fixed {
		w.fields[field] = value
	}
	if f, ok := c.Root().Reader.(*os.File); ok {
		w.asks = term.IsTerminal(int(f.Fd()))
	}
	if err := w.answer(k.questions, site); err != nil {
		return fault(err)
	}
	made := appconfig.Read("the answers", []byte(w.text()))
	text, err := w.formatted(made)
	if err != nil {
		return err
	}
	if len(made.Faults) == 0 {
		made = appconfig.Read("the new file", text)
	}
	if err := judge(c, c.Root().ErrWriter, []*appconfig.File{made}, site, asText); err != nil {
		return err
	}
	if path == "" {
		_, err = c.Root().Writer.Write(text)
		return err
	}
	if err := writeWhole(path, text, 0o644); err != nil {
		return fault(err)
	}
	fmt.Fprintln(c.Root().ErrWriter, "written:", path)
	return nil
}
