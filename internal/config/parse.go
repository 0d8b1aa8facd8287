package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"
)

// Names of the source files in a configuration directory.
const (
	// BaseFile is the base file.
	BaseFile = "base.jsonc"
	// OverlayDir is the directory with one overlay per site, named after the site.
	OverlayDir = "sites"
	// OverlaySuffix is the suffix of the names of overlays.
	OverlaySuffix = ".jsonc"
)

const (
	maxSourceBytes = 8 << 20
	// maxDepth limits the nesting of source files, because the parser is recursive.
	maxDepth = 64
)

// Source is one source file. Site is the site of an overlay; it is empty for the
// base file.
type Source struct {
	Name    string
	Site    string
	Content []byte
}

// Load reads the base file and the overlays in dir. The configuration is nil if
// there is any problem.
func Load(dir string) (*Config, []Problem) {
	base, problem := readSource(dir, BaseFile, "")
	if problem != nil {
		return nil, []Problem{*problem}
	}
	sources := []Source{base}
	var problems []Problem
	names, unexpected := overlayNames(dir)
	problems = append(problems, unexpected...)
	for _, name := range names {
		overlay, problem := readSource(dir, OverlayDir+"/"+name, strings.TrimSuffix(name, OverlaySuffix))
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		sources = append(sources, overlay)
	}
	c, more := Parse(sources)
	if problems = append(problems, more...); len(problems) > 0 {
		return nil, sortByPosition(problems)
	}
	return c, nil
}

// overlayNames returns the names of overlays. Any other file in their directory is
// a problem, because an overlay with a misspelt suffix would have no effect;
// hidden files and editors' backups are ignored.
func overlayNames(dir string) ([]string, []Problem) {
	entries, err := os.ReadDir(filepath.Join(dir, OverlayDir))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, []Problem{{File: OverlayDir, Allowed: "a readable directory: " + err.Error()}}
	}
	var names []string
	var problems []Problem
	for _, entry := range entries {
		name := entry.Name()
		switch {
		case strings.HasPrefix(name, "."), strings.HasSuffix(name, "~"):
		case strings.HasSuffix(name, OverlaySuffix):
			names = append(names, name)
		default:
			problems = append(problems, Problem{File: OverlayDir + "/" + name, Allowed: "only files named <site>" + OverlaySuffix + " in this directory"})
		}
	}
	return names, problems
}

// sortByPosition sorts problems by file and line.
func sortByPosition(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return problems
}

func readSource(dir, name, site string) (Source, *Problem) {
	content, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(name)))
	if err != nil {
		return Source{}, &Problem{File: name, Allowed: "a readable file: " + err.Error()}
	}
	return Source{Name: name, Site: site, Content: content}, nil
}

// Parse merges the sources, the base file first and then the overlays, over the
// default limits (RFC 7396), and validates the result as a whole. An overlay has
// the layout of the base file, but may only set its own site.
func Parse(sources []Source) (*Config, []Problem) {
	m := &merger{positions: map[string]position{}, rejected: map[string]bool{}}
	merged := defaultDocument()
	for _, s := range sources {
		merged = m.merge(merged, s)
	}
	if m.parseFailed {
		return nil, sortByPosition(m.problems)
	}
	c := &Config{}
	if err := json.Unmarshal(merged, c); err != nil {
		return nil, append(m.problems, Problem{Allowed: "a consistent document: " + err.Error()})
	}
	for _, p := range Validate(c) {
		m.addLocated(p)
	}
	if len(m.problems) > 0 {
		return nil, sortByPosition(m.problems)
	}
	return c, nil
}

func defaultDocument() []byte {
	limits := DefaultLimits()
	document, _ := json.Marshal(struct {
		Limits Limits `json:"limits"`
	}{limits})
	return document
}

// merger merges the sources and collects their problems and the positions of
// their fields.
type merger struct {
	problems  []Problem
	positions map[string]position
	rejected  map[string]bool
	// parseFailed is true if a source could not be parsed as JSON.
	parseFailed bool
}

