// Package routes holds the operator's configuration: reading and checking it, and the compact table that proxies route by.
package routes

import (
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"

	"hazelwheel/internal/routes/configpb"
)

// Error is the class of errors that say why a configuration is invalid.
var Error = errs.Class("configuration")

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service string  `msgpack:"s"`
	Weight  float64 `msgpack:"w"`
}

// Route is one route of the table. Times are in milliseconds.
type Route struct {
	Name        string   `msgpack:"n"`
	Host        string   `msgpack:"h"`
	PathPrefix  string   `msgpack:"p"`
	Kind        Kind     `msgpack:"k"`
	TimeoutMs   float64  `msgpack:"t"`
	TargetMs    float64  `msgpack:"a"`
	Priority    int      `msgpack:"r"`
	Targets     []Target `msgpack:"s"`
	MaxAttempts int      `msgpack:"m"`
	Sticky      bool     `msgpack:"y"`
	Resumable   bool     `msgpack:"e"`
	GapMs       float64  `msgpack:"g"`
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int     `msgpack:"s"`
	KVTokens     int64   `msgpack:"t"`
	KVTokenBytes float64 `msgpack:"b"`
	LinkMbps     float64 `msgpack:"l"`
	HandleTTLS   float64 `msgpack:"h"`
	SwitchS      float64 `msgpack:"w"`
}

// Service is one service of the table. Engine is nil where its servers run no model.
type Service struct {
	Name           string  `msgpack:"n"`
	HealthPath     string  `msgpack:"h"`
	MaxConnections int     `msgpack:"c"`
	Engine         *Engine `msgpack:"e"`
}

// Limits bounds what clients may send.
type Limits struct {
	MaxHeaderBytes  int64   `msgpack:"h"`
	MaxBodyBytes    int64   `msgpack:"b"`
	HeaderTimeoutMs float64 `msgpack:"t"`
	IdleTimeoutMs   float64 `msgpack:"i"`
}

// Table is a configuration in the form that proxies use.
type Table struct {
	Version  uint64    `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	Limits   Limits    `msgpack:"l"`
}

// Parse reads a configuration and checks it by itself, without regard to the version that is current.
func Parse(data []byte) (*Table, error) {
	var config configpb.Config
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, &config); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := check(&config); err != nil {
		return nil, err
	}
	return compile(&config), nil
}

func check(config *configpb.Config) error {
	if config.GetVersion() == 0 {
		return Error.New("Version: want a number above 0")
	}
	services := map[string]bool{}
	for i, service := range config.GetServices() {
		name := service.GetName()
		if name == "" || services[name] {
			return Error.New("Services[%d].Name: %q is empty or stands twice", i, name)
		}
		services[name] = true
	}
	places := map[string]int{}
	for i, route := range config.GetRoutes() {
		if err := checkRoute(i, route, services); err != nil {
			return err
		}
		place := route.GetHost() + route.GetPathPrefix()
		if other, taken := places[place]; taken {
			return Error.New("Routes[%d]: same Host and PathPrefix as Routes[%d]", i, other)
		}
		places[place] = i
	}
	return nil
}

func checkRoute(i int, route *configpb.Route, services map[string]bool) error {
	if route.GetTimeoutMs() <= 0 {
		return Error.New("Routes[%d].TimeoutMs: want a time above 0", i)
	}
	switch Kind(route.GetRouteType()) {
	case Idempotent, NonIdempotent, Streaming:
	default:
		return Error.New("Routes[%d].RouteType: unknown %q", i, route.GetRouteType())
	}
	prefix := route.GetPathPrefix()
	if prefix == "" || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		return Error.New("Routes[%d].PathPrefix: %q doesn't begin and end with a slash", i, prefix)
	}
	if len(route.GetWeightedServices()) == 0 {
		if !services[route.GetService()] {
			return Error.New("Routes[%d].Service: unknown service %q", i, route.GetService())
		}
		return nil
	}
	sum := 0.0
	for j, weighted := range route.GetWeightedServices() {
		if !services[weighted.GetService()] {
			return Error.New("Routes[%d].WeightedServices[%d]: unknown service %q", i, j, weighted.GetService())
		}
		if weighted.GetWeight() < 0 {
			return Error.New("Routes[%d].WeightedServices[%d].Weight: below 0", i, j)
		}
		sum += weighted.GetWeight()
	}
	if sum <= 0 {
		return Error.New("Routes[%d].WeightedServices: weights add up to 0", i)
	}
	return nil
}

func compile(config *configpb.Config) *Table {
	table := &Table{Version: config.GetVersion(), Limits: Limits{
		MaxHeaderBytes:  config.GetLimits().GetMaxHeaderBytes(),
		MaxBodyBytes:    config.GetLimits().GetMaxBodyBytes(),
		HeaderTimeoutMs: config.GetLimits().GetHeaderTimeoutMs(),
		IdleTimeoutMs:   config.GetLimits().GetIdleTimeoutMs(),
	}}
	for _, route := range config.GetRoutes() {
		table.Routes = append(table.Routes, compileRoute(route))
	}
	for _, service := range config.GetServices() {
		table.Services = append(table.Services, compileService(service))
	}
	return table
}

func compileRoute(route *configpb.Route) Route {
	compiled := Route{
		Name: route.GetName(), Host: route.GetHost(), PathPrefix: route.GetPathPrefix(), Kind: Kind(route.GetRouteType()),
		TimeoutMs: route.GetTimeoutMs(), TargetMs: route.GetTargetLatencyMs(), Priority: int(route.GetPriority()),
		MaxAttempts: max(int(route.GetMaxAttempts()), 1), Sticky: route.GetSticky(), Resumable: route.GetResumable(),
		GapMs: route.GetGapAim(),
	}
	for _, weighted := range route.GetWeightedServices() {
		compiled.Targets = append(compiled.Targets, Target{weighted.GetService(), weighted.GetWeight()})
	}
	if len(compiled.Targets) == 0 {
		compiled.Targets = []Target{{route.GetService(), 1}}
	}
	return compiled
}

func compileService(service *configpb.Service) Service {
	compiled := Service{Name: service.GetName(), HealthPath: service.GetHealthPath(), MaxConnections: int(service.GetMaxConnections())}
	if engine := service.GetEngine(); engine != nil {
		compiled.Engine = &Engine{Slots: int(engine.GetSlots()), KVTokens: engine.GetKvTokens(), KVTokenBytes: engine.GetKvTokenBytes(),
			LinkMbps: engine.GetLinkMbps(), HandleTTLS: engine.GetHandleTtl(), SwitchS: engine.GetSwitch()}
	}
	return compiled
}
