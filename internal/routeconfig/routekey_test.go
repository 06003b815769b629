package routeconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/routeconfig"
)

// configOfPlaces returns a configuration with one route for each pair of a host and a prefix. The routes are named r-0, r-1 and so on.
func configOfPlaces(version int, places ...[2]string) []byte {
	var routes []string
	for i, place := range places {
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%d","Host":%q,"PathPrefix":"%s","RouteType":"non_idempotent","TimeoutMs":1500,"Service":"s"}`,
			i, place[0], place[1]))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Services":[{"Name":"s"}],"Routes":[`+"\n%s]}", version, strings.Join(routes, ",\n"))
}

// TestRoutesAtOnePlace guards against a configuration that is acknowledged although the requests of one route are executed by the service of
// another: hosts were compared with their letter case here, and without it by the proxies.
func TestRoutesAtOnePlace(t *testing.T) {
	for name, c := range map[string]struct {
		places [][2]string
		fault  string // "" if the configuration is valid
	}{
		"the same text":                 {[][2]string{{"h.example", "/p/"}, {"h.example", "/p/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"hosts in other letters":        {[][2]string{{"h.example", "/p/"}, {"H.Example", "/p/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"the third route":               {[][2]string{{"H.example", "/p/"}, {"h.example", "/q/"}, {"h.exAmple", "/p/"}}, "Routes[2]: same Host and PathPrefix as Routes[0]"},
		"one host with a port":          {[][2]string{{"h.example", "/p/"}, {"h.example:8080", "/p/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"hosts with other ports":        {[][2]string{{"h.example:80", "/p/"}, {"h.example:8080", "/p/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"an IPv6 address with a port":   {[][2]string{{"[2001:db8::1]", "/p/"}, {"[2001:DB8::1]:80", "/p/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"an IPv6 address, no brackets":  {[][2]string{{"[2001:db8::1]", "/p/"}, {"2001:db8::1", "/p/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"other IPv6 addresses":          {[][2]string{{"[2001:db8::1]", "/p/"}, {"[2001:db8::2]", "/p/"}}, ""},
		"an encoded letter":             {[][2]string{{"h.example", "/p/"}, {"h.example", "/%70/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"escapes in other letters":      {[][2]string{{"h.example", "/%d8%b9/"}, {"h.example", "/%D8%B9/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"an escape and its character":   {[][2]string{{"h.example", "/%D8%B9/"}, {"h.example", "/\u0639/"}}, "Routes[1]: same Host and PathPrefix as Routes[0]"},
		"an encoded slash":              {[][2]string{{"h.example", "/p%2Fq/"}, {"h.example", "/p/q/"}}, ""},
		"an encoded percent sign":       {[][2]string{{"h.example", "/%2570/"}, {"h.example", "/%70/"}}, ""},
		"dots and doubled slashes":      {[][2]string{{"h.example", "/p/../q/"}, {"h.example", "/q/"}, {"h.example", "//q/"}}, ""},
		"a final dot of the host":       {[][2]string{{"h.example", "/p/"}, {"h.example.", "/p/"}}, ""},
		"prefixes in other letters":     {[][2]string{{"h.example", "/p/"}, {"h.example", "/P/"}}, ""},
		"another host":                  {[][2]string{{"h.example", "/p/"}, {"i.example", "/p/"}}, ""},
		"a longer prefix":               {[][2]string{{"h.example", "/p/"}, {"H.example", "/p/p/"}}, ""},
		"a host that ends like a path":  {[][2]string{{"h/p", "/q/"}, {"h", "/p/q/"}}, ""},
		"no host, and a host with text": {[][2]string{{"", "/p/"}, {"h", "/p/"}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			document := configOfPlaces(2, c.places...)
			_, err := routeconfig.Parse(document)
			report := routeconfig.Validate(document)
			if c.fault == "" {
				require.NoError(t, err)
				assert.Empty(t, report.Faults)
				return
			}
			require.ErrorContains(t, err, c.fault)
			require.Len(t, report.Faults, 1)
			assert.Contains(t, report.Faults[0].String(), c.fault)
			assert.Equal(t, len(c.places)+1, report.Faults[0].Line, "the line of the last route")
		})
	}
}

// TestRoutesAtOnePlaceAfterAnUpgrade guards against a fleet that serves nothing after an upgrade, since it rejects the configuration in force.
func TestRoutesAtOnePlaceAfterAnUpgrade(t *testing.T) {
	table, err := routeconfig.ParseChosen(configOfPlaces(2, [2]string{"h.example", "/p/"}, [2]string{"H.example", "/p/"}, [2]string{"h.example", "/q/"}))
	require.NoError(t, err)
	require.Len(t, table.Routes, 3, "processes of earlier versions get the table that they would have compiled")
	assert.Equal(t, "h.example", table.Routes[0].Host)
	assert.Equal(t, "H.example", table.Routes[1].Host)
	assert.Equal(t, table.Routes[0].Key(), table.Routes[1].Key())
	assert.Equal(t, []string{"r-0"}, table.OverriddenRoutes(), "the last route of a place is in force")
	table, err = routeconfig.ParseChosen(configOfPlaces(2, [2]string{"h.example", "/p/"}, [2]string{"h.example:80", "/p/"}))
	require.NoError(t, err)
	assert.Equal(t, []string{"r-1"}, table.OverriddenRoutes(), "but none whose host has a port: earlier versions never find it")
	table, err = routeconfig.ParseChosen(configOfPlaces(2, [2]string{"h.example", "/p/"}, [2]string{"h.example", "/q/"}))
	require.NoError(t, err)
	assert.Empty(t, table.OverriddenRoutes())
}

// TestPatchToOnePlace guards against a patch that adds a route at the place of another one.
func TestPatchToOnePlace(t *testing.T) {
	for name, c := range map[string]struct{ patch, fault string }{
		"adds a route at a place that is taken": {`{"Version":3,"Upsert":{"Routes":[{"Name":"r-9","Host":"H.EXAMPLE","PathPrefix":"/p/","RouteType":"idempotent","TimeoutMs":1,"Service":"s"}]}}`,
			"Routes[2]: same Host and PathPrefix as Routes[0]"},
		"moves a route to a place that is taken": {`{"Version":3,"Upsert":{"Routes":[{"Name":"r-1","Host":"H.EXAMPLE","PathPrefix":"/p/","RouteType":"idempotent","TimeoutMs":1,"Service":"s"}]}}`,
			"Routes[1]: same Host and PathPrefix as Routes[0]"},
		"replaces the route at its place": {`{"Version":3,"Upsert":{"Routes":[{"Name":"r-0","Host":"H.EXAMPLE","PathPrefix":"/p/","RouteType":"idempotent","TimeoutMs":1,"Service":"s"}]}}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			patch, err := routeconfig.ParsePatch([]byte(c.patch))
			require.NoError(t, err)
			patched, err := patch.Apply(configOfPlaces(2, [2]string{"h.example", "/p/"}, [2]string{"h.example", "/q/"}))
			require.NoError(t, err)
			_, err = routeconfig.Parse(patched)
			if c.fault == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.fault)
		})
	}
}
