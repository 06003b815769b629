package routeconfig

import (
	"strconv"
	"strings"
)

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

// newRouteKey returns the key of a route from its host and its path prefix.
func newRouteKey(host, prefix string) RouteKey { return RouteKey(AppendKey(nil, host, prefix)) }

// AppendKey appends the key of a request, from its Host field and its path as it was sent, which may have percent-encoded characters.
func AppendKey(key []byte, host, path string) []byte {
	key = append(key, normalizeHost(host)...)
	key = append(key, keySeparator...)
	return append(key, normalizePath(path)...)
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

// The escapes that normalizePath keeps.
const (
	escapedSlash   = "%2F"
	escapedPercent = "%25"
	escapeLength   = len(escapedSlash)
)

// normalizePath returns the form of a path or prefix by which paths are compared. A percent-encoded character and the character itself are the same,
// except for a slash: an encoded one doesn't separate the segments of a path (RFC 3986, section 2.2).
func normalizePath(path string) string {
	if strings.IndexByte(path, '%') < 0 {
		return path
	}
	var normalized strings.Builder
	normalized.Grow(len(path))
	for i := 0; i < len(path); i++ {
		decoded, isEscape := decodeEscape(path[i:])
		switch {
		case !isEscape && path[i] == '%':
			normalized.WriteString(escapedPercent)
			continue
		case !isEscape:
			normalized.WriteByte(path[i])
			continue
		case decoded == '/':
			normalized.WriteString(escapedSlash)
		case decoded == '%':
			normalized.WriteString(escapedPercent)
		default:
			normalized.WriteByte(decoded)
		}
		i += escapeLength - 1
	}
	return normalized.String()
}

// decodeEscape returns the byte that a text begins with in percent-encoded form. It returns false if the text begins with no valid escape.
func decodeEscape(text string) (byte, bool) {
	if len(text) < escapeLength || text[0] != '%' {
		return 0, false
	}
	value, err := strconv.ParseUint(text[1:escapeLength], 16, 8)
	return byte(value), err == nil
}

// hasEscape reports whether a path has percent-encoded characters.
func hasEscape(path string) bool {
	for i := range len(path) {
		if _, isEscape := decodeEscape(path[i:]); isEscape {
			return true
		}
	}
	return false
}

// RoutesByKey returns the route in force at each place.
//
// Danger: earlier versions have accepted configurations in which routes share a place, and processes of those versions run side by side with this
// one. The last route of a place is in force, as in their proxies. They never find a route whose place is not plainly written (see isPlain): it is
// not in force beside another one.
func (t *Table) RoutesByKey() map[RouteKey]*Route {
	byKey := make(map[RouteKey]*Route, len(t.Routes))
	for i := range t.Routes {
		route, key := &t.Routes[i], t.Routes[i].Key()
		if other := byKey[key]; other != nil && other.isPlain() && !route.isPlain() {
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

// isPlain reports whether the host has neither a port nor an IPv6 address without its brackets, and the prefix no percent-encoded characters.
func (r *Route) isPlain() bool { return withoutPort(r.Host) == r.Host && !hasEscape(r.PathPrefix) }
