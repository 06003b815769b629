package lint

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

var numbers = regexp.MustCompile(`\[[^\]]*\]`)

// Explain describes a code or a field. If there is none of that name, it returns false and a text with the most similar one.
func Explain(word string) (string, bool) {
	if c, ok := Lookup(word); ok {
		return c.explain(), true
	}
	var out []string
	want := numbers.ReplaceAllString(word, "")
	if model := appconfig.ModelName(want); model != "" {
		want = model
	}
	want = strings.Replace(want, "classes", "class", 1)
	var known []string
	for _, k := range []appconfig.Kind{appconfig.AppFile, appconfig.SiteFile} {
		for _, f := range appconfig.Fields(k) {
			known = append(known, f.Path)
			if f.Path == want {
				out = append(out, explainField(k, &f))
			}
		}
	}
	if len(out) > 0 {
		return strings.Join(out, "\n"), true
	}
	for _, c := range table {
		known = append(known, c.Code)
	}
	if near := appconfig.Nearest(want, known); near != "" {
		return fmt.Sprintf("there is no %q; %s may be meant", word, near), false
	}
	return fmt.Sprintf("there is no code and no field %q", word), false
}

func (c *Check) explain() string {
	return fmt.Sprintf("%s (%s): %s\n\nIt looks at: %s\nIt says:     %s\nWhy:         %s\nInstead:     %s\n",
		c.Code, c.Severity, c.Title, c.Subject, sentence(c.Format), sentence(c.Reason), sentence(c.Remedy))
}

var verbs = regexp.MustCompile(`%(\[(\d)\])?[.0-9]*[a-z]`)

// sentence replaces the verbs of a format by letters: A for the first argument, B for the second.
func sentence(format string) string {
	text := verbs.ReplaceAllStringFunc(format, func(verb string) string {
		if m := verbs.FindStringSubmatch(verb); m[2] != "" {
			return string(rune('A' - 1 + m[2][0] - '0'))
		}
		return "A"
	})
	if text == "" {
		return "-"
	}
	return strings.ReplaceAll(text, "%%", "%")
}

func explainField(k appconfig.Kind, f *appconfig.Field) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, in %s.toml: %s\n\nIt takes:    %s\n", f.Path, k, f.Comment, f.Range())
	if f.Need {
		fmt.Fprintf(&b, "It must be given.\n")
	} else if f.Default != "" {
		fmt.Fprintf(&b, "Without it:  %s\n", f.Default)
	}
	if file, path, ok := strings.Cut(f.File, ":"); ok {
		name := map[string]string{"p": "the platform's file", "f": "the file of features"}[file]
		fmt.Fprintf(&b, "Rendered to: %s in %s", strings.ReplaceAll(path, "/", "."), name)
		if f.Unit != "" {
			fmt.Fprintf(&b, ", in %s", f.Unit)
		}
		fmt.Fprintln(&b)
	}
	var looking []string
	for _, c := range table {
		if slices.Contains(strings.Split(c.Subject, ", "), f.Path) {
			looking = append(looking, c.Code)
		}
	}
	if len(looking) > 0 {
		fmt.Fprintf(&b, "Checked by:  %s\n", strings.Join(looking, ", "))
	}
	return b.String()
}

// Page returns the documentation of all codes as Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Codes of the configuration's checks\n\nMade from the table of checks by `hazelwheel config explain --page`; see [configuration](config.md). A, B, C stand for what is\n" +
		"filled in. An error keeps `config check` from ending with 0, a warning does with `--strict`, a note never.\n")
	for _, c := range table {
		fmt.Fprintf(&b, "\n## %s: %s\n\n%s. Looks at: %s.\n\n- Says: %s.\n", c.Code, c.Title, strings.ToUpper(c.Severity.String()[:1])+c.Severity.String()[1:], c.Subject, sentence(c.Format))
		if c.Reason != "" {
			fmt.Fprintf(&b, "- Why: %s.\n", sentence(c.Reason))
		}
		fmt.Fprintf(&b, "- Instead: %s.\n", strings.TrimSuffix(sentence(c.Remedy), "."))
	}
	return b.String()
}
