package admin

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/sidecar"
)

// fakeController records the changes that are requested of it. Do calls functions at once.
type fakeController struct{ changes []string }

func (c *fakeController) StatusSnapshot() *sidecar.StatusSnapshot { return &sidecar.StatusSnapshot{} }
func (c *fakeController) Do(f func())                             { f() }
func (c *fakeController) CordonServer(server string) error {
	c.changes = append(c.changes, "off "+server)
	return nil
}
func (c *fakeController) UncordonServer(server string) error {
	c.changes = append(c.changes, "on "+server)
	return nil
}
func (c *fakeController) DrainByOperator() error   { c.changes = append(c.changes, "leave"); return nil }
func (c *fakeController) UndrainByOperator() error { c.changes = append(c.changes, "join"); return nil }

// FuzzCommand checks that the answer to any line is complete and well-formed, and that only the commands for changes change anything.
func FuzzCommand(f *testing.F) {
	for _, line := range []string{"HEALTH\n", "DUMP\r\n", "OFFLINE s-1\n", "ONLINE\n", "LEAVE now\n", "JOIN", "\x00\n"} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := readLine(iotest.OneByteReader(bytes.NewReader(raw)))
		if end := bytes.IndexByte(raw, '\n'); end < 0 || end >= maxLine {
			assert.Error(t, err)
			return
		}
		assert.NoError(t, err)
		controller := &fakeController{}
		answer := string((&Server{controller: controller, now: func() float64 { return 0 }}).execute(line))
		assert.True(t, strings.HasSuffix(answer, "\n"))
		assert.True(t, strings.HasPrefix(answer, "OK ") || strings.HasPrefix(answer, "ERR ") || strings.HasSuffix(answer, "END\n"), answer)
		words := strings.Fields(line)
		if len(controller.changes) > 0 {
			assert.Contains(t, []string{"OFFLINE", "ONLINE", "LEAVE", "JOIN"}, strings.ToUpper(words[0]))
			assert.True(t, strings.HasPrefix(answer, "OK "))
		}
	})
}
