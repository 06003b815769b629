package proxy

import (
	"math/rand/v2"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"hazelwheel/internal/routes"
)

// routeTable finds routes by host and path. It never changes.
type routeTable struct {
	version  uint64
	limits   routes.Limits
	tree     *iradix.Tree[*routes.Route]
	services map[string]*routes.Service
}

func newRouteTable(table *routes.Table) *routeTable {
	t := &routeTable{version: table.Version, limits: table.Limits, services: map[string]*routes.Service{}}
	txn := iradix.New[*routes.Route]().Txn()
	for i := range table.Routes {
		route := &table.Routes[i]
		txn.Insert([]byte(placeKey(route.Host, route.PathPrefix)), route)
	}
	t.tree = txn.Commit()
	for i := range table.Services {
		t.services[table.Services[i].Name] = &table.Services[i]
	}
	return t
}

// placeKey joins a host and a path. No host holds a zero byte, so none is the beginning of another.
func placeKey(host, path string) string { return strings.ToLower(host) + "\x00" + path }

// find returns the route with the longest prefix, nil if there is none.
func (t *routeTable) find(host, path string) *routes.Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	_, route, found := t.tree.Root().LongestPrefix([]byte(placeKey(host, path)))
	if !found {
		return nil
	}
	return route
}

// target draws the service of a request by the weights.
func target(route *routes.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	sum := 0.0
	for _, weighted := range route.Targets {
		sum += weighted.Weight
	}
	draw := rand.Float64() * sum
	for _, weighted := range route.Targets {
		if draw -= weighted.Weight; draw < 0 {
			return weighted.Service
		}
	}
	for _, weighted := range route.Targets {
		if weighted.Weight > 0 {
			return weighted.Service
		}
	}
	return route.Targets[0].Service
}
