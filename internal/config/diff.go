package config

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Change is one field that differs between two configurations.
type Change struct {
	Field string `json:"field"`
	// Old and New are JSON. They are empty if the field is absent. Token hashes are
	// shortened.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Field + ": " + c.New
	case c.New == "":
		return "- " + c.Field + ": " + c.Old
	}
	return "~ " + c.Field + ": " + c.Old + " -> " + c.New
}

// Diff returns the fields that differ, in the order of their paths. A nil
// configuration has no fields.
func Diff(old, new *Config) []Change {
	before, after := flatten(old), flatten(new)
	paths := map[string]bool{}
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	changes := []Change{}
	for _, path := range sortedKeys(paths) {
		if before[path] == after[path] {
			continue
		}
		changes = append(changes, Change{Field: path, Old: shorten(path, before[path]), New: shorten(path, after[path])})
	}
	return changes
}

// flatten returns the JSON of each leaf by its path.
func flatten(c *Config) map[string]string {
	leaves := map[string]string{}
	if c == nil {
		return leaves
	}
	content, err := c.Encode()
	if err != nil {
		return leaves
	}
	var tree any
	if json.Unmarshal(content, &tree) == nil {
		flattenInto(leaves, "", tree)
	}
	return leaves
}

func flattenInto(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, member := range v {
			flattenInto(leaves, joinPath(path, name), member)
		}
		if len(v) == 0 {
			leaves[path] = "{}"
		}
	case []any:
		for i, element := range v {
			flattenInto(leaves, path+"["+strconv.Itoa(i)+"]", element)
		}
	default:
		leaves[path] = jsonText(value)
	}
}

const shownHashBytes = len(`"`) + len(tokenPrefix) + 8

func shorten(path, value string) string {
	if strings.Contains(path, ".tokens[") && len(value) > shownHashBytes {
		return value[:shownHashBytes] + `..."`
	}
	return value
}
