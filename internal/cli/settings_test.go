package cli

import (
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
)

// Guards against a settings file that crashes a command, or is not refused as a whole.
func TestMalformedSettingsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "null": "null", "list": "[]", "deep list": strings.Repeat("[", 60_000), "deep value": `{"n":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + "}",
		"deep object": strings.Repeat(`{"n":`, 12_000), "large number": `{"n":1e999}`, "number above the type": `{"n":18446744073709551617}`,
		"negative": `{"d":-1e30}`, "null value": `{"n":null}`, "wrong type": `{"n":"x"}`, "object value": `{"n":{}}`, "long name": `{"` + strings.Repeat("n", 60<<10) + `":1}`,
		"too long": strings.Repeat(" ", 64<<10) + `{"n":1}`,
	} {
		fs := flag.NewFlagSet("x", flag.ContinueOnError)
		fs.SetOutput(io.Discard)
		fs.Int("n", 7, "a number")
		fs.Duration("d", 0, "a time")
		err := parseSettings(strings.NewReader(text), fs, fs.Set)
		if !errorx.IsOfType(err, fault.BadSettings) {
			t.Errorf("%s: error %.100v", name, err)
		}
	}
}
