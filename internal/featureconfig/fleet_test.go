package featureconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/sidecarconfig"
)

// Each invalid fleet setting is reported in one line that names the field.
func TestFleetErrorsNameField(t *testing.T) {
	c := &sidecarconfig.Config{Listen: "127.0.0.1:3000", Ops: "127.0.0.1:3009"}
	for text, want := range map[string]string{
		`{"fleet": {}}`: "fleet.name: missing",
		`{"fleet": {"name": "a b", "listen": "10.0.0.1:7946"}}`:                                                     "fleet.name: want the fleet's name, of at most 64 letters, digits, '.', '_' and '-'",
		`{"fleet": {"name": "y"}}`:                                                                                  "fleet.listen: missing",
		`{"fleet": {"name": "y", "listen": "7946"}}`:                                                                "fleet.listen: want an address and port of its own, like 10.0.0.7:7946",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:3000"}}`:                                                       "fleet.listen: want an address and port of its own, like 10.0.0.7:7946",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:3009"}}`:                                                       "fleet.listen: want an address and port of its own, like 10.0.0.7:7946",
		`{"fleet": {"name": "y", "listen": "0.0.0.0:7946"}}`:                                                        "fleet.advertise: missing: nobody can dial 0.0.0.0:7946",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "advertise": "here"}}`:                                  "fleet.advertise: want the address and port at which others reach it",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "join": ["10.0.0.2"]}}`:                                 "fleet.join: want a list of at most 64 addresses with their ports",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "dir": ""}}`:                                            "fleet.dir: want the path of a folder",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "port": 1}}`:                                            "fleet.port: unknown field",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "electors": ["a:1", "b:1"]}}`:                           "fleet.electors: want a list of 3, 5 or 7 different addresses with their ports, the same at all sidecars",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "electors": ["a:1", "b:1", "a:1"]}}`:                    "fleet.electors: want a list of 3, 5 or 7 different addresses with their ports, the same at all sidecars",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "electors": ["a:1", "b:1", "10.0.0.1:7946"]}}`:          "fleet.dir: missing: this sidecar is one of the electors, and an elector must not forget its votes",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "jobs": ["report"]}}`:                                   "fleet.electors: missing: nobody says who owns the jobs",
		`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "electors": ["a:1", "b:1", "c:1"], "jobs": ["dance"]}}`: "fleet.jobs: want a list of jobs, each once: list, report, drill, works",
	} {
		_, err := Parse([]byte(text), c)
		assert.EqualError(t, err, want, text)
	}
	f, err := Parse([]byte(`{"fleet": {"name": "y", "listen": "0.0.0.0:7946", "advertise": "sidecar-7.example:7946", "join": ["a:1", "[::1]:2"], "dir": "d"}}`), c)
	assert.NoError(t, err)
	assert.Equal(t, "fleet (y, at 0.0.0.0:7946, 2 to join)", f.String())
	f, err = Parse([]byte(`{"fleet": {"name": "y", "listen": "10.0.0.1:7946", "electors": ["a:1", "b:1", "10.0.0.1:7946"], "jobs": ["report"], "dir": "d"}}`), c)
	assert.NoError(t, err)
	assert.Equal(t, "fleet (y, at 10.0.0.1:7946, 0 to join, 3 electors, jobs [report])", f.String())
}
