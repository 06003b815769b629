package proxy

import (
	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig"
)

// tenantIndex finds tenants by the keys of clients. It holds digests, no keys, and is immutable.
type tenantIndex struct {
	secret   apikey.Secret
	byDigest map[apikey.Digest]*routeconfig.Tenant
}

// newTenantIndex returns the index of a configuration, nil where that has no tenants.
func newTenantIndex(table *routeconfig.Table) *tenantIndex {
	if len(table.Tenants) == 0 {
		return nil
	}
	index := &tenantIndex{secret: table.KeySecret, byDigest: map[apikey.Digest]*routeconfig.Tenant{}}
	for i := range table.Tenants {
		tenant := &table.Tenants[i]
		for _, digest := range tenant.KeyDigests {
			index.byDigest[digest] = tenant
		}
	}
	return index
}

// find returns the tenant that a key belongs to, nil for a key that no tenant has. How long it takes tells of a digest at most, which nobody outside
// can make.
func (index *tenantIndex) find(key apikey.Key) *routeconfig.Tenant {
	if key.IsZero() {
		return nil
	}
	return index.byDigest[index.secret.NewDigester().Digest(key)]
}
