package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
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

// wizard gathers the fields of a new file.
type wizard struct {
	c       *cli.Command
	kind    string
	asks    bool // there is somebody to ask
	in      *bufio.Reader
	fields  map[string]string // by their paths
	classes []string          // as --class has them
}

// mostAsked bounds how often one question is asked again.
const mostAsked = 5

func (w *wizard) answer(questions []question, site *appconfig.File) error {
	for _, q := range questions {
		value := w.c.String(q.flag)
		if q.flag == "home" && site != nil && len(site.Site.Places) > 0 {
			q.ask += " (" + strings.Join(site.Site.Places, ", ") + ")"
			q.usual = site.Site.Places[0]
		}
		switch {
		case w.c.IsSet(q.flag):
		case w.asks:
			var err error
			if value, err = w.ask(q); err != nil {
				return err
			}
		case q.need && q.usual == "":
			return fmt.Errorf("--%s is missing, and there is no terminal to ask at", q.flag)
		default:
			value = q.usual
		}
		if value != "" {
			w.fields[q.field] = value
		}
	}
	w.classes = w.c.StringSlice("class")
	if len(w.classes) > 0 || !w.asks {
		if len(w.classes) == 0 && w.kind == "app" && site != nil {
			w.classes = classNames(site.Site)
		}
		return nil
	}
	if site != nil {
		q := question{ask: "Classes, with commas (" + strings.Join(classNames(site.Site), ", ") + ")", usual: strings.Join(classNames(site.Site), ",")}
		names, err := w.line(q)
		w.classes = strings.Split(names, ",")
		return err
	}
	for range 1000 {
		text, err := w.line(question{ask: "A class, like: raise-alert effect=keyed group=place window=12s aim=1s deadline=2500ms (nothing: no more)"})
		if err != nil || text == "" {
			return err
		}
		w.classes = append(w.classes, text)
	}
	return nil
}

func classNames(s *appconfig.Site) []string {
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// ask asks until the answer is one that the field takes.
func (w *wizard) ask(q question) (string, error) {
	for range mostAsked {
		value, err := w.line(q)
		if err != nil {
			return "", err
		}
		if value == "" && !q.need {
			return "", nil
		}
		trial := &wizard{kind: w.kind, fields: map[string]string{"format": w.kind + "/1", q.field: value}}
		f := appconfig.Read("the answer", []byte(trial.text()))
		if !f.Bad(w.kind + "." + q.field) {
			return value, nil
		}
		for _, found := range lint.Run([]*appconfig.File{f}, nil) {
			if strings.HasPrefix(found.Place.Field, q.field) {
				fmt.Fprintln(w.c.Root().ErrWriter, found.Message)
			}
		}
	}
	return "", fmt.Errorf("%s: no answer that can be used", q.field)
}

// line asks once.
func (w *wizard) line(q question) (string, error) {
	usual := ""
	if q.usual != "" {
		usual = " [" + q.usual + "]"
	}
	fmt.Fprintf(w.c.Root().ErrWriter, "%s%s: ", q.ask, usual)
	text, err := w.in.ReadString('\n')
	if err != nil && !(errors.Is(err, io.EOF) && text != "") {
		return "", fmt.Errorf("no answer: %w", err)
	}
	if text = strings.TrimSpace(text); text == "" {
		text = q.usual
	}
	return text, nil
}

var bare = regexp.MustCompile(`^(true|false|[0-9]+(\.[0-9]+)?)$`)

// literal writes a value as TOML: numbers and truth as they are, lists of texts where a comma says so, else text.
func (w *wizard) literal(field, value string) string {
	if field == "places" {
		var parts []string
		for _, part := range strings.Split(value, ",") {
			parts = append(parts, quoted(strings.TrimSpace(part)))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	if bare.MatchString(value) && field != "name" && !strings.HasSuffix(field, ".name") {
		return value
	}
	return quoted(value)
}

// quoted writes a TOML text.
func quoted(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteString("\\" + string(r))
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, "\\u%04X", r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// text is a plain TOML text of the answers, for the reader to make sense of.
func (w *wizard) text() string {
	var b strings.Builder
	keys := []string{}
	for key := range w.fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, "%s = %s\n", key, w.literal(key, w.fields[key]))
	}
	for _, class := range w.classes {
		words := strings.Fields(class)
		if len(words) == 0 {
			continue
		}
		fmt.Fprintf(&b, "[[class]]\nname = %s\n", quoted(words[0]))
		for _, word := range words[1:] {
			key, value, _ := strings.Cut(word, "=")
			fmt.Fprintf(&b, "%s = %s\n", key, w.literal("class."+key, value))
		}
	}
	return b.String()
}

// formatted is the file that people will read, with comments.
func (w *wizard) formatted(f *appconfig.File) ([]byte, error) {
	head := "# Written by hazelwheel config new. After a change: hazelwheel config check FILE\n"
	var v any = f.App
	if w.kind == "site" {
		v = f.Site
	}
	text, err := appconfig.Format(v)
	return append([]byte(head), text...), err
}
