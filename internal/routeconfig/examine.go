package routeconfig

import (
	"bytes"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"hazelwheel/internal/diagnostic"
	"hazelwheel/internal/routeconfig/configpb"
)

// Report is what an examination of a configuration has found.
type Report struct {
	Table   *Table               // nil where there are faults
	Faults  []diagnostic.Finding // for any of which control refuses it
	Unknown []diagnostic.Finding // fields that this version passes over
}

// Validate reads a configuration as Parse does, and returns all that is wrong with it instead of the first fault.
func Validate(data []byte) Report {
	doc, root, err := parseDocument(data)
	if err != nil {
		line, column := doc.lines.At(int(doc.decoder.InputOffset()))
		return Report{Faults: []diagnostic.Finding{{Line: line, Column: column, Text: err.Error()}}}
	}
	var config configpb.Config
	doc.checkMessage(root, "", config.ProtoReflect().Descriptor())
	report := Report{Faults: doc.faults, Unknown: doc.unknown}
	if !root.isOmitted {
		report.Faults = append(report.Faults, doc.checkConfig(root, &config)...)
	}
	diagnostic.Sort(report.Faults)
	diagnostic.Sort(report.Unknown)
	if len(report.Faults) == 0 {
		report.Table = compileTable(&config)
	}
	return report
}

// checkConfig returns why a configuration is refused whose values can be read, but for places that can't.
func (d *jsonDocument) checkConfig(root *jsonNode, config *configpb.Config) (problems []diagnostic.Finding) {
	var text bytes.Buffer
	root.writeReadable(&text)
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text.Bytes(), config); err != nil {
		return []diagnostic.Finding{{Text: err.Error()}}
	}
	unreadable := slices.Clone(d.faults)
	for _, problem := range validateConfig(config) {
		isRelated := func(fault diagnostic.Finding) bool {
			return strings.HasPrefix(problem.Place, fault.Place) || strings.HasPrefix(fault.Place, problem.Place)
		}
		if slices.ContainsFunc(unreadable, isRelated) {
			continue // it follows from that
		}
		if offset, isKnown := d.nearestOffset(problem.Place); isKnown {
			problem.Line, problem.Column = d.lines.At(offset)
		}
		problems = append(problems, problem)
	}
	return problems
}

// nearestOffset returns where a place is, or the one that it would be in.
func (d *jsonDocument) nearestOffset(path string) (offset int, isKnown bool) {
	for {
		if offset, isKnown = d.offsets[path]; isKnown {
			return offset, true
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return 0, false
		}
		path = path[:end]
	}
}
