package tokenlease_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// mutant is a fault that is introduced into a copy of one file of the package.
type mutant struct {
	name     string
	file     string
	old, new string // old must occur exactly once in the file
}

var mutants = []mutant{
	{"a lease never ends", "wallet.go", "return now >= l.validUntil", "return false"},
	{"a lease is measured from the receipt of the reply", "calls.go", "validUntil := call.sentAt + LeaseSeconds", "validUntil := now + LeaseSeconds"},
	{"tokens of ended leases are granted again", "account.go", "a.loaned -= borrowed.outstanding()", "a.loaned -= borrowed.outstanding()\n\ta.available += float64(borrowed.outstanding())"},
	{"a replaced lessor continues to grant", "lessor.go", "if request.Token > l.token {", "if false {"},
	{"leases of another lessor are accepted", "lessor.go", "if request.Token != 0 && request.Token != l.token {", "if false {"},
	{"returned tokens count twice", "account.go", "a.available += float64(returned)", "a.available += 2 * float64(returned)"},
	{"a return that arrives twice counts twice", "account.go", "returned := min(max(report.Returned-borrowed.returned, 0), borrowed.outstanding())", "returned := report.Returned"},
	{"a restarted lessor grants the burst again", "lessor.go", "refilledAt: l.idleSince", "refilledAt: l.idleSince - 100"},
	{"a new lessor ignores that there may be leases", "lessor.go", "return now-l.startedAt < countedLeaseSeconds", "return false"},
	{"each share has the whole limit", "limit.go", "return Limit{l.Rate / Shares, l.Burst / Shares}", "return l"},
	{"leased tokens stay in the bucket", "account.go", "max(capacity-float64(a.loaned), 0)", "capacity"},
	{"a commit counts only half of the tokens", "lessee.go", "paid.spent += tokens", "paid.spent += tokens / 2"},
}

// mutantSeeds is the number of random runs with each mutant.
const mutantSeeds = 40

// TestMutantsAreDetected checks that the tests detect faults: with each mutant some other test must fail.
func TestMutantsAreDetected(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a test program for each mutant")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out, err := m.test(t)
			require.Error(t, err, "the mutant is not detected: %s", out)
			for _, line := range strings.Split(out, "\n") {
				if strings.HasPrefix(line, "--- FAIL") {
					t.Log(line)
				}
			}
		})
	}
}

// test builds the test program with the mutant, by an overlay, and runs it with mutantSeeds seeds.
func (m *mutant) test(t *testing.T) (string, error) {
	path, err := filepath.Abs(m.file)
	require.NoError(t, err)
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(source), m.old), "the replaced text must occur once in its file")
	dir := t.TempDir()
	copied, overlay, program := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "mutant.test")
	require.NoError(t, os.WriteFile(copied, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600))
	replaced, err := json.Marshal(map[string]any{"Replace": map[string]string{path: copied}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(overlay, replaced, 0o600))
	out, err := exec.Command("go", "test", "-c", "-overlay", overlay, "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	out, err = exec.Command(program, "-test.short", "-seeds", fmt.Sprint(mutantSeeds)).CombinedOutput()
	return string(out), err
}
