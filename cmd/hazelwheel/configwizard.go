package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

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
