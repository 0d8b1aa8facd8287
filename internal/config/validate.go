package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
	_ "time/tzdata" // hosts may have no time zone database

	"github.com/damasklb/damasklb/internal/fault"
)

// validator collects the problems of a configuration.
type validator struct {
	config   *Config
	problems []Problem
}

// Validate checks a configuration as a whole and returns its problems.
func Validate(c *Config) []Problem {
	v := &validator{config: c}
	v.checkLimits()
	v.checkDataCentres()
	v.checkClasses()
	v.checkSites()
	v.checkCallers()
	v.checkOperators()
	v.checkTokensUnique()
	return v.problems
}

func (v *validator) report(path string, value any, allowed, hint string) {
	v.problems = append(v.problems, Problem{Field: path, Value: jsonText(value), Allowed: allowed, Hint: hint})
}

// jsonText returns a value as it is written in a file.
func jsonText(value any) string {
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

func (v *validator) checkDuration(path string, d Duration, least, most time.Duration) {
	if d < Duration(least) || d > Duration(most) {
		v.report(path, d, fmt.Sprintf("%v to %v", least, most), "")
	}
}

func (v *validator) checkNumber(path string, n, least, most int) {
	if n < least || n > most {
		v.report(path, n, fmt.Sprintf("%d to %d", least, most), "")
	}
}

// checkReference checks that a name is defined in a section.
func checkReference[V any](v *validator, path, name, section string, defined map[string]V) {
	if _, ok := defined[name]; !ok {
		v.report(path, name, "a name that is defined in "+section, Nearest(name, sortedKeys(defined)))
	}
}

// checkReferences checks that the names in a list are defined in a section and that
// each is in the list only once.
func checkReferences[V any](v *validator, path string, names []string, section string, defined map[string]V) {
	seen := map[string]bool{}
	for i, name := range names {
		elementPath := path + "[" + strconv.Itoa(i) + "]"
		checkReference(v, elementPath, name, section, defined)
		if seen[name] {
			v.report(elementPath, name, "each name once", "")
		}
		seen[name] = true
	}
}

func checkNotEmpty[V any](v *validator, section string, defined map[string]V) {
	if len(defined) == 0 {
		v.report(section, nil, "at least one entry", "")
	}
}

func (v *validator) checkNames(path string, names []string) {
	for _, name := range names {
		if !ValidName(name) && !(path == "callers" && name == AnyCaller) {
			v.report(joinPath(path, name), name, nameSyntax, "")
		}
	}
}

func (v *validator) checkLimits() {
	l := v.config.Limits
	v.checkDuration("limits.resubmission_window", l.ResubmissionWindow, time.Second, time.Hour)
	v.checkDuration("limits.max_deadline", l.MaxDeadline, 10*time.Millisecond, time.Hour)
	v.checkDuration("limits.clock_error", l.ClockError, 0, 10*time.Minute)
	v.checkNumber("limits.max_body_bytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	v.checkNumber("limits.max_answer_bytes", l.MaxAnswerBytes, minBodyBytes, maxBodyBytes)
	v.checkNumber("limits.max_tasks", l.MaxTasks, 1, maxTasks)
}

func (v *validator) checkDataCentres() {
	all := v.config.DataCentres
	checkNotEmpty(v, "data_centres", all)
	v.checkNames("data_centres", sortedKeys(all))
	for _, name := range sortedKeys(all) {
		distances := all[name].Distance
		for _, other := range sortedKeys(distances) {
			path := "data_centres." + name + ".distance." + other
			checkReference(v, path, other, "data_centres", all)
			v.checkDuration(path, distances[other], 0, maxDistance)
			reverse, both := all[other].Distance[name]
			if both && reverse != distances[other] && name > other {
				v.report(path, distances[other], fmt.Sprintf("%v, as from %s to %s", reverse, other, name), "")
			}
		}
	}
}

func (v *validator) checkClasses() {
	checkNotEmpty(v, "classes", v.config.Classes)
	v.checkNames("classes", sortedKeys(v.config.Classes))
	for _, name := range sortedKeys(v.config.Classes) {
		class := v.config.Classes[name]
		path := "classes." + name
		v.checkDuration(path+".expected", class.Expected, time.Millisecond, time.Hour)
		checkReferences(v, path+".sites", class.Sites, "sites", v.config.Sites)
		most := time.Duration(v.config.Limits.MaxDeadline)
		if class.MaxDeadline != 0 {
			v.checkDuration(path+".max_deadline", class.MaxDeadline, time.Duration(class.Expected), most)
		} else if class.Expected <= Duration(time.Hour) && time.Duration(class.Expected) > most {
			v.report(path+".expected", class.Expected, fmt.Sprintf("at most limits.max_deadline, %v", most), "")
		}
	}
}

func (v *validator) checkSites() {
	checkNotEmpty(v, "sites", v.config.Sites)
	v.checkNames("sites", sortedKeys(v.config.Sites))
	for _, name := range sortedKeys(v.config.Sites) {
		site := v.config.Sites[name]
		path := "sites." + name
		if _, err := LoadTimeZone(site.TimeZone); err != nil {
			v.report(path+".time_zone", site.TimeZone, `an IANA time zone such as "Asia/Jakarta" or "Europe/Tallinn"`, "")
		}
		checkReference(v, path+".data_centre", site.DataCentre, "data_centres", v.config.DataCentres)
		for i, span := range site.QuietHours {
			v.checkSpan(fmt.Sprintf("%s.quiet_hours[%d]", path, i), span.From, span.To)
		}
		for i, date := range site.QuietDates {
			datePath := fmt.Sprintf("%s.quiet_dates[%d]", path, i)
			if date.Date.Year == 0 {
				v.report(datePath+".date", nil, (*Date)(nil).allowed(), "")
			}
			if date.From != 0 || date.To != 0 {
				v.checkSpan(datePath, date.From, date.To)
			}
		}
	}
}

// checkSpan checks the times of a quiet span. It refuses a span of length 0, which
// is more likely a mistake than meant as 24 hours.
func (v *validator) checkSpan(path string, from, to TimeOfDay) {
	if from < 0 || from >= EndOfDay {
		v.report(path+".from", from, `"00:00" to "23:59"`, "")
	}
	if to < 0 || to > EndOfDay || to == from {
		v.report(path+".to", to, `a time other than that in "from", up to "24:00"; a whole day is "00:00" to "24:00"`, "")
	}
}

func (v *validator) checkCallers() {
	checkNotEmpty(v, "callers", v.config.Callers)
	v.checkNames("callers", sortedKeys(v.config.Callers))
	for _, name := range sortedKeys(v.config.Callers) {
		caller := v.config.Callers[name]
		path := "callers." + name
		if !(caller.Weight > 0 && caller.Weight <= maxWeight) {
			v.report(path+".weight", caller.Weight, fmt.Sprintf("above 0 and at most %d", maxWeight), "")
		}
		v.checkNumber(path+".max_slots", caller.MaxSlots, 0, maxSlots)
		v.checkNumber(path+".max_queued", caller.MaxQueued, 0, maxQueued)
		checkReferences(v, path+".classes", caller.Classes, "classes", v.config.Classes)
		v.checkNumber(path+".tokens", len(caller.Tokens), 0, maxTokens)
		if name == AnyCaller && len(caller.Tokens) > 0 {
			v.report(path+".tokens", hiddenValue, "no tokens, because a token proves a caller's name", "")
		}
	}
}

func (v *validator) checkOperators() {
	v.checkNames("operators", sortedKeys(v.config.Operators))
	for _, name := range sortedKeys(v.config.Operators) {
		operator := v.config.Operators[name]
		if operator.Role == "" {
			v.report("operators."+name+".role", nil, operator.Role.allowed(), "")
		}
		v.checkNumber("operators."+name+".tokens", len(operator.Tokens), 0, maxTokens)
	}
}

// checkTokensUnique refuses a token that is listed twice, because a shared token
// does not prove who uses it.
func (v *validator) checkTokensUnique() {
	firstPaths := map[TokenHash]string{}
	check := func(path string, tokens []TokenHash) {
		for i, token := range tokens {
			if first, duplicate := firstPaths[token]; duplicate {
				v.report(fmt.Sprintf("%s.tokens[%d]", path, i), hiddenValue, "a token of its own; this one is also in "+first, "")
			}
			firstPaths[token] = path
		}
	}
	for _, name := range sortedKeys(v.config.Callers) {
		check("callers."+name, v.config.Callers[name].Tokens)
	}
	for _, name := range sortedKeys(v.config.Operators) {
		check("operators."+name, v.config.Operators[name].Tokens)
	}
}

// LoadTimeZone returns an IANA time zone. "Local" is refused, because it differs
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
