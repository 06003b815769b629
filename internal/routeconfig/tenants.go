package routeconfig

import (
	"fmt"
	"strings"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig/configpb"
)

// Form says which parts of a document a Table includes. Processes of two versions may run side by side: a table of an earlier form may lack parts of
// its document, and is replaced by a table of the same version in a later form.
type Form int

// The forms.
const (
	FormRoutes  Form = 0 // routes, services and the limits of clients; compiled by versions that know no tenants
	FormTenants Form = 1 // also tenants and public routes
	FormLimits  Form = 2 // also the rate limits of tenants

	LatestForm = FormLimits // the form of tables that this version compiles
)

// Tenant is a tenant of the table. A client acts for the tenant that its key belongs to.
type Tenant struct {
	Name       string          `msgpack:"n"`
	Priority   *int            `msgpack:"r,omitempty"` // priority class of its requests, nil: that of the route
	KeyDigests []apikey.Digest `msgpack:"k"`           // under Table.KeySecret
	Limit      *TenantLimit    `msgpack:"l,omitempty"` // rate limit over all proxies together, nil: none
}

// TenantLimit is the rate limit of a tenant, with its burst. Both count requests, or tokens if CountsTokens is set.
type TenantLimit struct {
	RatePerSecond float64 `msgpack:"r"`
	Burst         float64 `msgpack:"b"`
	CountsTokens  bool    `msgpack:"t"`
	PlainTokens   int64   `msgpack:"p"` // cost of a request that declares no number of tokens
}

// The units of limits. A limit without a unit counts requests.
const (
	unitRequests = "request"
	unitTokens   = "token_stream"
)

// validateTenants adds the problems of the tenants. A tenant without keys is valid: operators revoke keys by leaving them out. No text contains
// a key.
func (l *problemList) validateTenants(tenants []*configpb.Tenant) {
	names, owners := map[string]bool{}, map[string]string{}
	for i, tenant := range tenants {
		path, name := fmt.Sprintf("Tenants[%d]", i), tenant.GetName()
		if name == "" || names[name] {
			l.add(path+".Name", "%q is empty or stands twice", name)
		}
		if strings.ContainsFunc(name, isControl) {
			l.add(path+".Name", "%q can't be sent in a header field", name)
		}
		names[name] = true
		l.validateLimit(path, tenant)
		for j, key := range tenant.GetApiKeys() {
			keyPath := fmt.Sprintf("%s.ApiKeys[%d]", path, j)
			if key == "" {
				l.add(keyPath, "the key is empty")
				continue
			}
			if owner, isTaken := owners[key]; isTaken && owner != name {
				l.add(keyPath, "tenants %q and %q share a key", owner, name)
				continue
			}
			owners[key] = name
		}
	}
}

// validateLimit adds the problems of a tenant's limit.
func (l *problemList) validateLimit(path string, tenant *configpb.Tenant) {
	for _, field := range []struct {
		name  string
		value float64
	}{{"RatePerS", tenant.GetRatePerS()}, {"Burst", tenant.GetBurst()}, {"PlainTokens", float64(tenant.GetPlainTokens())}} {
		if field.value != 0 && !isPositive(field.value) {
			l.add(path+"."+field.name, "want a number that is not below 0, not %v", field.value)
		}
	}
}

// compileLimit returns the limit of a tenant, or nil if it has none. An invalid limit that an earlier version has accepted, such as a negative rate,
// counts as no limit.
func compileLimit(tenant *configpb.Tenant) *TenantLimit {
	if !isPositive(tenant.GetRatePerS()) {
		return nil
	}
	limit := &TenantLimit{RatePerSecond: tenant.GetRatePerS(), CountsTokens: tenant.GetUnit() == unitTokens, PlainTokens: max(tenant.GetPlainTokens(), 0)}
	if isPositive(tenant.GetBurst()) {
		limit.Burst = tenant.GetBurst()
	}
	return limit
}

// isControl reports whether a character is an ASCII control character, which can't be part of a header field's value.
func isControl(char rune) bool { return char < ' ' || char == '\x7f' }

// compileTenants compiles the tenants of a document. A key that two tenants share belongs to neither: new documents can't have such a key, but one
// that an earlier version has accepted may.
func compileTenants(tenants []*configpb.Tenant, secret apikey.Secret) []Tenant {
	owners := map[string]string{}
	shared := map[string]bool{}
	for _, tenant := range tenants {
		for _, key := range tenant.GetApiKeys() {
			if owner, isTaken := owners[key]; isTaken && owner != tenant.GetName() {
				shared[key] = true
			}
			owners[key] = tenant.GetName()
		}
	}
	digester := secret.NewDigester()
	compiled := make([]Tenant, 0, len(tenants))
	for _, tenant := range tenants {
		made := Tenant{Name: tenant.GetName(), Limit: compileLimit(tenant)}
		if tenant.Priority != nil {
			priority := int(tenant.GetPriority())
			made.Priority = &priority
		}
		for _, key := range tenant.GetApiKeys() {
			if key != "" && !shared[key] {
				made.KeyDigests = append(made.KeyDigests, digester.Digest(apikey.New(key)))
			}
		}
		compiled = append(compiled, made)
	}
	return compiled
}
