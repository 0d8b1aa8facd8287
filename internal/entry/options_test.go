package entry

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/membership"
)

// Guards against an entry that publishes an address or id in the map with which no process
// can link to it, or which makes all processes refuse the map.
func TestMalformedOptionsAreRefused(t *testing.T) {
	sound := Options{ID: "e1-x", Host: "e1", DataCentre: "dc", LinkListen: "127.0.0.1:0", HTTPListen: "127.0.0.1:0"}
	long := strings.Repeat("x", 64<<10)
	for name, change := range map[string]func(o *Options){
		"port above the range":      func(o *Options) { o.LinkAddress = "127.0.0.1:99999" },
		"port 0":                    func(o *Options) { o.LinkAddress = "127.0.0.1:0" },
		"negative port":             func(o *Options) { o.HTTPAddress = "127.0.0.1:-1" },
		"port that fits no number":  func(o *Options) { o.HTTPAddress = "127.0.0.1:18446744073709551617" },
		"no port":                   func(o *Options) { o.LinkAddress = "127.0.0.1" },
		"no host":                   func(o *Options) { o.LinkAddress = ":7400" },
		"long address":              func(o *Options) { o.LinkAddress = long + ":7400" },
		"long id":                   func(o *Options) { o.ID = long },
		"no id":                     func(o *Options) { o.ID = "" },
		"id that is not UTF-8":      func(o *Options) { o.ID = "e\xff" },
		"long data centre":          func(o *Options) { o.DataCentre = long },
		"data centre without UTF-8": func(o *Options) { o.DataCentre = "\xff" },
	} {
		o := sound
		change(&o)
		if err := o.check(); !errorx.IsOfType(err, fault.BadSettings) {
			t.Errorf("%s: error is %v", name, err)
		}
	}
	sound.LinkAddress, sound.HTTPAddress = "127.0.0.1:7400", "[::1]:8080"
	if err := sound.check(); err != nil {
		t.Errorf("sound options: %v", err)
	}
}

// Guards against a map that no process accepts any more, also not its writer.
func TestEntryWritesNoMapThatItRefuses(t *testing.T) {
	invalid := membership.Next(nil, membership.Change{Add: []membership.Member{{ID: strings.Repeat("x", 64<<10)}}})
	if _, err := mapWrite(invalid); !errorx.IsOfType(err, fault.BadResponse) {
		t.Errorf("error is %v", err)
	}
	sound := membership.Next(nil, membership.Change{Add: []membership.Member{{ID: "e1"}}})
	if w, err := mapWrite(sound); err != nil || w.Key != membership.MapKey {
		t.Errorf("write %q, error %v", w.Key, err)
	}
}
