package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/status"
)

func newCtlStatus(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl status", env)
	f.addOutputFlag(fs)
	f.addAdminFlags(fs)
	partitions := fs.Bool("partitions", false, "also list the owner of each partition")
	return f.command(&ffcli.Command{
		Name:       "status",
		ShortUsage: "damasklb ctl status [flags]",
		ShortHelp:  "show entries, agents, upstreams and partition owners",
		LongHelp: `Examples:
  damasklb ctl status --entry-url https://10.0.0.1:8443,https://10.0.0.2:8443
  damasklb ctl status --partitions --json`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := f.adminClient()
			if err != nil {
				return err
			}
			report, err := client.status(ctx)
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(env.Stdout, report)
			}
			f.printReport(report, *partitions)
			return nil
		},
	}, 0)
}

func (f *ctlFlags) printReport(r status.Report, partitions bool) {
	inForce, all := r.InForce(r.ConfigVersion)
	f.printf("reported by entry %s; configuration version %d in force on %d of %d processes; partition map %d\n\n",
		r.Entry, r.ConfigVersion, inForce, all, r.MapVersion)
	f.printEntries(r)
	f.printAgents(r.Agents)
	f.printUpstreams(r.Upstreams)
	f.printEvacuations(r)
	if partitions {
		f.printPartitions(r.Partitions)
	}
}

func (f *ctlFlags) printEntries(r status.Report) {
	owned := map[string]int{}
	for _, p := range r.Partitions {
		owned[p.Owner]++
	}
	var rows [][]string
	for _, e := range r.Entries {
		waiting, running := "-", "-" // the report has these counts of its own entry only
		if e.ID == r.Entry {
			waiting, running = strconv.Itoa(e.Waiting), strconv.Itoa(e.Running)
		}
		rows = append(rows, []string{
			e.ID, e.DataCentre, string(e.State), strconv.FormatUint(e.ConfigVersion, 10),
			strconv.Itoa(owned[e.ID]), waiting, running, formatSeconds(e.LastMessageAgeMS),
		})
	}
	f.printTable([]string{"ENTRY", "DATA CENTRE", "STATE", "CONFIG", "PARTITIONS", "WAITING", "RUNNING", "LAST HEARD"}, rows)
	f.printf("\n")
}

func (f *ctlFlags) printAgents(agents []status.Agent) {
	var rows [][]string
	for _, a := range agents {
		rows = append(rows, []string{a.Host, a.DataCentre, string(a.State), strconv.FormatUint(a.ConfigVersion, 10), formatSeconds(a.LastMessageAgeMS)})
	}
	f.printTable([]string{"AGENT", "DATA CENTRE", "STATE", "CONFIG", "LAST HEARD"}, rows)
	f.printf("\n")
}

func (f *ctlFlags) printUpstreams(upstreams []status.Upstream) {
	var rows [][]string
	for _, u := range upstreams {
		rows = append(rows, []string{
			u.Host + "/" + u.Service, u.Site, u.DataCentre, string(u.State),
			fmt.Sprintf("%d/%d", u.Running, u.Slots), strings.Join(u.Classes, ","),
		})
	}
	f.printTable([]string{"UPSTREAM", "SITE", "DATA CENTRE", "STATE", "SLOTS", "CLASSES"}, rows)
}

func (f *ctlFlags) printPartitions(partitions []status.Partition) {
	sorted := slices.Clone(partitions)
	slices.SortFunc(sorted, func(a, b status.Partition) int { return a.Number - b.Number })
	var rows [][]string
	for _, p := range sorted {
		rows = append(rows, []string{strconv.Itoa(p.Number), p.Owner, strconv.FormatUint(p.Epoch, 10), string(p.State)})
	}
	f.printf("\n")
	f.printTable([]string{"PARTITION", "OWNER", "EPOCH", "STATE"}, rows)
}

func formatSeconds(ms int64) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }
