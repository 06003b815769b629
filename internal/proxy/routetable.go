package proxy

import (
	"math/rand/v2"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"hazelwheel/internal/routeconfig"
)

// routeTable finds routes by host and path, and tenants by keys. It is immutable.
type routeTable struct {
	version    uint64
	form       routeconfig.Form
	limits     routeconfig.Limits
	tenants    *tenantIndex // nil if the configuration has no tenants
	priorities *priorityRanks
	byRouteKey *iradix.Tree[*routeconfig.Route] // by routeKey
	services   map[string]*routeconfig.Service  // by name
}

// newRouteTable returns the routeTable of a configuration, which must not change afterwards.
func newRouteTable(table *routeconfig.Table) *routeTable {
	routes := &routeTable{version: table.Version, form: table.Form, limits: table.Limits, tenants: newTenantIndex(table), priorities: newPriorityRanks(table),
		services: map[string]*routeconfig.Service{}}
	txn := iradix.New[*routeconfig.Route]().Txn()
	for i := range table.Routes {
		route := &table.Routes[i]
		txn.Insert([]byte(routeKey(route.Host, route.PathPrefix)), route)
	}
	routes.byRouteKey = txn.Commit()
	for i := range table.Services {
		routes.services[table.Services[i].Name] = &table.Services[i]
	}
	return routes
}

// routeKey joins a host and a path prefix. The zero byte between them, which no host contains, keeps one host from being a prefix of another.
func routeKey(host, path string) string { return strings.ToLower(host) + "\x00" + path }

// find returns the route with the longest matching path prefix, or nil if there is none. A port in the host is ignored.
func (t *routeTable) find(host, path string) *routeconfig.Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	_, route, found := t.byRouteKey.Root().LongestPrefix([]byte(routeKey(host, path)))
	if !found {
		return nil
	}
	return route
}

// pickService chooses the service of a request at random, by the weights of the route.
func pickService(route *routeconfig.Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	sum := 0.0
	for _, weighted := range route.Services {
		sum += weighted.Weight
	}
	draw := rand.Float64() * sum
	for _, weighted := range route.Services {
		if draw -= weighted.Weight; draw < 0 {
			return weighted.Service
		}
	}
	for _, weighted := range route.Services {
		if weighted.Weight > 0 {
			return weighted.Service
		}
	}
	return route.Services[0].Service
}
