package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/appconfig"
)

const (
	exampleApp  = "../../example/app.toml"
	exampleSite = "../../example/site.toml"
	exampleCore = "../../example/config.json"
)

// Checks the exit status and output of each command.
func TestConfigCommands(t *testing.T) {
	dir := t.TempDir()
	spoilt := filepath.Join(dir, "spoilt.toml")
	raw, err := os.ReadFile(exampleApp)
	require.NoError(t, err)
	text := strings.NewReplacer(`"3s"`, `"4s"`, `waits = "4s"`, `waits = "3s"`).Replace(string(raw))
	require.NoError(t, os.WriteFile(spoilt, []byte(strings.Replace(text, `waits = "4s"`, `waits = "3s"`, 1)), 0o600))
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"check " + exampleApp, 0, ""},
		{"check --against " + exampleSite + " " + exampleApp, 0, "note HW068"},
		{"check --against " + exampleSite + " " + spoilt, 1, "error HW041: class[0].deadline: the deadline 4s is longer than the client waits, 3s"},
		{"check --format json " + spoilt, 1, `"code": "HW041"`},
		{"check --format sarif " + spoilt, 1, `"ruleId": "HW041"`},
		{"check " + exampleCore + " ../../example/features.json", 0, "warning HW133"},
		{"check --strict " + exampleCore + " ../../example/features.json", 1, "warning HW133"},
		{"check", 2, "no file is named"},
		{"check --format xml " + spoilt, 2, "none of text, json, sarif"},
		{"check " + spoilt + " " + spoilt, 2, "named twice"},
		{"check " + filepath.Join(dir, "none"), 2, "HW001"},
		{"check --against " + spoilt + " " + exampleApp, 2, "not a site's file"},
		{"check --colour " + exampleApp, 2, "colour"},
		{"explain HW041", 0, "longer than the client waits"},
		{"explain classes.aim", 0, "objectiveS"},
		{"explain HW999", 2, "no"},
		{"schema app", 0, "late_worth"},
		{"schema site", 0, `"cold_multiple"`},
		{"schema world", 2, "name app or site"},
		{"diff " + exampleApp + " " + exampleApp, 0, ""},
		{"diff " + exampleApp + " " + spoilt, 1, "class[latest-reading].deadline: requests are given up after 4s, not 3s (taken in at a restart)"},
		{"diff " + exampleApp + " " + exampleSite, 2, "nothing to compare"},
		{"render " + exampleApp, 2, "site"},
		{"render --site " + exampleSite + " " + spoilt, 1, "HW041"},
		{"render --site " + exampleSite + " " + exampleApp, 0, `"locality": 0`},
		{"import " + exampleCore, 0, `deadline = "2500ms"`},
		{"import ../../internal/lint/testdata/broken/alone/HW077-index.json", 0, `index = 1`},
		{"import ../../internal/lint/testdata/broken/alone/HW014-text.json", 1, "error HW014"},
		{"import " + exampleApp, 2, "want the platform's file"},
		{"new --name n1", 2, "--discovery is missing"},
		{"new --name n1 --discovery 127.0.0.1:8500 --class \"a effect=saef aim=1s deadline=2s\"", 1, "Write safe if that is meant"},
		{"new --name n1 --discovery 127.0.0.1:8500 --class \"a effect=safe aim=1s deadline=2s\" --write " + spoilt, 2, "there already"},
	} {
		code, output := run(t, append([]string{"config"}, words(c.args)...)...)
		assert.Equal(t, c.code, code, "%s: %s", c.args, output)
		assert.Contains(t, output, c.want, c.args)
		assert.NotContains(t, output, "\x1b", "no color without a terminal")
	}
}

// A file that contains the hash of a secret is readable by its owner only.
func TestImportedSecretIsKept(t *testing.T) {
	dir := t.TempDir()
	code, output := run(t, "config", "import", "--out", dir, "--features", "../../example/features.json", exampleCore)
	require.Zero(t, code, output)
	for name, mode := range map[string]os.FileMode{"app.toml": 0o600, "site.toml": 0o644} {
		info, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		assert.Equal(t, mode, info.Mode().Perm(), name)
	}
}

// words splits a command line; quoted parts keep their spaces.
func words(line string) []string {
	var all []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			all = append(all, part)
		} else {
			all = append(all, strings.Fields(part)...)
		}
	}
	return all
}

