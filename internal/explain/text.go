package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/damasklb/damasklb/internal/status"
)

// Table prints rows in aligned columns.
func Table(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(t, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	// Flush fails only if the output does, and then the error cannot be reported there.
	_ = t.Flush()
}

// Print prints an explanation of the hosting platform as text.
func Print(w io.Writer, e status.Explanation) {
	subject := fmt.Sprintf("a new job of %d tasks", len(e.Tasks)+e.TasksOmitted)
	if e.Job != "" {
		subject = fmt.Sprintf("job %s is %s", e.Job, e.State)
	}
	if e.Queue == "" {
		// The job has ended, and only its answer is left.
		fmt.Fprintf(w, "entry %s: %s%s\n", e.Entry, subject, after(": ", e.Reason))
		return
	}
	fmt.Fprintf(w, "entry %s: %s; queue %s, service %s, priority %d, slack %s\n",
		e.Entry, subject, e.Queue, e.Service, e.Priority, ms(e.SlackMS))
	fmt.Fprintf(w, "decision: %s%s\n", e.Decision, after(": ", e.Reason))
	if e.Decision != "none" {
		fmt.Fprintf(w, "longest wait %s, allowed %s; %d tasks start at once\n", ms(e.WaitMS), ms(e.WaitLimitMS), e.AtOnce)
	}
	if e.TasksUnplanned > 0 {
		fmt.Fprintf(w, "the decision is that about the first %d tasks\n", len(e.Tasks)+e.TasksOmitted-e.TasksUnplanned)
	}
	if e.OutdatedReports > 0 {
		fmt.Fprintf(w, "%d agents with reports older than the refusal may rest on would be asked first\n", e.OutdatedReports)
	}
	if e.RetryAfterMS > 0 {
		fmt.Fprintf(w, "retry after %d ms, and up to half of that more at random\n", e.RetryAfterMS)
	}
	if e.Caution != "" {
		fmt.Fprintf(w, "the queue is %s after crashes of upstreams\n", e.Caution)
	}
	printTasks(w, e)
	printCandidates(w, e)
	PrintExcluded(w, e.Excluded)
}

func printTasks(w io.Writer, e status.Explanation) {
	var rows [][]string
	for _, t := range e.Tasks {
		row := []string{strconv.Itoa(t.Index), t.State, Dash(t.Agent), "-", ms(t.ExpectedMS), Dash(t.Choice), "-", "-", after("", t.Decision) + after(": ", t.Reason)}
		if t.ForMS > 0 {
			row[3] = fmt.Sprintf("%d ms", t.ForMS)
		}
		if t.Choice != "" {
			row[6], row[7] = ms(t.WaitMS), ms(t.ScoreMS)
		}
		rows = append(rows, row)
	}
	fmt.Fprintln(w)
	Table(w, []string{"TASK", "STATE", "AGENT", "FOR", "EXPECTED", "CHOICE", "WAIT", "SCORE", "DECISION"}, rows)
	if e.TasksOmitted > 0 {
		fmt.Fprintf(w, "%d more tasks\n", e.TasksOmitted)
	}
}

func printCandidates(w io.Writer, e status.Explanation) {
	if len(e.Candidates) == 0 {
		return
	}
	var rows [][]string
	for _, c := range e.Candidates {
		mark := ""
		switch {
		case c.Wins:
			mark = "wins"
		case c.MayWin:
			mark = "may win"
		}
		var penalties []string
		for _, p := range c.Penalties {
			penalties = append(penalties, p.Name+" "+ms(p.MS))
		}
		rows = append(rows, []string{
			c.Host, c.DataCentre, c.Class, ms(c.ScoreMS), ms(c.WaitMS), ms(c.RunMS), ms(c.DistanceMS), Dash(strings.Join(penalties, ", ")),
			strconv.Itoa(c.FreeCPU), strconv.Itoa(c.FreeMem), fmt.Sprintf("%d ms", c.ReportAgeMS), mark,
		})
	}
	fmt.Fprintf(w, "\ncandidates for task %d; the best class wins, within it the lowest score, after up to %s is added to each at random\n", e.Detailed, ms(e.RandomMS))
	Table(w, []string{"HOST", "DATA CENTRE", "CLASS", "SCORE", "WAIT", "RUN", "DISTANCE", "PENALTIES", "FREE CPU", "FREE MB", "REPORT AGE", ""}, rows)
	if e.CandidatesOmitted > 0 {
		fmt.Fprintf(w, "%d more candidates with higher scores\n", e.CandidatesOmitted)
	}
}

// PrintExcluded prints why the other agents or upstreams are no candidates.
func PrintExcluded(w io.Writer, excluded []status.Exclusion) {
	if len(excluded) == 0 {
		return
	}
	var rows [][]string
	for _, x := range excluded {
		hosts := strings.Join(x.Hosts, ", ")
		if x.Agents > len(x.Hosts) {
			hosts += ", …"
		}
		rows = append(rows, []string{x.Reason, strconv.Itoa(x.Agents), hosts})
	}
	fmt.Fprintln(w)
	Table(w, []string{"NO CANDIDATE BECAUSE", "NUMBER", "HOSTS"}, rows)
}

// Dash returns the text, or "-" if it is empty.
func Dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// after returns text after a separator, or "" if it is empty.
func after(separator, text string) string {
	if text == "" {
		return ""
	}
	return separator + text
}

func ms(v float64) string { return fmt.Sprintf("%.1f ms", v) }

// PrintDispatch prints an explanation of the product's own path as text.
func PrintDispatch(w io.Writer, e status.DispatchExplanation) {
	subject := "a new job"
	if e.Job != "" {
		subject = fmt.Sprintf("job %s is %s", e.Job, e.State)
	}
	fmt.Fprintf(w, "entry %s: %s; class %s, caller %s, expected run time %s\n", e.Entry, subject, e.Class, Dash(e.Caller), ms(e.ExpectedMS))
	fmt.Fprintf(w, "decision: %s%s%s\n", e.Decision, after(": ", e.Reason), after(": ", e.Detail))
	if e.WaitLimitMS > 0 {
		fmt.Fprintf(w, "predicted wait %s, allowed %s\n", ms(e.WaitMS), ms(e.WaitLimitMS))
	}
	if e.RetryAfterMS > 0 {
		fmt.Fprintf(w, "retry after %d ms, and up to half of that more at random\n", e.RetryAfterMS)
	}
	fmt.Fprintf(w, "%d tasks wait and %d run here, of the caller %d and %d; the class has %d slots\n",
		e.Waiting, e.Running, e.CallerWaiting, e.CallerRunning, e.Slots)
	var rows [][]string
	for _, t := range e.Tasks {
		row := []string{strconv.Itoa(t.Index), t.State, Dash(t.Upstream), "-"}
		if t.State == "sent" {
			row[3] = fmt.Sprintf("%d ms", t.ForMS)
		}
		rows = append(rows, row)
	}
	if len(rows) > 0 {
		fmt.Fprintln(w)
		Table(w, []string{"TASK", "STATE", "UPSTREAM", "FOR"}, rows)
	}
	if e.TasksOmitted > 0 {
		fmt.Fprintf(w, "%d more tasks\n", e.TasksOmitted)
	}
	printUpstreams(w, e)
	PrintExcluded(w, e.Excluded)
}

func printUpstreams(w io.Writer, e status.DispatchExplanation) {
	if len(e.Candidates) == 0 {
		return
	}
	var rows [][]string
	for _, c := range e.Candidates {
		mark := ""
		switch {
		case c.Probe:
			mark = "wins, as a probe"
		case c.MayWin:
			mark = "may win"
		}
		rows = append(rows, []string{c.Upstream, c.Site, c.DataCentre, ms(c.CostMS), ms(c.DistanceMS), ms(c.RefusalsMS), strconv.Itoa(c.Credits), mark})
	}
	fmt.Fprintln(w, "\ncandidates; one of those that may win is drawn at random")
	Table(w, []string{"UPSTREAM", "SITE", "DATA CENTRE", "COST", "DISTANCE", "REFUSALS", "CREDITS", ""}, rows)
	if e.CandidatesOmitted > 0 {
		fmt.Fprintf(w, "%d more candidates\n", e.CandidatesOmitted)
	}
}
