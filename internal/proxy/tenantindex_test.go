package proxy

import (
	"fmt"
	"strings"
	"testing"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// largeTenantDocument returns a configuration with 27,000 tenants with two keys each, the size that the fleet is designed for.
func largeTenantDocument() []byte {
	tenants := make([]string, 27_000)
	for i := range tenants {
		tenants[i] = fmt.Sprintf(`{"Name":"tenant-%d","ApiKeys":["key-%d-aaaaaaaaaaaaaaaa","key-%d-bbbbbbbbbbbbbbbb"],"Priority":%d}`, i, i, i, i%3)
	}
	return []byte(tenantDocument(1, strings.Join(tenants, ",")))
}

// BenchmarkLargeTenants measures the cost of a configuration with many tenants: at the control process that parses it, at each proxy that applies it,
// and for each request.
func BenchmarkLargeTenants(b *testing.B) {
	document := largeTenantDocument()
	table, err := routeconfig.Parse(document)
	if err != nil {
		b.Fatal(err)
	}
	packed, err := message.PackTable(table)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			if _, err := routeconfig.Parse(document); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(document)), "document-bytes")
	})
	b.Run("unpack and index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			unpacked, err := packed.Unpack()
			if err != nil {
				b.Fatal(err)
			}
			newRouteTable(unpacked)
		}
		b.ReportMetric(float64(len(packed.Data)), "table-bytes")
	})
	b.Run("request", func(b *testing.B) {
		b.ReportAllocs()
		index, key := newTenantIndex(table), apikey.New("key-12345-bbbbbbbbbbbbbbbb")
		for b.Loop() {
			if index.find(key) == nil {
				b.Fatal("the key is not found")
			}
		}
	})
}
