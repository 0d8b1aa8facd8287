package config

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// position is a line in a source file.
type position struct {
	file string
	line int
}

// checker compares the syntax tree of a file with the types of the settings. It
// records the position of each field and removes invalid values, so that the
// remaining document can be merged and validated in the same pass.
type checker struct {
	file       string
	lineStarts []int // offsets
	content    []byte
	// site is the site of an overlay; it is empty for the base file.
	site string
	// listDepth is the number of lists around the value that is being checked.
	listDepth int
	problems  []Problem
	positions map[string]position
	// rejected holds the paths whose value was removed. No further problem is
	// reported at or below them.
	rejected map[string]bool
}

func newChecker(file string, content []byte, site string) *checker {
	c := &checker{file: file, content: content, site: site}
	c.positions = map[string]position{}
	c.rejected = map[string]bool{}
	c.lineStarts = []int{0}
	for i, b := range content {
		if b == '\n' {
			c.lineStarts = append(c.lineStarts, i+1)
		}
	}
	return c
}

func (c *checker) line(offset int) int {
	return sort.Search(len(c.lineStarts), func(i int) bool { return c.lineStarts[i] > offset })
}

const (
	hiddenValue   = "(hidden)"
	maxValueBytes = 60
)

// valueText returns the text of a value for a Problem. Values in lists of token
// hashes are hidden, because somebody may have written the token itself there.
func (c *checker) valueText(v *hujson.Value, path string) string {
	if strings.Contains(path, ".tokens") {
		return hiddenValue
	}
	text := string(c.content[v.StartOffset:v.EndOffset])
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes] + "..."
	}
	return strings.Join(strings.Fields(text), " ")
}

func (c *checker) reject(v *hujson.Value, path, allowed, hint string) bool {
	c.rejected[path] = true
	c.problems = append(c.problems, Problem{
		File: c.file, Line: c.line(v.StartOffset), Field: path, Value: c.valueText(v, path), Allowed: allowed, Hint: hint,
	})
	return false
}

var textValueType = reflect.TypeFor[textValue]()

// checkValue checks v against t and reports whether v can be kept.
func (c *checker) checkValue(v *hujson.Value, t reflect.Type, path string) bool {
	c.positions[path] = position{c.file, c.line(v.StartOffset)}
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		if c.nullAllowed(path) {
			return true
		}
		return c.reject(v, path, "a value; null is for overlays, where it removes a field of the site", "")
	}
	if reflect.PointerTo(t).Implements(textValueType) {
		return c.checkText(v, t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.checkObject(v, t, path)
	case reflect.Map:
		return c.checkMap(v, t, path)
	case reflect.Slice:
		return c.checkArray(v, t, path)
	default:
		return c.checkScalar(v, t, path)
	}
}

// nullAllowed reports whether null is allowed at a path. In a list, null would
// not remove anything, but stand for a zero value.
func (c *checker) nullAllowed(path string) bool {
	return c.site != "" && c.listDepth == 0 && isWithin(path, "sites."+c.site)
}

func (c *checker) checkText(v *hujson.Value, t reflect.Type, path string) bool {
	target := reflect.New(t).Interface().(textValue)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || target.UnmarshalText([]byte(literal.String())) != nil {
		return c.reject(v, path, target.allowed(), "")
	}
	return true
}

func (c *checker) checkScalar(v *hujson.Value, t reflect.Type, path string) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return c.reject(v, path, scalarNames[t.Kind()], "")
	}
	valid := false
	switch t.Kind() {
	case reflect.String:
		valid = literal.Kind() == '"'
	case reflect.Bool:
		valid = literal.Kind() == 't' || literal.Kind() == 'f'
	case reflect.Int:
		_, err := strconv.ParseInt(string(literal), 10, 64)
		valid = literal.Kind() == '0' && err == nil
	case reflect.Float64:
		n, err := strconv.ParseFloat(string(literal), 64)
		valid = literal.Kind() == '0' && err == nil && !math.IsInf(n, 0)
	}
	if !valid {
		return c.reject(v, path, scalarNames[t.Kind()], "")
	}
	return true
}

