package proxy

import (
	"errors"
	"net/http"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig"
)

// errUnknownKey rejects a key that no tenant of the configuration in force has. It doesn't show the key.
var errUnknownKey = errors.New("the key in the field " + apikey.HeaderName + " is not known")

// credentials is what a client has sent to say for whom it acts.
type credentials struct {
	key apikey.Key // the zero value: none that can be read
	err error      // why there is no key
}

// takeCredentials removes a client's key from the header of its request, so that no part of the proxy can forward, log or count it with the other
// fields. Without tenants, a field of another scheme than that of keys belongs to the application and stays.
//
// Danger: a field with the scheme of keys never stays, whatever the configuration says. A configuration that lags, or that a process of an earlier
// version has compiled, lacks tenants that exist.
func takeCredentials(header http.Header, hasTenants bool) credentials {
	if !hasTenants && !apikey.HasScheme(header) {
		return credentials{err: apikey.ErrMissing}
	}
	key, err := apikey.FromHeader(header)
	header.Del(apikey.HeaderName)
	return credentials{key, err}
}

// authorize returns the tenant in whose name a request on a route is executed, nil where it is nobody's: on public routes without a known key, and
// where the configuration has no tenants. Its error says why the request must not be executed.
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

// reauthorize repeats authorize for a request that was admitted by an earlier configuration, and reports whether it may still be executed. A key that
// was taken away while its request was waiting, or between two attempts, has no effect any more; one that was passed on acts for its new tenant.
func (p *Proxy) reauthorize(req *proxyRequest) bool {
	table := p.state.currentTable()
	if table == req.authorizedBy {
		return true
	}
	tenant, err := table.authorize(table.routeNow(req), req.credentials)
	if err != nil {
		return false
	}
	req.tenant, req.authorizedBy = tenant, table
	return true
}

// routeNow returns the route of a request that was admitted by an earlier configuration, or by one in an earlier form: whether a route is public is by the
// configuration in force. A request whose route is gone keeps the one that it has.
func (t *routeTable) routeNow(req *proxyRequest) *routeconfig.Route {
	if route := t.find(req.incoming.Host, req.incoming.URL.Path); route != nil {
		return route
	}
	return req.route
}

// respondRevoked responds that a request was not executed since its key was taken away while it was waiting.
func (p *Proxy) respondRevoked(w http.ResponseWriter) {
	p.stats.countRejected(rejectedUnauthorized)
	w.Header().Set(headerAuthenticate, apikey.Scheme)
	http.Error(w, errUnknownKey.Error(), http.StatusUnauthorized)
}
