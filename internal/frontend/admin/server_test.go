package admin

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/sidecar"
)

// desk does at once what it is asked.
type desk struct{ said []string }

func (d *desk) StatusSnapshot() *sidecar.StatusSnapshot { return &sidecar.StatusSnapshot{} }
func (d *desk) Do(f func())                             { f() }
func (d *desk) CordonServer(server string) error        { d.said = append(d.said, "off "+server); return nil }
func (d *desk) UncordonServer(server string) error      { d.said = append(d.said, "on "+server); return nil }
func (d *desk) DrainByOperator() error                  { d.said = append(d.said, "leave"); return nil }
func (d *desk) UndrainByOperator() error                { d.said = append(d.said, "join"); return nil }

// FuzzCall has whatever callers say answered by whole lines that begin as they should; nothing but a call does anything.
func FuzzCall(f *testing.F) {
	for _, line := range []string{"HEALTH\n", "DUMP\r\n", "OFFLINE s-1\n", "ONLINE\n", "LEAVE now\n", "JOIN", "\x00\n"} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := readLine(iotest.OneByteReader(bytes.NewReader(raw)))
		if end := bytes.IndexByte(raw, '\n'); end < 0 || end >= mostLine {
			assert.Error(t, err)
			return
		}
		assert.NoError(t, err)
		desk := &desk{}
		answer := string((&Server{desk: desk, now: func() float64 { return 0 }}).call(line))
		assert.True(t, strings.HasSuffix(answer, "\n"))
		assert.True(t, strings.HasPrefix(answer, "OK ") || strings.HasPrefix(answer, "ERR ") || strings.HasSuffix(answer, "END\n"), answer)
		words := strings.Fields(line)
		if len(desk.said) > 0 {
			assert.Contains(t, []string{"OFFLINE", "ONLINE", "LEAVE", "JOIN"}, strings.ToUpper(words[0]))
			assert.True(t, strings.HasPrefix(answer, "OK "))
		}
	})
}
