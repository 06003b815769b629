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

// problemList collects the problems of a configuration, with the paths of fields such as Routes[2].TimeoutMs.
type problemList []diagnostic.Finding

// add adds a problem with the field at a path.
func (l *problemList) add(path, format string, args ...any) {
	*l = append(*l, diagnostic.Finding{Path: path, Text: fmt.Sprintf(format, args...)})
}

// validateConfig returns all problems of a configuration's values. It doesn't compare the version with the current one.
func validateConfig(config *configpb.Config) problemList {
	problems := validateRouting(config)
	problems.validatePlaces(config.GetRoutes())
	problems.validateUnusedServices(config)
	problems.validateTenants(config.GetTenants())
	return problems
}

// validateRouting returns the problems without which a configuration can be compiled. All earlier versions have validated these as well.
func validateRouting(config *configpb.Config) (problems problemList) {
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
	for i, route := range config.GetRoutes() {
		problems.validateRoute(fmt.Sprintf("Routes[%d]", i), route, services)
	}
	return problems
}

// validatePlaces adds a problem for each route at the place of an earlier one.
func (l *problemList) validatePlaces(routes []*configpb.Route) {
	indexByKey := map[RouteKey]int{}
	for i, route := range routes {
		key := newRouteKey(route.GetHost(), route.GetPathPrefix())
		if other, isTaken := indexByKey[key]; isTaken {
			l.add(fmt.Sprintf("Routes[%d]", i), "same Host and PathPrefix as Routes[%d]", other)
			continue
		}
		indexByKey[key] = i
	}
}

// validateUnusedServices adds a problem for each route that names an unknown service beside its weighted services, which are used instead. Earlier
// versions have accepted such a route.
func (l *problemList) validateUnusedServices(config *configpb.Config) {
	services := map[string]bool{"": true} // a route with weighted services needs no other
	for _, service := range config.GetServices() {
		services[service.GetName()] = true
	}
	for i, route := range config.GetRoutes() {
		if name := route.GetService(); len(route.GetWeightedServices()) > 0 && !services[name] {
			l.add(fmt.Sprintf("Routes[%d].Service", i), "unknown service %q", name)
		}
	}
}

// validateRoute adds the problems of a route. services holds the names of the services.
func (l *problemList) validateRoute(path string, route *configpb.Route, services map[string]bool) {
	if !isPositive(route.GetTimeoutMs()) {
		l.add(path+".TimeoutMs", "want a time above 0")
	}
	switch RouteKind(route.GetRouteType()) {
	case Idempotent, NonIdempotent, Streaming:
	default:
		l.add(path+".RouteType", "unknown %q", route.GetRouteType())
	}
	prefix := route.GetPathPrefix()
	if prefix == "" || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		l.add(path+".PathPrefix", "%q doesn't begin and end with a slash", prefix)
	}
	if len(route.GetWeightedServices()) > 0 {
		l.validateWeights(path+".WeightedServices", route.GetWeightedServices(), services)
	} else if !services[route.GetService()] {
		l.add(path+".Service", "unknown service %q", route.GetService())
	}
}

// isPositive reports whether a value is finite and above 0. The JSON form of a double may be NaN or Infinity, in quotes.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }

// validateWeights adds the problems of the weighted services of a route.
func (l *problemList) validateWeights(path string, weights []*configpb.WeightedService, services map[string]bool) {
	sum := 0.0
	for i, weighted := range weights {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !services[weighted.GetService()] {
			l.add(itemPath, "unknown service %q", weighted.GetService())
		}
		if weight := weighted.GetWeight(); weight != 0 && !isPositive(weight) {
			l.add(itemPath+".Weight", "want a number that is not below 0, not %v", weight)
			return
		}
		sum += weighted.GetWeight()
	}
	if !isPositive(sum) {
		l.add(path, "weights add up to 0")
	}
}

// Report is the result of validating a document.
type Report struct {
	Table   *Table               // nil if there are faults
	Faults  []diagnostic.Finding // each of them makes a control process reject the document
	Unknown []diagnostic.Finding // fields that this version ignores
}

// Validate parses and compiles a document as Parse does, and returns all problems with their lines instead of the first one.
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
		report.Table = compileTable(&config, data)
	}
	return report
}

// checkConfig reads the readable values into config and returns their problems. It leaves out problems that follow from a value
// that can't be read.
func (d *jsonDocument) checkConfig(root *jsonNode, config *configpb.Config) (problems []diagnostic.Finding) {
	var text bytes.Buffer
	root.writeReadable(&text)
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text.Bytes(), config); err != nil {
		return []diagnostic.Finding{{Text: "can't be read"}} // the error may quote a key
	}
	unreadable := slices.Clone(d.faults)
	for _, problem := range validateConfig(config) {
		isRelated := func(fault diagnostic.Finding) bool {
			return strings.HasPrefix(problem.Path, fault.Path) || strings.HasPrefix(fault.Path, problem.Path)
		}
		if slices.ContainsFunc(unreadable, isRelated) {
			continue
		}
		if offset, isKnown := d.nearestOffset(problem.Path); isKnown {
			problem.Line, problem.Column = d.lines.At(offset)
		}
		problems = append(problems, problem)
	}
	return problems
}

// nearestOffset returns the offset of the value at a path, or of the innermost value on the path that exists.
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
