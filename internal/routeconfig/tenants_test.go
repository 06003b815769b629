package routeconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig"
)

// withTenants returns validConfig with this list of tenants.
func withTenants(list string) []byte {
	return []byte(strings.TrimSuffix(validConfig, "}") + `,"Tenants":` + list + "}")
}

func TestInvalidTenantsAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ tenants, want string }{
		"a shared key": {`[{"Name":"acme","ApiKeys":["k-1","k-2"]},{"Name":"bolt","ApiKeys":["k-3","k-2"]}]`,
			`configuration: Tenants[1].ApiKeys[1]: tenants "acme" and "bolt" share a key`},
		"no name":                  {`[{"ApiKeys":["k-1"]}]`, `configuration: Tenants[0].Name: "" is empty or stands twice`},
		"a name twice":             {`[{"Name":"acme"},{"Name":"acme"}]`, `configuration: Tenants[1].Name: "acme" is empty or stands twice`},
		"a name that is no text":   {`[{"Name":"a\u000d\u000aX: y"}]`, `configuration: Tenants[0].Name: "a\r\nX: y" can't be sent in a header field`},
		"an empty key":             {`[{"Name":"acme","ApiKeys":["k-1",""]}]`, `configuration: Tenants[0].ApiKeys[1]: the key is empty`},
		"a key that is a number":   {`[{"Name":"acme","ApiKeys":[4711]}]`, `configuration: line 8, column 140: Tenants[0].ApiKeys[0]: want a text, not another value`},
		"a negative rate":          {`[{"Name":"acme","RatePerS":-4}]`, `configuration: Tenants[0].RatePerS: want a number that is not below 0, not -4`},
		"an endless burst":         {`[{"Name":"acme","RatePerS":4,"Burst":"Infinity"}]`, `configuration: Tenants[0].Burst: want a number that is not below 0, not +Inf`},
		"negative tokens":          {`[{"Name":"acme","PlainTokens":-1}]`, `configuration: Tenants[0].PlainTokens: want a number that is not below 0, not -1`},
		"a rate that is no number": {`[{"Name":"acme","RatePerS":"many"}]`, `configuration: line 8, column 140: Tenants[0].RatePerS: want a number, not another value`},
		"no list":                  {`{"Name":"acme","ApiKeys":["k-1"]}`, `configuration: line 8, column 113: Tenants: want a list`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routeconfig.Parse(withTenants(c.tenants))
			assert.EqualError(t, err, c.want)
		})
	}
	for _, tenants := range []string{`[]`, `[{"Name":"acme"}]`, `[{"Name":"acme","ApiKeys":[]}]`, `[{"Name":"acme","ApiKeys":["k-1","k-1"]}]`} {
		_, err := routeconfig.Parse(withTenants(tenants))
		assert.NoError(t, err, tenants)
	}
}

// TestChosenDocumentWithASharedKey compiles a document that an earlier version has accepted: it takes effect, but the key belongs to no tenant.
func TestChosenDocumentWithASharedKey(t *testing.T) {
	document := withTenants(`[{"Name":"acme","ApiKeys":["k-1","k-2"]},{"Name":"bolt","ApiKeys":["k-2"]}]`)
	table, err := routeconfig.ParseChosen(document)
	require.NoError(t, err)
	digester := table.KeySecret.NewDigester()
	assert.Equal(t, []apikey.Digest{digester.Digest(apikey.New("k-1"))}, table.Tenants[0].KeyDigests)
	assert.Empty(t, table.Tenants[1].KeyDigests)
}

