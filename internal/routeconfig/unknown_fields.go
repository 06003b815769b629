package routeconfig

import (
	"regexp"
	"slices"

	"hazelwheel/internal/routeconfig/configpb"
)

// listIndex is the index of an item in a path such as Routes[2].Public.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// UnknownFields returns the names of the fields that a document has and this version ignores, sorted and without the indexes of
// items: Routes[].Name. It never returns values. A document that is no JSON has none.
func UnknownFields(data []byte) []string {
	doc, root, err := parseDocument(data)
	if err != nil {
		return nil
	}
	doc.checkMessage(root, "", (&configpb.Config{}).ProtoReflect().Descriptor())
	names := make([]string, 0, len(doc.unknown))
	for _, finding := range doc.unknown {
		names = append(names, listIndex.ReplaceAllString(finding.Place, "[]"))
	}
	slices.Sort(names)
	return slices.Compact(names)
}
