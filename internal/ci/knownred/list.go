// Package knownred decides whether a run of the tests passes where some tests fail for a fault that is known. Such tests are
// listed in a file; the package reads the list, the events of go test -json, and returns why the run fails.
package knownred

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// FileName is the name of the list, at the root of the repository. A repository without the file has no known failures.
const FileName = "KNOWN-RED.txt"

// MaxEntries is how many tests may be listed.
const MaxEntries = 3

// Entry is one listed test.
type Entry struct {
	Package string // the end of the package's path, "" if the test's name is enough
	Test    string // as go test names it, with its parents if it is a subtest
	Cause   string
	Issue   string
}

// String returns the test as the list names it.
func (e Entry) String() string {
	if e.Package == "" {
		return e.Test
	}
	return e.Package + " " + e.Test
}

const (
	fieldsOfEntry = 3
	separator     = " | "
)

var (
	testName = regexp.MustCompile(`^(Test|Fuzz|Example)[^\s]*$`)
	wordPart = regexp.MustCompile(`[\pL\pN]`)
)

// Parse reads a list: one test on each line, as "test | cause | issue" or with tabs between the three. A package may stand
// before the test, with a space between. All faults of the list are returned in one error.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	var faults []error
	if text == "" {
		return nil, nil
	}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		entry, err := parseLine(strings.TrimSuffix(line, "\r"))
		if err != nil {
			faults = append(faults, fmt.Errorf("%s:%d: %w", FileName, i+1, err))
			continue
		}
		if listed(entries, entry) {
			faults = append(faults, fmt.Errorf("%s:%d: %s is listed twice", FileName, i+1, entry))
		}
		entries = append(entries, entry)
	}
	if len(entries) > MaxEntries {
		faults = append(faults, fmt.Errorf("%s: %d tests are listed, %d at most", FileName, len(entries), MaxEntries))
	}
	return entries, errors.Join(faults...)
}

func listed(entries []Entry, other Entry) bool {
	for _, e := range entries {
		if e.Package == other.Package && e.Test == other.Test {
			return true
		}
	}
	return false
}

func parseLine(line string) (Entry, error) {
	by := separator
	if strings.Contains(line, "\t") {
		by = "\t"
	}
	fields := strings.Split(line, by)
	if len(fields) != fieldsOfEntry {
		return Entry{}, fmt.Errorf("%q is not of the form \"test | cause | issue\"", line)
	}
	entry, err := parseTest(strings.TrimSpace(fields[0]))
	if err != nil {
		return Entry{}, err
	}
	entry.Cause = strings.TrimSpace(fields[1])
	entry.Issue = strings.TrimSpace(fields[2])
	if !wordPart.MatchString(entry.Cause) {
		return Entry{}, fmt.Errorf("%s has no cause", entry)
	}
	if !wordPart.MatchString(entry.Issue) {
		return Entry{}, fmt.Errorf("%s has no issue", entry)
	}
	return entry, nil
}

// parseTest reads a test's name with the package that may stand before it. go test writes no space into a name.
func parseTest(field string) (Entry, error) {
	words := strings.Fields(field)
	if len(words) == 0 || len(words) > 2 || !testName.MatchString(words[len(words)-1]) {
		return Entry{}, fmt.Errorf("%q is not the name of a test", field)
	}
	entry := Entry{Test: words[len(words)-1]}
	if len(words) == 2 {
		entry.Package = words[0]
	}
	return entry, nil
}

// names reports whether the entry names a test of a package.
func (e Entry) names(pkg, test string) bool {
	if e.Test != test {
		return false
	}
	return e.Package == "" || e.Package == pkg || strings.HasSuffix(pkg, "/"+e.Package)
}
