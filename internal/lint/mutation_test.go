package lint

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hazelwheel/internal/appconfig"
)

// mutations introduce a mistake into a line of a valid file. They return "" if they don't apply to the line.
var mutations = []struct {
	kind string
	of   func(rng *rand.Rand, lines []string, i int) string
}{
	{"drop a line", func(_ *rand.Rand, _ []string, i int) string { return "\x00" }},
	{"double a line", func(_ *rand.Rand, lines []string, i int) string { return lines[i] + "\n" + lines[i] }},
	{"misspell a name", func(rng *rand.Rand, lines []string, i int) string {
		return replaceMatch(lines[i], nameIn, func(s string) string { at := rng.IntN(len(s)); return s[:at] + s[at+1:] })
	}},
	{"change a unit", func(rng *rand.Rand, lines []string, i int) string {
		return replaceMatch(lines[i], unitIn, func(s string) string {
			units := []string{"ms", "s", "min", "KiB", "MiB", "m", "MB", ""}
			for _, other := range rng.Perm(len(units)) {
				if units[other] != s {
					return units[other]
				}
			}
			return s
		})
	}},
	{"change a number", func(rng *rand.Rand, lines []string, i int) string {
		return replaceMatch(lines[i], numberIn, func(s string) string {
			return []string{"0", "-" + s, s + "0", s + "00", "1e400", `"` + s + `"`}[rng.IntN(6)]
		})
	}},
	{"change a word", func(rng *rand.Rand, lines []string, i int) string {
		words := []string{"safe", "unsafe", "keyed", "all", "place", "cell", "ask", "push", "off", "inline", "on_probe", "rough", "live", "true", "false", "yes"}
		return replaceMatch(lines[i], wordIn, func(string) string { return words[rng.IntN(len(words))] })
	}},
	{"swap classes", func(rng *rand.Rand, lines []string, i int) string {
		classes := []string{"latest-reading", "log-calibration", "raise-alert"}
		return replaceMatch(lines[i], classIn, func(s string) string { return classes[(slices.Index(classes, s)+1+rng.IntN(2))%3] })
	}},
	{"swap two lines' values", func(rng *rand.Rand, lines []string, i int) string {
		other := lines[rng.IntN(len(lines))]
		_, value, ok := strings.Cut(other, " = ")
		name, own, is := strings.Cut(lines[i], " = ")
		if !ok || !is || own == value {
			return ""
		}
		return name + " = " + value
	}},
}

var (
	nameIn   = regexp.MustCompile(`^"?([a-z_]{3,})"?(?: =)`)
	unitIn   = regexp.MustCompile(`"\d+(ms|s|KiB|MiB)"`)
	numberIn = regexp.MustCompile(`= (\d+(?:\.\d+)?)`)
	wordIn   = regexp.MustCompile(`= "?(safe|unsafe|keyed|place|ask|on_probe|rough|true|false)"?`)
	classIn  = regexp.MustCompile(`name = "(latest-reading|log-calibration|raise-alert)"`)
)

func replaceMatch(line string, where *regexp.Regexp, f func(string) string) string {
	at := where.FindStringSubmatchIndex(line)
	if at == nil {
		return ""
	}
	return line[:at[2]] + f(line[at[2]:at[3]]) + line[at[3]:]
}

// harmless explains, by the field at the start of the line, why an undetected change does no harm.
var harmless = map[string]string{
	"worth":         "owners alone know what an answer is worth; other than 0 any order may be meant",
	"late_worth":    "owners alone know what a late answer is worth",
	"rate":          "the checks alone read it, and any rate may be meant",
	"connections":   "the checks alone read it; what is too much is caught",
	"waits":         "a client may wait longer than the deadlines; what is too short is caught",
	"count":         "the checks alone read it, and any number of boxes may be meant",
	"cost":          "the checks alone read it; what is too dear is caught",
	"part":          "the checks alone read it; what the probes go beyond is caught",
	"name":          "any name of an instance or a site may be meant",
	"cores":         "a limit that the platform sets; the sidecar obeys any",
	"sockets":       "a limit that the platform sets; what is too little for boxes and clients is caught",
	"replicas":      "one file does not tell how many there are; files together are compared",
	"port":          "any free port may be meant",
	"aim":           "an aim above the site's and below the deadline makes the application contented with slower answers",
	"deadline":      "a shorter deadline above the aim gives up sooner, and the site allows it",
	"window":        "a window between the deadline and the site's gives up repeats that would still have been dropped",
	"cross_cost":    "a site's price; below 1 any may be meant",
	"sizes":         "a site's word on its list; no file says otherwise",
	"round":         "a round below the site's other times is in time",
	"ask_within":    "a site's rule; an application's file holds none to compare it with",
	"cancel":        "a site's permission; no file says otherwise",
	"second_copies": "a site's permission; no file says otherwise",
	"answer_slack":  "above 1s it is caught",
	"cold_time":     "a site's rule; no file says otherwise",
	"cold_window":   "a site's rule; none at all is caught",
}

