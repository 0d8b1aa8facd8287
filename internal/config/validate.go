package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
	_ "time/tzdata" // hosts may have no time zone database

	"github.com/damasklb/damasklb/internal/fault"
)

// validator collects the problems of a whole document.
type validator struct {
	config   *Config
	problems []Problem
}

// Validate checks the rules that a whole configuration must keep.
func Validate(c *Config) []Problem {
	v := &validator{config: c}
	v.limits()
	v.dataCentres()
	v.classes()
	v.sites()
	v.callers()
	v.operators()
	v.tokensDiffer()
	return v.problems
}

func (v *validator) report(path string, value any, allowed, hint string) {
	v.problems = append(v.problems, Problem{Field: path, Value: written(value), Allowed: allowed, Hint: hint})
}

// written is a value as it stands in a file.
func written(value any) string {
	switch value {
	case nil, "":
		return ""
	case hiddenValue:
		return hiddenValue
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(raw)
}

func (v *validator) duration(path string, d Duration, least, most time.Duration) {
	if d < Duration(least) || d > Duration(most) {
		v.report(path, d, fmt.Sprintf("%v to %v", least, most), "")
	}
}

func (v *validator) number(path string, n, least, most int) {
	if n < least || n > most {
		v.report(path, n, fmt.Sprintf("%d to %d", least, most), "")
	}
}

// reference checks that a name is defined in a section.
func reference[V any](v *validator, path, name, section string, defined map[string]V) {
	if _, ok := defined[name]; !ok {
		v.report(path, name, "a name that is defined in "+section, Nearest(name, sortedKeys(defined)))
	}
}

// references checks a list of names, each of which must be there once.
func references[V any](v *validator, path string, names []string, section string, defined map[string]V) {
	seen := map[string]bool{}
	for i, name := range names {
		at := path + "[" + strconv.Itoa(i) + "]"
		reference(v, at, name, section, defined)
		if seen[name] {
			v.report(at, name, "each name once", "")
		}
		seen[name] = true
	}
}

func notEmpty[V any](v *validator, section string, defined map[string]V) {
	if len(defined) == 0 {
		v.report(section, nil, "at least one entry", "")
	}
}

func (v *validator) names(path string, names []string) {
	for _, name := range names {
		if !ValidName(name) && !(path == "callers" && name == AnyCaller) {
			v.report(join(path, name), name, nameSyntax, "")
		}
	}
}

func (v *validator) limits() {
	l := v.config.Limits
	v.duration("limits.resubmission_window", l.ResubmissionWindow, time.Second, time.Hour)
	v.duration("limits.max_deadline", l.MaxDeadline, 10*time.Millisecond, time.Hour)
	v.duration("limits.clock_error", l.ClockError, 0, 10*time.Minute)
	v.number("limits.max_body_bytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	v.number("limits.max_answer_bytes", l.MaxAnswerBytes, minBodyBytes, maxBodyBytes)
	v.number("limits.max_tasks", l.MaxTasks, 1, maxTasks)
}

func (v *validator) dataCentres() {
	all := v.config.DataCentres
	notEmpty(v, "data_centres", all)
	v.names("data_centres", sortedKeys(all))
	for _, name := range sortedKeys(all) {
		distances := all[name].Distance
		for _, other := range sortedKeys(distances) {
			path := "data_centres." + name + ".distance." + other
			reference(v, path, other, "data_centres", all)
			v.duration(path, distances[other], 0, maxDistance)
			back, both := all[other].Distance[name]
			if both && back != distances[other] && name > other {
				v.report(path, distances[other], fmt.Sprintf("%v, as from %s to %s", back, other, name), "")
			}
		}
	}
}

func (v *validator) classes() {
	notEmpty(v, "classes", v.config.Classes)
	v.names("classes", sortedKeys(v.config.Classes))
	for _, name := range sortedKeys(v.config.Classes) {
		class := v.config.Classes[name]
		path := "classes." + name
		v.duration(path+".expected", class.Expected, time.Millisecond, time.Hour)
		references(v, path+".sites", class.Sites, "sites", v.config.Sites)
		most := time.Duration(v.config.Limits.MaxDeadline)
		if class.MaxDeadline != 0 {
			v.duration(path+".max_deadline", class.MaxDeadline, time.Duration(class.Expected), most)
		} else if class.Expected <= Duration(time.Hour) && time.Duration(class.Expected) > most {
			v.report(path+".expected", class.Expected, fmt.Sprintf("at most limits.max_deadline, %v", most), "")
		}
	}
}

func (v *validator) sites() {
	notEmpty(v, "sites", v.config.Sites)
	v.names("sites", sortedKeys(v.config.Sites))
	for _, name := range sortedKeys(v.config.Sites) {
		site := v.config.Sites[name]
		path := "sites." + name
		if _, err := LoadTimeZone(site.TimeZone); err != nil {
			v.report(path+".time_zone", site.TimeZone, `an IANA time zone such as "Asia/Jakarta" or "Europe/Tallinn"`, "")
		}
		reference(v, path+".data_centre", site.DataCentre, "data_centres", v.config.DataCentres)
		for i, span := range site.QuietHours {
			v.span(fmt.Sprintf("%s.quiet_hours[%d]", path, i), span.From, span.To)
		}
		for i, date := range site.QuietDates {
			at := fmt.Sprintf("%s.quiet_dates[%d]", path, i)
			if date.Date.Year == 0 {
				v.report(at+".date", nil, (*Date)(nil).allowed(), "")
			}
			if date.From != 0 || date.To != 0 {
				v.span(at, date.From, date.To)
			}
		}
	}
}

// span refuses spans of length 0, which are more likely to be a mistake than to
// mean 24 hours.
func (v *validator) span(path string, from, to TimeOfDay) {
	if from < 0 || from >= EndOfDay {
		v.report(path+".from", from, `"00:00" to "23:59"`, "")
	}
	if to < 0 || to > EndOfDay || to == from {
		v.report(path+".to", to, `a time other than that in "from", up to "24:00"; a whole day is "00:00" to "24:00"`, "")
	}
}

func (v *validator) callers() {
	notEmpty(v, "callers", v.config.Callers)
	v.names("callers", sortedKeys(v.config.Callers))
	for _, name := range sortedKeys(v.config.Callers) {
		caller := v.config.Callers[name]
		path := "callers." + name
		if !(caller.Weight > 0 && caller.Weight <= maxWeight) {
			v.report(path+".weight", caller.Weight, fmt.Sprintf("above 0 and at most %d", maxWeight), "")
		}
		v.number(path+".max_slots", caller.MaxSlots, 0, maxSlots)
		v.number(path+".max_queued", caller.MaxQueued, 0, maxQueued)
		references(v, path+".classes", caller.Classes, "classes", v.config.Classes)
		v.number(path+".tokens", len(caller.Tokens), 0, maxTokens)
		if name == AnyCaller && len(caller.Tokens) > 0 {
			v.report(path+".tokens", hiddenValue, "no tokens, because a token proves a caller's name", "")
		}
	}
}

func (v *validator) operators() {
	v.names("operators", sortedKeys(v.config.Operators))
	for _, name := range sortedKeys(v.config.Operators) {
		operator := v.config.Operators[name]
		if operator.Role == "" {
			v.report("operators."+name+".role", nil, operator.Role.allowed(), "")
		}
		v.number("operators."+name+".tokens", len(operator.Tokens), 0, maxTokens)
	}
}

// tokensDiffer refuses a token that two people share, because it would not
// prove who uses it.
func (v *validator) tokensDiffer() {
	owner := map[TokenHash]string{}
	check := func(path string, tokens []TokenHash) {
		for i, token := range tokens {
			if first, taken := owner[token]; taken {
				v.report(fmt.Sprintf("%s.tokens[%d]", path, i), hiddenValue, "a token of its own; this one is also in "+first, "")
			}
			owner[token] = path
		}
	}
	for _, name := range sortedKeys(v.config.Callers) {
		check("callers."+name, v.config.Callers[name].Tokens)
	}
	for _, name := range sortedKeys(v.config.Operators) {
		check("operators."+name, v.config.Operators[name].Tokens)
	}
}

// LoadZone returns an IANA time zone. "Local" is refused, because it differs
// from host to host.
func LoadTimeZone(name string) (*time.Location, error) {
	if name == "" || name == "Local" {
		return nil, fault.BadConfig.New("time zone %q is not in the IANA database", name)
	}
	zone, err := time.LoadLocation(name)
	if err != nil {
		return nil, fault.BadConfig.Wrap(err, "time zone")
	}
	return zone, nil
}