// A file may be read from standard input, and may have CRLF line endings.
func TestConfigFromStandardInput(t *testing.T) {
	raw, err := os.ReadFile(exampleApp)
	require.NoError(t, err)
	cmd := program("config", "check", "--against", exampleSite, "-")
	cmd.Stdin = strings.NewReader(strings.ReplaceAll(string(raw), "\n", "\r\n"))
	out, err := cmd.CombinedOutput()
	assert.NoError(t, err, string(out))
	assert.Contains(t, string(out), "-:22:1: note HW068")
}

func TestShellCompletion(t *testing.T) {
	code, output := run(t, "completion", "bash")
	assert.Zero(t, code)
	assert.Contains(t, output, "complete")
	_, output = run(t, "config", "explain", "--generate-shell-completion")
	assert.Contains(t, output, "HW041")
	assert.Contains(t, output, "class.aim")
	_, output = run(t, "config", "--generate-shell-completion")
	assert.Contains(t, output, "render")
}

// For five applications, the files that config new and config render write start a sidecar that serves a request of each class.
func TestNewConfigurationsServe(t *testing.T) {
	for name, c := range map[string]struct {
		flags, classes []string
	}{
		"dashboard":   {[]string{"--waits", "3s", "--connections", "40", "--rate", "27"}, []string{"latest-reading"}},
		"alarms":      {[]string{"--waits", "3s", "--health-port", "free"}, []string{"raise-alert"}},
		"calibration": {[]string{"--waits", "4s", "--capture", "256KiB"}, []string{"log-calibration"}},
		"everything":  {nil, []string{"latest-reading", "log-calibration", "raise-alert"}},
		"own words": {[]string{"--rate", "5"}, []string{"latest-reading effect=safe aim=900ms deadline=2s worth=2",
			"raise-alert effect=keyed group=place window=10s aim=2s deadline=2500ms worth=9"}},
	} {
		t.Run(name, func(t *testing.T) {
			box := newServer(t, "s-00000001", says(200, "own"))
			w := newTestSidecar(t, box)
			w.listen = freeAddress(t)
			dir := t.TempDir()
			app := filepath.Join(dir, "app.toml")
			args := []string{"config", "new", "--site", exampleSite, "--write", app, "--name", "n7", "--listen", w.listen,
				"--discovery", w.discovery.address(), "--home", "zarqa"}
			for _, flag := range c.flags {
				if flag == "free" {
					_, flag, _ = strings.Cut(freeAddress(t), ":")
				}
				args = append(args, flag)
			}
			for _, class := range c.classes {
				args = append(args, "--class", class)
			}
			code, output := run(t, args...)
			require.Zero(t, code, output)
			code, output = run(t, "config", "render", "--site", exampleSite, "--out", dir, app)
			require.Zero(t, code, output)
			w.path = filepath.Join(dir, "config.json")
			serve := []string{"serve", "--verbose", "--config", w.path}
			if _, err := os.Stat(filepath.Join(dir, "features.json")); err == nil {
				serve = append(serve, "--features", filepath.Join(dir, "features.json"))
			}
			w.launch(serve...)
			w.discovery.answers <- list(line(t, 8, true, box))
			w.eventually("the list", func() bool { return w.counter("lists") == 1 })
			methods := map[string]string{"safe": "GET", "keyed": "POST", "unsafe": "POST"}
			file := appconfig.Open(app, nil)
			for _, class := range appconfig.Resolve(file.App, appconfig.Open(exampleSite, nil).Site).Classes {
				r := w.request(class.Name, "", "")
				r.Method = methods[class.Effect]
				if class.Effect == "keyed" {
					r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
				}
				p := w.send(r)
				require.NoError(t, p.err)
				assert.Equal(t, []any{200, "own"}, []any{p.status, p.body}, class.Name)
			}
			assert.NotContains(t, w.log.String(), "could not be checked")
		})
	}
}

