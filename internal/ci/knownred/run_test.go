package knownred

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// events builds the lines that go test -json prints of one package.
type events struct {
	pkg   string
	lines []event
}

func of(pkg string) *events { return (&events{pkg: pkg}).add(event{Action: "start"}) }

func (e *events) add(more event) *events {
	if more.Action != actionBuildOutput && more.Action != actionBuildFail {
		more.Package = e.pkg
	}
	e.lines = append(e.lines, more)
	return e
}

func (e *events) prints(test, text string) *events {
	return e.add(event{Action: actionOutput, Test: test, Output: text + "\n"})
}

func (e *events) begins(test string) *events {
	return e.add(event{Action: actionRun, Test: test}).prints(test, "=== RUN   "+test)
}

func (e *events) ends(test, result string) *events {
	return e.prints(test, "--- "+strings.ToUpper(result)+": "+test+" (0.00s)").add(event{Action: result, Test: test})
}

// test is a test that has nothing below it.
func (e *events) test(name, result string) *events {
	return e.begins(name).prints(name, "    said by "+name).ends(name, result)
}

func (e *events) passes() *events {
	return e.prints("", "PASS").prints("", "ok  \t"+e.pkg+"\t0.1s").add(event{Action: actionPass})
}

func (e *events) fails() *events { return e.prints("", "FAIL").dies() }

// dies ends a package whose test binary did not come to its own end.
func (e *events) dies() *events {
	return e.prints("", "FAIL\t"+e.pkg+"\t0.1s").add(event{Action: actionFail})
}

// play gives the events to a new run and returns what it prints and its verdict.
func play(t *testing.T, list string, exitStatus int, packages ...*events) (string, *Verdict) {
	t.Helper()
	entries, err := Parse(list)
	require.NoError(t, err)
	var out strings.Builder
	r := NewRun(entries, &out)
	for _, p := range packages {
		for _, e := range p.lines {
			text, err := json.Marshal(e)
			require.NoError(t, err)
			r.Add(text)
		}
	}
	return out.String(), r.Verdict(exitStatus)
}

const red = "TestRed | a cause | #7\n"

