package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

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
