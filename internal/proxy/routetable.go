package proxy

import (
	"math/rand/v2"
	"net/http"
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
	byRouteKey *iradix.Tree[*routeconfig.Route] // by routeconfig.RouteKey
	services   map[string]*routeconfig.Service  // by name
}

// newRouteTable returns the routeTable of a configuration, which must not change afterwards.
func newRouteTable(table *routeconfig.Table) *routeTable {
	routes := &routeTable{version: table.Version, form: table.Form, limits: table.Limits, tenants: newTenantIndex(table), priorities: newPriorityRanks(table),
		services: map[string]*routeconfig.Service{}}
	txn := iradix.New[*routeconfig.Route]().Txn()
	for key, route := range table.RoutesByKey() {
		txn.Insert([]byte(key), route)
	}
	routes.byRouteKey = txn.Commit()
	for i := range table.Services {
		routes.services[table.Services[i].Name] = &table.Services[i]
	}
	return routes
}

// usualKeyBytes is the size of most requests' keys. A longer one is allocated.
const usualKeyBytes = 128

// find returns the route of a request, which is the one with the longest matching path prefix, or nil if there is none.
func (t *routeTable) find(r *http.Request) *routeconfig.Route {
	var buffer [usualKeyBytes]byte
	_, route, found := t.byRouteKey.Root().LongestPrefix(routeconfig.AppendKey(buffer[:0], r.Host, sentPath(r)))
	if !found {
		return nil
	}
	return route
}

// sentPath returns the path of a request as the client has sent it.
func sentPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
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
