package knownred

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestListsThatAreRead(t *testing.T) {
	one := Entry{Test: "TestOne", Cause: "a cause", Issue: "#7"}
	for _, c := range []struct {
		name, text string
		want       []Entry
	}{
		{"an empty list", "", nil},
		{"bars", "TestOne | a cause | #7\n", []Entry{one}},
		{"tabs", "TestOne\ta cause\t#7\n", []Entry{one}},
		{"no end of line", "TestOne | a cause | #7", []Entry{one}},
		{"a subtest", "TestOne/two_words/x=1 | a cause | #7\n", []Entry{{Test: "TestOne/two_words/x=1", Cause: "a cause", Issue: "#7"}}},
		{"a package", "internal/environment TestOne | a cause | #7\n",
			[]Entry{{Package: "internal/environment", Test: "TestOne", Cause: "a cause", Issue: "#7"}}},
		{"a bar in a field between tabs", "TestOne/a|b\tthis | that\t#7\n", []Entry{{Test: "TestOne/a|b", Cause: "this | that", Issue: "#7"}}},
		{"three lines", "TestOne | a cause | #7\nTestTwo | a cause | #7\nFuzzThree | a cause | #7\n",
			[]Entry{one, {Test: "TestTwo", Cause: "a cause", Issue: "#7"}, {Test: "FuzzThree", Cause: "a cause", Issue: "#7"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			entries, err := Parse(c.text)
			require.NoError(t, err)
			require.Equal(t, c.want, entries)
		})
	}
}

func TestListsThatAreRefused(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"two fields", "TestOne | a cause", "not of the form"},
		{"four fields", "TestOne | a cause | #7 | more", "not of the form"},
		{"commas", "TestOne, a cause, #7", "not of the form"},
		{"an empty line", "TestOne | a cause | #7\n\nTestTwo | a cause | #7\n", "KNOWN-RED.txt:2"},
		{"an empty line at the end", "TestOne | a cause | #7\n\n", "KNOWN-RED.txt:2"},
		{"a comment", "# known failures\n", "not of the form"},
		{"no test", " | a cause | #7", "not the name of a test"},
		{"a package alone", "internal/environment | a cause | #7", "not the name of a test"},
		{"a pattern", ".* | a cause | #7", "not the name of a test"},
		{"two tests", "TestOne TestTwo TestThree | a cause | #7", "not the name of a test"},
		{"no cause", "TestOne | | #7", "not of the form"},
		{"an empty cause", "TestOne\t\t#7", "no cause"},
		{"a dash as cause", "TestOne | - | #7", "no cause"},
		{"no issue", "TestOne\ta cause\t", "no issue"},
		{"a dash as issue", "TestOne | a cause | -", "no issue"},
		{"the same test twice", "TestOne | a cause | #7\nTestOne | another | #8", "listed twice"},
		{"four lines", strings.Join([]string{"TestA | c | 1", "TestB | c | 1", "TestC | c | 1", "TestD | c | 1"}, "\n"), "4 tests are listed, 3 at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(c.text)
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestAllFaultsOfAListAreTold(t *testing.T) {
	_, err := Parse("TestOne | a cause\nTestTwo\t\t#7\n")
	require.ErrorContains(t, err, "KNOWN-RED.txt:1")
	require.ErrorContains(t, err, "KNOWN-RED.txt:2")
}
