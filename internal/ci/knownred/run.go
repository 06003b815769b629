package knownred

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of go test -json. Its fields are described by "go doc test2json" and "go help buildjson".
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// The actions of events that matter here.
const (
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionBuildFail   = "build-fail"
)

const (
	// raceWarning begins a report of the race detector.
	raceWarning = "WARNING: DATA RACE"
	// raceOutside is printed by a test binary where the detector reported something while no test was running.
	raceOutside = "testing: race detected outside of test execution"
	// endOfFailed is the last line of a test binary that ran all its tests and had one that failed.
	endOfFailed = "FAIL\n"
)

// line is one line of a package's output.
type line struct {
	test string // "" if it belongs to no test
	text string
}

// packageRun is what is known of the tests of one package.
type packageRun struct {
	path        string
	order       []string          // the tests, as they began
	results     map[string]string // by test: "" while it has none
	output      []line
	result      string // "" while it has none
	failedBuild bool
	complete    bool // its test binary came to its end, with failures
	afterEnd    bool // and printed more after that
}

// Run collects the events of one run of go test -json and prints what go test prints without -json: the packages' lines and
// the output of tests that failed.
type Run struct {
	entries    []Entry
	out        io.Writer
	packages   map[string]*packageRun
	order      []string
	problems   []string
	buildFails bool
}

// NewRun returns a run without events. entries are the tests that are known to fail.
func NewRun(entries []Entry, out io.Writer) *Run {
	return &Run{entries: entries, out: out, packages: map[string]*packageRun{}}
}

// Add takes one line of go test -json. A line that is no event is printed, and the run cannot pass any more.
func (r *Run) Add(text []byte) {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		fmt.Fprintf(r.out, "%s\n", strings.TrimSuffix(string(text), "\n"))
		r.problems = append(r.problems, fmt.Sprintf("a line of the run is no event of go test -json: %v", err))
		return
	}
	switch {
	case e.Action == actionBuildOutput:
		_, _ = io.WriteString(r.out, e.Output)
	case e.Action == actionBuildFail:
		r.buildFails = true
	case e.Package == "":
	case e.Test == "":
		r.addOfPackage(r.packageRun(e.Package), e)
	default:
		addOfTest(r.packageRun(e.Package), e)
	}
}

func (r *Run) packageRun(path string) *packageRun {
	p, ok := r.packages[path]
	if !ok {
		p = &packageRun{path: path, results: map[string]string{}}
		r.packages[path] = p
		r.order = append(r.order, path)
	}
	return p
}

func (r *Run) addOfPackage(p *packageRun, e event) {
	switch e.Action {
	case actionOutput:
		p.output = append(p.output, line{text: e.Output})
		p.afterEnd = p.afterEnd || p.complete && !hasPrefix(e.Output, resultLines)
		p.complete = p.complete || e.Output == endOfFailed
	case actionPass, actionFail, actionSkip:
		p.result = worse(p.result, e.Action)
		p.failedBuild = p.failedBuild || e.FailedBuild != ""
		p.print(r.out)
	}
}

func addOfTest(p *packageRun, e event) {
	if _, known := p.results[e.Test]; !known {
		p.order = append(p.order, e.Test)
		p.results[e.Test] = ""
	}
	switch e.Action {
	case actionOutput:
		p.output = append(p.output, line{e.Test, e.Output})
	case actionPass, actionFail, actionSkip:
		p.results[e.Test] = worse(p.results[e.Test], e.Action)
	}
}

// worse returns the result that counts of a test that has run more than once.
func worse(a, b string) string {
	for _, result := range []string{actionFail, actionPass, actionSkip} {
		if a == result || b == result {
			return result
		}
	}
	return ""
}

// print writes a package's result lines and, if it failed, the output of what failed in it.
func (p *packageRun) print(out io.Writer) {
	for _, l := range p.output {
		if p.shows(l) {
			_, _ = io.WriteString(out, l.text)
		}
	}
}

// framing are the beginnings of lines by which a test binary tells which test is at work.
var framing = []string{"=== RUN ", "=== PAUSE ", "=== CONT ", "=== NAME ", "=== ATTR "}

// resultLines are the beginnings of the lines that go test prints of a package in any case.
var resultLines = []string{"ok  \t", "?   \t", "FAIL\t", "---\t"}

func (p *packageRun) shows(l line) bool {
	switch {
	case hasPrefix(l.text, framing):
		return false
	case p.result != actionFail:
		return l.test == "" && hasPrefix(l.text, resultLines)
	case l.test == "" || !p.complete:
		return true
	default:
		return p.results[l.test] == actionFail || p.results[l.test] == ""
	}
}

func hasPrefix(text string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(text, prefix) })
}
