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
	doc, root, err := newDocument(data)
	if err != nil {
		line, column := doc.lines.At(int(doc.decoder.InputOffset()))
		return Report{Faults: []diagnostic.Finding{{Line: line, Column: column, Text: err.Error()}}}
	}
	var config configpb.Config
	doc.message(root, "", config.ProtoReflect().Descriptor())
	report := Report{Faults: doc.faults, Unknown: doc.unknown}
	if !root.dropped {
		report.Faults = append(report.Faults, doc.refusals(root, &config)...)
	}
	diagnostic.Sort(report.Faults)
	diagnostic.Sort(report.Unknown)
	if len(report.Faults) == 0 {
		report.Table = compile(&config)
	}
	return report
}

// refusals returns why a configuration is refused whose values can be read, but for places that can't.
func (d *document) refusals(root *node, config *configpb.Config) (refused []diagnostic.Finding) {
	var text bytes.Buffer
	root.write(&text)
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text.Bytes(), config); err != nil {
		return []diagnostic.Finding{{Text: err.Error()}}
	}
	unreadable := slices.Clone(d.faults)
	for _, found := range check(config) {
		under := func(fault diagnostic.Finding) bool {
			return strings.HasPrefix(found.Place, fault.Place) || strings.HasPrefix(fault.Place, found.Place)
		}
		if slices.ContainsFunc(unreadable, under) {
			continue // it follows from that
		}
		if offset, there := d.nearest(found.Place); there {
			found.Line, found.Column = d.lines.At(offset)
		}
		refused = append(refused, found)
	}
	return refused
}

// nearest returns where a place is, or the one that it would be in.
func (d *document) nearest(place string) (offset int, there bool) {
	for {
		if offset, there = d.places[place]; there {
			return offset, true
		}
		cut := strings.LastIndexAny(place, ".[")
		if cut < 0 {
			return 0, false
		}
		place = place[:cut]
	}
}
