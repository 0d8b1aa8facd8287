package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

func newPlatformStatus(env Env) *ffcli.Command {
	f := &askFlags{ctlFlags: ctlFlags{env: env}}
	fs := newFlagSet("damasklb platform status", env)
	f.addAskFlags(fs)
	return f.command(&ffcli.Command{
		Name:       "status",
		ShortUsage: "damasklb platform status --url URL [flags]",
		ShortHelp:  "show the state of an entry and its agents, or of an agent",
		LongHelp: `Example:
  damasklb platform status --url http://10.0.0.1:9464`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			raw, err := f.ask(ctx, status.PlatformStatusPath, nil)
			if err != nil {
				return err
			}
			var entry status.HostedEntry
			if err := json.Unmarshal(raw, &entry); err != nil && entry.Role != status.RoleAgent {
				return fault.BadResponse.Wrap(err, "process: answer of %s", f.url)
			}
			if entry.Role != status.RoleAgent {
				return f.show(entry, func() { f.printHostedEntry(entry) })
			}
			var agent status.HostedAgentStatus
			if err := json.Unmarshal(raw, &agent); err != nil {
				return fault.BadResponse.Wrap(err, "process: answer of %s", f.url)
			}
			return f.show(agent, func() { f.printHostedAgent(agent) })
		},
	}, 0)
}

// show prints a value as JSON, or by text.
func (f *askFlags) show(v any, text func()) error {
	if f.json {
		return printJSON(f.env.Stdout, v)
	}
	text()
	return nil
}

func (f *askFlags) printHostedEntry(s status.HostedEntry) {
	state := "ready"
	switch {
	case s.Leaving:
		state = "leaving"
	case !s.Ready:
		state = "not ready"
	}
	f.printf("entry %s in %s is %s; configuration version %d; up for %s\n", s.Host, s.DataCentre, state, s.ConfigVersion, formatSeconds(s.UptimeMS))
	f.printf("%d jobs without an outcome, %d that end, %d tasks without an agent\n", s.Jobs, s.EndingJobs, s.HeldTasks)
	for _, queue := range slices.Sorted(maps.Keys(s.Cautions)) {
		f.printf("queue %s is %s after crashes of upstreams\n", queue, s.Cautions[queue])
	}
	var rows [][]string
	for _, t := range s.Totals {
		rows = append(rows, []string{
			explain.Dash(t.Service), t.DataCentre, fmt.Sprintf("%d/%d", t.Ready, t.Agents), cores(t.FreeCPU) + "/" + cores(t.CapacityCPU),
			joinNumbers(t.QueuedWork[:]), strconv.Itoa(t.Tasks),
		})
	}
	f.printf("\n")
	f.printTable([]string{"SERVICE", "DATA CENTRE", "READY", "FREE CORES", "QUEUED CORE-MS", "TASKS"}, rows)
	f.printf("\n")
	rows = nil
	for _, a := range s.Agents {
		rows = append(rows, []string{
			a.Host, a.DataCentre, a.State, cores(a.FreeCPU) + "/" + cores(a.CapacityCPU), fmt.Sprintf("%d/%d", a.FreeMem, a.CapacityMem),
			joinNumbers(a.QueuedWorkMS[:]), fmt.Sprintf("%d%%", a.Slowness), strconv.Itoa(a.Tasks), fmt.Sprintf("%d ms", a.ReportAgeMS), remarks(a),
		})
	}
	f.printTable([]string{"AGENT", "DATA CENTRE", "STATE", "FREE CORES", "FREE MB", "QUEUED MS", "RUN TIME", "TASKS", "REPORT AGE", "REMARKS"}, rows)
	if s.AgentsOmitted > 0 {
		f.printf("%d more agents\n", s.AgentsOmitted)
	}
	f.printEvacuations(s)
	f.printSections(s.Sections)
}

// remarks returns what is unusual about an agent.
func remarks(a status.HostedAgent) string {
	var out []string
	for _, r := range []struct {
		set  bool
		text string
	}{
		{a.FailurePercent > 0, fmt.Sprintf("%d%% fail", a.FailurePercent)},
		{a.Stuck, "stuck"},
		{a.ColdMS > 0, fmt.Sprintf("cold for %d ms", a.ColdMS)},
		{a.Quarantined, "for quarantined queues"},
		{a.Suspects > 0, fmt.Sprintf("%d suspects", a.Suspects)},
	} {
		if r.set {
			out = append(out, r.text)
		}
	}
	return explain.Dash(strings.Join(out, ", "))
}

func (f *askFlags) printEvacuations(s status.HostedEntry) {
	if s.EvacuationsAgeMS == nil {
		return
	}
	f.printf("\n%d data centres are being emptied, as known %d ms ago\n", len(s.Evacuations), *s.EvacuationsAgeMS)
	if len(s.Evacuations) == 0 {
		return
	}
	var rows [][]string
	for _, e := range s.Evacuations {
		uninformed := strconv.Itoa(e.Unaware)
		if len(e.UnawareHosts) > 0 {
			uninformed += ": " + strings.Join(e.UnawareHosts, ", ")
		}
		rows = append(rows, []string{
			e.DataCentre, formatSeconds(e.SinceMS), strconv.FormatUint(e.Version, 10), strconv.Itoa(e.Agents), strconv.Itoa(e.Running), uninformed,
		})
	}
	f.printTable([]string{"EVACUATED", "SINCE", "REQUEST", "AGENTS", "RUNNING", "NOT INFORMED"}, rows)
}

func (f *askFlags) printSections(sections status.Sections) {
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		f.printf("\n%s: %s\n", name, sections[name])
	}
}

func (f *askFlags) printHostedAgent(s status.HostedAgentStatus) {
	f.printf("agent %s in %s is %s; up for %s\n", s.Host, s.DataCentre, s.State, formatSeconds(s.UptimeMS))
	f.printf("upstream %s of service %s: %s of %s cores free, %d of %d MB; %d runs, queued %s ms\n",
		explain.Dash(s.Upstream), explain.Dash(s.Service), cores(s.FreeCPU), cores(s.CapacityCPU), s.FreeMem, s.CapacityMem, s.Running, joinNumbers(s.QueuedWorkMS[:]))
	f.printf("run time %d%% of the expected, %s\n\n", s.Slowness, remarks(status.HostedAgent{FailurePercent: s.FailurePercent, Stuck: s.Stuck, ColdMS: s.ColdMS}))
	var rows [][]string
	for _, e := range s.Entries {
		working := "no"
		if e.Working {
			working = "yes"
		}
		rows = append(rows, []string{e.Host, e.Address, working, fmt.Sprintf("%d ms", e.LastAnswerAgeMS)})
	}
	f.printTable([]string{"ENTRY", "ADDRESS", "HAS TASKS", "LAST HEARD"}, rows)
	if s.EntriesOmitted > 0 {
		f.printf("%d more entries\n", s.EntriesOmitted)
	}
	f.printSections(s.Sections)
}

// cores formats thousandths of a core.
func cores(n int) string { return fmt.Sprintf("%.1f", float64(n)/1000) }

func joinNumbers[T uint32 | uint64](numbers []T) string {
	out := make([]string, len(numbers))
	for i, n := range numbers {
		out[i] = fmt.Sprint(n)
	}
	return strings.Join(out, "/")
}
