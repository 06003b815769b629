package appconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// mostNameLength bounds the names for which a near one is looked for; the cost grows with the square.
const mostNameLength = 40

// Nearest returns the known name that somebody may have meant, "" if none is near. A name is near if at most a third of its
// letters differ, not counting case, or if it is a beginning of the other.
func Nearest(name string, known []string) string {
	if len(name) > mostNameLength || name == "" {
		return ""
	}
	best, least := "", len([]rune(name))/3+1
	for _, k := range known {
		if len(k)-len(name) > least || len(name)-len(k) > least {
			continue
		}
		if d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); k != name && d < least {
			best, least = k, d
		}
	}
	return best
}

func sortedKeys(m map[string]bool) []string { return slices.Sorted(maps.Keys(m)) }
