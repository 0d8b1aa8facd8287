package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/tailscale/hujson"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
)

const (
	// settingsFlag is the flag with the path of the settings file.
	settingsFlag = "settings"
	// printSettingsFlag is the flag that prints the effective settings instead of
	// running the command.
	printSettingsFlag = "print-settings"
	// hiddenSetting is printed in place of a secret that is set.
	hiddenSetting = "(hidden)"
	// maxSettingsBytes is the maximum size of the settings file. It bounds the
	// recursion depth of the parser.
	maxSettingsBytes = 64 << 10
)

// addSettings makes the flags of a command settable by environment variables
// and by a settings file, and adds --settings and --print-settings. The values of
// the flags named in secrets are not printed. Call it after all flags are defined.
func addSettings(env Env, c *ffcli.Command, secrets ...string) *ffcli.Command {
	fs := c.FlagSet
	fs.String(settingsFlag, "", "settings `file` in JSON with comments: an object of flag names and values")
	printOnly := fs.Bool(printSettingsFlag, false, "print the effective settings, with secrets hidden, and exit")
	c.Options = optionsFor(fs)
	run := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		if !*printOnly {
			return run(ctx, args)
		}
		return printJSON(env.Stdout, effectiveSettings(fs, secrets))
	}
	return c
}

// effectiveSettings returns the value of each flag, in the form of a settings
// file.
func effectiveSettings(fs *flag.FlagSet, secrets []string) map[string]string {
	values := map[string]string{}
	fs.VisitAll(func(f *flag.Flag) {
		if f.Name != settingsFlag && f.Name != printSettingsFlag {
			values[f.Name] = f.Value.String()
		}
	})
	for _, name := range secrets {
		if values[name] != "" {
			values[name] = hiddenSetting
		}
	}
	return values
}

// options returns parser options that make flags settable by environment variables
// and by the file that --settings names. A flag takes precedence over the
// environment, and the environment over the file. The file is JSON with comments.
func options() []ff.Option { return optionsFor(nil) }

// optionsFor is like options; its error messages also name the flags of fs, if fs
// is not nil.
func optionsFor(fs *flag.FlagSet) []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag(settingsFlag),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return parseSettings(r, fs, set)
		}),
	}
}

// setting is one member of the object in a settings file.
type setting struct {
	name   string
	line   int
	values []string
}

// parseSettings reads a settings file and sets each flag. A list sets a flag
// once per element. The error reports all invalid settings together.
func parseSettings(r io.Reader, fs *flag.FlagSet, set func(name, value string) error) error {
	file := "settings file"
	if named, ok := r.(interface{ Name() string }); ok {
		file = named.Name()
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxSettingsBytes+1))
	if err != nil {
		return fault.BadSettings.Wrap(err, "read %s", file)
	}
	if len(raw) > maxSettingsBytes {
		return fault.BadSettings.New("%s: larger than %d bytes", file, maxSettingsBytes)
	}
	settings, problems := readSettings(raw)
	for _, s := range settings {
		problems = append(problems, s.apply(fs, set)...)
	}
	if len(problems) > 0 {
		return fault.BadSettings.New("%s", formatProblems(file, problems))
	}
	return nil
}

// settingProblem is an error in one line of a settings file.
type settingProblem struct {
	line int
	text string
}

// formatProblems returns the problems in the order of their lines, one per line of
// text.
func formatProblems(file string, problems []settingProblem) string {
	slices.SortStableFunc(problems, func(a, b settingProblem) int { return a.line - b.line })
	var lines []string
	for _, p := range problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", file, p.line, p.text))
	}
	return strings.Join(lines, "\n")
}

// apply sets the flag once per value.
func (s setting) apply(fs *flag.FlagSet, set func(name, value string) error) []settingProblem {
	if fs != nil && fs.Lookup(s.name) == nil {
		names := flagNames(fs)
		text := fmt.Sprintf("%s: unknown setting; allowed: %s", s.name, strings.Join(names, ", "))
		if hint := config.Nearest(s.name, names); hint != "" {
			text += fmt.Sprintf(" (did you mean %q?)", hint)
		}
		return []settingProblem{{s.line, text}}
	}
	var problems []settingProblem
	for _, value := range s.values {
		if err := set(s.name, value); err != nil {
			problems = append(problems, settingProblem{s.line, s.name + ": " + settingError(fs, s.name, value, err)})
		}
	}
	return problems
}

// settingError returns a message with the rejected value and the flag's usage.
func settingError(fs *flag.FlagSet, name, value string, err error) string {
	if fs == nil {
		return err.Error()
	}
	_, usage := flag.UnquoteUsage(fs.Lookup(name))
	return fmt.Sprintf("%q is not allowed; allowed: %s", value, usage)
}

func flagNames(fs *flag.FlagSet) []string {
	var names []string
	fs.VisitAll(func(f *flag.Flag) {
		if f.Name != settingsFlag && f.Name != printSettingsFlag {
			names = append(names, f.Name)
		}
	})
	slices.Sort(names)
	return names
}

// readSettings returns the valid members of a settings file and the problems of the
// others.
func readSettings(raw []byte) ([]setting, []settingProblem) {
	tree, err := hujson.Parse(raw)
	if err != nil {
		return nil, []settingProblem{{config.ErrorLine(err), err.Error()}}
	}
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return nil, []settingProblem{{1, "allowed: an object in braces"}}
	}
	var settings []setting
	var problems []settingProblem
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		s := setting{name: m.Name.Value.(hujson.Literal).String()}
		s.line = 1 + bytes.Count(raw[:m.Name.StartOffset], []byte("\n"))
		s.values, ok = settingValues(&m.Value)
		switch {
		case !ok:
			problems = append(problems, settingProblem{s.line, s.name + ": allowed: a string, a number, true, false, or a list of them"})
		case seen[s.name]:
			problems = append(problems, settingProblem{s.line, s.name + ": allowed: each setting once"})
		default:
			settings = append(settings, s)
		}
		seen[s.name] = true
	}
	return settings, problems
}

// settingValues returns the values of a literal or of a list of literals. It
// returns false for null and for nested values.
func settingValues(v *hujson.Value) ([]string, bool) {
	switch value := v.Value.(type) {
	case *hujson.Array:
		var all []string
		for i := range value.Elements {
			literal, ok := value.Elements[i].Value.(hujson.Literal)
			if !ok || literal.Kind() == 'n' {
				return nil, false
			}
			all = append(all, literal.String())
		}
		return all, true
	case hujson.Literal:
		return []string{value.String()}, value.Kind() != 'n'
	}
	return nil, false
}

// printJSON writes indented JSON for programs.
func printJSON(w io.Writer, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fault.Internal.Wrap(err, "encode output")
	}
	fmt.Fprintf(w, "%s\n", raw)
	return nil
}
