package routeconfig

import (
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"

	"hazelwheel/internal/routeconfig/configpb"
)

// Error is the class of errors that say why a configuration is invalid.
var Error = errs.Class("configuration")

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "non_idempotent"
	Streaming     RouteKind = "streaming"
)

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string  `msgpack:"s"`
	Weight  float64 `msgpack:"w"`
}

// Route is one route of the table. Times are in milliseconds.
type Route struct {
	Name             string            `msgpack:"n"`
	Host             string            `msgpack:"h"`
	PathPrefix       string            `msgpack:"p"`
	Kind             RouteKind         `msgpack:"k"`
	TimeoutMs        float64           `msgpack:"t"`
	LatencyTargetMs  float64           `msgpack:"a"`
	Priority         int               `msgpack:"r"`
	Services         []WeightedService `msgpack:"s"`
	MaxAttempts      int               `msgpack:"m"`
	Sticky           bool              `msgpack:"y"`
	Resumable        bool              `msgpack:"e"`
	TokenGapTargetMs float64           `msgpack:"g"`
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots              int     `msgpack:"s"`
	KVTokens           int64   `msgpack:"t"`
	KVTokenBytes       float64 `msgpack:"b"`
	LinkMbps           float64 `msgpack:"l"`
	HandleTTLSeconds   float64 `msgpack:"h"`
	StageSwitchSeconds float64 `msgpack:"w"`
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
	if faults := validateConfig(&config); len(faults) > 0 {
		return nil, Error.New("%s", faults[0])
	}
	return compileTable(&config), nil
}

func compileTable(config *configpb.Config) *Table {
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
		Name: route.GetName(), Host: route.GetHost(), PathPrefix: route.GetPathPrefix(), Kind: RouteKind(route.GetRouteType()),
		TimeoutMs: route.GetTimeoutMs(), LatencyTargetMs: route.GetTargetLatencyMs(), Priority: int(route.GetPriority()),
		MaxAttempts: max(int(route.GetMaxAttempts()), 1), Sticky: route.GetSticky(), Resumable: route.GetResumable(),
		TokenGapTargetMs: route.GetGapAim(),
	}
	for _, weighted := range route.GetWeightedServices() {
		compiled.Services = append(compiled.Services, WeightedService{weighted.GetService(), weighted.GetWeight()})
	}
	if len(compiled.Services) == 0 {
		compiled.Services = []WeightedService{{route.GetService(), 1}}
	}
	return compiled
}

func compileService(service *configpb.Service) Service {
	compiled := Service{Name: service.GetName(), HealthPath: service.GetHealthPath(), MaxConnections: int(service.GetMaxConnections())}
	if engine := service.GetEngine(); engine != nil {
		compiled.Engine = &Engine{Slots: int(engine.GetSlots()), KVTokens: engine.GetKvTokens(), KVTokenBytes: engine.GetKvTokenBytes(),
			LinkMbps: engine.GetLinkMbps(), HandleTTLSeconds: engine.GetHandleTtl(), StageSwitchSeconds: engine.GetSwitch()}
	}
	return compiled
}