// TestErrorsHoldNoKey corrupts a document and a patch that contain a key at each byte, and places the key where something else is expected. No
// error may contain the key.
func TestErrorsHoldNoKey(t *testing.T) {
	const key = "zq-secret-zq"
	document := string(withTenants(`[{"Name":"acme","ApiKeys":["` + key + `"]}]`))
	patch := `{"Version":9,"Upsert":{"Tenants":[{"Name":"acme","ApiKeys":["` + key + `"]}]},"Remove":{"Tenants":["bolt"]}}`
	var documents, patches []string
	corrupt := func(text string, add func(string)) {
		for i := range text {
			add(text[:i])
			add(text[:i] + text[i+1:])
			add(text[:i] + "]" + text[i+1:])
		}
	}
	corrupt(document[strings.Index(document, `"Tenants"`)-20:], func(tail string) { documents = append(documents, strings.Split(document, `"Tenants"`)[0]+tail) })
	corrupt(patch, func(text string) { patches = append(patches, text) })
	for _, value := range []string{`"` + key + `"`, `["` + key + `"]`, `{"Name":"` + key + `","ApiKeys":"` + key + `"}`} {
		documents = append(documents, string(withTenants(value)), string(withTenants("["+value+"]")), value, "["+value+"]")
		patches = append(patches, value, "["+value+"]", fmt.Sprintf(`{"Version":9,"Upsert":{"Tenants":%s}}`, value),
			fmt.Sprintf(`{"Version":9,"Upsert":{"Tenants":[%s]}}`, value), fmt.Sprintf(`{"Version":9,"Upsert":%s}`, value),
			fmt.Sprintf(`{"Version":9,"Remove":{"Tenants":%s}}`, value))
	}
	for _, text := range documents {
		_, err := routeconfig.Parse([]byte(text))
		requireKeyless(t, key, err, text)
		for _, fault := range routeconfig.Validate([]byte(text)).Faults {
			assert.NotContains(t, fault.String(), key, text)
		}
	}
	for _, text := range patches {
		parsed, err := routeconfig.ParsePatch([]byte(text))
		requireKeyless(t, key, err, text)
		if err == nil {
			_, err = parsed.Apply([]byte(document))
			requireKeyless(t, key, err, text)
		}
	}
}

// requireKeyless fails if an error contains the key, unless as the name of an item to remove.
func requireKeyless(t *testing.T, key string, err error, text string) {
	t.Helper()
	if err != nil {
		require.NotContains(t, strings.ReplaceAll(err.Error(), `there is no "`+key, ""), key, text)
	}
}

func TestPatchAddsAndRemovesTenants(t *testing.T) {
	patch, err := routeconfig.ParsePatch([]byte(`{"Version":9,"Upsert":{"Tenants":[{"Name":"acme","ApiKeys":["k-1"]}]}}`))
	require.NoError(t, err)
	patched, err := patch.Apply([]byte(validConfig))
	require.NoError(t, err)
	table, err := routeconfig.Parse(patched)
	require.NoError(t, err)
	require.Len(t, table.Tenants, 1)
	assert.Len(t, table.Tenants[0].KeyDigests, 1)
}

func TestLimitsAreCompiled(t *testing.T) {
	for tenant, want := range map[string]*routeconfig.TenantLimit{
		`{"Name":"acme"}`:                                         nil,
		`{"Name":"acme","RatePerS":0,"Burst":7}`:                  nil,
		`{"Name":"acme","RatePerS":2.5}`:                          {RatePerSecond: 2.5},
		`{"Name":"acme","RatePerS":4,"Burst":7,"Unit":"request"}`: {RatePerSecond: 4, Burst: 7},
		`{"Name":"acme","RatePerS":"4000","Burst":7,"Unit":"token_stream","PlainTokens":"200"}`: {RatePerSecond: 4000, Burst: 7, CountsTokens: true, PlainTokens: 200},
	} {
		table, err := routeconfig.Parse(withTenants("[" + tenant + "]"))
		require.NoError(t, err, tenant)
		assert.Equal(t, want, table.Tenants[0].Limit, tenant)
	}
	// An earlier version has accepted all of these values, since it ignored the fields.
	table, err := routeconfig.ParseChosen(withTenants(`[{"Name":"acme","RatePerS":-4},{"Name":"bolt","RatePerS":4,"Burst":-1,"PlainTokens":-1}]`))
	require.NoError(t, err)
	assert.Nil(t, table.Tenants[0].Limit)
	assert.Equal(t, &routeconfig.TenantLimit{RatePerSecond: 4}, table.Tenants[1].Limit)
}
