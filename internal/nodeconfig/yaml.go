package nodeconfig

import (
	"errors"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"hazelwheel/internal/diagnostic"
)

// lineOfText finds the line in an error of the library.
var lineOfText = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// unreadable returns what the library says, a finding each.
func unreadable(err error) (found faults) {
	texts := []string{err.Error()}
	var several *yaml.TypeError
	if errors.As(err, &several) {
		texts = several.Errors
	}
	for _, text := range texts {
		text = strings.ReplaceAll(text, "\n", " ")
		line := 0
		if match := lineOfText.FindStringSubmatch(text); match != nil {
			line, _ = strconv.Atoi(match[1]) // digits
			text = text[len(match[0]):]
		}
		found = append(found, diagnostic.Finding{Line: line, Column: min(line, 1), Text: text})
	}
	return found
}

// placeOf returns the line and column of a field, such as Bounds.GraceS, or of the outermost one that is there; 0: none is.
func placeOf(document *yaml.Node, place string) (line, column int) {
	if len(document.Content) == 0 {
		return 0, 0
	}
	at := document.Content[0]
	for name := range strings.SplitSeq(place, ".") {
		i := keyIndex(at, name)
		if i < 0 {
			return line, column
		}
		line, column = at.Content[i].Line, at.Content[i].Column
		at = at.Content[i+1]
	}
	return line, column
}

// keyIndex returns where a key of a mapping is, -1 where it isn't.
func keyIndex(mapping *yaml.Node, name string) int {
	if mapping.Kind != yaml.MappingNode {
		return -1
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return i
		}
	}
	return -1
}

// unknownFields returns the fields of a mapping that a type does not have, and those of the mappings in it.
func unknownFields(mapping *yaml.Node, place string, of reflect.Type) (unknown []diagnostic.Finding) {
	if mapping.Kind != yaml.MappingNode || of.Kind() != reflect.Struct {
		return nil
	}
	types := map[string]reflect.Type{}
	for i := range of.NumField() {
		if name := of.Field(i).Tag.Get("yaml"); name != "" {
			types[name] = of.Field(i).Type
		}
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key := mapping.Content[i]
		fieldPlace := strings.TrimPrefix(place+"."+key.Value, ".")
		known, ok := types[key.Value]
		if !ok {
			unknown = append(unknown, diagnostic.Finding{Line: key.Line, Column: key.Column, Place: fieldPlace, Text: "not known, passed over"})
			continue
		}
		unknown = append(unknown, unknownFields(mapping.Content[i+1], fieldPlace, known)...)
	}
	return unknown
}
