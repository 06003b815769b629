package routeconfig

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"hazelwheel/internal/diagnostic"
	"hazelwheel/internal/routeconfig/configpb"
)

// problemList collects what is wrong with a configuration.
type problemList []diagnostic.Finding

func (f *problemList) add(path, format string, args ...any) {
	*f = append(*f, diagnostic.Finding{Place: path, Text: fmt.Sprintf(format, args...)})
}

// validateConfig returns all that is wrong with a configuration by itself.
func validateConfig(config *configpb.Config) (problems problemList) {
	if config.GetVersion() == 0 {
		problems.add("Version", "want a number above 0")
	}
	services := map[string]bool{}
	for i, service := range config.GetServices() {
		name := service.GetName()
		if name == "" || services[name] {
			problems.add(fmt.Sprintf("Services[%d].Name", i), "%q is empty or stands twice", name)
		}
		services[name] = true
	}
	routeIndex := map[string]int{}
	for i, route := range config.GetRoutes() {
		path := fmt.Sprintf("Routes[%d]", i)
		problems.validateRoute(path, route, services)
		prefix := route.GetHost() + route.GetPathPrefix()
		if other, isTaken := routeIndex[prefix]; isTaken {
			problems.add(path, "same Host and PathPrefix as Routes[%d]", other)
			continue
		}
		routeIndex[prefix] = i
	}
	return problems
}

func (f *problemList) validateRoute(path string, route *configpb.Route, services map[string]bool) {
	if !isPositive(route.GetTimeoutMs()) {
		f.add(path+".TimeoutMs", "want a time above 0")
	}
	switch RouteKind(route.GetRouteType()) {
	case Idempotent, NonIdempotent, Streaming:
	default:
		f.add(path+".RouteType", "unknown %q", route.GetRouteType())
	}
	prefix := route.GetPathPrefix()
	if prefix == "" || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		f.add(path+".PathPrefix", "%q doesn't begin and end with a slash", prefix)
	}
	if len(route.GetWeightedServices()) > 0 {
		f.validateWeights(path+".WeightedServices", route.GetWeightedServices(), services)
	} else if !services[route.GetService()] {
		f.add(path+".Service", "unknown service %q", route.GetService())
	}
}

// isPositive tells whether a figure is a number above 0; JSON texts may hold NaN and Infinity in quotes.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }

func (f *problemList) validateWeights(path string, weights []*configpb.WeightedService, services map[string]bool) {
	sum := 0.0
	for i, weighted := range weights {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !services[weighted.GetService()] {
			f.add(itemPath, "unknown service %q", weighted.GetService())
		}
		if weight := weighted.GetWeight(); weight != 0 && !isPositive(weight) {
			f.add(itemPath+".Weight", "want a number that is not below 0, not %v", weight)
			return
		}
		sum += weighted.GetWeight()
	}
	if !isPositive(sum) {
		f.add(path, "weights add up to 0")
	}
}

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
