package decoder

import (
	"fmt"
	"slices"
	"strings"
)

// maxDistance is the greatest edit distance at which a name is taken for a
// misspelling of a known one.
const maxDistance = 3

// Suggest returns a fix for an unknown name: the known name at the smallest edit
// distance, or all known names if none is within maxDistance.
func Suggest(name string, known []string) string {
	best, distance := "", maxDistance+1
	for _, candidate := range known {
		if d := editDistance(name, candidate); d < distance {
			best, distance = candidate, d
		}
	}
	if best != "" && distance < len(name) {
		return fmt.Sprintf("did you mean %q?", best)
	}
	sorted := slices.Clone(known)
	slices.Sort(sorted)
	return "known names are " + strings.Join(sorted, ", ")
}

// editDistance returns the Levenshtein distance between two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
