package lint

import (
	"bytes"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/owenrumney/go-sarif/v3/pkg/report/v210/sarif"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/appconfig"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

const (
	exampleSiteFile     = "../../example/site.toml"
	examplePlatformFile = "../../example/config.json"
)

// sets returns the files to check together for each broken file or folder. The folder decides: a file alone, against the
// example's site, as features of the example's instance, or all files of the folder together.
func sets(t *testing.T) map[string][]string {
	all := map[string][]string{}
	require.NoError(t, filepath.WalkDir("testdata/broken", func(path string, e fs.DirEntry, err error) error {
		switch dir := filepath.Base(filepath.Dir(path)); {
		case err != nil || e.IsDir() || filepath.Ext(path) == ".txt":
		case dir == "features":
			all[path] = []string{examplePlatformFile, path}
		case dir == "alone" || dir == "against":
			all[path] = []string{path}
		default:
			all[filepath.Dir(path)] = append(all[filepath.Dir(path)], path)
		}
		return err
	}))
	return all
}

// check runs the checks on a set. changed replaces the text of some of its files.
func check(set string, paths []string, changed map[string][]byte) []Finding {
	var files []*appconfig.File
	for _, path := range paths {
		raw, ok := changed[path]
		if !ok {
			raw, _ = os.ReadFile(path)
		}
		files = append(files, appconfig.Read(filepath.ToSlash(path), raw))
	}
	var against *appconfig.File
	if strings.Contains(filepath.ToSlash(set), "/against/") {
		against = appconfig.Open(exampleSiteFile, nil)
	}
	return Run(files, against)
}

// Every broken file gets exactly the findings in WANT.txt.
func TestBrokenFiles(t *testing.T) {
	all := sets(t)
	var got strings.Builder
	n := 0
	for _, set := range slices.Sorted(maps.Keys(all)) {
		n += len(all[set])
		found := check(set, all[set], nil)
		require.NotEmpty(t, found, set)
		for _, f := range found {
			fmt.Fprintln(&got, f.String())
		}
	}
	assert.GreaterOrEqual(t, n, 100)
	const path = "testdata/broken/WANT.txt"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, strings.Split(string(want), "\n"), strings.Split(got.String(), "\n"))
}

// Each check has a file that triggers it and a near miss that does not. testdata/near.txt lists the file, and the text to
// replace in it for the near miss.
func TestEachCheckHasATriggerAndANearMiss(t *testing.T) {
	raw, err := os.ReadFile("testdata/near.txt")
	require.NoError(t, err)
	all, tried := sets(t), map[string]bool{"HW001": true, "HW002": true, "HW103": true, "HW104": true} // covered by TestFilesOnDisk
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		parts := strings.Split(line, "\t")
		require.Len(t, parts, 4, line)
		code, path := parts[0], filepath.Join("testdata", parts[1])
		from, err := strconv.Unquote(parts[2])
		require.NoError(t, err, line)
		to, err := strconv.Unquote(parts[3])
		require.NoError(t, err, line)
		set, paths := path, all[path]
		if paths == nil {
			set, paths = filepath.Dir(path), all[filepath.Dir(path)]
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err, line)
		require.Contains(t, string(text), from, line)
		near := map[string][]byte{path: bytes.Replace(text, []byte(from), []byte(to), 1)}
		assert.True(t, has(check(set, paths, nil), code), "%s is not triggered by %s", code, path)
		assert.False(t, has(check(set, paths, near), code), "%s is triggered by a near miss of %s", code, path)
		tried[code] = true
	}
	for _, c := range Checks() {
		assert.True(t, tried[c.Code], "%s has neither trigger nor near miss", c.Code)
	}
}

func has(all []Finding, code string) bool {
	for _, f := range all {
		if f.Code == code {
			return true
		}
	}
	return false
}

// The table has unique codes in order, and no check lacks a text.
func TestTable(t *testing.T) {
	all := Checks()
	assert.GreaterOrEqual(t, len(all), 70)
	for i, c := range all {
		assert.Regexp(t, `^HW\d{3}$`, c.Code)
		assert.True(t, i == 0 || all[i-1].Code < c.Code, c.Code)
		assert.NotEmpty(t, c.Title, c.Code)
		assert.NotEmpty(t, c.Subject, c.Code)
		assert.NotEmpty(t, c.Format, c.Code)
		assert.NotEmpty(t, c.Remedy, c.Code)
	}
}

