package config

import (
	"fmt"
	"strings"
)

// Problem is one error in a configuration.
type Problem struct {
	// File and Line are the position of the value. Line 0 means that the value is
	// not written anywhere, as for a missing section.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Field is the path of the field, such as "sites.bdg.quiet_hours[0].from".
	Field string `json:"field"`
	// Value is the value as it is written, shortened. Tokens are hidden.
	Value string `json:"value,omitempty"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
	// Hint is the allowed name that is most similar to the value, if one is similar
	// enough.
	Hint string `json:"hint,omitempty"`
}

func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	switch {
	case p.Value != "":
		b.WriteString(p.Value + " is not allowed; ")
	case p.Field != "":
		b.WriteString("missing; ")
	}
	b.WriteString("allowed: " + p.Allowed)
	if p.Hint != "" {
		fmt.Fprintf(&b, " (did you mean %q?)", p.Hint)
	}
	return b.String()
}

// maxHintDistance is the largest edit distance at which a name is still suggested
// as a hint. At most half of the letters may differ.
const maxHintDistance = 3

// Nearest returns the name with the smallest edit distance to a misspelt one, or ""
// if none is near enough.
func Nearest(wrong string, names []string) string {
	best, bestDistance := "", maxHintDistance+1
	for _, name := range names {
		d := editDistance(strings.ToLower(wrong), name)
		if d < bestDistance && d <= max(len(wrong), len(name))/2 {
			best, bestDistance = name, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost = 1 + min(diagonal, row[j], row[j-1])
			}
			diagonal, row[j] = row[j], cost
		}
	}
	return row[len(b)]
}
