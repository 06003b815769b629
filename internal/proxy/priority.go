package proxy

import (
	"slices"

	"hazelwheel/internal/routeconfig"
)

// maxPriority is the highest value of the Priority field, for the least urgent requests.
const maxPriority = 9

// priorityRanks derives the Priority field of requests from the priorities of tenants and routes. The tenant's priority, or the route's for
// requests without one, is the primary criterion. Among requests that are equal in it the route's priority decides, so that a tenant's urgent requests
// still go before its other ones.
type priorityRanks struct {
	precedences []int // distinct priorities of tenants, and of routes for requests without a tenant's; sorted
	routes      []int // distinct priorities of routes, sorted; nil if they are not used as second criterion
}

// newPriorityRanks returns the ranks of a configuration.
func newPriorityRanks(table *routeconfig.Table) *priorityRanks {
	ranks := &priorityRanks{}
	for i := range table.Routes {
		ranks.routes = append(ranks.routes, table.Routes[i].Priority)
	}
	ranks.routes = sortedUnique(ranks.routes)
	ranks.precedences = slices.Clone(ranks.routes)
	hasTenantPriority := false
	for i := range table.Tenants {
		if priority := table.Tenants[i].Priority; priority != nil {
			ranks.precedences = append(ranks.precedences, *priority)
			hasTenantPriority = true
		}
	}
	ranks.precedences = sortedUnique(ranks.precedences)
	if !hasTenantPriority || len(ranks.routes) < 2 || len(ranks.precedences)*len(ranks.routes) > maxPriority+1 {
		ranks.routes = nil // only the precedence is used: the routes add nothing to it, or there are too many pairs for the range of the field
	}
	return ranks
}

// sortedUnique returns the distinct numbers in ascending order. It may modify its argument.
func sortedUnique(numbers []int) []int {
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

// value returns the value of the Priority field for a request on a route by a tenant, which may be nil.
func (ranks *priorityRanks) value(route *routeconfig.Route, tenant *routeconfig.Tenant) int {
	precedence := route.Priority
	if tenant != nil && tenant.Priority != nil {
		precedence = *tenant.Priority
	}
	if len(ranks.routes) == 0 {
		return min(max(precedence, 0), maxPriority)
	}
	rank, _ := slices.BinarySearch(ranks.precedences, precedence)
	routeRank, _ := slices.BinarySearch(ranks.routes, route.Priority)
	return min(rank*len(ranks.routes)+routeRank, maxPriority)
}
