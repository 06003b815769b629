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

const (
	// maxPrompts limits how often one question is asked until its answer is valid.
	maxPrompts = 5
	// maxPromptedClasses limits how many classes are asked for.
	maxPromptedClasses = 1000
)

// wizard collects the fields of a new file from flags and, at a terminal, from the user.
type wizard struct {
	fileAnswers
	c             *cli.Command
	in            *bufio.Reader
	isInteractive bool // there is a terminal to ask at
}

// collect sets the fields that the questions name, then the classes. The site, which may be nil, has the places and classes to choose from.
func (w *wizard) collect(questions []question, site *appconfig.File) error {
	for _, q := range questions {
		if q.flag == "home" && site != nil && len(site.Site.Places) > 0 {
			q.prompt += " (" + strings.Join(site.Site.Places, ", ") + ")"
			q.defaultValue = site.Site.Places[0]
		}
		value, err := w.answer(q)
		if err != nil {
			return err
		}
		if value != "" {
			w.fields[q.field] = value
		}
	}
	return w.collectClasses(site)
}

// answer returns the value of a question: its flag's, else the user's, else the default.
func (w *wizard) answer(q question) (string, error) {
	switch {
	case w.c.IsSet(q.flag):
		return w.c.String(q.flag), nil
	case w.isInteractive:
		return w.promptUntilValid(q)
	case q.isRequired && q.defaultValue == "":
		return "", fmt.Errorf("--%s is missing, and there is no terminal to ask at", q.flag)
	}
	return q.defaultValue, nil
}

// collectClasses sets the classes: those of the flags, else the user's. Without a terminal an application gets all classes of its site.
func (w *wizard) collectClasses(site *appconfig.File) error {
	w.classes = w.c.StringSlice("class")
	switch {
	case len(w.classes) > 0:
		return nil
	case !w.isInteractive:
		if w.kind == "app" && site != nil {
			w.classes = classNames(site.Site)
		}
		return nil
	case site != nil:
		names := classNames(site.Site)
		answer, err := w.prompt(question{prompt: "Classes, with commas (" + strings.Join(names, ", ") + ")", defaultValue: strings.Join(names, ",")})
		w.classes = strings.Split(answer, ",")
		return err
	}
	for range maxPromptedClasses {
		class, err := w.prompt(question{prompt: "A class, like: raise-alert effect=keyed group=place window=12s aim=1s deadline=2500ms (nothing: no more)"})
		if err != nil || class == "" {
			return err
		}
		w.classes = append(w.classes, class)
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

// promptUntilValid asks until the answer is a valid value of the field, at most maxPrompts times, and prints the findings about those that
// aren't. An optional question may be left without an answer.
func (w *wizard) promptUntilValid(q question) (string, error) {
	for range maxPrompts {
		value, err := w.prompt(q)
		if err != nil {
			return "", err
		}
		if value == "" && !q.isRequired {
			return "", nil
		}
		trial := newFileAnswers(w.kind)
		trial.fields[q.field] = value
		f := appconfig.Read("the answer", []byte(trial.encode()))
		if !f.Bad(w.kind + "." + q.field) {
			return value, nil
		}
		for _, finding := range lint.Run([]*appconfig.File{f}, nil) {
			if strings.HasPrefix(finding.Place.Field, q.field) {
				fmt.Fprintln(w.c.Root().ErrWriter, finding.Message)
			}
		}
	}
	return "", fmt.Errorf("%s: no answer that can be used", q.field)
}

// prompt asks once and returns the line that is entered without surrounding space, or the default where it is empty.
func (w *wizard) prompt(q question) (string, error) {
	suffix := ""
	if q.defaultValue != "" {
		suffix = " [" + q.defaultValue + "]"
	}
	fmt.Fprintf(w.c.Root().ErrWriter, "%s%s: ", q.prompt, suffix)
	line, err := w.in.ReadString('\n')
	if err != nil && !(errors.Is(err, io.EOF) && line != "") {
		return "", fmt.Errorf("no answer: %w", err)
	}
	if line = strings.TrimSpace(line); line == "" {
		line = q.defaultValue
	}
	return line, nil
}
