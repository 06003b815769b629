package proxy

import (
	"errors"
	"net/http"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig"
)

// errUnknownKey rejects a key that no tenant of the current configuration has. Its text must not contain the key.
var errUnknownKey = errors.New("the key in the field " + apikey.HeaderName + " is not known")

// credentials is the API key that a client has sent to authenticate as a tenant.
type credentials struct {
	key apikey.Key // zero if the client has sent no valid key
	err error      // why there is no key
}

// takeCredentials removes a client's key from the header of its request, so that no part of the proxy can forward, log or count it with the other
// fields. If the configuration has no tenants, a field with another scheme than that of API keys belongs to the application and stays.
//
// Danger: a field with the scheme of API keys is always removed, whatever the configuration says. A configuration that is out of date, or that a
// process of an earlier version has compiled, lacks tenants that exist.
func takeCredentials(header http.Header, hasTenants bool) credentials {
	if !hasTenants && !apikey.HasScheme(header) {
		return credentials{err: apikey.ErrMissing}
	}
	key, err := apikey.FromHeader(header)
	header.Del(apikey.HeaderName)
	return credentials{key, err}
}

// authorize returns the tenant on whose behalf a request on a route is executed, or nil for an anonymous request: one without a known key on a public
// route, or any request if the configuration has no tenants. An error says why the request must not be executed.
func (t *routeTable) authorize(route *routeconfig.Route, sent credentials) (*routeconfig.Tenant, error) {
	if t.tenants == nil {
		return nil, nil
	}
	tenant := t.tenants.find(sent.key)
	switch {
	case tenant != nil || route.IsPublic:
		return tenant, nil
	case sent.err != nil:
		return nil, sent.err
	default:
		return nil, errUnknownKey
	}
}

// reauthorize repeats authorize for a request that was admitted by an earlier configuration, and reports whether it may still be executed. A key may
// have been revoked, or moved to another tenant, while its request was waiting or between two attempts; in the latter case the request is executed
// for the new tenant.
func (p *Proxy) reauthorize(req *proxyRequest) bool {
	table := p.state.currentTable()
	if table == req.authorizedBy {
		return true
	}
	tenant, err := table.authorize(table.currentRoute(req), req.credentials)
	if err != nil {
		return false
	}
	req.tenant, req.authorizedBy = tenant, table
	return true
}

// currentRoute returns the route of a request in the current configuration, which decides whether the route is public. The request may have been
// admitted by an earlier configuration, or by one in an earlier form. A request whose route no longer exists keeps the one that it has.
func (t *routeTable) currentRoute(req *proxyRequest) *routeconfig.Route {
	if route := t.find(req.incoming); route != nil {
		return route
	}
	return req.route
}

// respondRevoked responds that a request was not executed because its key was revoked while it was waiting.
func (p *Proxy) respondRevoked(w http.ResponseWriter) {
	p.stats.countRejected(rejectedUnauthorized)
	w.Header().Set(headerAuthenticate, apikey.Scheme)
	http.Error(w, errUnknownKey.Error(), http.StatusUnauthorized)
}
