package config

import (
	"crypto/sha256"
	"encoding"
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// textValue is a setting that is written as a string with a syntax of its own.
type textValue interface {
	encoding.TextUnmarshaler
	// allowed describes the syntax.
	allowed() string
}

// Duration is written as in "50ms", "1.5s" or "2m".
type Duration time.Duration

func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fault.BadConfig.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

func (*Duration) allowed() string { return `a duration such as "50ms", "1.5s" or "2m"` }

// Clock is a local time of day in minutes since midnight, written as "22:30".
type TimeOfDay int

// EndOfDay is "24:00".
const EndOfDay TimeOfDay = 24 * 60

var clockPattern = regexp.MustCompile(`^([01][0-9]|2[0-4]):([0-5][0-9])$`)

// MarshalText implements encoding.TextMarshaler.
func (c TimeOfDay) MarshalText() ([]byte, error) {
	text := strconv.Itoa(100*100 + int(c)/60*100 + int(c)%60)
	return []byte(text[1:3] + ":" + text[3:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *TimeOfDay) UnmarshalText(text []byte) error {
	m := clockPattern.FindSubmatch(text)
	if m == nil {
		return fault.BadConfig.New("time of day %q", text)
	}
	hours, _ := strconv.Atoi(string(m[1]))
	minutes, _ := strconv.Atoi(string(m[2]))
	v := TimeOfDay(hours*60 + minutes)
	if v > EndOfDay {
		return fault.BadConfig.New("time of day %q", text)
	}
	*c = v
	return nil
}

func (*TimeOfDay) allowed() string { return `a time of day from "00:00" to "24:00"` }

// Day is a day of the week, written "mon" to "sun".
type Day time.Weekday

var dayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// MarshalText implements encoding.TextMarshaler.
func (d Day) MarshalText() ([]byte, error) { return []byte(dayNames[d]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Day) UnmarshalText(text []byte) error {
	for i, name := range dayNames {
		if name == string(text) {
			*d = Day(i)
			return nil
		}
	}
	return fault.BadConfig.New("day of the week %q", text)
}

func (*Day) allowed() string { return "one of mon, tue, wed, thu, fri, sat, sun" }

// Date is a calendar date, written "2027-01-01".
type Date struct {
	Year  int
	Month time.Month
	Day   int
}

// String returns the written form.
func (d Date) String() string {
	return time.Date(d.Year, d.Month, d.Day, 0, 0, 0, 0, time.UTC).Format(time.DateOnly)
}

// MarshalText implements encoding.TextMarshaler.
func (d Date) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Date) UnmarshalText(text []byte) error {
	t, err := time.Parse(time.DateOnly, string(text))
	if err != nil || t.Year() < 1 {
		return fault.BadConfig.New("date %q", text)
	}
	d.Year, d.Month, d.Day = t.Date()
	return nil
}

func (*Date) allowed() string { return `a date such as "2027-01-01"` }

// TokenHash is the SHA-256 hash of a bearer token.
type TokenHash [sha256.Size]byte

const tokenPrefix = "sha256:"

// HashToken returns the hash of a token. Tokens are random and long, so that a
// plain hash cannot be inverted by guessing.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// MarshalText implements encoding.TextMarshaler.
func (h TokenHash) MarshalText() ([]byte, error) {
	return []byte(tokenPrefix + hex.EncodeToString(h[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *TokenHash) UnmarshalText(text []byte) error {
	digits, ok := strings.CutPrefix(string(text), tokenPrefix)
	raw, err := hex.DecodeString(digits)
	if !ok || err != nil || len(raw) != len(h) {
		return fault.BadConfig.New("token hash")
	}
	copy(h[:], raw)
	return nil
}

func (*TokenHash) allowed() string {
	return `"sha256:" and 64 hexadecimal digits; "damasklb ctl keys token" makes a token and its hash`
}

// OperatorRole tells what an operator may do.
type OperatorRole string

// Roles of operators.
const (
	// RoleViewer may see the status.
	RoleViewer OperatorRole = "viewer"
	// RoleOperator may also drain.
	RoleOperator OperatorRole = "operator"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *OperatorRole) UnmarshalText(text []byte) error {
	switch OperatorRole(text) {
	case RoleViewer, RoleOperator:
		*r = OperatorRole(text)
		return nil
	}
	return fault.BadConfig.New("role %q", text)
}

func (*OperatorRole) allowed() string { return "one of viewer, operator" }
