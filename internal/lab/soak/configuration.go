package soak

import "fmt"

// configuration is the router fleet's configuration as it is sent by PUT /config and returned by GET /config. The names of fields are its keys.
type (
	configuration struct {
		Version  uint64
		Routes   []configuredRoute
		Services []configuredService
		Tenants  []configuredTenant
	}
	configuredRoute struct {
		Name, Host, PathPrefix, RouteType, Service string
		TimeoutMs, TargetLatencyMs                 int
		MaxAttempts, Priority                      int
		Sticky, Resumable, Public                  bool
	}
	configuredTenant struct {
		Name     string
		APIKeys  []string `json:"ApiKeys"`
		Priority int

		// The limit of the tenant's requests; none where they are left out.
		Unit        string `json:",omitempty"`
		PlainTokens int    `json:",omitempty"`
		RatePerS    int    `json:",omitempty"`
		Burst       int    `json:",omitempty"`
	}
	configuredService struct {
		Name, HealthPath string
		MaxConnections   int
		Engine           *configuredEngine `json:",omitempty"`
	}
	configuredEngine struct {
		Slots, KvTokens, KvTokenBytes int
		LinkMbps, SwitchS             float64
		HandleTTLS                    float64 `json:"HandleTtlS"`
	}
)

// newConfiguration returns the complete configuration of a version: both services, the tenants, the first routes and addedRoutes more.
func newConfiguration(version uint64, addedRoutes int, tenants []configuredTenant) configuration {
	config := configuration{Version: version, Tenants: tenants, Services: []configuredService{{Name: plainService, HealthPath: "/health", MaxConnections: 2000},
		{Name: modelService, HealthPath: "/health", MaxConnections: 2000, Engine: &configuredEngine{Slots: serverSlots, KvTokens: 600_000, KvTokenBytes: 35_000,
			LinkMbps: 1e6, HandleTTLS: 5, SwitchS: stageSwitchDuration.Seconds()}}}}
	add := func(name, prefix, routeType, service string) {
		config.Routes = append(config.Routes, configuredRoute{Name: name, Host: routeHost, PathPrefix: prefix, RouteType: routeType, Service: service,
			TimeoutMs: int(requestDeadline.Milliseconds()), TargetLatencyMs: 500, MaxAttempts: 2})
	}
	add("once", "/once/", "non_idempotent", plainService)
	add("safe", "/safe/", "idempotent", plainService)
	add("prompt", "/prompt/", "streaming", modelService)
	add("feed", "/feed/", "streaming", plainService)
	config.Routes[len(config.Routes)-1].Resumable = true
	add("open", publicRoutePrefix, "idempotent", plainService)
	config.Routes[len(config.Routes)-1].Public = true
	for route := 1; route <= addedRoutes; route++ {
		add(fmt.Sprint("added-", route), addedRoutePrefix(route), "non_idempotent", plainService)
	}
	return config
}

// publicRoutePrefix is the path prefix of the route that needs no key.
const publicRoutePrefix = "/open/"

// addedRoutePrefix is the path prefix of an added route, which are numbered from 1.
func addedRoutePrefix(route int) string { return fmt.Sprintf("/added-%d/", route) }

// configPatch is the body of PATCH /config.
type configPatch struct {
	Version uint64
	Upsert  struct {
		Routes  []configuredRoute
		Tenants []configuredTenant
	}
}
