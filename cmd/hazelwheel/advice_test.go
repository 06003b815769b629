package main

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Findings are logged without preventing the start, and each is logged once, even if the file is read again.
func TestFindingsAreLoggedOnce(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, "")))
	w.settings["selfIndex"], w.settings["newer"] = 3, map[string]any{"than": "this"}
	w.start()
	w.awaitLog("code=HW077", 1)
	assert.Equal(t, 200, w.ask("read", "", "").status)
	reload := func(n float64) {
		w.signal(syscall.SIGHUP)
		w.eventually("the reload", func() bool { return w.counter("reloads") == n })
	}
	reload(1)
	assert.Equal(t, 1, strings.Count(w.log.String(), "code=HW077"))
	w.settings["selfIndex"], w.limits["memory_mb"] = 4, 256
	w.writeConfig()
	reload(2)
	w.awaitLog("code=HW077", 2)
	assert.Equal(t, 1, strings.Count(w.log.String(), "code=HW044"))
	assert.NotContains(t, w.log.String(), "HW013", "only config check prints notes")
}
