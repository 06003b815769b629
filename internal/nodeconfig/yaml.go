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

// errorLine matches the line in an error text of the YAML library.
var errorLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// decodeProblems returns the errors of the YAML library as problems.
func decodeProblems(err error) (problems problemList) {
	texts := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		texts = typeError.Errors
	}
	for _, text := range texts {
		text = strings.ReplaceAll(text, "\n", " ")
		line := 0
		if match := errorLine.FindStringSubmatch(text); match != nil {
			line, _ = strconv.Atoi(match[1]) // the match consists of digits
			text = text[len(match[0]):]
		}
		problems = append(problems, diagnostic.Finding{Line: line, Column: min(line, 1), Text: text})
	}
	return problems
}

// positionOf returns the line and column of the field at a path, such as Bounds.GraceS, or of the innermost key on the path
// that exists; 0 if none does.
func positionOf(document *yaml.Node, path string) (line, column int) {
	if len(document.Content) == 0 {
		return 0, 0
	}
	node := document.Content[0]
	for name := range strings.SplitSeq(path, ".") {
		i := keyIndex(node, name)
		if i < 0 {
			return line, column
		}
		line, column = node.Content[i].Line, node.Content[i].Column
		node = node.Content[i+1]
	}
	return line, column
}

// keyIndex returns the index of a key in the content of a mapping, or -1 if the mapping lacks it.
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

// unknownFields returns the keys of a mapping, and of the mappings in it, for which a struct type has no field.
func unknownFields(mapping *yaml.Node, path string, structType reflect.Type) (unknown []diagnostic.Finding) {
	if mapping.Kind != yaml.MappingNode || structType.Kind() != reflect.Struct {
		return nil
	}
	types := map[string]reflect.Type{}
	for i := range structType.NumField() {
		if name := structType.Field(i).Tag.Get("yaml"); name != "" {
			types[name] = structType.Field(i).Type
		}
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key := mapping.Content[i]
		fieldPath := strings.TrimPrefix(path+"."+key.Value, ".")
		known, ok := types[key.Value]
		if !ok {
			unknown = append(unknown, diagnostic.Finding{Line: key.Line, Column: key.Column, Path: fieldPath, Text: "not known, passed over"})
			continue
		}
		unknown = append(unknown, unknownFields(mapping.Content[i+1], fieldPath, known)...)
	}
	return unknown
}
