package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

// evacuationOutput is the output of drain --data-centre with --json.
type evacuationOutput struct {
	DataCentre string `json:"data_centre"`
	Evacuated  bool   `json:"evacuated"`
	configstore.EvacuationResult
	InForce *inForceCount `json:"in_force,omitempty"`
}

// drainDataCentre makes or withdraws the request to evacuate a data centre.
func (f *ctlFlags) drainDataCentre(ctx context.Context, dataCentre, reason string, undo bool) error {
	if err := f.checkWait(); err != nil {
		return err
	}
	store, err := f.store()
	if err != nil {
		return err
	}
	p := f.evacuationProposal(dataCentre, reason, undo)
	result, err := store.Evacuate(ctx, p)
	if errorx.IsOfType(err, fault.ChangeUnknown) {
		return fault.ChangeUnknown.Wrap(err, "run the command again to find out or retry")
	}
	if err != nil {
		return err
	}
	f.notifyOfEvacuation(ctx, store)
	if !f.json {
		f.printEvacuation(p, result)
	}
	output := evacuationOutput{DataCentre: dataCentre, Evacuated: !undo, EvacuationResult: result}
	var waitErr error
	if f.wait {
		output.InForce, waitErr = f.waitEvacuation(ctx, p, result.Version)
	}
	if !f.json {
		return waitErr
	}
	if err := printJSON(f.env.Stdout, output); err != nil {
		return err
	}
	f.json = false // the result is printed already, so commandWith prints no failure
	return waitErr
}

// evacuationProposal does not insist on a reason: an evacuation may be urgent.
func (f *ctlFlags) evacuationProposal(dataCentre, reason string, undo bool) configstore.EvacuationProposal {
	author, host := f.authorAndHost()
	return configstore.EvacuationProposal{
		ChangeID: configstore.NewChangeID(), DataCentre: dataCentre, Undo: undo, Author: author, Host: host, Reason: reason,
	}
}

// notifyOfEvacuation has an entry read the table at once, if --entry-url is set. That entry
// informs all others. If it fails, the entries read the table within seconds.
func (f *ctlFlags) notifyOfEvacuation(ctx context.Context, store *configstore.Store) {
	if f.entryURLs == "" {
		return
	}
	if head, err := store.Head(ctx); err == nil && head.Version > 0 {
		f.notifyEntries(ctx, head.Version, nil)
	}
}

func (f *ctlFlags) printEvacuation(p configstore.EvacuationProposal, r configstore.EvacuationResult) {
	switch {
	case r.Request != nil:
		f.printf("data centre %s is being evacuated already%s; nothing was changed\n", p.DataCentre, sinceText(*r.Request))
	case r.Unchanged:
		f.printf("data centre %s is not being evacuated; nothing was changed\n", p.DataCentre)
	case p.Undo:
		f.printf("the evacuation of data centre %s has ended; tasks may start there again\n", p.DataCentre)
	default:
		f.printf("data centre %s is being evacuated: nothing more starts there, running tasks finish\n", p.DataCentre)
	}
	if len(r.Left) == 0 {
		f.printf("warning: no data centre is left; all jobs are refused until one is taken back with --undo\n")
	}
}

func sinceText(r configstore.EvacuationRequest) string {
	if r.Problem != nil {
		return fmt.Sprintf(", by a row that cannot be read (%s)", fault.Text(r.Problem))
	}
	return fmt.Sprintf(" since %s by %s", r.Time.Format(time.RFC3339), r.Author)
}

func (f *ctlFlags) waitEvacuation(ctx context.Context, p configstore.EvacuationProposal, version uint64) (*inForceCount, error) {
	subject, state := "evacuation of "+p.DataCentre, "requested"
	if p.Undo {
		subject = "end of the evacuation of " + p.DataCentre
	}
	return f.waitFor(ctx, subject, state, func(r status.Report) []string { return r.Unaware(version) })
}

// printEvacuations prints what an entry reports of evacuations. It prints nothing if none
// is in force and every process knows.
func (f *ctlFlags) printEvacuations(r status.Report) {
	unaware := r.Unaware(r.EvacuationVersion)
	if len(r.Evacuations) == 0 && (r.EvacuationVersion == 0 || len(unaware) == 0) {
		return
	}
	var rows [][]string
	for _, e := range r.Evacuations {
		since := formatSeconds(e.KnownForMS) + " (first heard)"
		if !e.Since.IsZero() {
			since = e.Since.Format(time.RFC3339)
		}
		name := e.DataCentre
		if e.Unknown {
			name += " (unknown)"
		}
		rows = append(rows, []string{name, since, e.Author, fmt.Sprint(e.Running), e.Reason})
	}
	f.printf("\n")
	f.printTable([]string{"EVACUATED", "SINCE", "BY", "RUNNING", "REASON"}, rows)
	f.printf("known to %d of %d processes", len(r.Entries)+len(r.Agents)-len(unaware), len(r.Entries)+len(r.Agents))
	for i, name := range unaware {
		separator := ", "
		if i == 0 {
			separator = "; not yet to "
		}
		f.printf("%s%s", separator, name)
	}
	f.printf("\n")
}

func (f *ctlFlags) printEvacuationHistory(records []configstore.EvacuationRecord) {
	rows := make([][]string, 0, len(records))
	for _, r := range records {
		rows = append(rows, []string{r.Time.Format(time.RFC3339), r.Author, r.Host, string(r.Action), r.DataCentre, r.Reason})
	}
	f.printTable([]string{"TIME", "AUTHOR", "FROM", "ACTION", "DATA CENTRE", "REASON"}, rows)
}
