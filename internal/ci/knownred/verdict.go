package knownred

import (
	"fmt"
	"strings"
)

// Verdict reports whether a run passes, and why.
type Verdict struct {
	PassedOver []string // listed tests that failed
	Passed     []string // listed tests that passed: their lines can go
	Problems   []string // why the run fails
}

// OK reports whether the run passes.
func (v *Verdict) OK() bool { return len(v.Problems) == 0 }

// failedExit is the status with which go test ends where tests or builds have failed.
const failedExit = 1

// Verdict evaluates the run after go test has ended with an exit status.
func (r *Run) Verdict(exitStatus int) *Verdict {
	v := &Verdict{Problems: r.problems}
	if r.buildFails {
		v.problem("a package could not be built")
	}
	for _, path := range r.order {
		r.checkPackage(v, r.packages[path])
	}
	for _, e := range r.entries {
		r.checkEntry(v, e)
	}
	r.checkExit(v, exitStatus)
	return v
}

func (v *Verdict) problem(format string, args ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
}

// checkPackage records the problems of a package other than failures of listed tests.
func (r *Run) checkPackage(v *Verdict, p *packageRun) {
	switch {
	case p.result == "":
		v.problem("%s has no result", p.path)
		return
	case p.result != actionFail:
		return
	case p.failedBuild:
		v.problem("%s could not be built", p.path)
		return
	case !p.complete:
		v.problem("%s ended before its tests did: a panic, a timeout or an exit", p.path)
	case p.afterEnd:
		v.problem("%s printed more after its tests had failed", p.path)
	}
	r.checkTests(v, p)
	r.checkRaces(v, p)
}

// checkTests records the failed tests of a package that are not listed.
func (r *Run) checkTests(v *Verdict, p *packageRun) {
	failures := 0
	for _, test := range p.order {
		switch p.results[test] {
		case actionFail:
			failures++
			if !r.passesOver(p, test) {
				v.problem("%s: %s failed", p.path, test)
			}
		case "":
			v.problem("%s: %s has no result", p.path, test)
		}
	}
	if failures == 0 {
		v.problem("%s failed, though none of its tests did", p.path)
	}
}

// checkRaces records data races that were reported outside of listed tests. Danger: one that no test has reported changes
// nothing but the exit status of the test binary, and go test ends the same way where a listed test has failed.
func (r *Run) checkRaces(v *Verdict, p *packageRun) {
	for _, l := range p.output {
		switch {
		case strings.Contains(l.text, raceOutside):
			v.problem("%s: a data race outside of its tests", p.path)
		case strings.Contains(l.text, raceWarning) && !r.lists(p, l.test):
			v.problem("%s: a data race outside of the listed tests", p.path)
		}
	}
}

func (r *Run) lists(p *packageRun, test string) bool {
	for _, e := range r.entries {
		if e.names(p.path, test) {
			return true
		}
	}
	return false
}

// passesOver reports whether a test's failure is passed over: it is listed itself, or it is the parent of tests that are and
// nothing else below it has failed. A subtest of a listed test is not listed with it.
func (r *Run) passesOver(p *packageRun, test string) bool {
	if r.lists(p, test) {
		return true
	}
	below := 0
	for _, other := range p.order {
		if !strings.HasPrefix(other, test+"/") || p.results[other] != actionFail {
			continue
		}
		if below++; !r.passesOver(p, other) {
			return false
		}
	}
	return below > 0
}

// checkEntry records the result of a listed test. One that was not run, or was skipped, is a problem: it says nothing of its fault.
func (r *Run) checkEntry(v *Verdict, e Entry) {
	var packages []string
	result := ""
	for _, path := range r.order {
		for _, test := range r.packages[path].order {
			if e.names(path, test) {
				packages = append(packages, path)
				result = r.packages[path].results[test]
			}
		}
	}
	switch {
	case len(packages) == 0:
		v.problem("%s: %s names no test that was run", FileName, e)
	case len(packages) > 1:
		v.problem("%s: %s names tests of several packages: %s", FileName, e, strings.Join(packages, ", "))
	case result == actionSkip:
		v.problem("%s: %s was skipped", FileName, e)
	case result == actionPass:
		v.Passed = append(v.Passed, fmt.Sprintf("%s passed: its line in %s can go", e, FileName))
	case result == actionFail:
		v.PassedOver = append(v.PassedOver, fmt.Sprintf("%s failed and is passed over: %s (%s)", e, e.Cause, e.Issue))
	}
}

// checkExit compares the exit status with the results. Danger: a failure without an event would be lost otherwise.
func (r *Run) checkExit(v *Verdict, exitStatus int) {
	tests, failures := 0, 0
	for _, p := range r.packages {
		tests += len(p.order)
		if p.result == actionFail {
			failures++
		}
	}
	switch {
	case exitStatus != 0 && exitStatus != failedExit:
		v.problem("go test ended with status %d", exitStatus)
	case exitStatus == failedExit && failures == 0:
		v.problem("go test ended with status %d, though no package failed", exitStatus)
	case exitStatus == 0 && failures > 0:
		v.problem("go test ended with status 0, though a package failed")
	}
	if tests == 0 {
		v.problem("no test was run")
	}
}
