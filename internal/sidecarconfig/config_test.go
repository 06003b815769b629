package sidecarconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validConfig = `{"name":"n3","listen":"10.0.0.4:3000","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":0.5,"memory_mb":2048,"sockets":4096},"known":{"index":41},"later":1,
	"settings":{"classes":[{"name":"a","effect":"free","giveUpS":3,"objectiveS":1}],"replicasOfMe":3,
	"limits":{"connectTimeoutS":0.25}}}`

func emptyEnv(string) string { return "" }

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(validConfig), 0o600))
	c, err := Load(path, func(name string) string {
		return map[string]string{EnvName: "n4", EnvListen: "127.0.0.1:1", EnvDiscovery: "127.0.0.1:2"}[name]
	})
	require.NoError(t, err)
	assert.Equal(t, []any{"n4", "127.0.0.1:1", "127.0.0.1:2", uint64(0x8c1f30d27a5be964)},
		[]any{c.Name, c.Listen, c.Discovery, c.Seed})
	assert.Equal(t, Limits{0.5, 2048, 4096}, c.Limits)
	assert.Equal(t, 0.25, c.Settings.ConnectTimeoutS)

	_, err = Load("", emptyEnv)
	assert.ErrorContains(t, err, "GW_CONFIG")
	_, err = Load(path+"x", emptyEnv)
	assert.ErrorContains(t, err, "GW_CONFIG")
}

// After a reload, a field that differs from the file at the start takes precedence over its environment variable; the variables of unchanged
// fields still apply.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		text := strings.Replace(validConfig, "10.2.0.1:8500", discovery, 1)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	getenv := func(name string) string {
		return map[string]string{EnvName: "n4", EnvDiscovery: "127.0.0.1:2"}[name]
	}
	write("127.0.0.1:1")
	c, err := Load(path, getenv)
	require.NoError(t, err)
	for _, step := range [][2]string{{"127.0.0.1:1", "127.0.0.1:2"}, {"127.0.0.1:3", "127.0.0.1:3"},
		{"127.0.0.1:3", "127.0.0.1:3"}, {"127.0.0.1:1", "127.0.0.1:2"}} {
		write(step[0])
		c, err = c.Reload(path, getenv)
		require.NoError(t, err)
		assert.Equal(t, step[1], c.Discovery)
		assert.Equal(t, "n4", c.Name)
	}
}

// An error is one line that begins with the name of the invalid field.
func TestErrorsBeginWithTheField(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`"n3"`, `""`, "name"},
		{`10.0.0.4:3000`, `somewhere:3000`, "listen"},
		{`10.0.0.4:3000`, `10.0.0.4:0`, "listen"},
		{`10.2.0.1:8500`, ``, "discovery"},
		{`8c1f30d27a5be964`, `x`, "seed"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`2048`, `1`, "limits.memory_mb"},
		{`4096`, `10`, "limits.sockets"},
		{`"settings"`, `"other"`, "settings"},
		{`0.25`, `0`, "settings.limits.connectTimeoutS"},
		{`"free"`, `"odd"`, "settings"},
		{`"giveUpS":3`, `"giveUpS":0`, "settings.classes[0].giveUpS"},
		{`"giveUpS":3`, `"giveUpS":"3"`, "settings"},
		{`}]`, `},{"name":"a","effect":"free","giveUpS":3,"objectiveS":1}]`, "settings.classes[1].name"},
		{`{"name":"n3"`, `{"name":3`, "GW_CONFIG"},
		{`{"name"`, `{name`, "GW_CONFIG"},
	} {
		_, err := parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), emptyEnv, nil)
		if assert.Error(t, err, c.field) {
			assert.True(t, strings.HasPrefix(err.Error(), c.field+":"), "%s: %v", c.field, err)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

// Missing or invalid settings about the fleet do not keep a sidecar from starting: they are replaced by safe values, with a warning each.
func TestInvalidFleetSettingsAreReplaced(t *testing.T) {
	for _, c := range []struct {
		from, to string
		replicas int
		warnings []string
	}{
		{"later", "later", 3, nil},
		{`"replicasOfMe":3`, `"replicasOfMe":0`, unknownReplicas, []string{"settings.replicasOfMe:"}},
		{`"replicasOfMe":3`, `"replicasOfMe":-5`, unknownReplicas, []string{"settings.replicasOfMe:"}},
		{`"replicasOfMe":3,`, ``, unknownReplicas, []string{"settings.replicasOfMe:"}},
		{`"replicasOfMe":3`, `"replicasOfMe":30`, 30, nil},
		{`"replicasOfMe":3`, `"selfIndex":3,"replicasOfMe":3`, 3, []string{"settings.selfIndex: 3 "}},
		{`"replicasOfMe":3`, `"selfIndex":-1,"replicasOfMe":3`, 3, []string{"settings.selfIndex: -1 "}},
		{`"replicasOfMe":3`, `"selfIndex":400`, unknownReplicas, []string{"settings.replicasOfMe:", "settings.selfIndex: 400 "}},
	} {
		cfg, err := parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), emptyEnv, nil)
		require.NoError(t, err, c.to)
		assert.Equal(t, c.replicas, cfg.Settings.Policy.Replicas, c.to)
		assert.Less(t, cfg.Settings.Policy.Self, c.replicas, c.to)
		assert.GreaterOrEqual(t, cfg.Settings.Policy.Self, 0, c.to)
		require.Len(t, cfg.Warnings, len(c.warnings), c.to)
		for i, prefix := range c.warnings {
			assert.True(t, strings.HasPrefix(cfg.Warnings[i], prefix), cfg.Warnings[i])
		}
	}
}
