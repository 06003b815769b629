package maintenanceplan

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/tomlfile"
)

// Plan files that operators have are parsed to the same values.
func TestFileForm(t *testing.T) {
	for file, golden := range map[string]string{
		filepath.Join("testdata", "stored", "full.toml"):  "full.json",
		filepath.Join("..", "..", "example", "work.toml"): "example.json",
	} {
		t.Run(golden, func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			s, err := Parse(file, text, now)
			require.NoError(t, err)
			encoded, err := json.MarshalIndent(s, "", "\t")
			require.NoError(t, err)
			want, err := os.ReadFile(filepath.Join("testdata", "stored", golden))
			require.NoError(t, err)
			assert.Equal(t, string(want), string(encoded)+"\n")
		})
	}
}

// The keys of the file keep their names and their order.
func TestFileKeys(t *testing.T) {
	var keys []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[file]()) {
		if f.IsExported() {
			keys = append(keys, f.Tag.Get("toml"))
		}
	}
	want, err := os.ReadFile(filepath.Join("testdata", "stored", "keys.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(want), strings.Join(keys, "\n")+"\n")
}

// A fault is a *tomlfile.Error with the place and the key: commands print it, and editors find the place by it.
func TestErrorForm(t *testing.T) {
	_, err := Parse("dir/p.toml", []byte("name = 'n'\nboxes = ['a']\nat_once = 0\nkeep = 0\ntakes = '1s'\n"), now)
	var e *tomlfile.Error
	require.True(t, errors.As(err, &e))
	assert.Equal(t, tomlfile.Error{File: "dir/p.toml", Line: 3, Col: 1, Field: "at_once", Why: "0 is not 1 to 250"}, *e)
	assert.EqualError(t, err, "dir/p.toml:3:1: at_once: 0 is not 1 to 250")
}
