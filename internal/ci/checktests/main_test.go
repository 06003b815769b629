package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/ci/knownred"
)

// module is a small module whose packages fail in all the ways that count.
var module = map[string]string{
	"go.mod":              "module m\n\ngo 1.26\n",
	"good/a_test.go":      "package good\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) { t.Log(\"quiet\") }\n",
	"red/a_test.go":       "package red\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"loud\") }\n",
	"other/a_test.go":     "package other\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) { t.Error(\"loud\") }\n",
	"unbuilt/a_test.go":   "package unbuilt\n\nimport \"testing\"\n\nfunc TestUnbuilt(t *testing.T) { missing() }\n",
	"panicking/a_test.go": "package panicking\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { panic(\"oh\") }\n\nfunc TestAfter(t *testing.T) {}\n",
	"exiting/a_test.go": "package exiting\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nfunc TestRed(t *testing.T) { t.Error(\"loud\") }\n\n" +
		"func TestMain(m *testing.M) {\n\tm.Run()\n\tprintln(\"left over\")\n\tos.Exit(1)\n}\n",
	"blocking/a_test.go": "package blocking\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"loud\") }\n\nfunc TestLong(t *testing.T) { select {} }\n",
}

// writeModule writes the module and makes its folder the working directory.
func writeModule(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range module {
		file := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	t.Chdir(dir)
}

// writeList writes the module's list; "" is none.
func writeList(t *testing.T, list string) {
	t.Helper()
	require.NoError(t, os.RemoveAll(knownred.FileName))
	if list != "" {
		require.NoError(t, os.WriteFile(knownred.FileName, []byte(list), 0o644))
	}
}

// The real go test, on a module that fails in one way after the other.
func TestWithGoTest(t *testing.T) {
	const list = "TestRed | a cause | #7\n"
	writeModule(t)
	for _, c := range []struct {
		name, list string
		packages   []string
		status     int
		prints     []string
	}{
		{"nothing failed", "", []string{"./good"}, 0, []string{"ok  \tm/good"}},
		{"a failure without a list", "", []string{"./good", "./red"}, 1,
			[]string{"ok  \tm/good", "loud", "--- FAIL: TestRed", "FAIL\tm/red", "tests failed: m/red: TestRed failed"}},
		{"a listed failure", list, []string{"./good", "./red"}, 0,
			[]string{"ok  \tm/good", "--- FAIL: TestRed", "FAIL\tm/red", "known red: TestRed failed and is passed over: a cause (#7)"}},
		{"another failure", list, []string{"./other", "./red"}, 1, []string{"tests failed: m/other: TestOther failed"}},
		{"a listed test that passes", "TestGood | a cause | #7", []string{"./good"}, 0, []string{"known red: TestGood passed"}},
		{"a listed test that is not run", list, []string{"./good"}, 1, []string{"names no test that was run"}},
		{"a build that fails", list, []string{"./red", "./unbuilt"}, 1, []string{"undefined: missing", "m/unbuilt could not be built"}},
		{"a panic", list, []string{"./panicking"}, 1, []string{"panic: oh", "m/panicking ended before its tests did"}},
		{"a failure after the tests", list, []string{"./exiting"}, 1, []string{"left over", "m/exiting printed more"}},
		{"a timeout", list, []string{"-timeout", "1s", "./blocking"}, 1, []string{"test timed out", "TestLong has no result"}},
		{"a package that is not there", "", []string{"./good", "./nowhere"}, 1, []string{"tests failed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			writeList(t, c.list)
			var out, errs strings.Builder
			status := check(append([]string{"go", "test", "-json"}, c.packages...), &out, &errs)
			require.Equal(t, c.status, status, out.String()+errs.String())
			for _, want := range c.prints {
				require.Contains(t, out.String(), want)
			}
			require.NotContains(t, out.String(), "=== RUN")
		})
	}
}

func TestAListThatCannotBeReadEndsBeforeTheTests(t *testing.T) {
	writeModule(t)
	writeList(t, "TestRed | a cause")
	var out, errs strings.Builder
	require.Equal(t, statusFailed, check([]string{"go", "test", "-json", "./good"}, &out, &errs))
	require.Contains(t, errs.String(), "KNOWN-RED.txt:1")
	require.Empty(t, out.String())
}

func TestCommandsThatCannotRun(t *testing.T) {
	writeModule(t)
	var out, errs strings.Builder
	require.Equal(t, statusUsage, check(nil, &out, &errs))
	require.Contains(t, errs.String(), "usage")
	require.Equal(t, statusFailed, check([]string{"./not-there"}, &out, &errs))
}

func TestLinesOfAnyLength(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	var got []string
	require.NoError(t, readLines(strings.NewReader(long+"\nlast"), func(text []byte) { got = append(got, string(text)) }))
	require.Equal(t, []string{long + "\n", "last"}, got)
}

// A run that is ended from outside says so, and fails.
func TestEndedBySignal(t *testing.T) {
	t.Chdir(t.TempDir())
	var out, errs strings.Builder
	status := check([]string{"sh", "-c", "kill -HUP $PPID; exec sleep 600"}, &out, &errs)
	require.Equal(t, statusFailed, status)
	require.Contains(t, errs.String(), "checktests: hangup: the tests are ended before all were run")
	require.Contains(t, out.String(), "tests failed:")
}
