package routeconfig

import "strings"

// RouteKey identifies the place of a route: the host and the path prefix of the requests that it applies to. Two routes share host and prefix
// exactly if their keys are equal. Whatever compares routes by place or finds one for a request has to do it by their keys, so that a
// configuration in which two routes share a place is detected by the same rule by which a proxy would confuse them.
//
// The key of a route is a prefix of the keys of the requests that the route applies to.
type RouteKey string

// keySeparator separates host and path. A request's host never contains it, so no host is taken for the beginning of another.
const keySeparator = "\x00"

// Key returns the place of the route.
func (r *Route) Key() RouteKey { return newRouteKey(r.Host, r.PathPrefix) }

// KeyOfRequest returns the key of a request from its Host field and its path. A port in the field is ignored.
func KeyOfRequest(hostField, path string) RouteKey {
	if colon := strings.LastIndexByte(hostField, ':'); colon >= 0 {
		hostField = hostField[:colon]
	}
	return newRouteKey(hostField, path)
}

// newRouteKey joins a host and a path or path prefix. The names of hosts don't distinguish letter case (RFC 9110, section 4.2.3).
func newRouteKey(host, path string) RouteKey {
	return RouteKey(strings.ToLower(host) + keySeparator + path)
}
