package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/routeconfig"
)

func TestPriorityRanks(t *testing.T) {
	of := func(priority int) *routeconfig.Tenant { return &routeconfig.Tenant{Priority: &priority} }
	table := func(routes, tenants []int) *routeconfig.Table {
		made := &routeconfig.Table{}
		for _, priority := range routes {
			made.Routes = append(made.Routes, routeconfig.Route{Priority: priority})
		}
		for _, priority := range tenants {
			made.Tenants = append(made.Tenants, *of(priority))
		}
		return made
	}
	for name, c := range map[string]struct {
		routes, tenants []int
		tenant          *routeconfig.Tenant
		route           int
		want            int
	}{
		"no tenants: the route's":                    {[]int{0, 1, 2}, nil, nil, 2, 2},
		"no priority of a tenant: the route's":       {[]int{0, 4}, nil, &routeconfig.Tenant{}, 4, 4},
		"above the range of the field":               {[]int{0, 40}, nil, nil, 40, 9},
		"an urgent tenant's urgent request":          {[]int{0, 1, 2}, []int{0, 1}, of(0), 0, 0},
		"an urgent tenant's other request":           {[]int{0, 1, 2}, []int{0, 1}, of(0), 2, 2},
		"another tenant's urgent request":            {[]int{0, 1, 2}, []int{0, 1}, of(1), 0, 3},
		"another tenant's other request":             {[]int{0, 1, 2}, []int{0, 1}, of(1), 2, 5},
		"no tenant, by the route's precedence":       {[]int{0, 1, 2}, []int{0, 1}, nil, 2, 8},
		"too many pairs for the field: the tenant's": {[]int{0, 1, 2, 3}, []int{0, 7}, of(7), 0, 7},
	} {
		t.Run(name, func(t *testing.T) {
			ranks := newPriorityRanks(table(c.routes, c.tenants))
			assert.Equal(t, c.want, ranks.value(&routeconfig.Route{Priority: c.route}, c.tenant))
		})
	}
}
