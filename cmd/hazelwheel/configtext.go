package main

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

// fileAnswers are the answers of which a new file is made.
type fileAnswers struct {
	kind    string            // app or site
	fields  map[string]string // values by the paths of their fields
	classes []string          // in the form of the flag --class
}

func newFileAnswers(kind string) fileAnswers {
	return fileAnswers{kind: kind, fields: map[string]string{"format": kind + "/1"}}
}

// encode returns the answers as TOML that appconfig.Read parses. It is not the text that is written: that is formatFile's.
func (a *fileAnswers) encode() string {
	var b strings.Builder
	for _, field := range slices.Sorted(maps.Keys(a.fields)) {
		fmt.Fprintf(&b, "%s = %s\n", field, tomlValue(field, a.fields[field]))
	}
	for _, class := range a.classes {
		words := strings.Fields(class)
		if len(words) == 0 {
			continue
		}
		fmt.Fprintf(&b, "[[class]]\nname = %s\n", tomlString(words[0]))
		for _, word := range words[1:] {
			key, value, _ := strings.Cut(word, "=")
			fmt.Fprintf(&b, "%s = %s\n", key, tomlValue("class."+key, value))
		}
	}
	return b.String()
}

// formatFile returns the text of a new file with its comments.
func formatFile(kind string, f *appconfig.File) ([]byte, error) {
	const header = "# Written by hazelwheel config new. After a change: hazelwheel config check FILE\n"
	var content any = f.App
	if kind == "site" {
		content = f.Site
	}
	text, err := appconfig.Format(content)
	return append([]byte(header), text...), err
}

// unquotedLiteral matches the booleans and numbers of TOML that answers may hold.
var unquotedLiteral = regexp.MustCompile(`^(true|false|[0-9]+(\.[0-9]+)?)$`)

// tomlValue encodes the value of a field: places as an array of strings, booleans and numbers unquoted except in names, else a string.
func tomlValue(field, value string) string {
	if field == "places" {
		var elements []string
		for _, element := range strings.Split(value, ",") {
			elements = append(elements, tomlString(strings.TrimSpace(element)))
		}
		return "[" + strings.Join(elements, ", ") + "]"
	}
	if unquotedLiteral.MatchString(value) && field != "name" && !strings.HasSuffix(field, ".name") {
		return value
	}
	return tomlString(value)
}

// tomlString encodes a basic string of TOML.
func tomlString(s string) string {
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