// parent is a package with a test that has two subtests.
func parent(first, second, own string) *events {
	return of("m/a").begins("TestUp").test("TestUp/x", first).test("TestUp/y", second).ends("TestUp", own)
}

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name, list string
		exit       int
		packages   []*events
		problems   []string // what each problem contains; none: the run passes
		passedOver string
		passed     string
	}{
		{name: "nothing listed, nothing failed", packages: []*events{of("m/a").test("TestGood", actionPass).passes()}},
		{name: "nothing listed, a failure", exit: 1, packages: []*events{of("m/a").test("TestRed", actionFail).fails()},
			problems: []string{"m/a: TestRed failed"}},
		{name: "a listed failure", list: red, exit: 1, packages: []*events{of("m/a").test("TestRed", actionFail).test("TestGood", actionPass).fails()},
			passedOver: "TestRed failed and is passed over: a cause (#7)"},
		{name: "another failure in its package", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).test("TestOther", actionFail).fails()},
			passedOver: "TestRed failed", problems: []string{"m/a: TestOther failed"}},
		{name: "another failure in another package", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).fails(), of("m/b").test("TestOther", actionFail).fails()},
			passedOver: "TestRed failed", problems: []string{"m/b: TestOther failed"}},
		{name: "a failure whose name begins like a listed one", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).test("TestRedder", actionFail).fails()},
			passedOver: "TestRed failed", problems: []string{"m/a: TestRedder failed"}},
		{name: "a listed test passes", list: red, packages: []*events{of("m/a").test("TestRed", actionPass).passes()},
			passed: "TestRed passed: its line in KNOWN-RED.txt can go"},
		{name: "a listed test passes and another fails", list: red, exit: 1,
			packages: []*events{of("m/a").test("TestRed", actionPass).test("TestOther", actionFail).fails()},
			passed:   "TestRed passed", problems: []string{"m/a: TestOther failed"}},
		{name: "a listed test passes once and fails once", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).test("TestRed", actionPass).fails()},
			passedOver: "TestRed failed"},
		{name: "a listed test is not run", list: red, packages: []*events{of("m/a").test("TestGood", actionPass).passes()},
			problems: []string{"TestRed names no test that was run"}},
		{name: "a listed test is skipped", list: red, packages: []*events{of("m/a").test("TestRed", actionSkip).passes()},
			problems: []string{"TestRed was skipped"}},
		{name: "a name of two packages", list: red, exit: 1,
			packages: []*events{of("m/a").test("TestRed", actionFail).fails(), of("m/b").test("TestRed", actionFail).fails()},
			problems: []string{"TestRed names tests of several packages: m/a, m/b"}},
		{name: "a name of two packages with its package", list: "b TestRed | a cause | #7", exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionPass).passes(), of("m/b").test("TestRed", actionFail).fails()},
			passedOver: "b TestRed failed"},
		{name: "the other one of two packages", list: "b TestRed | a cause | #7", exit: 1,
			packages: []*events{of("m/a").test("TestRed", actionFail).fails(), of("m/b").test("TestRed", actionPass).passes()},
			passed:   "b TestRed passed", problems: []string{"m/a: TestRed failed"}},
		{name: "a package whose name ends like the listed one", list: "b TestRed | a cause | #7", exit: 1,
			packages: []*events{of("m/ab").test("TestRed", actionFail).fails()},
			problems: []string{"m/ab: TestRed failed", "b TestRed names no test that was run"}},
		{name: "a listed subtest", list: "TestUp/x | a cause | #7", exit: 1, packages: []*events{parent(actionFail, actionPass, actionFail).fails()},
			passedOver: "TestUp/x failed"},
		{name: "a failure beside a listed subtest", list: "TestUp/x | a cause | #7", exit: 1,
			packages:   []*events{parent(actionFail, actionFail, actionFail).fails()},
			passedOver: "TestUp/x failed", problems: []string{"m/a: TestUp failed", "m/a: TestUp/y failed"}},
		{name: "a parent that fails alone", list: "TestUp/x | a cause | #7", exit: 1, packages: []*events{parent(actionPass, actionPass, actionFail).fails()},
			passed: "TestUp/x passed", problems: []string{"m/a: TestUp failed"}},
		{name: "a subtest below a listed test", list: "TestUp | a cause | #7", exit: 1,
			packages:   []*events{parent(actionFail, actionPass, actionFail).fails()},
			passedOver: "TestUp failed", problems: []string{"m/a: TestUp/x failed"}},
		{name: "a listed subtest two levels down", list: "TestUp/x/z | a cause | #7", exit: 1,
			packages: []*events{of("m/a").begins("TestUp").begins("TestUp/x").test("TestUp/x/z", actionFail).ends("TestUp/x", actionFail).
				ends("TestUp", actionFail).fails()},
			passedOver: "TestUp/x/z failed"},
		{name: "a build that fails", list: red, exit: 1,
			packages: []*events{of("m/a").test("TestRed", actionFail).fails(),
				(&events{pkg: "m/b"}).add(event{Action: actionBuildOutput, Output: "# m/b\n"}).add(event{Action: actionBuildFail}).
					prints("", "FAIL\tm/b [build failed]").add(event{Action: actionFail, FailedBuild: "m/b"})},
			passedOver: "TestRed failed", problems: []string{"a package could not be built", "m/b could not be built"}},
		{name: "a panic in a listed test", list: red, exit: 1,
			packages:   []*events{of("m/a").begins("TestRed").ends("TestRed", actionFail).prints("TestRed", "panic: oh").dies()},
			passedOver: "TestRed failed", problems: []string{"m/a ended before its tests did"}},
		{name: "a timeout", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).begins("TestLong").prints("TestLong", "panic: test timed out after 10s").dies()},
			passedOver: "TestRed failed", problems: []string{"m/a ended before its tests did", "m/a: TestLong has no result"}},
		{name: "a listed test without a result", list: red, exit: 1, packages: []*events{of("m/a").begins("TestRed").dies()},
			problems: []string{"m/a ended before its tests did", "TestRed has no result", "m/a failed, though none of its tests did"}},
		{name: "a package that fails without a test", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).fails(), of("m/b").test("TestGood", actionPass).fails()},
			passedOver: "TestRed failed", problems: []string{"m/b failed, though none of its tests did"}},
		{name: "more is printed after the tests", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).prints("", "FAIL").prints("", "goroutines are left over").dies()},
			passedOver: "TestRed failed", problems: []string{"m/a printed more after its tests had failed"}},
		{name: "a race in a listed test", list: red, exit: 1,
			packages:   []*events{of("m/a").begins("TestRed").prints("TestRed", "WARNING: DATA RACE").ends("TestRed", actionFail).fails()},
			passedOver: "TestRed failed"},
		{name: "a race in another test", list: red, exit: 1,
			packages: []*events{of("m/a").test("TestRed", actionFail).begins("TestGood").prints("TestGood", "WARNING: DATA RACE").
				ends("TestGood", actionPass).fails()},
			passedOver: "TestRed failed", problems: []string{"m/a: a data race outside of the listed tests"}},
		{name: "a race in the parent of a listed test", list: "TestUp/x | a cause | #7", exit: 1,
			packages: []*events{of("m/a").begins("TestUp").prints("TestUp", "WARNING: DATA RACE").test("TestUp/x", actionFail).
				ends("TestUp", actionFail).fails()},
			passedOver: "TestUp/x failed", problems: []string{"m/a: a data race outside of the listed tests"}},
		{name: "a race between the tests", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).prints("", "testing: race detected outside of test execution").fails()},
			passedOver: "TestRed failed", problems: []string{"m/a: a data race outside of its tests"}},
		{name: "a package without a result", list: red, exit: 1,
			packages:   []*events{of("m/a").test("TestRed", actionFail).fails(), of("m/b").test("TestGood", actionPass)},
			passedOver: "TestRed failed", problems: []string{"m/b has no result"}},
		{name: "another exit status", list: red, exit: 2, packages: []*events{of("m/a").test("TestRed", actionFail).fails()},
			passedOver: "TestRed failed", problems: []string{"go test ended with status 2"}},
		{name: "ended by a signal", exit: -1, packages: []*events{of("m/a").test("TestGood", actionPass).passes()},
			problems: []string{"go test ended with status -1"}},
		{name: "a status that nothing explains", exit: 1, packages: []*events{of("m/a").test("TestGood", actionPass).passes()},
			problems: []string{"go test ended with status 1, though no package failed"}},
		{name: "a failure that the status does not tell", list: red, packages: []*events{of("m/a").test("TestRed", actionFail).fails()},
			passedOver: "TestRed failed", problems: []string{"go test ended with status 0, though a package failed"}},
		{name: "no test at all", packages: []*events{of("m/a").prints("", "?   \tm/a\t[no test files]").add(event{Action: actionSkip})},
			problems: []string{"no test was run"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, v := play(t, c.list, c.exit, c.packages...)
			require.Equal(t, len(c.problems) == 0, v.OK(), v.Problems)
			require.Len(t, v.Problems, len(c.problems), "%q", v.Problems)
			for _, want := range c.problems {
				require.Contains(t, strings.Join(v.Problems, "\n"), want)
			}
			requireOne(t, c.passedOver, v.PassedOver)
			requireOne(t, c.passed, v.Passed)
		})
	}
}

