package nodeconfig

import (
	"reflect"
	"slices"
	"strings"
)

// liveFields are the settings that a running process applies when its file changes. Proxies have no use for them.
var liveFields = []string{"Seeds", "Cloud.Address"}

// startFields are the settings that matter only when a process starts: a change of them has no effect on one that runs.
var startFields = []string{"Bootstrap"}

// FieldsNeedingRestart returns the names, such as Bounds.DrainMs, of the fields that differ between the settings with which a process runs and those
// of its changed file, and that take effect only after a restart. They are in the order of the struct.
func FieldsNeedingRestart(running, changed *Settings) []string {
	return slices.DeleteFunc(changedFields("", reflect.ValueOf(*running), reflect.ValueOf(*changed)), func(name string) bool {
		return slices.Contains(liveFields, name) || slices.Contains(startFields, name)
	})
}

// changedFields returns the names of the exported fields that differ between two structs of one type.
func changedFields(prefix string, before, after reflect.Value) (names []string) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		name := prefix + key
		if field.Type.Kind() == reflect.Struct {
			names = append(names, changedFields(name+".", before.Field(i), after.Field(i))...)
			continue
		}
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
