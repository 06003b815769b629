package routeconfig

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"hazelwheel/internal/routeconfig/configpb"
)

func TestIgnoredFields(t *testing.T) {
	config := `{"Version":7,"Later":{"Secret":"k1"},"Routes":[{"Name":"a","Shape":1},{"Shape":"k2","Name":"b"}],"Tenants":[{"Name":"acme","ApiKeys":["k3"],"Unit":"k4"}],` +
		`"Services":[{"Name":"s","Protocol":"h1","Tls":false},{"Name":"t","Protocol":"h2","Tls":true}]}`
	assert.Equal(t, []string{"Later", "Routes[].Shape", "Services[].Protocol", "Services[].Tls", "Tenants[].Unit"}, IgnoredFields([]byte(config)))
	assert.Empty(t, IgnoredFields([]byte(config[:40])))
}

// notCompiled holds the fields of the message type that have no effect on a table, each with the reason.
var notCompiled = map[string]string{
	"Services.Protocol":      "reported by IgnoredFields",
	"Services.Tls":           "reported by IgnoredFields",
	"Services.Engine.stride": "how many tokens an event may hold: proxies forward events regardless of that",
	"Services.Engine.Models": "requests name their model, and servers check it",
}

// TestEachFieldOfTheConfigurationIsCompiled sets each field of the message type in turn and checks that the table changes. A known field that
// changes no table would be accepted and have no effect, without a log line; tenants once were such a field.
func TestEachFieldOfTheConfigurationIsCompiled(t *testing.T) {
	empty := func() *configpb.Config {
		return &configpb.Config{Version: 1, Routes: []*configpb.Route{{WeightedServices: []*configpb.WeightedService{{}}}, {}}, Limits: &configpb.Limits{},
			Services: []*configpb.Service{{Engine: &configpb.Engine{}}}, Tenants: []*configpb.Tenant{{RatePerS: 1}}}
	}
	without := compileTable(empty(), nil)
	hasEffect := map[string]bool{} // by path, without indexes
	var visit func(path string, message protoreflect.Message, parent *configpb.Config)
	visit = func(path string, message protoreflect.Message, parent *configpb.Config) {
		fields := message.Descriptor().Fields()
		for i := range fields.Len() {
			field := fields.Get(i)
			fieldPath := joinPath(path, field.JSONName())
			switch {
			case field.IsList() && field.Kind() == protoreflect.MessageKind && message.Has(field):
				items := message.Get(field).List()
				for j := range items.Len() {
					visit(fieldPath, items.Get(j).Message(), parent)
				}
				continue
			case field.Kind() == protoreflect.MessageKind && message.Has(field):
				visit(fieldPath, message.Get(field).Message(), parent)
				continue
			}
			before := proto.Clone(message.Interface()).ProtoReflect()
			message.Set(field, sampleValue(message, field))
			hasEffect[fieldPath] = hasEffect[fieldPath] || !reflect.DeepEqual(without, compileTable(parent, nil))
			if before.Has(field) {
				message.Set(field, before.Get(field))
			} else {
				message.Clear(field)
			}
		}
	}
	config := empty()
	visit("", config.ProtoReflect(), config)
	for path, effect := range hasEffect {
		_, isNotCompiled := notCompiled[path]
		assert.NotEqual(t, effect, isNotCompiled, "%s: a field either has an effect or is listed as one without", path)
	}
	require.Contains(t, hasEffect, "Tenants.ApiKeys")
	require.Contains(t, hasEffect, "Routes.Public")
}

// sampleValue returns a value of a field that is neither its zero value nor the value in the empty configuration.
func sampleValue(message protoreflect.Message, field protoreflect.FieldDescriptor) protoreflect.Value {
	switch {
	case field.IsList():
		list := message.NewField(field).List()
		if field.Kind() == protoreflect.MessageKind {
			list.Append(list.NewElement())
		} else {
			list.Append(protoreflect.ValueOfString("sample"))
		}
		return protoreflect.ValueOfList(list)
	case field.Kind() == protoreflect.MessageKind:
		return message.NewField(field)
	case field.Kind() == protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case field.JSONName() == "Unit":
		return protoreflect.ValueOfString(unitTokens)
	case field.Kind() == protoreflect.StringKind:
		return protoreflect.ValueOfString("sample")
	case field.Kind() == protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(7)
	case field.Kind() == protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(7)
	case field.Kind() == protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(7)
	default:
		return protoreflect.ValueOfFloat64(7)
	}
}