// Danger: users copy examples from the pages even if they are wrong. Each TOML and JSON example must pass the checks, and each command
// line must be accepted by the program.
func TestExamplesInThePagesAreSound(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operators/*.md")
	require.NoError(t, err)
	fence := regexp.MustCompile("(?s)```(toml|json)\n(.*?)```")
	indented := regexp.MustCompile(`(?m)^    \{"(?:drills|rewrites|health|capture|admission|quotas|thrift)[".](?:[^\n]*\n)(?:     [^\n]*\n)*`)
	checked := 0
	for _, page := range append(pages, "../../README.md") {
		raw, err := os.ReadFile(page)
		require.NoError(t, err)
		var texts []string
		for _, m := range fence.FindAllStringSubmatch(string(raw), -1) {
			texts = append(texts, m[2])
		}
		texts = append(texts, indented.FindAllString(string(raw), -1)...)
		for i, text := range texts {
			path := filepath.Join(t.TempDir(), fmt.Sprintf("%d", i))
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			args := []string{"config", "check", "--against", exampleSite}
			if strings.HasPrefix(strings.TrimSpace(text), "{") {
				args = append(args, exampleCore)
			}
			code, output := run(t, append(args, path)...)
			assert.Zero(t, code, "%s: %s\n%s", page, text, output)
			checked++
		}
	}
	assert.GreaterOrEqual(t, checked, 6, "the pages have examples")
}

// Runs the page's steps from nothing to a running sidecar: each command ends with 0 and prints what the page shows.
func TestStepsOfThePage(t *testing.T) {
	raw, err := os.ReadFile("../../docs/operators/config.md")
	require.NoError(t, err)
	self, err := filepath.Abs(os.Args[0])
	require.NoError(t, err)
	dir, steps, output := t.TempDir(), 0, ""
	for _, line := range strings.Split(string(raw), "\n") {
		command, ok := strings.CutPrefix(line, "    $ hazelwheel ")
		shown, is := strings.CutPrefix(line, "    ")
		switch {
		case ok:
			steps++
			cmd := program(words(command)...)
			cmd.Path, cmd.Dir = self, dir
			out, err := cmd.CombinedOutput()
			require.NoError(t, err, "%s\n%s", command, out)
			output = string(out)
		case is && steps > 0 && output != "":
			assert.Contains(t, output, shown)
		case strings.HasPrefix(line, "## What a mistake"):
			assert.Equal(t, 5, steps)
			return
		}
	}
}

// The mistakes that the page shows are reported with the messages that it shows.
func TestMistakesOfThePage(t *testing.T) {
	raw, err := os.ReadFile("../../docs/operators/config.md")
	require.NoError(t, err)
	_, text, _ := strings.Cut(string(raw), "```toml\n")
	text, rest, _ := strings.Cut(text, "```")
	text = strings.NewReplacer(`effect = "unsafe"`, `effect = "safe"`, `deadline = "3s"`, `deadline = "4s"`).Replace(text)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "app.toml"), []byte(text), 0o600))
	code, output := run(t, "config", "check", "--against", exampleSite, filepath.Join(dir, "app.toml"))
	assert.Equal(t, 1, code)
	shown := regexp.MustCompile(`(?m)^    (app\.toml:.*) \.\.\.$`).FindAllStringSubmatch(rest, -1)
	require.Len(t, shown, 4)
	for _, m := range shown {
		assert.Contains(t, output, m[1])
	}
	assert.Equal(t, len(shown)+1, strings.Count(output, "\n"), "all findings, and the line that counts them")
}

// At a terminal, config new asks for what no flag gives, and asks again until the answer is valid.
func TestNewAsks(t *testing.T) {
	script, err := exec.LookPath("script")
	if err != nil {
		t.Skip("script, which makes a terminal, is not there")
	}
	app := filepath.Join(t.TempDir(), "app.toml")
	cmd := exec.Command(script, "-qec", program("config", "new", "--site", exampleSite, "--write", app).String(), "/dev/null")
	cmd.Env = append(os.Environ(), "RUN_HAZELWHEEL=1")
	cmd.Stdin = strings.NewReader("n3\n\n127.0.0.1:8500\nzarqa\n1\n3\n3\n3s\n40\n\n\n\nraise-alert\n")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Contains(t, string(out), `Write "3ms" or "3s"`, "3 has no unit, so the question is repeated")
	f := appconfig.Open(app, nil)
	require.Empty(t, f.Faults)
	assert.Equal(t, []any{"n3", "127.0.0.1:3000", "zarqa", 1, 3, "3s", 40}, []any{f.App.Name, f.App.Listen, f.App.Home, f.App.Index, f.App.Replicas,
		f.App.Client.Waits.String(), f.App.Client.Connections})
	assert.Equal(t, "raise-alert", f.App.Classes[0].Name)
	assert.Len(t, f.App.Classes, 1)
}

// Output is colored only on a terminal, and only if NO_COLOR is not set.
func TestColour(t *testing.T) {
	script, err := exec.LookPath("script")
	if err != nil {
		t.Skip("script, which makes a terminal, is not there")
	}
	for _, c := range []struct {
		env    string
		colour bool
	}{{"A=1", true}, {"NO_COLOR=1", false}} {
		cmd := exec.Command(script, "-qec", program("config", "check", exampleCore, "../../example/features.json").String(), "/dev/null")
		cmd.Env = append(os.Environ(), "RUN_HAZELWHEEL=1", "TERM=xterm", c.env)
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, string(out))
		assert.Equal(t, c.colour, strings.Contains(string(out), "\x1b[33mwarning HW133"), string(out))
	}
}