// requireOne requires that the only text, or none, contains what is wanted.
func requireOne(t *testing.T, want string, texts []string) {
	t.Helper()
	if want == "" {
		require.Empty(t, texts)
		return
	}
	require.Len(t, texts, 1)
	require.Contains(t, texts[0], want)
}

func TestALineThatIsNoEvent(t *testing.T) {
	var out strings.Builder
	r := NewRun(nil, &out)
	r.Add([]byte("something else\n"))
	v := r.Verdict(0)
	require.False(t, v.OK())
	require.Contains(t, v.Problems[0], "no event")
	require.Equal(t, "something else\n", out.String())
}

// What go test prints without -json is printed: the lines of packages, and the output of what failed.
func TestWhatIsPrinted(t *testing.T) {
	for _, c := range []struct {
		name     string
		packages []*events
		want     string
	}{
		{"a package that passes", []*events{of("m/a").test("TestGood", actionPass).passes()}, "ok  \tm/a\t0.1s\n"},
		{"a package without tests", []*events{of("m/a").prints("", "?   \tm/a\t[no test files]").add(event{Action: actionSkip})},
			"?   \tm/a\t[no test files]\n"},
		{"a failure", []*events{of("m/a").test("TestGood", actionPass).test("TestRed", actionFail).fails()},
			"    said by TestRed\n--- FAIL: TestRed (0.00s)\nFAIL\nFAIL\tm/a\t0.1s\n"},
		{"two packages at once", []*events{of("m/a").test("TestRed", actionFail), of("m/b").test("TestGood", actionPass).passes(),
			(&events{pkg: "m/a"}).fails()}, "ok  \tm/b\t0.1s\n    said by TestRed\n--- FAIL: TestRed (0.00s)\nFAIL\nFAIL\tm/a\t0.1s\n"},
		{"a package that ends early", []*events{of("m/a").test("TestGood", actionPass).begins("TestLong").prints("TestLong", "panic: oh").dies()},
			"    said by TestGood\n--- PASS: TestGood (0.00s)\npanic: oh\nFAIL\tm/a\t0.1s\n"},
		{"a build that fails", []*events{of("m/a").add(event{Action: actionBuildOutput, Output: "a.go:3: undefined\n"})}, "a.go:3: undefined\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, _ := play(t, "", 1, c.packages...)
			require.Equal(t, c.want, out)
		})
	}
}