func (m *merger) merge(document []byte, s Source) []byte {
	tree, problem := parseTree(s)
	if problem != nil {
		m.problems = append(m.problems, *problem)
		m.parseFailed = true
		return document
	}
	c := newChecker(s.Name, s.Content, s.Site)
	c.checkValue(&tree, reflect.TypeFor[Config](), "")
	if s.Site != "" {
		c.restrictToSite(&tree)
	}
	m.problems = append(m.problems, c.problems...)
	for path, pos := range c.positions {
		m.positions[path] = pos
	}
	for path := range c.rejected {
		m.rejected[path] = true
	}
	if m.rejected[""] {
		return document
	}
	merged, err := jsonpatch.MergePatch(document, standardJSON(tree))
	if err != nil {
		m.problems = append(m.problems, Problem{File: s.Name, Allowed: "a document that can be merged: " + err.Error()})
		return document
	}
	return merged
}

func parseTree(s Source) (hujson.Value, *Problem) {
	if len(s.Content) > maxSourceBytes || nestingDepth(s.Content) > maxDepth {
		return hujson.Value{}, &Problem{File: s.Name, Allowed: "a file of at most 8 MiB with at most 64 levels of nesting"}
	}
	tree, err := hujson.Parse(s.Content)
	if err == nil {
		return tree, nil
	}
	return hujson.Value{}, &Problem{File: s.Name, Line: ErrorLine(err), Allowed: "JSON with comments: " + err.Error()}
}

// ErrorLine returns the line in the text of an error of the hujson parser, which
// has no field for it. It returns 0 if there is none.
func ErrorLine(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 0
	}
	line := 0
	for _, c := range rest {
		if c < '0' || c > '9' {
			break
		}
		line = line*10 + int(c-'0')
	}
	return line
}

// nestingDepth returns the deepest nesting of brackets outside strings and
// comments.
func nestingDepth(content []byte) int {
	deepest, level := 0, 0
	for i := 0; i < len(content); i++ {
		switch content[i] {
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		case '"':
			i = skipString(content, i)
		case '/':
			i = skipComment(content, i)
		}
	}
	return deepest
}

// skipString returns the index of the quote that ends the string at i.
func skipString(content []byte, i int) int {
	for i++; i < len(content) && content[i] != '"'; i++ {
		if content[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment at i.
func skipComment(content []byte, i int) int {
	for start, end := range map[string]string{"//": "\n", "/*": "*/"} {
		if !bytes.HasPrefix(content[i:], []byte(start)) {
			continue
		}
		length := bytes.Index(content[i+len(start):], []byte(end))
		if length < 0 {
			return len(content)
		}
		return i + len(start) + length + len(end) - 1
	}
	return i
}

// restrictToSite rejects the settings of an overlay that are outside its own site.
func (c *checker) restrictToSite(tree *hujson.Value) {
	site := c.site
	allowed := "only sites." + site + " in the overlay of this site"
	c.keepOnly(tree, "", "sites", allowed)
	if object, ok := tree.Value.(*hujson.Object); ok {
		for i := range object.Members {
			c.keepOnly(&object.Members[i].Value, "sites", site, allowed)
		}
	}
	// Settings of the overlay outside the site are not merged, so a problem at the
	// same path must be reported at its position in the base file.
	own := "sites." + site
	maps.DeleteFunc(c.positions, func(path string, _ position) bool { return !isWithin(path, own) })
	maps.DeleteFunc(c.rejected, func(path string, _ bool) bool { return path != "" && !isWithin(path, own) })
}

func (c *checker) keepOnly(v *hujson.Value, path, name, allowed string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}
	kept := object.Members[:0]
	for i := range object.Members {
		m := &object.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		if key == name {
			kept = append(kept, *m)
			continue
		}
		c.reject(&m.Name, joinPath(path, key), allowed, "")
	}
	object.Members = kept
}

// isWithin reports whether a path is root or below it.
func isWithin(path, root string) bool {
	rest, ok := strings.CutPrefix(path, root)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// addLocated adds a problem of the merged document with the position of its field
// or, if the field is not written anywhere, of the nearest object around it. It
// drops problems at or below rejected paths.
func (m *merger) addLocated(p Problem) {
	for path := p.Field; ; path = parentPath(path) {
		if m.rejected[path] {
			return
		}
		if pos, ok := m.positions[path]; ok && p.Line == 0 {
			p.File, p.Line = pos.file, pos.line
		}
		if path == "" {
			break
		}
	}
	m.problems = append(m.problems, p)
}

func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}
