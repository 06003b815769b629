package routeconfig

import (
	"fmt"
	"strings"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig/configpb"
)

// Form says which parts of a document a Table was compiled with. Processes of two versions run beside one another: a table of an earlier form
// may lack what its document has, and is replaced by one of a later form of the same version.
type Form int

// The forms.
const (
	FormRoutes  Form = 0 // routes, services and limits: of versions that know no tenants
	FormTenants Form = 1 // tenants and public routes as well
)

// Tenant is a tenant of the table: who clients act for, by their keys.
type Tenant struct {
	Name       string          `msgpack:"n"`
	Priority   *int            `msgpack:"r,omitempty"` // priority class of its requests in place of the route's, nil: the route's
	KeyDigests []apikey.Digest `msgpack:"k"`           // under Table.KeySecret
}

// validateTenants adds what is wrong with the tenants. A tenant without keys is valid: keys are taken away by leaving them out. No text names
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

// isControl reports whether a character can't be part of a header field's value.
func isControl(char rune) bool { return char < ' ' || char == '\x7f' }

// compileTenants compiles the tenants of a document. A key that two tenants share belongs to none of them: no new document has such a key, but one
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
		made := Tenant{Name: tenant.GetName()}
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
