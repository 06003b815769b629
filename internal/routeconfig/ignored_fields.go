package routeconfig

import (
	"regexp"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"

	"hazelwheel/internal/routeconfig/configpb"
)

// protocolHTTP1 is the only protocol that proxies use with servers.
const protocolHTTP1 = "h1"

// listIndex is the index of an item in a path such as Routes[2].Public.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// IgnoredFields returns the names of a document's fields that have no effect in this version: unknown fields, and known fields with values that it
// doesn't support. The names are sorted and lack the indexes of items, as in Routes[].Name. They never include values. For a document that can't be
// read it returns none.
func IgnoredFields(data []byte) []string {
	doc, root, err := parseDocument(data)
	if err != nil {
		return nil
	}
	config := &configpb.Config{}
	doc.checkMessage(root, "", config.ProtoReflect().Descriptor())
	names := make([]string, 0, len(doc.unknown))
	for _, finding := range doc.unknown {
		names = append(names, listIndex.ReplaceAllString(finding.Path, "[]"))
	}
	if (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, config) == nil {
		names = append(names, ignoredServiceFields(config.GetServices())...)
		names = append(names, ignoredTenantFields(config.GetTenants())...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ignoredServiceFields returns the fields of services that request anything but unencrypted HTTP/1.1 to their servers.
func ignoredServiceFields(services []*configpb.Service) (names []string) {
	for _, service := range services {
		if service.GetTls() {
			names = append(names, "Services[].Tls")
		}
		if protocol := service.GetProtocol(); protocol != "" && protocol != protocolHTTP1 {
			names = append(names, "Services[].Protocol")
		}
	}
	return names
}

// ignoredTenantFields returns the fields of tenants that set a unit of limits which this version doesn't know. Such a limit counts requests.
func ignoredTenantFields(tenants []*configpb.Tenant) (names []string) {
	for _, tenant := range tenants {
		if unit := tenant.GetUnit(); unit != "" && unit != unitTokens && unit != unitRequests {
			names = append(names, "Tenants[].Unit")
		}
	}
	return names
}