// Files on disk that can't be read, or have too wide permissions, are reported.
func TestFilesOnDisk(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	good, err := os.ReadFile(examplePlatformFile)
	require.NoError(t, err)
	require.NoError(t, os.Symlink(path("round"), path("round")))
	big, err := os.Create(path("big"))
	require.NoError(t, err)
	require.NoError(t, big.Truncate(100<<20))
	require.NoError(t, big.Close())
	secret := []byte(`{"drills.secret_sha256": "` + strings.Repeat("0a", 32) + `"}`)
	for name, mode := range map[string]fs.FileMode{"writable": 0o646, "private": 0o600, "shown": 0o644, "hidden": 0o640} {
		text := good
		if name == "shown" || name == "hidden" {
			text = secret
		}
		require.NoError(t, os.WriteFile(path(name), text, mode))
		require.NoError(t, os.Chmod(path(name), mode))
	}
	for name, want := range map[string]string{"none": "HW001", "round": "HW001", ".": "HW001", "big": "HW002", "writable": "HW104", "shown": "HW103"} {
		f := appconfig.Open(path(name), nil)
		found := Run([]*appconfig.File{f}, nil)
		if assert.Len(t, found, 1, name) {
			assert.Equal(t, want, found[0].Code, name)
		}
		assert.Equal(t, want < "HW003", f.Unreadable, name)
	}
	for _, name := range []string{"private", "hidden"} {
		assert.Empty(t, Run([]*appconfig.File{appconfig.Open(path(name), nil)}, nil), name)
	}
	stdin := appconfig.Open("-", bytes.NewReader(good))
	assert.Empty(t, Run([]*appconfig.File{stdin}, nil))
	assert.Equal(t, appconfig.PlatformFile, stdin.Kind)
}

// The example files have no findings other than the expected notes and the warning.
func TestExamples(t *testing.T) {
	open := func(names ...string) (files []*appconfig.File) {
		for _, name := range names {
			files = append(files, appconfig.Open("../../example/"+name, nil))
		}
		return files
	}
	assert.Empty(t, Run(open("app.toml"), nil))
	assert.Empty(t, Run(open("site.toml"), nil))
	assert.Empty(t, Run(open("config.json"), nil))
	assert.Empty(t, Run(open("quotas.json"), nil))
	assert.Equal(t, Note, Worst(Run(open("app.toml", "site.toml"), nil)))
	assert.Equal(t, Warning, Worst(Run(open("config.json", "features.json"), nil)), "the example's drill secret is public")
}

// A widely used SARIF library reads the report and gets the same findings.
func TestSARIF(t *testing.T) {
	all := sets(t)
	var b bytes.Buffer
	path := "testdata/broken/alone/twelve-faults.toml"
	found := check(path, all[path], nil)
	require.NoError(t, WriteSARIF(&b, found))
	report, err := sarif.FromBytes(b.Bytes())
	require.NoError(t, err)
	require.Len(t, report.Runs, 1)
	require.Len(t, report.Runs[0].Results, len(found))
	for i, r := range report.Runs[0].Results {
		assert.Equal(t, found[i].Code, *r.RuleID)
		assert.Equal(t, found[i].Severity.String(), r.Level)
		assert.Equal(t, found[i].Place.Line, *r.Locations[0].PhysicalLocation.Region.StartLine)
	}
}

// The page of codes in the documentation is up to date with the table.
func TestPageOfCodes(t *testing.T) {
	const path = "../../docs/operators/config-codes.md"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(Page()), 0o644))
	}
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(raw), Page(), "update it by go test ./internal/lint -update")
}

func TestExplain(t *testing.T) {
	for word, want := range map[string]string{"HW060": "must not", "hw060": "must not", "class.aim": "objectiveS", "classes.aim": "objectiveS",
		"class[3].aim": "objectiveS", "settings.classes[1].objectiveS": "class.aim", "health.max_inflight": "max_open", "rules.drain_grace": "HW115"} {
		text, ok := Explain(word)
		assert.True(t, ok, word)
		assert.Contains(t, text, want, word)
	}
	text, ok := Explain("class.aimm")
	assert.False(t, ok)
	assert.Contains(t, text, "class.aim may be meant")
}