// Introduces mistakes into valid files a thousand times and compares the rates of detection with the golden file. A change
// that is neither detected nor known as harmless fails the test: it needs a new check.
func TestSpoiltFilesAreCaught(t *testing.T) {
	rng := rand.New(rand.NewPCG(15, 15))
	good := map[string]string{}
	for _, name := range []string{"app.toml", "site.toml"} {
		raw, err := os.ReadFile("../../example/" + name)
		require.NoError(t, err)
		good[name] = string(raw)
	}
	run := func(texts map[string]string) (*appconfig.File, *appconfig.File, []Finding) {
		a, s := appconfig.Read("app.toml", []byte(texts["app.toml"])), appconfig.Read("site.toml", []byte(texts["site.toml"]))
		return a, s, Run([]*appconfig.File{a, s}, nil)
	}
	goodApp, goodSite, usual := run(good)
	type count struct{ all, caught, same, harmless int }
	counts, open := map[string]*count{}, map[string]int{}
	reasons := map[string]bool{}
	for n := 0; n < 1000; {
		m := mutations[n%len(mutations)]
		name := []string{"app.toml", "site.toml"}[rng.IntN(2)]
		lines := strings.Split(strings.TrimSpace(good[name]), "\n")
		i := rng.IntN(len(lines))
		if lines[i] == "" || strings.HasPrefix(lines[i], "#") {
			continue
		}
		spoilt := m.of(rng, lines, i)
		if spoilt == "" || spoilt == lines[i] {
			continue
		}
		n++
		field, _, _ := strings.Cut(strings.Trim(lines[i], "[]"), " ")
		changed := slices.Clone(lines)
		if changed[i] = spoilt; spoilt == "\x00" {
			changed = slices.Delete(changed, i, i+1)
		}
		texts := map[string]string{"app.toml": good["app.toml"], "site.toml": good["site.toml"]}
		texts[name] = strings.Join(changed, "\n") + "\n"
		a, s, found := run(texts)
		c := counts[m.kind]
		if c == nil {
			c = &count{}
			counts[m.kind] = c
		}
		c.all++
		switch {
		case hasNewFinding(found, usual):
			c.caught++
		case reflect.DeepEqual(appconfig.Resolve(a.App, s.Site), appconfig.Resolve(goodApp.App, goodSite.Site)) && reflect.DeepEqual(s.Site, goodSite.Site):
			c.same++
		case harmless[field] != "":
			c.harmless++
			reasons[field] = true
		default:
			open[fmt.Sprintf("%s: %s line %d: %q to %q", m.kind, name, i+1, lines[i], spoilt)]++
		}
	}
	assert.Empty(t, open, "neither caught nor harmless")
	assert.Equal(t, slices.Sorted(maps.Keys(harmless)), slices.Sorted(maps.Keys(reasons)), "an unused reason would hide later gaps")
	var got strings.Builder
	fmt.Fprintf(&got, "%-24s %7s %7s %7s %10s %9s\n", "spoilt by", "files", "caught", "share", "no change", "harmless")
	all := count{}
	for _, m := range mutations {
		c := counts[m.kind]
		fmt.Fprintf(&got, "%-24s %7d %7d %6d%% %10d %9d\n", m.kind, c.all, c.caught, 100*c.caught/c.all, c.same, c.harmless)
		all = count{all.all + c.all, all.caught + c.caught, all.same + c.same, all.harmless + c.harmless}
	}
	fmt.Fprintf(&got, "%-24s %7d %7d %6d%% %10d %9d\n\nharmless:\n", "all", all.all, all.caught, 100*all.caught/all.all, all.same, all.harmless)
	for _, field := range slices.Sorted(maps.Keys(reasons)) {
		fmt.Fprintf(&got, "- %s: %s\n", field, harmless[field])
	}
	const path = "testdata/spoilt.txt"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got.String())
}

// hasNewFinding reports whether there is a finding that the valid files do not have.
func hasNewFinding(found, usual []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool {
		return !slices.ContainsFunc(usual, func(u Finding) bool { return u.Code == f.Code && u.Message == f.Message })
	})
}

// Checks handle any input without a panic and within a second.
func FuzzRun(f *testing.F) {
	for _, name := range []string{"app.toml", "site.toml", "config.json", "features.json"} {
		raw, err := os.ReadFile("../../example/" + name)
		require.NoError(f, err)
		f.Add(raw)
	}
	site := appconfig.Open(exampleSiteFile, nil)
	f.Fuzz(func(t *testing.T, raw []byte) {
		raw = raw[:min(len(raw), 64<<10)]
		began := time.Now()
		files := []*appconfig.File{appconfig.Read("x", raw)}
		Run(files, nil)
		Run(files, site)
		if took := time.Since(began); took > time.Second {
			t.Errorf("%d bytes took %s", len(raw), took)
		}
	})
}

// Files of 64 KiB with a fault in every line are checked within 100 ms.
func TestChecksAreQuick(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for name, part := range map[string]string{"classes": "[[class]]\nname=\"a\"\n", "unknown": "x%d = 1\n", "broken": "a = [1,\n", "rules": "[[rewrite]]\ndir=\"in\"\nclass=\"a\"\nop=\"drop\"\nname=\"X\"\n",
		"caps": "[[admission.cap]]\nprefix=\"10.0.0.0/8\"\nlinks=%d\n", "deep": "[a.b.c.d.e.f.g]\n", "header": "[", "quotes": "\"", "words": "a ", "json": `{"a":`} {
		var text strings.Builder
		if name != "json" && name != "header" {
			text.WriteString("format = \"app/1\"\n")
		}
		for i := 0; text.Len() < 64<<10; i++ {
			if strings.Contains(part, "%d") {
				fmt.Fprintf(&text, part, i)
			} else {
				text.WriteString(part)
			}
		}
		best := time.Hour
		for range 5 {
			began := threadCPUTime(t)
			Run([]*appconfig.File{appconfig.Read("x", []byte(text.String())[:64<<10])}, nil)
			best = min(best, threadCPUTime(t)-began)
		}
		t.Logf("%s: %s", name, best)
		if !raceEnabled {
			assert.Less(t, best, 100*time.Millisecond, name)
		}
	}
}

// threadCPUTime returns the CPU time of this thread. Wall-clock time would include other processes on a shared machine.
func threadCPUTime(t *testing.T) time.Duration {
	var used unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
