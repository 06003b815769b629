package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// golden compares a text with a file under testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("%s: want\n%s\ngot\n%s", path, want, got)
	}
}

// TestRecordedSteps feeds seeded random events to a Balancer under each of the settings of settingsVariants. The digest of all
// actions, with their exact times, and of the checkpoints in between must match the golden file. So no change of random draws,
// floating-point expressions or the checkpoint format goes unnoticed. The golden file is valid for architectures without fused
// multiply-add; on others only the two runs of each seed are compared with each other.
func TestRecordedSteps(t *testing.T) {
	const steps, checkpointInterval = 6000, 150
	run := func(hosts int, s Settings, seed uint64) string {
		sum := sha256.New()
		acts := &actionLog{}
		bytes := 0
		runRandomEventsAmong(hosts, s, seed, steps, acts, func(i int, b *Balancer, _ func(*Balancer)) {
			fmt.Fprintln(sum, acts.drain())
			if i%checkpointInterval == checkpointInterval-1 {
				state, ok := b.Checkpoint(nil, 1<<20)
				if !ok {
					t.Fatalf("event %d: no checkpoint", i)
				}
				sum.Write(state)
				bytes += len(state)
			}
		})
		return fmt.Sprintf("%d bytes of checkpoints, sha256 %s", bytes, hex.EncodeToString(sum.Sum(nil)))
	}
	var got strings.Builder
	for n, s := range settingsVariants() {
		for _, seed := range []uint64{11, 12} {
			for _, hosts := range []int{30, 90} { // below and above the number that each pick compares completely
				digest := run(hosts, s, seed)
				fmt.Fprintf(&got, "settings %d, seed %d, %d hosts: %s\n", n, seed, hosts, digest)
				if again := run(hosts, s, seed); again != digest {
					t.Errorf("settings %d, seed %d, %d hosts: two runs with the same events differ", n, seed, hosts)
				}
			}
		}
	}
	if runtime.GOARCH == "amd64" {
		golden(t, "recorded_steps.txt", got.String())
	}
}

// TestSettingsJSONIsStable decodes settings with all fields set, in the JSON form of captured records, and encodes them again.
func TestSettingsJSONIsStable(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if string(again)+"\n" != string(raw) {
		t.Errorf("want\n%sgot\n%s", raw, again)
	}
	if strings.Contains(string(raw), ":0,") || strings.Contains(string(raw), "false") {
		t.Error("testdata/settings.json has a field that is not set")
	}
}
