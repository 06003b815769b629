package proxy

import (
	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig"
)

// tenantIndex finds tenants by the keys of clients. It stores digests instead of the keys, and is immutable.
type tenantIndex struct {
	secret   apikey.Secret
	byDigest map[apikey.Digest]*routeconfig.Tenant
}

// newTenantIndex returns the index of a configuration, or nil if that has no tenants.
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

// find returns the tenant that a key belongs to, or nil if no tenant has it. The lookup need not take constant time: its duration can reveal
// something about a digest only, and nobody without the secret can compute digests.
func (index *tenantIndex) find(key apikey.Key) *routeconfig.Tenant {
	if key.IsZero() {
		return nil
	}
	return index.byDigest[index.secret.NewDigester().Digest(key)]
}
