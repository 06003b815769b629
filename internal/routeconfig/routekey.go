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
func (r *Route) Key() RouteKey { return NewRouteKey(r.Host, r.PathPrefix) }

// NewRouteKey returns the key of a route from its host and its path prefix, or that of a request from its Host field and its path.
func NewRouteKey(host, path string) RouteKey {
	return RouteKey(normalizeHost(host) + keySeparator + path)
}

// normalizeHost returns the form of a host by which hosts are compared. Letter case doesn't distinguish hosts (RFC 9110, section 4.2.3), and
// a port is not part of a host. An IPv6 address is in brackets.
func normalizeHost(host string) string { return strings.ToLower(withoutPort(host)) }

// withoutPort returns a host without the port that may follow it, and an IPv6 address with its brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	switch {
	case colon < 0:
		return host
	case host[0] == '[' && strings.Contains(host, "]"):
		return host[:strings.LastIndexByte(host, ']')+1]
	case host[0] == '[':
		return host // not the form of any host
	case strings.IndexByte(host[:colon], ':') >= 0:
		return "[" + host + "]"
	default:
		return host[:colon]
	}
}

// RoutesByKey returns the route in force at each place.
//
// Danger: earlier versions have accepted configurations in which routes share a place, and processes of those versions run side by side with this
// one. The last route of a place is in force, as in their proxies. They never find a route whose host has a port or lacks its brackets: it is
// not in force beside another one.
func (t *Table) RoutesByKey() map[RouteKey]*Route {
	byKey := make(map[RouteKey]*Route, len(t.Routes))
	for i := range t.Routes {
		route, key := &t.Routes[i], t.Routes[i].Key()
		if other := byKey[key]; other != nil && other.hasPlainHost() && !route.hasPlainHost() {
			continue
		}
		byKey[key] = route
	}
	return byKey
}

// OverriddenRoutes returns the names of the routes that are not in force, since another route has the same place. Only a configuration that an
// earlier version has accepted has any.
func (t *Table) OverriddenRoutes() (names []string) {
	byKey := t.RoutesByKey()
	if len(byKey) == len(t.Routes) {
		return nil
	}
	for i := range t.Routes {
		if route := &t.Routes[i]; byKey[route.Key()] != route {
			names = append(names, route.Name)
		}
	}
	return names
}

// hasPlainHost reports whether the host has neither a port nor an IPv6 address without its brackets.
func (r *Route) hasPlainHost() bool { return withoutPort(r.Host) == r.Host }
