package routeconfig

import (
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig/configpb"
)

// Error is the class of the errors of Parse, ParsePatch and Patch.Apply. They name the field, or list and item, on one line.
var Error = errs.Class("configuration")

// RouteKind says when attempts of a route's requests may be retried.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"     // an attempt may always be retried
	NonIdempotent RouteKind = "non_idempotent" // an attempt may be retried only if it was certainly not executed
	Streaming     RouteKind = "streaming"      // the response is a stream of events; Route.Resumable says whether it may be retried
)

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Service string  `msgpack:"s"`
	Weight  float64 `msgpack:"w"`
}

// Route is a route of the table. It applies to requests for its host whose path begins with its prefix.
type Route struct {
	Name             string            `msgpack:"n"`
	Host             string            `msgpack:"h"`
	PathPrefix       string            `msgpack:"p"` // begins and ends with a slash
	Kind             RouteKind         `msgpack:"k"`
	TimeoutMs        float64           `msgpack:"t"` // of a request, including all its attempts
	LatencyTargetMs  float64           `msgpack:"a"` // objective for the first event, 0: none
	Priority         int               `msgpack:"r"` // priority class of the requests
	Services         []WeightedService `msgpack:"s"` // at least one
	MaxAttempts      int               `msgpack:"m"` // at least 1
	Sticky           bool              `msgpack:"y"`
	Resumable        bool              `msgpack:"e"`           // a stream may be continued by another attempt
	TokenGapTargetMs float64           `msgpack:"g"`           // objective for the pauses between events, 0: none
	IsPublic         bool              `msgpack:"u,omitempty"` // requests need no key
}

// Engine describes the model servers of a service; 0 means unknown.
type Engine struct {
	Slots              int     `msgpack:"s"` // requests that one server can run at a time
	KVTokens           int64   `msgpack:"t"` // tokens that one server's KV cache holds
	KVTokenBytes       float64 `msgpack:"b"` // size of a token in the KV cache
	LinkMbps           float64 `msgpack:"l"` // capacity of a server's link, for transfers of the KV cache
	HandleTTLSeconds   float64 `msgpack:"h"` // time for which the result of a prefill is kept
	StageSwitchSeconds float64 `msgpack:"w"` // how long a change of the stage takes
}

// Service is a service of the table.
type Service struct {
	Name           string  `msgpack:"n"`
	HealthPath     string  `msgpack:"h"`
	MaxConnections int     `msgpack:"c"` // that one server accepts from all clients together, 0: unknown
	Engine         *Engine `msgpack:"e"` // nil if its servers run no model
}

// Limits bounds what clients may send.
type Limits struct {
	MaxHeaderBytes  int64   `msgpack:"h"`
	MaxBodyBytes    int64   `msgpack:"b"`
	HeaderTimeoutMs float64 `msgpack:"t"`
	IdleTimeoutMs   float64 `msgpack:"i"`
}

// Table is a configuration in the form that proxies use. It is not changed once it is compiled.
type Table struct {
	Version  uint64    `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	Limits   Limits    `msgpack:"l"`

	// Tables of earlier versions lack these fields.
	Form      Form          `msgpack:"f,omitempty"`
	Tenants   []Tenant      `msgpack:"t,omitempty"` // if empty, requests need no key
	KeySecret apikey.Secret `msgpack:"k,omitempty"` // of the tenants' key digests; nil if there are no tenants
}

// Parse validates and compiles a document that an operator has sent. It doesn't compare the version with the current one. The error names the
// first problem, without any value of a tenant; Validate returns all problems.
func Parse(data []byte) (*Table, error) {
	config, err := unmarshal(data)
	if err != nil {
		return nil, err
	}
	if problems := validateConfig(config); len(problems) > 0 {
		return nil, Error.New("%s", problems[0])
	}
	return compileTable(config, data), nil
}

// ParseChosen compiles a document from the register. An earlier version, which validated less than Parse does, may have accepted it. It has to
// take effect nevertheless, or the fleet would serve nothing after an upgrade. The table contains all its routes, also those that share a place
// (see Table.RoutesByKey), so that processes of earlier versions are sent the same.
func ParseChosen(data []byte) (*Table, error) {
	config, err := unmarshal(data)
	if err != nil {
		return nil, err
	}
	if problems := validateRouting(config); len(problems) > 0 {
		return nil, Error.New("%s", problems[0])
	}
	return compileTable(config, data), nil
}

// unmarshal reads a document. Danger: errors of protojson quote the document and so may contain a key. The error that is returned instead names
// only line and field.
func unmarshal(data []byte) (*configpb.Config, error) {
	config := &configpb.Config{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, config); err != nil {
		if faults := Validate(data).Faults; len(faults) > 0 {
			return nil, Error.New("%s", faults[0])
		}
		return nil, Error.New("can't be read")
	}
	return config, nil
}

// compileTable compiles a valid configuration, which was read from document.
func compileTable(config *configpb.Config, document []byte) *Table {
	table := &Table{Version: config.GetVersion(), Form: LatestForm, Limits: Limits{
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
	if len(config.GetTenants()) > 0 {
		table.KeySecret = apikey.NewSecret(document)
		table.Tenants = compileTenants(config.GetTenants(), table.KeySecret)
	}
	return table
}

// compileRoute compiles a route; a single service gets the weight 1.
func compileRoute(route *configpb.Route) Route {
	compiled := Route{
		Name: route.GetName(), Host: route.GetHost(), PathPrefix: route.GetPathPrefix(), Kind: RouteKind(route.GetRouteType()),
		TimeoutMs: route.GetTimeoutMs(), LatencyTargetMs: route.GetTargetLatencyMs(), Priority: int(route.GetPriority()),
		MaxAttempts: max(int(route.GetMaxAttempts()), 1), Sticky: route.GetSticky(), Resumable: route.GetResumable(),
		TokenGapTargetMs: route.GetGapAim(), IsPublic: route.GetPublic(),
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