var scalarNames = map[reflect.Kind]string{
	reflect.String: "a string", reflect.Bool: "true or false",
	reflect.Int: "a whole number", reflect.Float64: "a number",
}

// checkObject checks an object against the fields of a struct type.
func (c *checker) checkObject(v *hujson.Value, t reflect.Type, path string) bool {
	fields := map[string]reflect.Type{}
	missing := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
		// Outside lists, a field may be set by another source.
		if c.listDepth > 0 && options != "omitempty" {
			missing[name] = t.Field(i).Type
		}
	}
	names := sortedKeys(fields)
	isObject := c.checkMembers(v, path, func(name *hujson.Value, key, memberPath string) reflect.Type {
		if t, known := fields[key]; known {
			delete(missing, key)
			return t
		}
		allowed := "one of the fields " + strings.Join(names, ", ")
		c.reject(name, memberPath, allowed, Nearest(key, names))
		return nil
	})
	if !isObject {
		return false
	}
	for _, name := range sortedKeys(missing) {
		c.reportMissing(v, joinPath(path, name), missing[name])
	}
	return true
}

// reportMissing reports that an element of a list lacks a required field. The
// field's zero value would be a valid time of day, but rarely the intended one.
func (c *checker) reportMissing(v *hujson.Value, path string, t reflect.Type) {
	c.rejected[path] = true
	allowed := scalarNames[t.Kind()]
	if text, ok := reflect.New(t).Interface().(textValue); ok {
		allowed = text.allowed()
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: c.line(v.StartOffset), Field: path, Allowed: allowed})
}

// checkMap checks an object against a map from names to settings.
func (c *checker) checkMap(v *hujson.Value, t reflect.Type, path string) bool {
	return c.checkMembers(v, path, func(name *hujson.Value, key, memberPath string) reflect.Type {
		if ValidName(key) || key == AnyCaller && path == "callers" {
			return t.Elem()
		}
		c.reject(name, memberPath, nameSyntax, "")
		return nil
	})
}

// checkMembers checks the members of an object and reports whether v is an
// object. The function typeOf returns the type of a member, or nil if it has
// rejected the member.
func (c *checker) checkMembers(v *hujson.Value, path string, typeOf func(name *hujson.Value, key, path string) reflect.Type) bool {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return c.reject(v, path, "an object in braces", "")
	}
	firstLines := map[string]int{}
	kept := object.Members[:0]
	for i := range object.Members {
		m := &object.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, key)
		if line, duplicate := firstLines[key]; duplicate {
			c.reject(&m.Name, memberPath, fmt.Sprintf("each name once; it is also on line %d", line), "")
			// The first value is kept and still checked.
			delete(c.rejected, memberPath)
			continue
		}
		firstLines[key] = c.line(m.Name.StartOffset)
		if t := typeOf(&m.Name, key, memberPath); t != nil && c.checkValue(&m.Value, t, memberPath) {
			kept = append(kept, *m)
		}
	}
	object.Members = kept
	return true
}

// checkArray checks a list. A list with an invalid element is removed completely,
// because without that element the following ones would have other indexes.
func (c *checker) checkArray(v *hujson.Value, t reflect.Type, path string) bool {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return c.reject(v, path, "a list in brackets", "")
	}
	valid := true
	c.listDepth++
	defer func() { c.listDepth-- }()
	for i := range array.Elements {
		before := len(c.problems)
		kept := c.checkValue(&array.Elements[i], t.Elem(), path+"["+strconv.Itoa(i)+"]")
		valid = valid && kept && len(c.problems) == before
	}
	if !valid {
		c.rejected[path] = true
	}
	return valid
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

const (
	maxNameBytes = 64
	nameSyntax   = "a name of up to 64 lower-case letters, digits, '-' and '_' that starts with a letter or digit"
)

// ValidName reports whether s is a valid name for a class, data centre, site,
// caller or operator.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[0] == '_' {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// standardJSON returns the tree as standard JSON.
func standardJSON(v hujson.Value) json.RawMessage {
	v = v.Clone()
	v.Standardize()
	return v.Pack()
}
