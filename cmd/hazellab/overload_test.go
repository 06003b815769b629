package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/lab/overload"
)

// buildSidecar builds the sidecar, once for all tests.
var buildSidecar = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(scratch, "hazelwheel")
	if raw, err := exec.Command("go", "build", "-o", binary, "../hazelwheel").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, raw)
	}
	return binary, nil
})

// sidecarProgram returns the file of the sidecar's program.
func sidecarProgram(t *testing.T) string {
	binary, err := buildSidecar()
	require.NoError(t, err)
	return binary
}

// writeProgram writes an executable. Danger: a child that another test starts meanwhile would inherit the file open for writing, and a
// file that is open for writing can't be executed.
func writeProgram(t *testing.T, path, text string) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o755))
}

// One measurement end to end: two programs in turn, of which one crashes. The crash is reported, and the other is still measured. No
// process is left.
func TestOverloadMeasurement(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	short := filepath.Join(dir, "short-lived")
	writeProgram(t, short, "#!/bin/sh\nexec timeout -s KILL 1 "+sidecarProgram(t)+" \"$@\"\n")
	path := filepath.Join(dir, "rows.json")
	p := start(t, "pressure", "--binary", sidecarProgram(t), "--vs", short, "--only", "flood: brief$", "--cores", "none", "--json", path)
	var pids map[int]string
	eventually(t, "the sidecar and what is round it", func() bool { pids = children(p.Process.Pid); return len(pids) >= 4 })
	_ = p.Wait()
	require.Equal(t, 0, p.ProcessState.ExitCode(), p.err.String())
	waitForExit(t, pids)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	var rows []overload.Row
	require.NoError(t, json.Unmarshal(raw, &rows))
	values := map[string]map[string][]float64{}
	for _, r := range rows {
		values[r.Figure] = r.Values
	}
	assert.InDelta(t, 200, values["known client, kept links: asked"]["hazelwheel"][0], 2)
	assert.Equal(t, []float64{1}, values["runs that it did not last"]["short-lived"])
	assert.Empty(t, values["runs that it did not last"]["hazelwheel"])
	assert.Contains(t, p.out.String(), "| hazelwheel | short-lived |")
	assert.Contains(t, p.err.String(), "it has ended in the middle of the run")
}
