package appconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxNameLength limits the length of names for which Nearest searches; its cost grows with the square of the length.
const maxNameLength = 40

// Nearest returns the known name that is most similar to name, "" if none is similar. At most a third of the letters may
// differ, ignoring case.
func Nearest(name string, known []string) string {
	if len(name) > maxNameLength || name == "" {
		return ""
	}
	best, least := "", len([]rune(name))/3+1
	for _, k := range known {
		if len(k)-len(name) > least || len(name)-len(k) > least {
			continue
		}
		d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k))
		if d == 2 && letters(name) == letters(k) {
			d = 1 // two letters are transposed
		}
		if k != name && d < least {
			best, least = k, d
		}
	}
	return best
}

// letters returns the letters of a name, sorted.
func letters(name string) string {
	all := []rune(strings.ToLower(name))
	slices.Sort(all)
	return string(all)
}

func sortedKeys(m map[string]bool) []string { return slices.Sorted(maps.Keys(m)) }
