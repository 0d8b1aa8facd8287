package config

import (
	"encoding/json"

	"github.com/damasklb/damasklb/internal/fault"
)

// Encode returns the canonical JSON of a configuration, which is the content of
// the table row of a version. Equal configurations have equal encodings.
func (c *Config) Encode() ([]byte, error) {
	content, err := json.Marshal(c)
	if err != nil {
		return nil, fault.BadConfig.Wrap(err, "encode configuration")
	}
	return content, nil
}

// Decode decodes and validates the content of the table row of a version. Unknown
// fields are ignored, so that a process of an older release can use the
// configuration of a newer one during an upgrade.
func Decode(content []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(content, c); err != nil {
		return nil, fault.BadConfig.Wrap(err, "decode configuration")
	}
	if problems := Validate(c); len(problems) > 0 {
		return nil, fault.BadConfig.New("configuration breaks %d rules, the first is: %v", len(problems), problems[0])
	}
	return c, nil
}
